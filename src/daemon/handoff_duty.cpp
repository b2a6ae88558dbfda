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
/// Pause between two batches, so that the next owners warm up.
constexpr Millis kBatchInterval{ 100 };
/// Pause after the log did not answer.
constexpr Millis kLogRetryInterval{ 2000 };

std::vector<Shard>
shardsOf(std::span<const wire::ShardGrant> aGrants)
{
  std::vector<Shard> shards;
  shards.reserve(aGrants.size());
  for (const wire::ShardGrant& grant : aGrants) {
    shards.push_back(grant.shard());
  }
  return shards;
}

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
HandoffDuty::tick(bool aDraining)
{
  const Millis now = mContext.mNow();
  if (busy() || now < mNextBatch || mContext.self() == nullptr) {
    return;
  }
  // What was ordered while the log did not answer is out of date.
  if (!mContext.mFleet.logAnswers()) {
    mOrdered.clear();
    return;
  }
  std::vector<wire::ShardGrant> batch = nextBatch(aDraining);
  if (!batch.empty()) {
    begin(std::move(batch));
  }
}

std::vector<wire::ShardGrant>
HandoffDuty::nextBatch(bool aDraining)
{
  const CellState& cell = mContext.mFleet.ownCell();
  if (aDraining) {
    mOrdered.clear();
    return planEvacuation(
      cell, mContext.mSelf, kBatchShards, mContext.mSuspects());
  }
  std::vector<wire::ShardGrant> batch;
  for (const wire::ShardGrant& grant : mOrdered) {
    if (batch.size() < kBatchShards && isCurrent(cell, mContext.mSelf, grant)) {
      batch.push_back(grant);
    }
  }
  mOrdered.clear();
  return batch;
}

void
HandoffDuty::begin(std::vector<wire::ShardGrant> aGrants)
{
  mCurrent = std::move(aGrants);
  mHooks.mPause(shardsOf(mCurrent), [this] {
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
  logEvent(
    LogLevel::Warn, "handoff_put_off", { { "shards", mCurrent.size() } });
  finish();
  mNextBatch = mContext.mNow() + kLogRetryInterval;
}

void
HandoffDuty::release()
{
  wire::ReleaseT change;
  change.incarnation = mContext.mSelf;
  change.grants = mCurrent;
  mContext.mRecorder.propose(
    mContext.ownStream(), std::move(change), [this](ProposalEnd aEnd) {
      logEvent(LogLevel::Info,
               "handoff",
               { { "shards", mCurrent.size() },
                 { "applied", aEnd == ProposalEnd::Applied } });
      finish();
    });
}

void
HandoffDuty::finish()
{
  mHooks.mResume(shardsOf(mCurrent));
  mCurrent.clear();
  mNextBatch = mContext.mNow() + kBatchInterval;
}

}
