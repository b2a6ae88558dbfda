#include "radishroad/daemon/handoff_manager.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Limit of shards in a batch.
constexpr std::size_t kMaxBatchShards = 32;
/// Limit of keys in a batch; each takes one append.
constexpr std::size_t kMaxBatchKeys = 16;
/// Pause between two batches that lets the next owners warm up.
constexpr Millis kBatchInterval{ 100 };
/// Pause before the next batch after the log did not answer.
constexpr Millis kLogRetryInterval{ 2000 };

/// True if the move of the shard still applies to the present state.
bool
isCurrent(const CellState& aCell,
          Incarnation aSelf,
          const wire::ShardGrant& aGrant)
{
  if (aGrant.shard() >= aCell.mShards.size() || aGrant.to() == aSelf) {
    return false;
  }
  const Ownership& ownership = aCell.mShards[aGrant.shard()];
  return ownership.mOwner == aSelf && ownership.mEpoch == aGrant.base_epoch() &&
         isEligibleOwner(aCell, aGrant.to());
}

/// True if the move of the key still applies to the present state.
bool
isCurrent(const CellState& aCell,
          Incarnation aSelf,
          const wire::SplitKeyT& aMove)
{
  if (aMove.incarnation != aSelf || aMove.shard != shardOf(aMove.key_hash)) {
    return false;
  }
  const Ownership key = ownerOf(aCell, aMove.key_hash);
  const bool split = aCell.mSplitKeys.contains(aMove.key_hash);
  const bool possible = split ? aMove.to != aSelf : aMove.to != 0;
  return possible && key.mOwner == aSelf && key.mEpoch == aMove.base_epoch &&
         (aMove.to == 0 || isEligibleOwner(aCell, aMove.to));
}

void
logHandoff(std::span<const wire::ShardGrant> aGrants, ProposalOutcome aOutcome)
{
  nlohmann::json moves = nlohmann::json::array();
  for (const wire::ShardGrant& grant : aGrants) {
    moves.push_back(
      { grant.shard(), grant.base_epoch(), std::to_string(grant.to()) });
  }
  logEvent(LogLevel::Info,
           "handoff",
           { { "shards", aGrants.size() },
             { "applied", aOutcome == ProposalOutcome::Applied },
             { "outcome", proposalOutcomeName(aOutcome) },
             { "shard_epoch_to", std::move(moves) } });
}

}

std::vector<Shard>
HandoffManager::Batch::shards() const
{
  std::vector<Shard> shards;
  for (const wire::ShardGrant& grant : mGrants) {
    shards.push_back(grant.shard());
  }
  for (const wire::SplitKeyT& key : mKeys) {
    shards.push_back(key.shard);
  }
  return shards;
}

HandoffManager::HandoffManager(ControlContext& aContext, Hooks aHooks)
  : mContext(aContext)
  , mHooks(std::move(aHooks))
{
}

void
HandoffManager::orderShardMoves(std::span<const wire::ShardGrant> aGrants)
{
  mOrderedShardMoves.assign(aGrants.begin(), aGrants.end());
}

void
HandoffManager::orderKeyMoves(std::span<const wire::SplitKeyT> aKeys)
{
  mOrderedKeyMoves.assign(aKeys.begin(), aKeys.end());
}

Incarnation
HandoffManager::nextOwner(Shard aShard) const
{
  const auto it = std::ranges::find_if(
    mCurrent.mGrants, [aShard](const wire::ShardGrant& aGrant) {
      return aGrant.shard() == aShard;
    });
  return it == mCurrent.mGrants.end() ? 0 : it->to();
}

void
HandoffManager::tick(bool aDraining)
{
  const Millis now = mContext.mNow();
  if (mReclaimAt && now >= *mReclaimAt) {
    mReclaimAt.reset();
    reclaimShards();
    return;
  }
  if (busy() || now < mNextBatchAt || mContext.self() == nullptr) {
    return;
  }
  // Moves ordered while the log did not answer may be outdated.
  if (!mContext.mFleet.isLogReachable()) {
    mOrderedShardMoves.clear();
    mOrderedKeyMoves.clear();
    return;
  }
  Batch batch = nextBatch(aDraining);
  if (!batch.empty()) {
    begin(std::move(batch));
  }
}

HandoffManager::Batch
HandoffManager::nextBatch(bool aDraining)
{
  if (!aDraining) {
    return nextOrderedBatch();
  }
  mOrderedShardMoves.clear();
  mOrderedKeyMoves.clear();
  return nextDrainBatch();
}

HandoffManager::Batch
HandoffManager::nextDrainBatch() const
{
  const CellState& cell = mContext.mFleet.ownCell();
  const std::vector<Incarnation> suspects = mContext.mSuspects();
  Batch batch;
  batch.mGrants =
    planEvacuation(cell, mContext.mSelf, kMaxBatchShards, suspects);
  if (batch.mGrants.empty()) {
    batch.mKeys =
      planSplitKeyEvacuation(cell, mContext.mSelf, kMaxBatchKeys, suspects);
  }
  return batch;
}

HandoffManager::Batch
HandoffManager::nextOrderedBatch()
{
  const CellState& cell = mContext.mFleet.ownCell();
  Batch batch;
  for (const wire::ShardGrant& grant : mOrderedShardMoves) {
    if (batch.mGrants.size() < kMaxBatchShards &&
        isCurrent(cell, mContext.mSelf, grant)) {
      batch.mGrants.push_back(grant);
    }
  }
  mOrderedShardMoves.clear();
  if (!batch.empty()) {
    return batch;
  }
  for (const wire::SplitKeyT& key : mOrderedKeyMoves) {
    if (batch.mKeys.size() < kMaxBatchKeys &&
        isCurrent(cell, mContext.mSelf, key)) {
      batch.mKeys.push_back(key);
    }
  }
  mOrderedKeyMoves.clear();
  return batch;
}

void
HandoffManager::begin(Batch aBatch)
{
  mCurrent = std::move(aBatch);
  mHooks.mPause(mCurrent.shards(), [this] {
    mHooks.mProbeLog([this](bool aReachable) { onProbeResult(aReachable); });
  });
}

void
HandoffManager::onProbeResult(bool aLogReachable)
{
  if (aLogReachable) {
    release();
    return;
  }
  logEvent(LogLevel::Warn,
           "handoff_put_off",
           { { "shards", mCurrent.shards().size() } });
  finish();
  mNextBatchAt = mContext.mNow() + kLogRetryInterval;
}

void
HandoffManager::release()
{
  if (mCurrent.mGrants.empty()) {
    releaseKeys();
  } else {
    releaseShards();
  }
}

void
HandoffManager::releaseShards()
{
  wire::ReleaseT change;
  change.incarnation = mContext.mSelf;
  change.grants = mCurrent.mGrants;
  // The shards are resumed when this ends, so that no copy may take effect
  // then.
  mContext.mProposer.proposeForCertain(
    mContext.ownStream(), std::move(change), [this](ProposalOutcome aOutcome) {
      logHandoff(mCurrent.mGrants, aOutcome);
      // In a log of records the first copy decides, even if it is refused.
      if (aOutcome == ProposalOutcome::Refused &&
          mContext.mSettings.isPlatform()) {
        reclaimShards();
        return;
      }
      finish();
    });
}

void
HandoffManager::reclaimShards()
{
  // A record is also refused if a next owner is not eligible at present. A copy
  // of it that another daemon writes later may be applied.
  const CellState& cell = mContext.mFleet.ownCell();
  wire::ReleaseT change;
  change.incarnation = mContext.mSelf;
  for (const wire::ShardGrant& grant : mCurrent.mGrants) {
    const Ownership& shard = cell.mShards.at(grant.shard());
    const Ownership base{ mContext.mSelf, grant.base_epoch() };
    if (shard == base) {
      change.grants.emplace_back(
        grant.shard(), grant.base_epoch(), mContext.mSelf);
    }
  }
  if (change.grants.empty()) {
    finish();
    return;
  }
  mCurrent.mGrants = change.grants;
  mContext.mProposer.proposeForCertain(
    mContext.ownStream(), std::move(change), [this](ProposalOutcome aOutcome) {
      logHandoff(mCurrent.mGrants, aOutcome);
      if (aOutcome == ProposalOutcome::Failed) {
        mReclaimAt = mContext.mNow() + kLogRetryInterval;
        return;
      }
      finish();
    });
}

void
HandoffManager::releaseKeys()
{
  mPendingKeyRecords = mCurrent.mKeys.size();
  // Iterates over a copy, since the last outcome clears the batch.
  const std::vector<wire::SplitKeyT> keys = mCurrent.mKeys;
  for (const wire::SplitKeyT& key : keys) {
    mContext.mProposer.proposeForCertain(
      mContext.ownStream(), key, [this, key](ProposalOutcome aOutcome) {
        logEvent(LogLevel::Info,
                 "key_handoff",
                 { { "key_hash", std::to_string(key.key_hash) },
                   { "shard", key.shard },
                   { "to", std::to_string(key.to) },
                   { "applied", aOutcome == ProposalOutcome::Applied } });
        if (--mPendingKeyRecords == 0) {
          finish();
        }
      });
  }
}

void
HandoffManager::finish()
{
  mHooks.mResume(mCurrent.shards());
  mCurrent = {};
  mNextBatchAt = mContext.mNow() + kBatchInterval;
}

}
