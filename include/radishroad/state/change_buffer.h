#ifndef RADISHROAD_STATE_CHANGE_BUFFER_H
#define RADISHROAD_STATE_CHANGE_BUFFER_H

#include "radishroad/state/records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishroad {

/// Changes of one replicated state that arrived before the changes that they
/// build on. Does no I/O and reads no clock.
///
/// Load pattern: the state of a cell of a hundred members changes ten times a
/// second, and a daemon has missed one change. While it reads the state anew,
/// more changes arrive; without them it would be behind again as soon as it has
/// read, and read for ever.
class ChangeBuffer
{
public:
  struct Change
  {
    std::uint64_t mVersion = 0;
    std::uint64_t mGeneration = 0;
    std::vector<Bytes> mRecords;
  };

  /// Keeps a change of the state of version aBaseVersion. Beyond
  /// kMaxChanges or kMaxBytes the changes of the oldest versions are dropped.
  void add(std::uint64_t aBaseVersion, Change aChange);
  /// Removes and returns the change of the state of version aVersion, and drops
  /// those of older ones.
  std::optional<Change> take(std::uint64_t aVersion);
  std::size_t size() const { return mChanges.size(); }
  std::size_t bytes() const { return mBytes; }

  static constexpr std::size_t kMaxChanges = 64;
  static constexpr std::size_t kMaxBytes = 1U << 20;

private:
  using Changes = std::map<std::uint64_t, Change>;

  Changes::iterator drop(Changes::iterator aIt);

  /// By the version that they build on.
  Changes mChanges;
  std::size_t mBytes = 0;
};

}

#endif
