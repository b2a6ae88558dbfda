#ifndef RADISHROAD_DAEMON_SERVE_AUTHORITY_H
#define RADISHROAD_DAEMON_SERVE_AUTHORITY_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/gate.h"

#include <atomic>
#include <mutex>
#include <string>

namespace radishroad {

class ViewHolder;

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

  ServeDecision decide(const ForwardRequest& aRequest, Millis aNow) const;
  /// Owner by the newest state and an unexpired lease; for keys that stand for
  /// the daemon's own duties, such as a workspace's bucket.
  bool servesKey(std::uint64_t aKeyHash, Millis aNow) const;

private:
  Millis serveFrom(const CellState& aCell, std::uint64_t aKeyHash) const;

  const ViewHolder& mViews;
  std::string mService;
  Incarnation mSelf;
  std::atomic<std::int64_t> mLeaseUntil{ 0 };
  mutable std::mutex mMutex;
  TakeoverGuard mWaits;
};

}

#endif
