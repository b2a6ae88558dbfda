#include "support/hold_journal.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace radishroad::test {

namespace {

constexpr std::size_t kMaxDescribed = 5;

HoldJournal::Hold*
findCurrent(std::vector<HoldJournal::Hold>& aHolds,
            const std::string& aVm,
            Millis aNow)
{
  const auto it =
    std::ranges::find_if(aHolds, [&](const HoldJournal::Hold& aHold) {
      return aHold.mVm == aVm && aHold.mTo > aNow;
    });
  return it == aHolds.end() ? nullptr : &*it;
}

}

std::string
HoldJournal::Hold::describe(Millis aStart) const
{
  return mVm + " holds " + std::to_string(mFirstKey) + " with epoch " +
         std::to_string(mEpoch) + " from " +
         std::to_string((mFrom - aStart).mCount) + " to " +
         std::to_string((mTo - aStart).mCount);
}

void
HoldJournal::onGranted(const std::string& aVm,
                       std::uint32_t aFirst,
                       std::uint32_t aLast,
                       std::uint64_t aEpoch,
                       Millis aUntil)
{
  const Millis now = monotonicNow();
  const std::lock_guard<std::mutex> lock(mMutex);
  for (std::uint32_t run = aFirst / kRunKeys; run <= aLast / kRunKeys; ++run) {
    std::vector<Hold>& holds = mHolds[run];
    Hold* current = findCurrent(holds, aVm, now);
    if (current != nullptr && current->mEpoch == aEpoch) {
      current->mTo = std::max(current->mTo, aUntil);
      continue;
    }
    if (current != nullptr) {
      current->mTo = now;
    }
    holds.push_back({ aVm, run * kRunKeys, aEpoch, now, aUntil });
  }
}

void
HoldJournal::onReleased(const std::string& aVm,
                        std::uint32_t aFirst,
                        std::uint32_t aLast)
{
  const Millis now = monotonicNow();
  const std::lock_guard<std::mutex> lock(mMutex);
  for (std::uint32_t run = aFirst / kRunKeys; run <= aLast / kRunKeys; ++run) {
    if (Hold* current = findCurrent(mHolds[run], aVm, now)) {
      current->mTo = now;
    }
  }
}

void
HoldJournal::onEnded(const std::string& aVm)
{
  onReleased(aVm, 0, kRuns * kRunKeys - 1);
}

std::vector<HoldJournal::Hold>
HoldJournal::holds(std::uint32_t aFirstKey) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mHolds.find(aFirstKey / kRunKeys);
  return it == mHolds.end() ? std::vector<Hold>() : it->second;
}

std::size_t
HoldJournal::heldRuns(const std::string& aVm) const
{
  const Millis now = monotonicNow();
  const std::lock_guard<std::mutex> lock(mMutex);
  return std::ranges::count_if(mHolds, [&](const auto& aEntry) {
    return std::ranges::any_of(aEntry.second, [&](const Hold& aHold) {
      return (aVm.empty() || aHold.mVm == aVm) && aHold.mTo > now;
    });
  });
}

std::vector<HoldJournal::Pair>
HoldJournal::findPairs(
  const std::function<bool(const Hold&, const Hold&)>& aIsPair) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Pair> found;
  for (const auto& [run, holds] : mHolds) {
    for (auto later = holds.begin(); later != holds.end(); ++later) {
      for (auto earlier = holds.begin(); earlier != later; ++earlier) {
        if (earlier->mVm != later->mVm && aIsPair(*earlier, *later)) {
          found.emplace_back(*earlier, *later);
        }
      }
    }
  }
  return found;
}

std::vector<HoldJournal::Pair>
HoldJournal::overlaps() const
{
  return findPairs([](const Hold& aEarlier, const Hold& aLater) {
    return aEarlier.mTo > aLater.mFrom && aLater.mTo > aLater.mFrom;
  });
}

std::vector<HoldJournal::Pair>
HoldJournal::repeatedEpochs() const
{
  return findPairs([](const Hold& aEarlier, const Hold& aLater) {
    return aLater.mEpoch <= aEarlier.mEpoch;
  });
}

void
HoldJournal::check(Millis aStart) const
{
  const auto report = [aStart](const char* aWhat,
                               const std::vector<Pair>& aPairs) {
    for (std::size_t n = 0; n < std::min(kMaxDescribed, aPairs.size()); ++n) {
      BOOST_TEST_MESSAGE(aWhat << ": " << aPairs[n].first.describe(aStart)
                               << "; " << aPairs[n].second.describe(aStart));
    }
    BOOST_TEST(aPairs.empty(), aWhat << ": " << aPairs.size() << " times");
  };
  report("two holders", overlaps());
  report("an epoch twice", repeatedEpochs());
}

}
