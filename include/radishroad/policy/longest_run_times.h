#ifndef RADISHROAD_POLICY_LONGEST_RUN_TIMES_H
#define RADISHROAD_POLICY_LONGEST_RUN_TIMES_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace radishroad {

/// The longest time that requests of each kind took lately. A daemon that stops
/// takes only what will end in time by these. Does no I/O and reads no clock;
/// memory is bounded.
class LongestRunTimes
{
public:
  void add(std::uint32_t aKind, Millis aTook, Millis aNow);
  /// Nothing if no request of the kind has ended lately.
  std::optional<Millis> longest(std::uint32_t aKind, Millis aNow) const;
  /// Whether a request that is sent now ends by aUntil: because its deadline
  /// does, or by the longest time of its kind with a margin.
  bool willEndBy(Millis aUntil,
                 Millis aDeadline,
                 std::uint32_t aKind,
                 Millis aNow) const;

private:
  /// The longest time in the present period and in the one before it.
  struct Entry
  {
    Millis mPeriodStart;
    std::optional<Millis> mPresent;
    std::optional<Millis> mBefore;
  };

  static Entry advance(Entry aEntry, Millis aNow);
  std::uint32_t slotOf(std::uint32_t aKind) const;

  std::map<std::uint32_t, Entry> mEntries;
};

}

#endif
