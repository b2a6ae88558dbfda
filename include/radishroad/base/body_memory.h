#ifndef RADISHROAD_BASE_BODY_MEMORY_H
#define RADISHROAD_BASE_BODY_MEMORY_H

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace radishroad {

/// Memory of one process for the bodies of callers, upstreams and peers
/// together. BodyShare is the part of one body. Thread-safe.
///
/// Load pattern: many bodies that never end, or whose reader has stopped, among
/// short ones. A large body may hold no more than is free (dynamic thresholds:
/// Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory
/// packet switches", 1998), so that N endless ones leave 1/(N+1) of the memory
/// for others. Small bodies may use the last part alone.
class BodyMemory
{
public:
  /// Bodies up to this size are small.
  static constexpr std::size_t kSmallBytes = 64U << 10;

  explicit BodyMemory(std::size_t aMaxBytes);

  /// Whether a body of aHeld bytes may grow to aWanted, with aUsed bytes in use
  /// by all bodies, this one included.
  static bool mayGrow(std::size_t aMaxBytes,
                      std::size_t aUsed,
                      std::size_t aHeld,
                      std::size_t aWanted);

  std::size_t maxBytes() const { return mMaxBytes; }
  std::size_t usedBytes() const { return mUsed; }
  /// Bodies that were refused for want of memory.
  std::uint64_t refusals() const { return mRefusals; }

private:
  friend class BodyShare;

  bool tryResize(std::size_t aHeld, std::size_t aWanted);
  void resize(std::size_t aHeld, std::size_t aWanted);

  const std::size_t mMaxBytes;
  std::atomic<std::size_t> mUsed{ 0 };
  std::atomic<std::uint64_t> mRefusals{ 0 };
};

}

#endif
