#include "radishroad/daemon/handoff_duty.h"

#include "radishroad/base/json_log.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/recorder.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Shards handed off at once.
constexpr std::size_t kBatchShards = 32;
/// Keys handed off at once; each takes an append.
constexpr std::size_t kBatchKeys = 16;
/// Pause between two batches, so that the next owners warm up.
constexpr Millis kBatchInterval{ 100 };
/// Pause after the log did not answer.
constexpr Millis kLogRetryInterval{ 2000 };

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
         mayOwn(aCell, aGrant.to());
}

/// Does the move of the key build on the present state?
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
         (aMove.to == 0 || mayOwn(aCell, aMove.to));
}

}

std::vector<Shard>
HandoffDuty::Batch::shards() const
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

HandoffDuty::HandoffDuty(ControlContext& aContext, Hooks aHooks)
  : mContext(aContext)
  , mHooks(std::move(aHooks))
{
}

void
HandoffDuty::order(std::span<const wire::ShardGrant> aGrants)
{
  mOrdered.assign(aGrants.begin(), aGrants.end());
}

void
HandoffDuty::orderKeys(std::span<const wire::SplitKeyT> aKeys)
{
  mPlannedKeyMoves.assign(aKeys.begin(), aKeys.end());
}

Incarnation
HandoffDuty::nextOwner(Shard aShard) const
{
  const auto it = std::ranges::find_if(
    mCurrent.mGrants, [aShard](const wire::ShardGrant& aGrant) {
      return aGrant.shard() == aShard;
    });
  return it == mCurrent.mGrants.end() ? 0 : it->to();
}

void
HandoffDuty::tick(bool aDraining)
{
  const Millis now = mContext.mNow();
  if (busy() || now < mNextBatch || mContext.self() == nullptr) {
    return;
  }
  // What was ordered while the log did not answer is out of date.
  if (!mContext.mFleet.logAnswers()) {
    mOrdered.clear();
    mPlannedKeyMoves.clear();
    return;
  }
  Batch batch = nextBatch(aDraining);
  if (!batch.empty()) {
    begin(std::move(batch));
  }
}

HandoffDuty::Batch
HandoffDuty::nextBatch(bool aDraining)
{
  if (!aDraining) {
    return nextOrdered();
  }
  mOrdered.clear();
  mPlannedKeyMoves.clear();
  return nextEvacuated();
}

HandoffDuty::Batch
HandoffDuty::nextEvacuated() const
{
  const CellState& cell = mContext.mFleet.ownCell();
  const std::vector<Incarnation> suspects = mContext.mSuspects();
  Batch batch;
  batch.mGrants = planEvacuation(cell, mContext.mSelf, kBatchShards, suspects);
  if (batch.mGrants.empty()) {
    batch.mKeys = planKeyEvacuation(cell, mContext.mSelf, kBatchKeys, suspects);
  }
  return batch;
}

HandoffDuty::Batch
HandoffDuty::nextOrdered()
{
  const CellState& cell = mContext.mFleet.ownCell();
  Batch batch;
  for (const wire::ShardGrant& grant : mOrdered) {
    if (batch.mGrants.size() < kBatchShards &&
        isCurrent(cell, mContext.mSelf, grant)) {
      batch.mGrants.push_back(grant);
    }
  }
  mOrdered.clear();
  if (!batch.empty()) {
    return batch;
  }
  for (const wire::SplitKeyT& key : mPlannedKeyMoves) {
    if (batch.mKeys.size() < kBatchKeys &&
        isCurrent(cell, mContext.mSelf, key)) {
      batch.mKeys.push_back(key);
    }
  }
  mPlannedKeyMoves.clear();
  return batch;
}

void
HandoffDuty::begin(Batch aBatch)
{
  mCurrent = std::move(aBatch);
  mHooks.mPause(mCurrent.shards(), [this] {
    mHooks.mProbeLog([this](bool aAnswers) { onProbe(aAnswers); });
  });
}

void
HandoffDuty::onProbe(bool aLogAnswers)
{
  if (aLogAnswers) {
    release();
    return;
  }
  logEvent(LogLevel::Warn,
           "handoff_put_off",
           { { "shards", mCurrent.shards().size() } });
  finish();
  mNextBatch = mContext.mNow() + kLogRetryInterval;
}

void
HandoffDuty::release()
{
  if (mCurrent.mGrants.empty()) {
    releaseKeys();
  } else {
    releaseShards();
  }
}

void
HandoffDuty::releaseShards()
{
  wire::ReleaseT change;
  change.incarnation = mContext.mSelf;
  change.grants = mCurrent.mGrants;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      logEvent(LogLevel::Info,
               "handoff",
               { { "shards", mCurrent.mGrants.size() },
                 { "applied", aEnd == ProposalEnd::Applied } });
      finish();
    });
}

void
HandoffDuty::releaseKeys()
{
  mPending = mCurrent.mKeys.size();
  // Copies, since the last answer clears the batch.
  const std::vector<wire::SplitKeyT> keys = mCurrent.mKeys;
  for (const wire::SplitKeyT& key : keys) {
    mContext.mRecorder.propose(
      mContext.ownStream(), key, [this, key](ProposalEnd aEnd) {
        logEvent(LogLevel::Info,
                 "key_handoff",
                 { { "key_hash", std::to_string(key.key_hash) },
                   { "shard", key.shard },
                   { "to", std::to_string(key.to) },
                   { "applied", aEnd == ProposalEnd::Applied } });
        if (--mPending == 0) {
          finish();
        }
      });
  }
}

void
HandoffDuty::finish()
{
  mHooks.mResume(mCurrent.shards());
  mCurrent = {};
  mNextBatch = mContext.mNow() + kBatchInterval;
}

}
