#include "radishroad/daemon/snapshot_manager.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/state/snapshot.h"
#include "radishroad/state/snapshot_policy.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr Millis kCheckInterval{ 1000 };
constexpr std::size_t kChunkBytes = 256U << 10;

}

SnapshotManager::SnapshotManager(ControlContext& aContext,
                                 OldestOffsetFn aOldestOffset)
  : mContext(aContext)
  , mOldestRetained(std::move(aOldestOffset))
{
}

void
SnapshotManager::tick()
{
  const Millis now = mContext.mNow();
  if (now < mNextCheckAt || mPendingChunks > 0 || !isCoordinator()) {
    return;
  }
  mNextCheckAt = now + kCheckInterval;
  snapshotIfDue(mContext.ownStream(), mContext.mFleet.ownCellLoader());
  if (ownsConfigSnapshots()) {
    snapshotIfDue(std::string(kConfigStream), mContext.mFleet.configLoader());
  }
}

bool
SnapshotManager::isCoordinator() const
{
  return mContext.self() != nullptr &&
         coordinatorOf(mContext.mFleet.ownCell()) == mContext.mSelf;
}

bool
SnapshotManager::ownsConfigSnapshots() const
{
  const config::Model* model = mContext.mFleet.model();
  return model != nullptr && !model->mServices.empty() &&
         model->mServices.begin()->first == mContext.mSettings.mService;
}

template<typename Loader>
void
SnapshotManager::snapshotIfDue(const std::string& aStream,
                               const Loader& aLoader)
{
  if (!aLoader.isComplete()) {
    return;
  }
  SnapshotPolicyInput input;
  input.mNextOffset = aLoader.state().mNextOffset;
  input.mOldestRetained = mOldestRetained(aStream);
  if (aLoader.lastSnapshot()) {
    input.mLastSnapshotOffset = aLoader.lastSnapshot()->mLastFoldedOffset;
    input.mLastSnapshotWallTime = aLoader.lastSnapshot()->mWallTime;
  }
  if (isSnapshotDue(input, wallNow())) {
    append(aStream, makeSnapshot(aLoader.state(), kChunkBytes));
  }
}

void
SnapshotManager::append(const std::string& aStream,
                        std::vector<wire::SnapshotChunkT> aChunks)
{
  logEvent(LogLevel::Info,
           "snapshot",
           { { "stream", aStream }, { "chunks", aChunks.size() } });
  mPendingChunks += aChunks.size();
  for (wire::SnapshotChunkT& chunk : aChunks) {
    mContext.mProposer.propose(
      aStream, std::move(chunk), [this](ProposalOutcome) { --mPendingChunks; });
  }
}

}
