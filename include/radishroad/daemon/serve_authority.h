#ifndef RADISHROAD_DAEMON_SERVE_AUTHORITY_H
#define RADISHROAD_DAEMON_SERVE_AUTHORITY_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/grant_keeper.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/gate.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

class ViewHolder;
struct FleetView;

/// Decides whether this daemon may run a key at this moment: it owns the key
/// by the newest state, its lease is unexpired, and, after the loss of the
/// owner before it, the wait for that owner's last requests is over. Written
/// by the control thread, read by any thread.
class ServeAuthority
{
public:
  ServeAuthority(const ViewHolder& aViews,
                 std::string aService,
                 Incarnation aSelf);

  void setLeaseUntil(Millis aUntil);
  Millis leaseUntil() const;
  /// Waits after the loss of owners, as of now.
  void setWaits(const TakeoverGuard& aGuard);

  /// Since when the own availability zone is out of service; nothing if it is
  /// in. Keys are served on until aKeysUntil, so that they can be handed off.
  void setZoneOut(std::optional<Millis> aKeysUntil);
  /// Shards that the present start of the upstream may hold now. Nothing while
  /// this daemon cannot tell: its lease is not held, or the state does not name
  /// that start, so that the epochs are old ones.
  std::optional<GrantableShards> holdings(std::uint64_t aLife,
                                          Millis aNow) const;
  /// Epoch at which this daemon owns a shard; 0 if it does not.
  Epoch epochOf(Shard aShard) const;
  ServeDecision decide(const ForwardRequest& aRequest, Millis aNow) const;
  /// Owner by the newest state and an unexpired lease; for keys that stand for
  /// the daemon's own duties, such as a workspace's bucket.
  bool servesKey(std::uint64_t aKeyHash, Millis aNow) const;

private:
  bool runsAnywhere(const FleetView& aView) const;
  Millis serveFrom(const CellState& aCell, std::uint64_t aKeyHash) const;

  const ViewHolder& mViews;
  std::string mService;
  Incarnation mSelf;
  std::atomic<std::int64_t> mLeaseUntil{ 0 };
  mutable std::mutex mMutex;
  std::optional<Millis> mKeysUntil;
  TakeoverGuard mWaits;
};

}

#endif
