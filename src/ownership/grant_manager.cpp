#include "radishroad/ownership/grant_manager.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Grants are renewed this often within one hold time, so that a single lost
/// answer does not let a hold expire.
constexpr std::int64_t kRenewalsPerHoldTime = 3;
/// Delay before a failed grant is sent again.
constexpr Millis kRetryDelay{ 100 };
/// Handover tokens that no grant has used for this long are stale.
constexpr Millis kHandoverTokenLifetime{ 20000 };
/// Time in which the upstream processes an answer to its report.
constexpr Millis kAnswerProcessingTime{ 5 };

/// Merges aRight into aLeft if its keys directly follow, both have the same
/// epoch and neither has a handover token. Returns whether it did.
bool
mergeAdjacent(KeyGrant& aLeft, const KeyGrant& aRight)
{
  const bool adjacent = aLeft.mKeys.mLast + 1 == aRight.mKeys.mFirst &&
                        aLeft.mEpoch == aRight.mEpoch &&
                        aLeft.mHandover.empty() && aRight.mHandover.empty();
  if (adjacent) {
    aLeft.mKeys.mLast = aRight.mKeys.mLast;
  }
  return adjacent;
}

}

Millis
GrantManager::longestHold(Millis aHoldTime)
{
  return aHoldTime + aHoldTime / kClockSlowdownDivisor + kDeliveryTime +
         kTimingMargin;
}

template<typename Visit>
void
GrantManager::forEachRun(const KeyRange& aKeys, Visit aVisit)
{
  const std::uint32_t last = aKeys.mLast / mLayout.runKeys();
  for (std::uint32_t run = aKeys.mFirst / mLayout.runKeys(); run <= last;
       ++run) {
    aVisit(mRuns.at(run));
  }
}

void
GrantManager::setLayout(KeyLayout aLayout)
{
  if (aLayout == mLayout) {
    return;
  }
  // The keys of any old run may belong to any of the new runs.
  Run unknown;
  for (const Run& run : mRuns) {
    unknown.mMayBeHeldUntil =
      std::max(unknown.mMayBeHeldUntil, run.mMayBeHeldUntil);
  }
  unknown.mUnconfirmedUntil = unknown.mMayBeHeldUntil;
  mLayout = aLayout;
  mRuns.assign(mLayout.runCount(), unknown);
  mTokens.clear();
}

void
GrantManager::setGrantableShards(std::span<const GrantableShard> aShards)
{
  std::array<Epoch, kShardCount> desired{};
  for (const GrantableShard& shard : aShards) {
    desired.at(shard.mShard) = shard.mEpoch;
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    const Epoch epoch = desired[KeyLayout::shardOfRun(n)];
    if (run.mDesiredEpoch != epoch) {
      run.mDesiredEpoch = epoch;
      run.mNextGrantAt = {};
    }
  }
}

void
GrantManager::assumeHeld(Millis aNow)
{
  for (Run& run : mRuns) {
    run.mUnconfirmedUntil = aNow + longestHold(mHoldTime);
    run.mMayBeHeldUntil = run.mUnconfirmedUntil;
  }
}

void
GrantManager::onHandover(Shard aShard,
                         Epoch aEpoch,
                         std::span<const std::string> aTokens,
                         Millis aNow)
{
  if (aShard < kShardCount && aTokens.size() == mLayout.runsPerShard()) {
    mTokens[aShard] = { aEpoch, { aTokens.begin(), aTokens.end() }, aNow };
  }
}

std::string
GrantManager::handoverToken(std::uint32_t aRun, Millis aNow) const
{
  const auto it = mTokens.find(KeyLayout::shardOfRun(aRun));
  if (it == mTokens.end() ||
      it->second.mEpoch >= mRuns.at(aRun).mDesiredEpoch ||
      aNow - it->second.mReceivedAt > kHandoverTokenLifetime) {
    return {};
  }
  return it->second.mTokens.at(KeyLayout::indexInShard(aRun));
}

bool
GrantManager::isDue(const Run& aRun, Millis aNow) const
{
  return aRun.mDesiredEpoch != 0 && !aRun.mInFlight &&
         aNow >= aRun.mNextGrantAt;
}

KeyGrant
GrantManager::makeGrant(std::uint32_t aRun, Millis aNow) const
{
  const Run& run = mRuns.at(aRun);
  std::string token = run.mGrantedEpoch == run.mDesiredEpoch
                        ? std::string()
                        : handoverToken(aRun, aNow);
  return {
    mLayout.rangeOfRun(aRun), run.mDesiredEpoch, mHoldTime, std::move(token)
  };
}

std::vector<KeyGrant>
GrantManager::dueGrants(std::size_t aMax, Millis aNow)
{
  std::vector<KeyGrant> grants;
  if (mGrantsInReportAnswers) {
    return grants;
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    if (!isDue(run, aNow)) {
      continue;
    }
    KeyGrant grant = makeGrant(n, aNow);
    const bool merged = !grants.empty() && mergeAdjacent(grants.back(), grant);
    if (!merged && grants.size() == aMax) {
      break;
    }
    if (!merged) {
      grants.push_back(std::move(grant));
    }
    run.mInFlight = true;
    run.mMayBeHeldBefore = run.mMayBeHeldUntil;
    run.mMayBeHeldUntil =
      std::max(run.mMayBeHeldUntil, aNow + longestHold(mHoldTime));
  }
  return grants;
}

void
GrantManager::onGranted(const KeyGrant& aGrant, Millis aSentAt, Millis aNow)
{
  forEachRun(aGrant.mKeys, [&](Run& aRun) {
    aRun.mInFlight = false;
    aRun.mGrantedEpoch = aGrant.mEpoch;
    // The hold began no earlier than the send of the grant.
    aRun.mHeldUntil = aSentAt + aGrant.mHoldTime;
    aRun.mMayBeHeldUntil =
      std::max(aRun.mMayBeHeldUntil, aNow + longestHold(aGrant.mHoldTime));
    aRun.mNextGrantAt = aSentAt + aGrant.mHoldTime / kRenewalsPerHoldTime;
    if (aRun.mDesiredEpoch != aGrant.mEpoch) {
      aRun.mNextGrantAt = aNow;
    }
  });
}

void
GrantManager::onRefused(const KeyGrant& aGrant, Millis aNow)
{
  forEachRun(aGrant.mKeys, [&](Run& aRun) {
    aRun.mInFlight = false;
    aRun.mHeldUntil = {};
    aRun.mNextGrantAt = aNow + kRetryDelay;
  });
}

void
GrantManager::onNotSent(const KeyGrant& aGrant, Millis aNow)
{
  forEachRun(aGrant.mKeys, [](Run& aRun) {
    if (aRun.mInFlight) {
      aRun.mMayBeHeldUntil = aRun.mMayBeHeldBefore;
    }
  });
  onRefused(aGrant, aNow);
}

void
GrantManager::onUnanswered(const KeyGrant& aGrant, Millis aNow)
{
  forEachRun(aGrant.mKeys, [&](Run& aRun) {
    aRun.mInFlight = false;
    aRun.mUnconfirmedUntil = aNow + longestHold(aGrant.mHoldTime);
    aRun.mMayBeHeldUntil =
      std::max(aRun.mMayBeHeldUntil, aRun.mUnconfirmedUntil);
    aRun.mNextGrantAt = aNow + kRetryDelay;
  });
}

void
GrantManager::onReleased(std::uint32_t aRun)
{
  Run& run = mRuns.at(aRun);
  run.mHeldUntil = {};
  run.mGrantedEpoch = 0;
  // An unanswered grant may still be carried out after the release.
  if (!run.mInFlight) {
    run.mMayBeHeldUntil = run.mUnconfirmedUntil;
  }
}

void
GrantManager::onNotHeld(std::uint64_t aKeyHash, Millis aNow)
{
  Run& run = mRuns.at(mLayout.runOfHash(aKeyHash));
  if (mGrantsInReportAnswers && aNow < mAnsweredAt + kDeliveryTime) {
    // The answer that grants the key is still on its way.
    run.mHeldFrom = aNow + kAnswerProcessingTime;
    return;
  }
  run.mHeldUntil = {};
  run.mNextGrantAt = std::min(run.mNextGrantAt, aNow);
}

void
GrantManager::onReportedHolds(std::span<const ReportedHold> aHolds, Millis aNow)
{
  std::vector<Epoch> epochs(mRuns.size());
  std::vector<std::uint32_t> keys(mRuns.size());
  for (const ReportedHold& hold : aHolds) {
    const std::uint32_t last = hold.mKeys.mLast / mLayout.runKeys();
    for (std::uint32_t n = hold.mKeys.mFirst / mLayout.runKeys(); n <= last;
         ++n) {
      const KeyRange range = mLayout.rangeOfRun(n);
      keys.at(n) += std::min(range.mLast, hold.mKeys.mLast) -
                    std::max(range.mFirst, hold.mKeys.mFirst) + 1;
      epochs[n] = std::max(epochs[n], hold.mEpoch);
    }
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    run.mGrantedEpoch = epochs[n];
    if (keys[n] == 0 && aNow >= run.mUnreportedUntil) {
      // The first report that a restarted process receives may be an old one.
      run.mMayBeHeldUntil = run.mUnconfirmedUntil;
    }
    if (keys[n] < mLayout.runKeys()) {
      run.mHeldUntil = {};
    }
  }
}

std::vector<KeyGrant>
GrantManager::answerReport(const FitsFn& aFits, Millis aNow)
{
  std::vector<KeyGrant> rows;
  std::vector<std::uint32_t> grantedRuns;
  const auto addRows = [&](bool aHeld) {
    std::vector<KeyGrant> merged;
    std::vector<std::vector<std::uint32_t>> runs;
    for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
      const Run& run = mRuns[n];
      if (run.mDesiredEpoch == 0 || (run.mGrantedEpoch != 0) != aHeld) {
        continue;
      }
      KeyGrant grant = makeGrant(n, aNow);
      if (merged.empty() || !mergeAdjacent(merged.back(), grant)) {
        merged.push_back(std::move(grant));
        runs.emplace_back();
      }
      runs.back().push_back(n);
    }
    for (std::size_t n = 0; n < merged.size(); ++n) {
      if (aFits(merged[n])) {
        rows.push_back(std::move(merged[n]));
        grantedRuns.insert(grantedRuns.end(), runs[n].begin(), runs[n].end());
      }
    }
  };
  addRows(true);
  addRows(false);
  mAnsweredAt = aNow;
  for (const std::uint32_t n : grantedRuns) {
    Run& run = mRuns[n];
    if (run.mGrantedEpoch == 0) {
      run.mHeldFrom = aNow + kAnswerProcessingTime;
      run.mUnreportedUntil = aNow + kDeliveryTime * 2;
    }
    run.mGrantedEpoch = run.mDesiredEpoch;
    run.mHeldUntil = aNow + mHoldTime;
    run.mMayBeHeldUntil =
      std::max(run.mMayBeHeldUntil, aNow + longestHold(mHoldTime));
  }
  return rows;
}

void
GrantManager::clearHolds()
{
  onRestarted();
  for (Run& run : mRuns) {
    run.mMayBeHeldBefore = {};
    // A grant in flight may reach the next process.
    if (!run.mInFlight) {
      run.mMayBeHeldUntil = {};
      run.mUnconfirmedUntil = {};
    }
  }
}

void
GrantManager::onRestarted()
{
  for (Run& run : mRuns) {
    run.mGrantedEpoch = 0;
    run.mHeldUntil = {};
    run.mHeldFrom = {};
    run.mNextGrantAt = {};
  }
}

bool
GrantManager::holds(std::uint64_t aKeyHash, Epoch aEpoch, Millis aNow) const
{
  const Run& run = mRuns.at(mLayout.runOfHash(aKeyHash));
  // Keys that the upstream itself reports as held are held by no other
  // upstream.
  return (mGrantsInReportAnswers || run.mGrantedEpoch == aEpoch) &&
         aNow >= run.mHeldFrom && aNow < run.mHeldUntil;
}

Millis
GrantManager::freeFrom(Shard aShard, Millis aNow) const
{
  Millis free = aNow;
  for (std::uint32_t n = aShard; n < mRuns.size(); n += kShardCount) {
    free = std::max(free, mRuns[n].mMayBeHeldUntil);
  }
  return free;
}

bool
GrantManager::isGrantInFlight(Shard aShard) const
{
  for (std::uint32_t n = aShard; n < mRuns.size(); n += kShardCount) {
    if (mRuns[n].mInFlight) {
      return true;
    }
  }
  return false;
}

std::optional<Millis>
GrantManager::nextDue(Millis aNow) const
{
  std::optional<Millis> next;
  for (const Run& run : mRuns) {
    if (run.mDesiredEpoch != 0 && !run.mInFlight) {
      const Millis at = std::max(aNow, run.mNextGrantAt);
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

}
