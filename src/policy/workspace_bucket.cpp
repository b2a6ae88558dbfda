#include "radishroad/policy/workspace_bucket.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Share of the burst that an owner does not grant, so that the next owner can
/// grant it while earlier batches are unexpired.
constexpr double kReservedShare = 0.25;
/// Smaller bursts cannot be split into whole tokens; a new owner then grants
/// nothing until old batches have expired.
constexpr double kMinSplittableBurst = 2.0;
constexpr Millis kMinTtl{ 50 };
/// The rates of two clocks differ by less than 1 / kClockDriftDivisor.
constexpr std::int64_t kClockDriftDivisor = 16;
constexpr Millis kOldBatchLifetime =
  kMaxTokenTtl + kMaxTokenTtl / kClockDriftDivisor;
/// An asker that has not asked for this long is dropped.
constexpr Millis kAskerRetention{ 60000 };
constexpr double kMillisPerSecond = 1000.0;
constexpr Millis kAskIntervalPerAsker{ 5 };
constexpr Millis kMaxAskInterval{ 500 };

}

WorkspaceBucket::WorkspaceBucket(double aRate, double aBurst, Millis aNow)
  : mRate(aRate)
  , mBurst(aBurst)
  , mStartedAt(aNow)
  , mAdvancedTo(aNow)
{
}

void
WorkspaceBucket::configure(double aRate, double aBurst, Millis aNow)
{
  advance(aNow);
  mRate = aRate;
  mBurst = aBurst;
  advance(aNow);
}

Millis
WorkspaceBucket::ttl() const
{
  if (mRate <= 0) {
    return kMaxTokenTtl;
  }
  // The tokens granted within one TTL at the full rate fit into the reserved
  // share.
  const double fittingMs = kReservedShare * mBurst / mRate * kMillisPerSecond;
  const auto count = static_cast<std::int64_t>(
    std::min(fittingMs, static_cast<double>(kMaxTokenTtl.mCount)));
  return std::max(kMinTtl, Millis{ count });
}

double
WorkspaceBucket::usableBurst(bool aOldBatchesGone) const
{
  if (aOldBatchesGone) {
    return mBurst;
  }
  return mBurst < kMinSplittableBurst ? 0 : mBurst * kReservedShare;
}

void
WorkspaceBucket::refillUntil(Millis aUntil)
{
  const Millis passed = std::max(Millis{ 0 }, aUntil - mAdvancedTo);
  const bool oldBatchesGone = mAdvancedTo >= mStartedAt + kOldBatchLifetime;
  mAdvancedTo = std::max(mAdvancedTo, aUntil);
  mLevel += mRate * static_cast<double>(passed.mCount) / kMillisPerSecond;
  const double room =
    usableBurst(oldBatchesGone) - static_cast<double>(mOutstanding);
  mLevel = std::clamp(mLevel, 0.0, std::max(0.0, room));
}

void
WorkspaceBucket::advance(Millis aNow)
{
  // Refill in steps: tokens that would have overflowed while a batch was
  // outstanding, or before the full burst was usable, must not be credited
  // later.
  const Millis fullBurstAt = mStartedAt + kOldBatchLifetime;
  while (!mBatches.empty() && mBatches.front().mExpiresAt <= aNow) {
    const Batch expired = mBatches.front();
    mBatches.pop_front();
    refillUntil(std::min(expired.mExpiresAt, fullBurstAt));
    refillUntil(expired.mExpiresAt);
    mOutstanding -= expired.mTokens;
  }
  refillUntil(std::min(aNow, fullBurstAt));
  refillUntil(aNow);
}

std::uint32_t
WorkspaceBucket::grantable() const
{
  const double grantableBurst = std::floor(mBurst * (1 - kReservedShare));
  const double maxOutstanding = std::max(std::min(1.0, mBurst), grantableBurst);
  const double room = maxOutstanding - static_cast<double>(mOutstanding);
  return static_cast<std::uint32_t>(std::max(0.0, std::min(mLevel, room)));
}

std::uint32_t
WorkspaceBucket::available(Millis aNow)
{
  advance(aNow);
  return grantable();
}

std::uint32_t
WorkspaceBucket::shareOf(const wire::TokenAskT& aAsk, Millis aNow)
{
  const Millis recent = aNow - ttl();
  std::uint64_t wanted = 0;
  for (const auto& [id, asker] : mAskers) {
    if (id != aAsk.asker && asker.mAskedAt >= recent) {
      wanted += asker.mWanted;
    }
  }
  wanted += aAsk.wanted;
  const std::uint64_t left = grantable();
  if (wanted <= left) {
    return aAsk.wanted;
  }
  // Share in proportion to what each daemon asks for; the last whole token goes
  // to the current asker.
  const std::uint64_t share =
    left * aAsk.wanted / std::max<std::uint64_t>(1, wanted);
  const std::uint64_t minShare = std::min<std::uint64_t>(left, 1);
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(std::max(share, minShare), aAsk.wanted));
}

Millis
WorkspaceBucket::nextAskDelay(Millis aNow) const
{
  if (mRate <= 0) {
    return kMaxTokenTtl;
  }
  const double missing = std::max(0.0, 1.0 - mLevel);
  const Millis refill{ static_cast<std::int64_t>(
    std::ceil(missing / mRate * kMillisPerSecond)) };
  Millis expiry{ 0 };
  if (mLevel >= 1.0 && !mBatches.empty()) {
    expiry = mBatches.front().mExpiresAt - aNow;
  }
  // The interval grows with the number of askers, so that the total rate of
  // asks stays bounded.
  const auto askers = static_cast<std::int64_t>(mAskers.size());
  const Millis askInterval =
    std::min(kMaxAskInterval, kAskIntervalPerAsker * askers);
  return std::max({ askInterval, refill, expiry });
}

wire::TokenGrantT
WorkspaceBucket::grant(const wire::TokenAskT& aAsk, Millis aNow)
{
  advance(aNow);
  std::erase_if(mAskers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mAskedAt > kAskerRetention;
  });
  Asker& asker = mAskers[aAsk.asker];
  if (asker.mLastGrant.sequence == aAsk.sequence && aAsk.sequence != 0) {
    return asker.mLastGrant;
  }
  wire::TokenGrantT grant;
  grant.workspace = aAsk.workspace;
  grant.sequence = aAsk.sequence;
  grant.ttl_ms = ttl().mCount;
  if (aAsk.sequence > asker.mLastGrant.sequence) {
    asker.mWanted = aAsk.wanted;
    asker.mAskedAt = aNow;
    grant.tokens = shareOf(aAsk, aNow);
  }
  if (grant.tokens > 0) {
    const Millis lifetime = ttl() + ttl() / kClockDriftDivisor;
    mLevel -= grant.tokens;
    mOutstanding += grant.tokens;
    mBatches.push_back({ grant.tokens, aNow + lifetime });
  }
  grant.next_ask_ms = nextAskDelay(aNow).mCount;
  if (aAsk.sequence > asker.mLastGrant.sequence) {
    asker.mLastGrant = grant;
  }
  return grant;
}

}
