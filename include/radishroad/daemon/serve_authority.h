#ifndef RADISHROAD_DAEMON_SERVE_AUTHORITY_H
#define RADISHROAD_DAEMON_SERVE_AUTHORITY_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/grant_manager.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/gate.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

class FleetViewStore;
struct FleetView;

/// Decides whether this daemon may run requests of a key now: it owns the key
/// according to the newest state, its lease has not expired, and, if the
/// previous owner was lost, the wait for that owner's last requests is over.
/// Once its availability zone is out of service, it may run only requests of
/// keys, and those for a limited time.
/// Written by the control thread, read by any thread.
class ServeAuthority
{
public:
  ServeAuthority(const FleetViewStore& aViews,
                 std::string aService,
                 std::string aZone,
                 Incarnation aSelf);

  void setLeaseUntil(Millis aUntil);
  Millis leaseUntil() const;
  /// Sets the waits that follow the loss of owners, as of now.
  void setTakeoverGuard(const TakeoverGuard& aGuard);

  /// Shards that may be granted now to this incarnation of the upstream.
  /// nullopt if that is unknown: the lease is not held, or the state does not
  /// contain this incarnation yet, so that its epochs are outdated.
  std::optional<GrantableShards> grantableShards(
    std::uint64_t aUpstreamIncarnation,
    Millis aNow) const;
  /// Epoch at which this daemon owns a shard; 0 if it does not.
  Epoch epochOf(Shard aShard) const;
  ServeDecision decide(const ForwardRequest& aRequest, Millis aNow) const;
  /// True if this daemon owns the key according to the newest state and its
  /// lease has not expired. For keys of the daemon's own functions, such as a
  /// workspace's bucket.
  bool servesKey(std::uint64_t aKeyHash, Millis aNow) const;

private:
  /// True if any upstream of the service may run any of its requests.
  bool isUnkeyed(const FleetView& aView) const;
  Millis serveFrom(const CellState& aCell, std::uint64_t aKeyHash) const;

  const FleetViewStore& mViews;
  std::string mService;
  std::string mZone;
  Incarnation mSelf;
  std::atomic<std::int64_t> mLeaseUntil{ 0 };
  mutable std::mutex mMutex;
  TakeoverGuard mTakeoverGuard;
};

}

#endif
