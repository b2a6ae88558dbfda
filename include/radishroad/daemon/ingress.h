#ifndef RADISHROAD_DAEMON_INGRESS_H
#define RADISHROAD_DAEMON_INGRESS_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/millis.h"
#include "radishroad/policy/token_wallet.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <memory>
#include <string>

namespace radishroad {

class Timer;
class ViewHolder;
struct FleetView;
namespace config {
struct Route;
struct Service;
}

/// Takes callers' requests: finds the route, the workspace and the key's
/// owner, and sends the request there. A request that was provably not run is
/// sent again while its deadline allows; one with an unknown outcome only if
/// it is idempotent. Any thread.
///
/// A request whose caller has gone is dropped where it waits and cancelled
/// where it runs; it is not sent again.
class Ingress
{
public:
  struct Hooks
  {
    /// Takes one token of the workspace's rate; aHeld if the request was told
    /// to wait before.
    std::function<TakeVerdict(const std::string& aWorkspace, bool aHeld)>
      mTakeToken;
    /// A request that was told to wait waits no longer.
    std::function<void(const std::string& aWorkspace)> mDropHeld;
    std::function<Millis(const std::string& aWorkspace)> mRetryAfter;
    /// Is the configuration known to be current enough to judge a caller's
    /// key by it?
    std::function<bool()> mConfigFresh;
    ForwardFn mToOwnUpstream;
    std::function<void(const std::string& aAddress, ForwardRequest, AnswerFn)>
      mToPeer;
    std::function<void(RandomId)> mCancelOwn;
    std::function<void(const std::string& aAddress, RandomId)> mCancelAtPeer;
    /// A request was admitted; feeds the retry budget.
    std::function<void()> mOnRequest;
    /// May a request with an unknown outcome be sent again?
    std::function<bool(const ForwardRequest&)> mMayRetry;
    ClockFn mNow;
  };

  Ingress(Incarnation aSelf,
          const ViewHolder& aViews,
          Timer& aTimer,
          Metrics& aMetrics,
          Hooks aHooks);

  /// Returns how to cancel the request.
  CancelFn handle(CallerRequest aRequest, AnswerFn aAnswer);

private:
  struct Flight;
  using FlightPtr = std::shared_ptr<Flight>;

  NotRunReason prepare(CallerRequest& aRequest,
                       const FleetView& aView,
                       Flight& aFlight) const;
  /// Whether the caller's key still counts; asked before each attempt, as it
  /// may be withdrawn while the request waits.
  NotRunReason checkCaller(const ForwardRequest& aRequest,
                           const FleetView& aView) const;
  void admit(const FlightPtr& aFlight);
  void dropHeld(const FlightPtr& aFlight);
  void send(const FlightPtr& aFlight);
  void handOver(const FlightPtr& aFlight,
                ForwardRequest aRequest,
                const Member& aOwner);
  void onAnswer(const FlightPtr& aFlight, Answer aAnswer);
  void sendLater(const FlightPtr& aFlight, NotRunReason aReason);
  void cancel(Flight& aFlight);
  void finishCancelled(const FlightPtr& aFlight);
  void finish(const FlightPtr& aFlight, Answer aAnswer);

  Incarnation mSelf;
  const ViewHolder& mViews;
  Timer& mTimer;
  Metrics& mMetrics;
  Hooks mHooks;
};

}

#endif
