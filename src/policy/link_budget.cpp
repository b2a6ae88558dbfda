#include "radishroad/policy/link_budget.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Assumed until a response of the kind has been seen.
constexpr double kDefaultBytes = 64U << 10;
/// Weight of the newest response in the usual size.
constexpr double kSizeWeight = 0.2;
/// Bounds the memory for usual sizes.
constexpr std::size_t kMaxKinds = 256;
/// Backlog up to which a large run is started. Small responses wait for it at
/// most, and their objective is 200 ms.
constexpr double kBacklogMs = 40;
/// Run times above this do not raise the bytes that may be on their way, as all
/// responses of a slow phase may arrive at once.
constexpr double kMaxRunMs = 400;
/// A large response should be through this long before its objective, since it
/// also passes the link of the caller's VM.
constexpr Millis kObjectiveMargin{ 100 };
/// Added for a request that was not accepted before: small responses and slower
/// runs delay it while it is held, and it should not be refused then.
constexpr Millis kNewMargin{ 150 };
constexpr Millis kMinRetryAfter{ 100 };
/// The latest room that is promised to a refused caller. Callers beyond it
/// start again at the earliest room.
constexpr Millis kMaxRetryAfter{ 2000 };
/// The link limits the sending if its local queues hold more than this long.
constexpr double kCongestedMs = 60;
/// Shortest period from which the rate is learned.
constexpr Millis kLearnTime{ 250 };
constexpr double kRateWeight = 0.8;
/// With a longer gap it is not known that the queues were never short.
constexpr double kMaxObservationGapMs = 100;
/// The learned rate stays above this part of the configured one, since readers
/// that have stopped also leave bytes in the queues.
constexpr double kMinRatePart = 0.125;
/// Growth of the learned rate by second while the queues are short.
constexpr double kRecoveryPerSecond = 0.03;

}

LinkBudget::LinkBudget(double aBytesPerSecond)
  : mConfigured(aBytesPerSecond)
  , mRate(aBytesPerSecond)
{
}

Millis
LinkBudget::transferTime(double aBytes) const
{
  return Millis{ static_cast<std::int64_t>(aBytes * kMillisPerSecond / mRate) };
}

double
LinkBudget::usualBytes(std::uint32_t aKind) const
{
  const auto it = mUsualBytes.find(aKind);
  return it == mUsualBytes.end() ? kDefaultBytes : it->second;
}

void
LinkBudget::drain(Millis aNow)
{
  if (aNow <= mDrainedAt) {
    return;
  }
  const double drained =
    mRate * static_cast<double>((aNow - mDrainedAt).mCount) / kMillisPerSecond;
  mBacklog = std::max(0.0, mBacklog - drained);
  mPaced = std::max(0.0, mPaced - drained);
  mDrainedAt = aNow;
}

double
LinkBudget::backlogBytes(Millis aNow)
{
  drain(aNow);
  return mBacklog;
}

LinkBudget::Forecast
LinkBudget::forecast(double aBytes, double aAhead, Millis aRunTime) const
{
  const double bytesPerMs = mRate / kMillisPerSecond;
  const double runMs = static_cast<double>(aRunTime.mCount);
  const double committed = mBacklog + mReserved + aAhead;
  const double most = bytesPerMs * (std::min(runMs, kMaxRunMs) + kBacklogMs);
  const double excess =
    std::max(committed - most, mPaced + aAhead - bytesPerMs * kBacklogMs);
  const double waitMs = std::max(0.0, excess / bytesPerMs);
  const double sendAtMs = std::max(waitMs + runMs, committed / bytesPerMs);
  return { Millis{ static_cast<std::int64_t>(waitMs) },
           Millis{ static_cast<std::int64_t>(sendAtMs) } +
             transferTime(aBytes) };
}

std::vector<LinkBudget::Verdict>
LinkBudget::plan(std::span<const Entry> aEntries, Millis aNow)
{
  using Action = Verdict::Action;
  drain(aNow);
  std::vector<Verdict> verdicts;
  double ahead = 0;
  double started = 0;
  for (const Entry& entry : aEntries) {
    const double bytes = usualBytes(entry.mKind);
    const Forecast expected = forecast(bytes, ahead, entry.mRunTime);
    const Millis margin =
      kObjectiveMargin + (entry.mIsAccepted ? Millis{} : kNewMargin);
    const Millis shortfall =
      aNow + expected.mThrough + margin - entry.mObjectiveAt;
    Verdict verdict;
    verdict.mThrough = expected.mThrough;
    // Without a wait the link is not the cause, if the request is late.
    if (expected.mWait > Millis{} && shortfall > Millis{}) {
      verdict.mAction = Action::Refuse;
      verdict.mRetryAfter = retryAfter(bytes, shortfall, aNow);
    } else {
      verdict.mAction =
        expected.mWait > Millis{} ? Action::Hold : Action::Start;
      ahead += bytes;
      started += verdict.mAction == Action::Start ? bytes : 0;
    }
    verdicts.push_back(verdict);
  }
  mHeld = ahead - started;
  return verdicts;
}

Millis
LinkBudget::retryAfter(double aBytes, Millis aShortfall, Millis aNow)
{
  // Each refused caller is given its own part of the link's time.
  const Millis earliest = aNow + std::max(kMinRetryAfter, aShortfall);
  mRetryUntil = std::max(mRetryUntil, earliest) + transferTime(aBytes);
  if (mRetryUntil > aNow + kMaxRetryAfter) {
    mRetryUntil = earliest;
  }
  return std::min(mRetryUntil - aNow, kMaxRetryAfter);
}

Millis
LinkBudget::largeWait(Millis aNow)
{
  if (!isEnabled() || !mHasLarge) {
    return {};
  }
  drain(aNow);
  return forecast(usualBytes(mLastLarge.mKind), mHeld, mLastLarge.mRunTime)
    .mThrough;
}

void
LinkBudget::onStart(std::uint64_t aRun, const Entry& aEntry, Millis aNow)
{
  if (!isEnabled()) {
    return;
  }
  drain(aNow);
  const double bytes = usualBytes(aEntry.mKind);
  takeReservation(aRun);
  mRuns[aRun] = { aEntry.mKind, bytes };
  mReserved += bytes;
  mPaced += bytes;
  mLastLarge = aEntry;
  mHasLarge = true;
}

double
LinkBudget::takeReservation(std::uint64_t aRun)
{
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end()) {
    return 0;
  }
  const double bytes = it->second.mBytes;
  mRuns.erase(it);
  mReserved = mRuns.empty() ? 0 : std::max(0.0, mReserved - bytes);
  return bytes;
}

void
LinkBudget::onLost(std::uint64_t aRun, Millis aNow)
{
  drain(aNow);
  mPaced = std::max(0.0, mPaced - takeReservation(aRun));
}

void
LinkBudget::onResponse(std::uint64_t aRun,
                       std::size_t aBytes,
                       bool aIsUsual,
                       Millis aNow)
{
  if (!isEnabled()) {
    return;
  }
  drain(aNow);
  const auto it = mRuns.find(aRun);
  const auto bytes = static_cast<double>(aBytes);
  if (it != mRuns.end() && aIsUsual) {
    const auto known = mUsualBytes.find(it->second.mKind);
    if (known != mUsualBytes.end()) {
      known->second += kSizeWeight * (bytes - known->second);
    } else if (mUsualBytes.size() < kMaxKinds) {
      mUsualBytes[it->second.mKind] = bytes;
    }
  }
  mPaced = std::max(0.0, mPaced + bytes - takeReservation(aRun));
  mBacklog += bytes;
}

void
LinkBudget::onSent(std::size_t aBytes, Millis aNow)
{
  if (!isEnabled()) {
    return;
  }
  drain(aNow);
  mPaced += static_cast<double>(aBytes);
  mBacklog += static_cast<double>(aBytes);
}

void
LinkBudget::onObserved(std::uint64_t aQueuedTotal,
                       std::uint64_t aWrittenTotal,
                       Millis aNow)
{
  if (!isEnabled()) {
    return;
  }
  drain(aNow);
  const auto unsent =
    static_cast<double>(aQueuedTotal - std::min(aQueuedTotal, aWrittenTotal));
  mBacklog = std::max(mBacklog, unsent);
  const double elapsed = static_cast<double>((aNow - mObservedAt).mCount);
  mObservedAt = aNow;
  if (unsent <= mRate * kCongestedMs / kMillisPerSecond) {
    mCongested = false;
    const double growth = kRecoveryPerSecond * mConfigured * elapsed;
    mRate = std::min(mConfigured, mRate + growth / kMillisPerSecond);
    return;
  }
  if (!mCongested || elapsed > kMaxObservationGapMs) {
    mCongested = true;
    mCongestedSince = aNow;
    mWrittenBefore = aWrittenTotal;
    return;
  }
  const Millis period = aNow - mCongestedSince;
  if (period < kLearnTime) {
    return;
  }
  const double seen = static_cast<double>(aWrittenTotal - mWrittenBefore) *
                      kMillisPerSecond / static_cast<double>(period.mCount);
  mRate = std::clamp(mRate + kRateWeight * (seen - mRate),
                     mConfigured * kMinRatePart,
                     mConfigured);
  mCongestedSince = aNow;
  mWrittenBefore = aWrittenTotal;
}

}
