#include "radishroad/policy/room_allocator.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace radishroad {

namespace {

/// Shares are counted over 16 buckets, that is 4 s: longer than the run of the
/// slowest kind, shorter than a usual overload.
constexpr Millis kBucketTime{ 250 };
/// A kind that is served at least this share has its room. Less urgent kinds
/// yield to one that has not, long before their shares differ by the 5 in 100
/// that callers accept.
constexpr double kMetShare = 0.98;
constexpr double kMaxShareGap = 0.05;
/// Part of the mean served share below which no kind may fall: a quarter, and
/// something for the requests under way.
constexpr double kFloorOfMean = 0.3;
/// Fewer offers tell nothing about the share of a kind.
constexpr std::uint32_t kMinOffers = 4;
/// Part of the time to its latest start in time that a new request may be
/// expected to wait. The rest is for more urgent requests that go before it.
constexpr double kWaitPart = 0.6;
/// With so many slots, a kind that must yield leaves one free for the more
/// urgent kind, which would otherwise wait for the end of a run.
constexpr std::uint32_t kMinSlotsForSpare = 4;
/// Limit of the load of more urgent kinds by which a wait is extended.
constexpr double kMaxLoadBefore = 0.9;
/// Used until the first run has ended.
constexpr double kUnknownRunMs = 30;
/// Share of requests from the own service below which a kind consists of calls
/// of active runs, the requests that this is based on, and their age. With 5 of
/// 76 VMs, 7 of 100 requests of outer callers enter at the own service.
constexpr double kMaxOwnShare = 0.01;
constexpr double kMinOriginRequests = 100;
constexpr double kOriginMs = 30000;
constexpr std::size_t kMaxKinds = 64;

/// Calls of active runs go first, then kinds below the floor.
constexpr unsigned kCallUrgency = 0;
constexpr unsigned kFloorUrgency = 1;

ReturnSchedule::Caller
callerOf(const RoomRequest& aRequest)
{
  return { aRequest.mRequestHash, aRequest.mWorkspaceHash, aRequest.mKind };
}

double
shareOf(const RoomAllocator::Recent& aCounts)
{
  return aCounts.mOffered < kMinOffers
           ? 1
           : std::max(0.0,
                      1 - static_cast<double>(aCounts.mRefused) /
                            aCounts.mOffered);
}

double
runMsOf(const RoomRequest& aRequest, const UpstreamStats& aStats)
{
  const Millis run = runTime(aRequest.mEntry, aStats);
  return run > Millis{} ? static_cast<double>(run.mCount) : kUnknownRunMs;
}

Millis
startBeforeDeadline(const RoomRequest& aRequest, const UpstreamStats& aStats)
{
  return aRequest.mEntry.mDeadline -
         Millis{ static_cast<std::int64_t>(runMsOf(aRequest, aStats)) };
}

/// Latest start that meets the objective.
Millis
startInTime(const RoomRequest& aRequest, const UpstreamStats& aStats)
{
  const Millis late = aRequest.mEntry.mDeadline - aRequest.mEntry.mObjectiveAt;
  return startBeforeDeadline(aRequest, aStats) - std::max(Millis{}, late);
}

}

bool
RoomAllocator::isCallOfRun(const RoomRequest& aRequest) const
{
  if (!aRequest.mIsFromOtherService) {
    return false;
  }
  const auto it = mOrigins.find(aRequest.mKind);
  return it != mOrigins.end() && it->second.mAll >= kMinOriginRequests &&
         it->second.mOwnService < it->second.mAll * kMaxOwnShare;
}

unsigned
RoomAllocator::urgencyOf(const RoomRequest& aRequest) const
{
  return isCallOfRun(aRequest)
           ? kCallUrgency
           : aRequest.mEntry.mPriorityRank + kFloorUrgency + 1;
}

RoomAllocator::KindKey
RoomAllocator::keyOf(const RoomRequest& aRequest) const
{
  return { aRequest.mKind, urgencyOf(aRequest) };
}

RoomAllocator::KindState&
RoomAllocator::stateOf(const RoomRequest& aRequest, Millis aNow)
{
  const KindKey key = keyOf(aRequest);
  if (!mKinds.contains(key) && mKinds.size() >= kMaxKinds) {
    mKinds.erase(std::ranges::min_element(
      mKinds, {}, [](const auto& aEntry) { return aEntry.second.mLastOffer; }));
  }
  KindState& state = mKinds[key];
  state.mUrgency = key.second;
  state.mLastOffer = aNow;
  return state;
}

RoomAllocator::Recent
RoomAllocator::sum(const KindState& aState, Millis aNow)
{
  const std::int64_t oldest =
    aNow.mCount / kBucketTime.mCount - static_cast<std::int64_t>(kBuckets);
  Recent total;
  for (const Bucket& bucket : aState.mBuckets) {
    if (bucket.mNumber > oldest) {
      total.mOffered += bucket.mCounts.mOffered;
      total.mServed += bucket.mCounts.mServed;
      total.mRefused += bucket.mCounts.mRefused;
    }
  }
  return total;
}

RoomAllocator::Recent&
RoomAllocator::countsAt(KindState& aState, Millis aNow)
{
  const std::int64_t number = aNow.mCount / kBucketTime.mCount;
  Bucket& bucket =
    aState.mBuckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.mNumber != number) {
    bucket = { number, {} };
  }
  return bucket.mCounts;
}

RoomAllocator::Recent
RoomAllocator::recent(const RoomRequest& aRequest, Millis aNow) const
{
  const auto it = mKinds.find(keyOf(aRequest));
  return it == mKinds.end() ? Recent{} : sum(it->second, aNow);
}

void
RoomAllocator::recordOrigin(const RoomRequest& aRequest, Millis aNow)
{
  if (!mOrigins.contains(aRequest.mKind) && mOrigins.size() >= kMaxKinds) {
    mOrigins.erase(std::ranges::min_element(
      mOrigins, {}, [](const auto& aEntry) { return aEntry.second.mAt; }));
  }
  Origin& origin = mOrigins[aRequest.mKind];
  const double age = static_cast<double>((aNow - origin.mAt).mCount);
  const double kept = std::exp(-std::max(0.0, age) / kOriginMs);
  origin.mAll = origin.mAll * kept + 1;
  origin.mOwnService =
    origin.mOwnService * kept + (aRequest.mIsFromOtherService ? 0 : 1);
  origin.mAt = aNow;
}

RoomAllocator::Standing
RoomAllocator::standingOf(const RoomRequest& aRequest, Millis aNow) const
{
  const unsigned urgency = urgencyOf(aRequest);
  const Recent own = recent(aRequest, aNow);
  const double share = shareOf(own);
  Standing standing;
  double shares = 0;
  double kinds = 0;
  Recent all;
  for (const auto& [key, state] : mKinds) {
    const Recent counts = sum(state, aNow);
    if (counts.mOffered < kMinOffers) {
      continue;
    }
    const double other = shareOf(counts);
    shares += other;
    ++kinds;
    all.mOffered += counts.mOffered;
    all.mRefused += counts.mRefused;
    const bool lacksRoom = state.mUrgency < urgency && other < kMetShare;
    const bool isBehind =
      state.mUrgency == urgency && share > other + kMaxShareGap;
    standing.mMustYield = standing.mMustYield || lacksRoom || isBehind;
  }
  const double mean = kinds > 0 ? std::max(shares / kinds, shareOf(all)) : 1;
  // Includes the request, which must be admitted if its refusal would bring the
  // kind below the floor.
  const double shareIfRefused =
    1 - (own.mRefused + 1.0) / std::max(1U, own.mOffered);
  standing.mIsBelowFloor =
    own.mOffered >= kMinOffers && shareIfRefused < kFloorOfMean * mean;
  return standing;
}

void
RoomAllocator::keepOnly(std::span<const RoomRequest> aWaiting,
                        const UpstreamStats& aStats)
{
  std::unordered_map<std::uint64_t, const RoomRequest*> waiting;
  for (const RoomRequest& request : aWaiting) {
    waiting.emplace(request.mQueueId, &request);
  }
  std::erase_if(mAdmitted, [&waiting](const Admitted& aAdmitted) {
    return waiting.erase(aAdmitted.mQueueId) == 0;
  });
  // Requests that have returned to the queue were admitted before.
  for (const auto& [id, request] : waiting) {
    if (id <= mLastQueueId) {
      mAdmitted.insert(mAdmitted.begin(),
                       { id,
                         urgencyOf(*request),
                         startInTime(*request, aStats),
                         startBeforeDeadline(*request, aStats),
                         runMsOf(*request, aStats) });
    }
  }
}

Millis
RoomAllocator::waitBehind(std::size_t aCount,
                          std::size_t aReserved,
                          const UpstreamStats& aStats) const
{
  UpstreamStats stats = aStats;
  const double mean = aStats.mRunMs > 0 ? aStats.mRunMs : kUnknownRunMs;
  double work = mean * static_cast<double>(aStats.mRunning + aReserved);
  for (const Admitted& admitted : std::span(mAdmitted).first(aCount)) {
    work += admitted.mRunMs;
  }
  const auto ahead = static_cast<double>(aStats.mRunning + aReserved + aCount);
  stats.mRunMs = ahead > 0 ? work / ahead : mean;
  return expectedWait(stats, aCount + aReserved);
}

double
RoomAllocator::loadBefore(unsigned aUrgency,
                          const UpstreamStats& aStats,
                          Millis aNow) const
{
  double runMs = 0;
  for (const auto& [key, state] : mKinds) {
    if (state.mUrgency < aUrgency) {
      const Recent counts = sum(state, aNow);
      const std::uint32_t refused = std::min(counts.mRefused, counts.mOffered);
      runMs += state.mRunMs * (counts.mOffered - refused);
    }
  }
  const double most = static_cast<double>(kBucketTime.mCount) * kBuckets *
                      std::max(1U, aStats.mSlots);
  return std::min(kMaxLoadBefore, runMs / most);
}

bool
RoomAllocator::tryAdmit(const RoomRequest& aRequest,
                        const Arrival& aArrival,
                        const UpstreamStats& aStats,
                        Millis aNow)
{
  const bool repeats = aArrival.mIsRepeat;
  ++mTotals[aRequest.mEntry.mPriorityRank].mOffered;
  if (!repeats) {
    // Repeats would lower the share of their kind, for which others yield.
    KindState& state = stateOf(aRequest, aNow);
    ++countsAt(state, aNow).mOffered;
    state.mRunMs = runMsOf(aRequest, aStats);
  }
  const unsigned urgency = urgencyOf(aRequest);
  const double runMs = runMsOf(aRequest, aStats);
  const Admitted admitted{ aRequest.mQueueId,
                           urgency,
                           startInTime(aRequest, aStats),
                           startBeforeDeadline(aRequest, aStats),
                           runMs };
  const Millis inTime = startInTime(aRequest, aStats);
  const std::size_t reserved = repeats || aArrival.mMayBeRepeat
                                 ? mReturns.countUntil(aNow, inTime, urgency)
                                 : 0;
  const Standing standing = standingOf(aRequest, aNow);
  const bool mustYield = standing.mMustYield && !standing.mIsBelowFloor;
  const std::size_t spare =
    mustYield && aStats.mSlots >= kMinSlotsForSpare ? 1 : 0;
  if (waitBehind(mAdmitted.size(), reserved + spare, aStats) <= Millis{}) {
    mAdmitted.push_back(admitted);
    return true;
  }
  if (repeats || mustYield) {
    // They may use only room that no one else waits for.
    return false;
  }
  const unsigned effective =
    standing.mIsBelowFloor ? std::min(urgency, kFloorUrgency) : urgency;
  auto at = std::ranges::find_if(mAdmitted, [&](const Admitted& aOther) {
    return aOther.mUrgency > effective;
  });
  // It goes behind requests that would otherwise start too late. Only calls of
  // runs and kinds below the floor may make others late.
  for (auto it = at; it != mAdmitted.end(); ++it) {
    const auto before = static_cast<std::size_t>(it - mAdmitted.begin());
    const Millis start = aNow + waitBehind(before, 1, aStats);
    if (start >
        (effective <= kFloorUrgency ? it->mLatestStart : it->mStartInTime)) {
      at = std::next(it);
    }
  }
  const auto position = static_cast<std::size_t>(at - mAdmitted.begin());
  const double patience =
    kWaitPart * static_cast<double>((inTime - aNow).mCount);
  // More urgent requests that arrive while it waits go before it.
  const double stretch = 1 / (1 - loadBefore(effective, aStats, aNow));
  const Millis wait = waitBehind(position, reserved, aStats);
  if (static_cast<double>(wait.mCount) * stretch > patience) {
    return false;
  }
  mAdmitted.insert(at,
                   { admitted.mQueueId,
                     effective,
                     admitted.mStartInTime,
                     admitted.mLatestStart,
                     admitted.mRunMs });
  return true;
}

RoomVerdict
RoomAllocator::refuse(const RoomRequest& aRequest,
                      const Arrival& aArrival,
                      const UpstreamStats& aStats,
                      Millis aNow)
{
  ++mTotals[aRequest.mEntry.mPriorityRank].mRefused;
  if (!aArrival.mIsRepeat) {
    ++countsAt(stateOf(aRequest, aNow), aNow).mRefused;
  }
  UpstreamStats stats = aStats;
  stats.mRunMs = aStats.mRunMs > 0 ? aStats.mRunMs : kUnknownRunMs;
  const Millis room = aNow + waitBehind(mAdmitted.size(), 0, aStats);
  const Millis at = mReturns.assignReturn(callerOf(aRequest),
                                          aArrival,
                                          urgencyOf(aRequest),
                                          { room, startsPerMs(stats) },
                                          aNow);
  return { true, at - aNow, 0 };
}

std::vector<RoomVerdict>
RoomAllocator::decide(std::span<const RoomRequest> aWaiting,
                      const UpstreamStats& aStats,
                      Millis aNow)
{
  mReturns.forgetPassed(aNow);
  keepOnly(aWaiting, aStats);
  std::vector<std::size_t> arrived;
  std::vector<RoomVerdict> verdicts(aWaiting.size());
  for (std::size_t n = 0; n < aWaiting.size(); ++n) {
    if (aWaiting[n].mQueueId > mLastQueueId) {
      arrived.push_back(n);
    } else if (aNow > startBeforeDeadline(aWaiting[n], aStats) &&
               aStats.mRunning >= aStats.mSlots) {
      // The upstream turned out slower than expected.
      std::erase_if(mAdmitted, [&](const Admitted& aAdmitted) {
        return aAdmitted.mQueueId == aWaiting[n].mQueueId;
      });
      verdicts[n] = refuse(aWaiting[n], {}, aStats, aNow);
    }
  }
  std::ranges::sort(arrived, {}, [&](std::size_t aIndex) {
    return std::pair(urgencyOf(aWaiting[aIndex]), aWaiting[aIndex].mQueueId);
  });
  for (const std::size_t n : arrived) {
    mLastQueueId = std::max(mLastQueueId, aWaiting[n].mQueueId);
    recordOrigin(aWaiting[n], aNow);
    const Arrival arrival = mReturns.onArrival(callerOf(aWaiting[n]), aNow);
    if (!tryAdmit(aWaiting[n], arrival, aStats, aNow)) {
      verdicts[n] = refuse(aWaiting[n], arrival, aStats, aNow);
    }
  }
  std::unordered_map<std::uint64_t, std::size_t> positions;
  for (std::size_t n = 0; n < mAdmitted.size(); ++n) {
    positions.emplace(mAdmitted[n].mQueueId, n);
  }
  for (std::size_t n = 0; n < aWaiting.size(); ++n) {
    if (!verdicts[n].mRefused) {
      verdicts[n].mPosition = positions.at(aWaiting[n].mQueueId);
    }
  }
  return verdicts;
}

void
RoomAllocator::onStarted(const RoomRequest& aRequest, Millis aNow)
{
  ++mTotals[aRequest.mEntry.mPriorityRank].mServed;
  ++countsAt(stateOf(aRequest, aNow), aNow).mServed;
}

}
