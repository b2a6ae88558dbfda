#ifndef RADISHROAD_DAEMON_INGRESS_H
#define RADISHROAD_DAEMON_INGRESS_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/millis.h"
#include "radishroad/policy/token_cache.h"
#include "radishroad/policy/upstream_selector.h"
#include "radishroad/request/caller_headers.h"
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
    std::function<TakeResult(const std::string& aWorkspace, bool aHeld)>
      mTakeToken;
    /// A request that was told to wait waits no longer.
    std::function<void(const std::string& aWorkspace)> mDropHeld;
    std::function<Millis(const std::string& aWorkspace)> mRetryAfter;
    /// For logs; may be empty.
    std::function<TokenState(const std::string& aWorkspace)> mTokenState;
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
    /// Reads a request's head where it is not the daemon's own interface
    /// that callers speak; empty where it is.
    std::function<CallerHeaders(const CallerRequest&)> mReadHead;
    /// Name of the header under which a refusal repeats the caller's id.
    std::string mRequestIdHeader;
    /// Service of the upstream on this VM, where requests begin.
    std::string mOwnService;
    std::string mOwnZone;
    ClockFn mNow;
  };

  Ingress(Incarnation aSelf,
          const ViewHolder& aViews,
          Timer& aTimer,
          Metrics& aMetrics,
          Hooks aHooks);

  /// May the request run while one before it on its connection does? Not if it
  /// may run once only: a caller sends it again if the connection ends with an
  /// answer before it.
  bool mayOverlap(const CallerRequest& aRequest) const;
  /// Returns how to cancel the request.
  CancelFn handle(CallerRequest aRequest, AnswerFn aAnswer);

private:
  struct Flight;
  using FlightPtr = std::shared_ptr<Flight>;

  NotRunReason prepare(CallerRequest& aRequest,
                       const FleetView& aView,
                       Flight& aFlight) const;
  /// The same for a platform's callers (ingress_platform.cpp, as those marked).
  NotRunReason prepareByHead(CallerRequest& aRequest,
                             const FleetView& aView,
                             Flight& aFlight) const;
  NotRunReason takeKey(const CallerHeaders& aHead,
                       const FleetView& aView,
                       bool aOpen,
                       Flight& aFlight) const;
  /// Sends to the upstream that is likely to be done first.
  void sendToAny(const FlightPtr& aFlight,
                 const FleetView& aView,
                 const CellState* aCell);
  /// A request that any upstream may run goes to another after a refusal.
  static bool triesAnother(Flight& aFlight, const Answer& aAnswer, Millis aNow);
  bool mayTryAgain(Flight& aFlight) const;
  void noteAnswer(const Flight& aFlight, const Answer& aAnswer);
  void addRefusalHead(const Flight& aFlight, Answer& aAnswer) const;
  void logOutcome(const Flight& aFlight, const Answer& aAnswer) const;
  ForwardRequest makeAttempt(const Flight& aFlight,
                             const FleetView& aView) const;
  /// Whether the caller's key still counts; asked before each attempt, as it
  /// may be withdrawn while the request waits.
  NotRunReason checkCaller(const ForwardRequest& aRequest,
                           const FleetView& aView) const;
  void admit(const FlightPtr& aFlight);
  void refuseByRate(const FlightPtr& aFlight);
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
  std::mutex mChoiceMutex;
  /// By service.
  std::map<std::string, UpstreamSelector> mChoices;
};

}

#endif
