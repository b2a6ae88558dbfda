#ifndef RADISHROAD_DAEMON_HANDOFF_DUTY_H
#define RADISHROAD_DAEMON_HANDOFF_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <span>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Hands shards and single keys off to their next owners: holds back new
/// requests, waits for those that run, appends the release, and lets the held
/// requests go on to the new owner once the release has been read back. One
/// batch at a time.
///
/// A release in doubt holds its shards back until the log answers again, and a
/// long poll that has not ended yet tells nothing of the log. So the log is
/// asked right before the release is sent; without an answer the shards are
/// served on. Control thread only.
class HandoffDuty
{
public:
  struct Hooks
  {
    /// Holds back the shards' requests; calls back on the control thread when
    /// none of them runs any more.
    std::function<void(std::span<const Shard>, std::function<void()>)> mPause;
    std::function<void(std::span<const Shard>)> mResume;
    /// Asks the log whether it answers; calls back on the control thread.
    std::function<void(std::function<void(bool)>)> mProbeLog;
  };

  HandoffDuty(ControlContext& aContext, Hooks aHooks);

  /// Moves that the coordinator asks for. Those that this daemon does not own
  /// at the epoch named are passed over.
  void order(std::span<const wire::ShardGrant> aGrants);
  /// The same for keys to split out, to move, or to return to their shards.
  void orderKeys(std::span<const wire::SplitKeyT> aKeys);
  /// aDraining: hand everything off.
  void tick(bool aDraining);
  /// To whom a shard of the present batch goes; 0 if it is not in the batch.
  Incarnation nextOwner(Shard aShard) const;
  bool busy() const { return !mCurrent.empty(); }

private:
  /// Shards or keys that are handed off together.
  struct Batch
  {
    std::vector<wire::ShardGrant> mGrants;
    std::vector<wire::SplitKeyT> mKeys;

    bool empty() const { return mGrants.empty() && mKeys.empty(); }
    /// Shards whose requests are held back meanwhile.
    std::vector<Shard> shards() const;
  };

  Batch nextBatch(bool aDraining);
  Batch nextEvacuated() const;
  Batch nextOrdered();
  void begin(Batch aBatch);
  void onProbe(bool aLogAnswers);
  void release();
  void releaseShards();
  void releaseKeys();
  void finish();

  ControlContext& mContext;
  Hooks mHooks;
  std::vector<wire::ShardGrant> mOrdered;
  std::vector<wire::SplitKeyT> mPlannedKeyMoves;
  Batch mCurrent;
  /// Records of the current batch that have not been read back.
  std::size_t mPending = 0;
  Millis mNextBatch;
};

}

#endif
