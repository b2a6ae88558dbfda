#include "radishroad/ownership/grant_keeper.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Grants are renewed this often within one hold time, so that one lost answer
/// does not let a hold run out.
constexpr std::int64_t kRenewPart = 3;
/// Pause before an order that failed is sent again.
constexpr Millis kRetryPause{ 100 };
/// Tokens that no grant has taken up for so long are of no use any more.
constexpr Millis kTokenMemory{ 20000 };

}

Millis
GrantKeeper::longestHold(Millis aHoldTime)
{
  return aHoldTime + aHoldTime / kSlowClockPart + kTravelTime + kEndMargin;
}

template<typename Visit>
void
GrantKeeper::forRuns(const KeyRange& aKeys, Visit aVisit)
{
  for (std::uint32_t run = aKeys.mFirst / kRunKeys;
       run <= aKeys.mLast / kRunKeys;
       ++run) {
    aVisit(mRuns.at(run));
  }
}

void
GrantKeeper::setHoldings(std::span<const Holding> aHoldings)
{
  std::array<Epoch, kShardCount> wanted{};
  for (const Holding& holding : aHoldings) {
    wanted.at(holding.mShard) = holding.mEpoch;
  }
  for (std::uint32_t n = 0; n < kRunCount; ++n) {
    Run& run = mRuns[n];
    const Epoch epoch = wanted[shardOfRun(n)];
    if (run.mWanted != epoch) {
      run.mWanted = epoch;
      run.mNextOrder = {};
    }
  }
}

void
GrantKeeper::assumeHeld(Millis aNow)
{
  for (Run& run : mRuns) {
    run.mDoubtUntil = aNow + longestHold(mHoldTime);
    run.mMayBeHeldUntil = run.mDoubtUntil;
  }
}

void
GrantKeeper::onHandover(Shard aShard,
                        Epoch aEpoch,
                        std::span<const std::string> aTokens,
                        Millis aNow)
{
  if (aShard < kShardCount && aTokens.size() == kRunsPerShard) {
    mTokens[aShard] = { aEpoch, { aTokens.begin(), aTokens.end() }, aNow };
  }
}

std::string
GrantKeeper::tokenOf(std::uint32_t aRun, Millis aNow) const
{
  const auto it = mTokens.find(shardOfRun(aRun));
  if (it == mTokens.end() || it->second.mEpoch >= mRuns.at(aRun).mWanted ||
      aNow - it->second.mAt > kTokenMemory) {
    return {};
  }
  return it->second.mTokens.at(aRun / kShardCount);
}

bool
GrantKeeper::isDue(const Run& aRun, Millis aNow) const
{
  return aRun.mWanted != 0 && !aRun.mUnderWay && aNow >= aRun.mNextOrder;
}

std::vector<GrantOrder>
GrantKeeper::due(std::size_t aMost, Millis aNow)
{
  std::vector<GrantOrder> orders;
  std::uint32_t lastRun = kRunCount;
  for (std::uint32_t n = 0; n < kRunCount; ++n) {
    Run& run = mRuns[n];
    if (!isDue(run, aNow)) {
      continue;
    }
    const std::string token =
      run.mGranted == run.mWanted ? std::string() : tokenOf(n, aNow);
    const bool joins = !orders.empty() && lastRun + 1 == n && token.empty() &&
                       orders.back().mHandover.empty() &&
                       orders.back().mEpoch == run.mWanted;
    if (!joins && orders.size() == aMost) {
      break;
    }
    if (joins) {
      orders.back().mKeys.mLast = rangeOfRun(n).mLast;
    } else {
      orders.push_back({ rangeOfRun(n), run.mWanted, mHoldTime, token });
    }
    lastRun = n;
    run.mUnderWay = true;
    run.mMayBeHeldUntil =
      std::max(run.mMayBeHeldUntil, aNow + longestHold(mHoldTime));
  }
  return orders;
}

void
GrantKeeper::onGranted(const GrantOrder& aOrder, Millis aSentAt, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mGranted = aOrder.mEpoch;
    // The hold began at the earliest as the order was sent.
    aRun.mHeldUntil = aSentAt + aOrder.mHoldTime;
    aRun.mMayBeHeldUntil =
      std::max(aRun.mMayBeHeldUntil, aNow + longestHold(aOrder.mHoldTime));
    aRun.mNextOrder = aSentAt + aOrder.mHoldTime / kRenewPart;
    if (aRun.mWanted != aOrder.mEpoch) {
      aRun.mNextOrder = aNow;
    }
  });
}

void
GrantKeeper::onRefused(const GrantOrder& aOrder, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mHeldUntil = {};
    aRun.mNextOrder = aNow + kRetryPause;
  });
}

void
GrantKeeper::onUnanswered(const GrantOrder& aOrder, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mDoubtUntil = aNow + longestHold(aOrder.mHoldTime);
    aRun.mNextOrder = aNow + kRetryPause;
  });
}

void
GrantKeeper::onReleased(std::uint32_t aRun)
{
  Run& run = mRuns.at(aRun);
  run.mHeldUntil = {};
  run.mGranted = 0;
  // An order in doubt may be carried out after the release.
  if (!run.mUnderWay) {
    run.mMayBeHeldUntil = run.mDoubtUntil;
  }
}

void
GrantKeeper::onNotHeld(std::uint64_t aKeyHash, Millis aNow)
{
  Run& run = mRuns.at(runOfHash(aKeyHash));
  run.mHeldUntil = {};
  run.mNextOrder = std::min(run.mNextOrder, aNow);
}

void
GrantKeeper::forget()
{
  for (Run& run : mRuns) {
    const Epoch wanted = run.mWanted;
    run = Run{};
    run.mWanted = wanted;
  }
}

bool
GrantKeeper::holds(std::uint64_t aKeyHash, Epoch aEpoch, Millis aNow) const
{
  const Run& run = mRuns.at(runOfHash(aKeyHash));
  return run.mGranted == aEpoch && aNow < run.mHeldUntil;
}

Millis
GrantKeeper::freeFrom(Shard aShard, Millis aNow) const
{
  Millis free = aNow;
  for (std::uint32_t n = aShard; n < kRunCount; n += kShardCount) {
    free = std::max(free, mRuns[n].mMayBeHeldUntil);
  }
  return free;
}

bool
GrantKeeper::underWay(Shard aShard) const
{
  for (std::uint32_t n = aShard; n < kRunCount; n += kShardCount) {
    if (mRuns[n].mUnderWay) {
      return true;
    }
  }
  return false;
}

std::optional<Millis>
GrantKeeper::nextDue(Millis aNow) const
{
  std::optional<Millis> next;
  for (const Run& run : mRuns) {
    if (run.mWanted != 0 && !run.mUnderWay) {
      const Millis at = std::max(aNow, run.mNextOrder);
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

}
