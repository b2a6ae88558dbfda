#ifndef RADISHROAD_DAEMON_INGRESS_H
#define RADISHROAD_DAEMON_INGRESS_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/millis.h"
#include "radishroad/policy/longest_run_times.h"
#include "radishroad/policy/notice_cache.h"
#include "radishroad/policy/room_reports.h"
#include "radishroad/policy/stop_schedule.h"
#include "radishroad/policy/token_cache.h"
#include "radishroad/policy/unframed_services.h"
#include "radishroad/policy/upstream_selector.h"
#include "radishroad/request/caller_headers.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace radishroad {

class Timer;
class FleetViewStore;
struct FleetView;
namespace config {
struct Route;
struct Service;
}

/// Handles callers' requests: finds the route, the workspace and the key's
/// owner, and forwards the request there. A request that was certainly not
/// executed is resent while its deadline allows, one with an unknown outcome
/// only if it is idempotent. Thread-safe.
///
/// A request whose caller has disconnected is dropped if it waits, cancelled
/// if it runs, and not resent.
class Ingress
{
public:
  struct Hooks
  {
    /// Takes one token of the workspace's rate limit. aIsWaiting is set if the
    /// request was told to wait before.
    std::function<TakeResult(const std::string& aWorkspace, bool aIsWaiting)>
      mTakeToken;
    /// Called when a request that was told to wait for a token gives up.
    std::function<void(const std::string& aWorkspace)> mCancelTokenWait;
    std::function<Millis(const std::string& aWorkspace)> mRetryAfter;
    /// Details for logs; may be empty.
    std::function<TokenState(const std::string& aWorkspace)> mTokenState;
    /// Whether the configuration is recent enough to check callers' keys
    /// against it.
    std::function<bool()> mConfigFresh;
    /// Time as of which the configuration in force is known to be the newest
    /// one. Asked before the view is read by which a request is refused.
    std::function<std::optional<Millis>()> mConfigAsOf;
    /// Whether a request received at aReceivedAt may be refused for good by
    /// what is known as of aAsOf.
    std::function<bool(std::optional<Millis> aAsOf, Millis aReceivedAt)>
      mMayRefuseForGood;
    /// Has the newest configuration read; returns whether that may succeed
    /// soon.
    std::function<bool()> mCheckConfig;
    ForwardFn mSendToOwnUpstream;
    std::function<void(const std::string& aAddress, ForwardRequest, AnswerFn)>
      mSendToPeer;
    std::function<void(RandomId)> mCancelAtOwnUpstream;
    std::function<void(const std::string& aAddress, RandomId)> mCancelAtPeer;
    /// Called for each valid request, before rate limiting; feeds the retry
    /// budget.
    std::function<void()> mOnRequest;
    /// Whether a request that may have been executed may be resent.
    std::function<bool(const ForwardRequest&)> mMayRetry;
    /// Parses the headers of a request in the platform's protocol. Empty if
    /// callers use the daemon's own protocol.
    std::function<CallerHeaders(const CallerRequest&)> mParseCallerHeaders;
    /// Response header that returns the caller's request id with a refusal.
    std::string mRequestIdHeader;
    /// Service of the upstream on this VM, which sends the requests.
    std::string mOwnService;
    std::string mOwnZone;
    ClockFn mNow;
  };

  Ingress(Incarnation aSelf,
          const FleetViewStore& aViews,
          Timer& aTimer,
          Metrics& aMetrics,
          Hooks aHooks);

  /// Whether the request may run while an earlier one of its connection still
  /// runs (HTTP pipelining). Only idempotent requests may: a caller resends
  /// them if the connection closes after the answer to an earlier request.
  bool mayRunConcurrently(const CallerRequest& aRequest) const;
  /// Whether the answer to the request may end its connection, as its service
  /// answers without lengths or has not answered yet.
  bool mayEndConnection(const CallerRequest& aRequest) const;
  /// Returns a function that cancels the request.
  CancelFn handle(CallerRequest aRequest, AnswerFn aAnswer);
  /// From now on requests that will not end in time are refused as not
  /// executed, and upstreams get no more time than is left. May be called again
  /// with earlier times.
  void beginStop(const StopSchedule& aSchedule);

private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  /// Admits the request, or refuses it by the configuration. Waits for a short
  /// time if it is not known whether that is the newest one.
  void begin(const PendingRequestPtr& aPending);

  NotRunReason prepare(CallerRequest& aRequest,
                       const FleetView& aView,
                       PendingRequest& aPending) const;
  /// Like prepare(), for requests in the platform's protocol. Defined in
  /// ingress_platform.cpp.
  NotRunReason preparePlatformRequest(CallerRequest& aRequest,
                                      const FleetView& aView,
                                      PendingRequest& aPending) const;
  NotRunReason authenticate(const CallerHeaders& aHeaders,
                            const FleetView& aView,
                            bool aOpen,
                            PendingRequest& aPending) const;
  /// Sends a request that any upstream of the service may run to the one that
  /// is expected to finish it first.
  void sendUnkeyed(const PendingRequestPtr& aPending,
                   const FleetView& aView,
                   const CellState* aCell);
  /// Whether a request that any upstream may run is sent to another one after
  /// this answer; records the refusal if so.
  bool tryAnotherUpstream(PendingRequest& aPending,
                          Answer& aAnswer,
                          Millis aNow);
  /// Handles a refusal for lack of room, if the service shares room: sets the
  /// earliest retry time that the request was given. False if no upstream is
  /// left that has not refused its kind.
  bool hasRoomElsewhere(PendingRequest& aPending, Answer& aAnswer, Millis aNow);
  /// Whether the upstream has refused the request's kind for lack of room.
  bool isReportedFull(const ForwardRequest& aRequest, Incarnation aMember);
  /// Takes one of the attempts that the route allows and, for an unkeyed
  /// request, excludes the last upstream from the next attempt. False if no
  /// attempt is left.
  bool consumeAttempt(PendingRequest& aPending) const;
  void recordAnswer(const PendingRequest& aPending, const Answer& aAnswer);
  void recordRunTime(const PendingRequest& aPending, const Answer& aAnswer);
  /// Remembers what an upstream says about itself. Called before the answer is
  /// passed on.
  void recordNotice(const PendingRequest& aPending, const Answer& aAnswer);
  void addRefusalHeaders(const PendingRequest& aPending, Answer& aAnswer) const;
  void logOutcome(const PendingRequest& aPending, const Answer& aAnswer) const;
  ForwardRequest makeAttempt(const PendingRequest& aPending,
                             const FleetView& aView) const;
  /// Checks the caller's key. Called before each attempt, since the key may be
  /// withdrawn while the request waits.
  NotRunReason checkCallerKey(const ForwardRequest& aRequest,
                              const FleetView& aView) const;
  /// While stopping, refuses a request that will not end in time; true if it
  /// did.
  bool refuseUnfinishable(const PendingRequestPtr& aPending);
  void admit(const PendingRequestPtr& aPending);
  void refuseRateLimited(const PendingRequestPtr& aPending);
  void cancelTokenWait(const PendingRequestPtr& aPending);
  void send(const PendingRequestPtr& aPending);
  void dispatch(const PendingRequestPtr& aPending,
                ForwardRequest aRequest,
                const FleetView& aView,
                const Member& aOwner);
  void onAnswer(const PendingRequestPtr& aPending, Answer aAnswer);
  void scheduleResend(const PendingRequestPtr& aPending, NotRunReason aReason);
  void cancel(PendingRequest& aPending);
  void finishCancelled(const PendingRequestPtr& aPending);
  void finish(const PendingRequestPtr& aPending, Answer aAnswer);

  Incarnation mSelf;
  const FleetViewStore& mViews;
  Timer& mTimer;
  Metrics& mMetrics;
  Hooks mHooks;
  mutable std::mutex mStopMutex;
  std::optional<StopSchedule> mStop;
  /// Of attempts, as seen here.
  LongestRunTimes mRunTimes;
  std::mutex mNoticeMutex;
  NoticeCache mNotices;
  mutable std::mutex mUnframedMutex;
  UnframedServices mUnframedServices;
  std::mutex mSelectorMutex;
  /// Keyed by service name.
  std::map<std::string, UpstreamSelector> mSelectors;
  std::map<std::string, RoomReports> mRoomReports;
};

}

#endif
