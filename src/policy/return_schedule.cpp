#include "radishroad/policy/return_schedule.h"

#include "radishroad/base/hash.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

constexpr double kMinArrivals = 4;
constexpr std::size_t kMaxArrivals = 1024;
constexpr std::size_t kMaxTold = 4096;
/// Arrivals of a workspace are compared with its usual rate over this time.
constexpr Millis kArrivalTime{ 250 };
constexpr double kUsualRateSmoothing = 0.1;
constexpr double kBurstFactor = 2;
/// Bounds of the time after which a refused caller may return. The upper one is
/// the deadline of the quote history, the longest of the known kinds; a later
/// return is of no use to any.
constexpr Millis kMinReturn{ 100 };
constexpr Millis kMaxReturn{ 6000 };
/// Time between two returns, in multiples of the time between two starts: half
/// of the room is left for new requests.
constexpr double kReturnInterval = 2;
/// Clocks and links may bring a caller back so much early.
constexpr Millis kReturnSlack{ 20 };
constexpr std::uint64_t kSpreadSteps = 1024;

}

ReturnSchedule::Arrival
ReturnSchedule::onArrival(const Caller& aCaller, Millis aNow)
{
  if (mArrivals.size() >= kMaxArrivals) {
    mArrivals.clear();
  }
  Arrivals& arrivals = mArrivals[{ aCaller.mWorkspaceHash, aCaller.mKind }];
  const Millis passed = aNow - arrivals.mFrom;
  if (passed >= kArrivalTime) {
    // What arrives while refused callers are due is not the usual rate.
    const bool isUsual = arrivals.mReturnUntil < arrivals.mFrom;
    const double rate = arrivals.mCount / static_cast<double>(passed.mCount);
    if (isUsual && arrivals.mFrom > Millis{}) {
      const double weight = arrivals.mUsualPerMs > 0 ? kUsualRateSmoothing : 1;
      arrivals.mUsualPerMs += weight * (rate - arrivals.mUsualPerMs);
    }
    arrivals.mFrom = aNow;
    arrivals.mCount = 0;
  }
  const auto assigned = std::ranges::find(
    mAssigned, aCaller.mRequestHash, &AssignedReturn::mRequestHash);
  if (assigned != mAssigned.end()) {
    const Millis at = assigned->mAt;
    mAssigned.erase(assigned);
    return { aNow + kReturnSlack < at, false, at };
  }
  ++arrivals.mCount;
  const double most =
    std::max<double>(kMinArrivals,
                     arrivals.mUsualPerMs * kBurstFactor *
                       static_cast<double>(kArrivalTime.mCount));
  const bool isUnusual = aNow < arrivals.mReturnUntil &&
                         arrivals.mUsualPerMs > 0 && arrivals.mCount > most;
  return { false, isUnusual, std::nullopt };
}

void
ReturnSchedule::forgetPassed(Millis aNow)
{
  std::erase_if(mAssigned, [aNow](const AssignedReturn& aReturn) {
    return aReturn.mAt + kArrivalTime < aNow;
  });
}

std::size_t
ReturnSchedule::countUntil(Millis aNow, Millis aUntil, unsigned aUrgency) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mAssigned, [=](const AssignedReturn& aReturn) {
      return aReturn.mAt >= aNow && aReturn.mAt <= aUntil &&
             aReturn.mUrgency <= aUrgency;
    }));
}

Millis
ReturnSchedule::nextTime(const Caller& aCaller, const Room& aRoom, Millis aNow)
{
  const Millis interval{ static_cast<std::int64_t>(
    std::ceil(kReturnInterval / aRoom.mStartsPerMs)) };
  const Millis next =
    std::max({ aNow + kMinReturn, aRoom.mAt, mLast + interval });
  const Millis latest = aNow + kMaxReturn;
  if (next <= latest) {
    mLast = next;
    return next;
  }
  // The schedule is full. The rest is spread over its second half.
  const auto step = static_cast<std::int64_t>(
    hashPair(aCaller.mRequestHash, static_cast<std::uint64_t>(aNow.mCount)) %
    kSpreadSteps);
  return latest - kMaxReturn / 2 * step / kSpreadSteps;
}

Millis
ReturnSchedule::assignReturn(const Caller& aCaller,
                             const Arrival& aArrival,
                             unsigned aUrgency,
                             const Room& aRoom,
                             Millis aNow)
{
  const Millis at = aArrival.mIsRepeat && aArrival.mReturnAt
                      ? *aArrival.mReturnAt
                      : nextTime(aCaller, aRoom, aNow);
  if (mAssigned.size() >= kMaxTold) {
    mAssigned.erase(mAssigned.begin());
  }
  mAssigned.push_back({ aCaller.mRequestHash, at, aUrgency });
  Arrivals& arrivals = mArrivals[{ aCaller.mWorkspaceHash, aCaller.mKind }];
  arrivals.mReturnUntil = std::max(arrivals.mReturnUntil, at);
  return at;
}

}
