#include "radishroad/policy/workspace_bucket.h"

#include <algorithm>
#include <cmath>

namespace radishroad {

namespace {

/// Part of the burst that unexpired batches leave to the next owner.
constexpr double kReservedPart = 0.25;
/// Bursts below this cannot be parted in whole tokens; a new owner waits until
/// old batches have expired instead.
constexpr double kSmallestPartedBurst = 2.0;
constexpr Millis kMinTtl{ 50 };
/// Two clocks differ by less than one part in so many.
constexpr std::int64_t kDriftPart = 16;
constexpr Millis kOldBatchesLive = kMaxTokenTtl + kMaxTokenTtl / kDriftPart;
/// An asker that has been silent for so long no longer counts.
constexpr Millis kAskerMemory{ 60000 };
constexpr double kMillisPerSecond = 1000.0;
constexpr Millis kAskPausePerAsker{ 5 };
constexpr Millis kMaxAskPause{ 500 };

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
  // What is granted within one TTL at the full rate fits the reserved part.
  const double fit = kReservedPart * mBurst / mRate * kMillisPerSecond;
  const auto count = static_cast<std::int64_t>(
    std::min(fit, static_cast<double>(kMaxTokenTtl.mCount)));
  return std::max(kMinTtl, Millis{ count });
}

double
WorkspaceBucket::usableBurst(bool aOldBatchesGone) const
{
  if (aOldBatchesGone) {
    return mBurst;
  }
  return mBurst < kSmallestPartedBurst ? 0 : mBurst * kReservedPart;
}

void
WorkspaceBucket::fill(Millis aUntil)
{
  const Millis passed = std::max(Millis{ 0 }, aUntil - mAdvancedTo);
  const bool oldBatchesGone = mAdvancedTo >= mStartedAt + kOldBatchesLive;
  mAdvancedTo = std::max(mAdvancedTo, aUntil);
  mLevel += mRate * static_cast<double>(passed.mCount) / kMillisPerSecond;
  const double room =
    usableBurst(oldBatchesGone) - static_cast<double>(mOutstanding);
  mLevel = std::clamp(mLevel, 0.0, std::max(0.0, room));
}

void
WorkspaceBucket::advance(Millis aNow)
{
  // Step by step: what would have flowed over while a batch lived, or while
  // the burst was not yet whole, must not be made up for afterwards.
  const Millis whole = mStartedAt + kOldBatchesLive;
  while (!mBatches.empty() && mBatches.front().mExpiresAt <= aNow) {
    const Batch expired = mBatches.front();
    mBatches.pop_front();
    fill(std::min(expired.mExpiresAt, whole));
    fill(expired.mExpiresAt);
    mOutstanding -= expired.mTokens;
  }
  fill(std::min(aNow, whole));
  fill(aNow);
}

std::uint32_t
WorkspaceBucket::grantable() const
{
  const double parted = std::floor(mBurst * (1 - kReservedPart));
  const double most = std::max(std::min(1.0, mBurst), parted);
  const double room = most - static_cast<double>(mOutstanding);
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
  // In proportion to what each asks for; the last whole token to whoever asks.
  const std::uint64_t share =
    left * aAsk.wanted / std::max<std::uint64_t>(1, wanted);
  const std::uint64_t least = std::min<std::uint64_t>(left, 1);
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(std::max(share, least), aAsk.wanted));
}

Millis
WorkspaceBucket::nextToken(Millis aNow) const
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
  // However many daemons ask, the owner is asked so often in all.
  const auto askers = static_cast<std::int64_t>(mAskers.size());
  const Millis pause = std::min(kMaxAskPause, kAskPausePerAsker * askers);
  return std::max({ pause, refill, expiry });
}

wire::TokenGrantT
WorkspaceBucket::grant(const wire::TokenAskT& aAsk, Millis aNow)
{
  advance(aNow);
  std::erase_if(mAskers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mAskedAt > kAskerMemory;
  });
  Asker& asker = mAskers[aAsk.asker];
  if (asker.mLast.sequence == aAsk.sequence && aAsk.sequence != 0) {
    return asker.mLast;
  }
  wire::TokenGrantT grant;
  grant.workspace = aAsk.workspace;
  grant.sequence = aAsk.sequence;
  grant.ttl_ms = ttl().mCount;
  if (aAsk.sequence > asker.mLast.sequence) {
    asker.mWanted = aAsk.wanted;
    asker.mAskedAt = aNow;
    grant.tokens = shareOf(aAsk, aNow);
  }
  if (grant.tokens > 0) {
    const Millis live = ttl() + ttl() / kDriftPart;
    mLevel -= grant.tokens;
    mOutstanding += grant.tokens;
    mBatches.push_back({ grant.tokens, aNow + live });
  }
  grant.next_ask_ms = nextToken(aNow).mCount;
  if (aAsk.sequence > asker.mLast.sequence) {
    asker.mLast = grant;
  }
  return grant;
}

}
