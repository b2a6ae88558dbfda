#ifndef RADISHROAD_BASE_BODY_SHARE_H
#define RADISHROAD_BASE_BODY_SHARE_H

#include "radishroad/base/body_memory.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace radishroad {

/// Part of a BodyMemory that one body occupies; given back by the destructor.
/// Without a memory, any size is granted.
class BodyShare
{
public:
  BodyShare() = default;
  explicit BodyShare(std::shared_ptr<BodyMemory> aMemory)
    : mMemory(std::move(aMemory))
  {
  }
  ~BodyShare() { resize(0); }
  /// The bytes of a copy are counted too.
  BodyShare(const BodyShare& aOther)
    : mMemory(aOther.mMemory)
  {
    resize(aOther.mBytes);
  }
  BodyShare& operator=(const BodyShare& aOther)
  {
    return *this = BodyShare(aOther);
  }
  BodyShare(BodyShare&& aOther) noexcept
    : mMemory(std::move(aOther.mMemory))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  BodyShare& operator=(BodyShare&& aOther) noexcept
  {
    std::swap(mMemory, aOther.mMemory);
    std::swap(mBytes, aOther.mBytes);
    return *this;
  }

  std::size_t bytes() const { return mBytes; }

  /// Grows or shrinks to aBytes; changes nothing and returns false if the
  /// memory has no room.
  bool tryResize(std::size_t aBytes)
  {
    if (mMemory && !mMemory->tryResize(mBytes, aBytes)) {
      return false;
    }
    mBytes = aBytes;
    return true;
  }

  /// For bytes that are held already, such as an answer that must be delivered:
  /// counts them whether or not there is room.
  void resize(std::size_t aBytes)
  {
    if (mMemory) {
      mMemory->resize(mBytes, aBytes);
    }
    mBytes = aBytes;
  }

private:
  std::shared_ptr<BodyMemory> mMemory;
  std::size_t mBytes = 0;
};

}

#endif
