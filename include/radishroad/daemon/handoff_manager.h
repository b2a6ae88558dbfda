#ifndef RADISHROAD_DAEMON_HANDOFF_MANAGER_H
#define RADISHROAD_DAEMON_HANDOFF_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Hands off shards and single keys to their next owners, one batch at a time:
/// holds back new requests, waits for running ones to end, appends the release,
/// and forwards the held requests to the new owner once the release has been
/// read back.
///
/// While the outcome of a release is in doubt, requests to its shards stay held
/// until the log answers again. A long poll that is still open does not show
/// whether the log is reachable. The log is therefore probed right before the
/// release is sent; without an answer this daemon keeps serving the shards.
/// Control thread only.
class HandoffManager
{
public:
  struct Hooks
  {
    /// Holds back new requests to the shards. Calls back on the control thread
    /// when none of their requests is running any more.
    std::function<void(std::span<const Shard>, std::function<void()>)> mPause;
    std::function<void(std::span<const Shard>)> mResume;
    /// Probes whether the log answers. Calls back on the control thread.
    std::function<void(std::function<void(bool)>)> mProbeLog;
  };

  HandoffManager(ControlContext& aContext, Hooks aHooks);

  /// Takes moves that the coordinator orders, in place of those ordered before.
  /// Moves of shards that this daemon does not own at the given epoch are
  /// skipped.
  void orderShardMoves(std::span<const wire::ShardGrant> aGrants);
  /// The same for keys to split out, to move, or to merge back into their
  /// shards.
  void orderKeyMoves(std::span<const wire::SplitKeyT> aKeys);
  /// Starts the next batch if none is active. With aDraining, hands off
  /// everything that this daemon owns.
  void tick(bool aDraining);
  /// Next owner of a shard in the current batch; 0 if the shard is not in it.
  Incarnation nextOwner(Shard aShard) const;
  bool busy() const { return !mCurrent.empty(); }

private:
  /// Shards or keys that are handed off together.
  struct Batch
  {
    std::vector<wire::ShardGrant> mGrants;
    std::vector<wire::SplitKeyT> mKeys;

    bool empty() const { return mGrants.empty() && mKeys.empty(); }
    /// Shards whose requests are held back during the hand-off.
    std::vector<Shard> shards() const;
  };

  Batch nextBatch(bool aDraining);
  Batch nextDrainBatch() const;
  Batch nextOrderedBatch();
  void begin(Batch aBatch);
  void onProbeResult(bool aLogReachable);
  void release();
  void releaseShards();
  /// Raises the epochs of those shards of the batch that a copy of the refused
  /// record could still hand off.
  void reclaimShards();
  void releaseKeys();
  void finish();

  ControlContext& mContext;
  Hooks mHooks;
  std::vector<wire::ShardGrant> mOrderedShardMoves;
  std::vector<wire::SplitKeyT> mOrderedKeyMoves;
  Batch mCurrent;
  /// Key records of the current batch that have not been read back yet.
  std::size_t mPendingKeyRecords = 0;
  Millis mNextBatchAt;
  /// When to reclaim the shards of the batch again, after the log did not
  /// answer.
  std::optional<Millis> mReclaimAt;
};

}

#endif
