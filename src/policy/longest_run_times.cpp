#include "radishroad/policy/longest_run_times.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr Millis kPeriod{ 30000 };
/// Kinds with an entry of their own; all others share one.
constexpr std::size_t kMaxKinds = 256;
constexpr std::uint32_t kSharedKind = 0;
/// Margin over the longest time, as a fraction and for short runs.
constexpr std::int64_t kMarginDivisor = 4;
constexpr Millis kMinMargin{ 100 };

}

LongestRunTimes::Entry
LongestRunTimes::advance(Entry aEntry, Millis aNow)
{
  const Millis age = aNow - aEntry.mPeriodStart;
  if (age < kPeriod) {
    return aEntry;
  }
  return { aNow, {}, age < kPeriod * 2 ? aEntry.mPresent : std::nullopt };
}

std::uint32_t
LongestRunTimes::slotOf(std::uint32_t aKind) const
{
  const bool hasOwn = mEntries.contains(aKind) || mEntries.size() < kMaxKinds;
  return hasOwn ? aKind : kSharedKind;
}

void
LongestRunTimes::add(std::uint32_t aKind, Millis aTook, Millis aNow)
{
  Entry& entry = mEntries[slotOf(aKind)];
  entry = advance(entry, aNow);
  entry.mPresent = std::max(entry.mPresent.value_or(aTook), aTook);
}

std::optional<Millis>
LongestRunTimes::longest(std::uint32_t aKind, Millis aNow) const
{
  const auto it = mEntries.find(slotOf(aKind));
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  const Entry entry = advance(it->second, aNow);
  return std::max(entry.mPresent, entry.mBefore);
}

bool
LongestRunTimes::willEndBy(Millis aUntil,
                           Millis aDeadline,
                           std::uint32_t aKind,
                           Millis aNow) const
{
  if (aDeadline <= aUntil) {
    return true;
  }
  const std::optional<Millis> took = longest(aKind, aNow);
  return took &&
         aNow + *took + std::max(*took / kMarginDivisor, kMinMargin) <= aUntil;
}

}
