#include "radishroad/daemon/ingress.h"

#include "ingress_flight.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/timer.h"
#include "radishroad/caller/header_filter.h"
#include "radishroad/config/model.h"
#include "radishroad/config/route_match.h"
#include "radishroad/daemon/caller_key.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/policy/queue_plan.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>

namespace radishroad {

namespace {

/// Pause before a request that was not run is sent again.
constexpr Millis kResendPause{ 15 };
/// Moves of its key that a request follows: one, and one more for a view that
/// was not the newest.
constexpr int kMostFollowed = 2;
/// Pause before the workspace's tokens are looked at again.
constexpr Millis kAdmitPause{ 5 };
/// Longest wait for tokens that are on their way.
constexpr Millis kMaxAdmitWait{ 2000 };
/// Time that the answer needs to travel back within the deadline.
constexpr Millis kReturnMargin{ 5 };
constexpr Millis kRetryAfterOutage{ 1000 };
/// For callers whose key changes its owner or has none.
constexpr Millis kUnservedRetryAfter{ 250 };
constexpr std::string_view kBearer = "Bearer ";

std::optional<std::string_view>
findHeader(const std::vector<wire::HeaderT>& aHeaders, std::string_view aName)
{
  for (const wire::HeaderT& header : aHeaders) {
    if (equalsIgnoringCase(header.name, aName)) {
      return std::string_view(header.value);
    }
  }
  return std::nullopt;
}

/// Stored form of the caller's key; empty if the request has none.
std::string
findKeyHash(const std::vector<wire::HeaderT>& aHeaders)
{
  const std::optional<std::string_view> value =
    findHeader(aHeaders, "authorization");
  if (!value ||
      !equalsIgnoringCase(value->substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  return sha256Hex(value->substr(kBearer.size()));
}

/// Takes over what the caller sent, but for its key, and what the route says.
void
fillRequest(CallerRequest& aFrom,
            const config::RouteMatch& aMatch,
            ForwardRequest& aTo)
{
  aTo.service = aMatch.mRoute->mService;
  aTo.key_hash = hash64(aMatch.mKey);
  aTo.shard = shardOf(aTo.key_hash);
  aTo.idempotent = aMatch.mRoute->mIdempotent;
  aTo.idempotency_key =
    findHeader(aFrom.mHeaders, "idempotency-key").value_or("");
  aTo.method = std::move(aFrom.mMethod);
  aTo.target = std::move(aFrom.mTarget);
  for (wire::HeaderT& header : aFrom.mHeaders) {
    if (!equalsIgnoringCase(header.name, "authorization")) {
      aTo.headers.push_back(std::make_unique<wire::HeaderT>(std::move(header)));
    }
  }
  aTo.body.assign(aFrom.mBody.begin(), aFrom.mBody.end());
}

/// Refusals that another try may overcome: the key moves or waits.
bool
mayPass(NotRunReason aReason)
{
  return aReason == NotRunReason::NotOwner ||
         aReason == NotRunReason::NoOwner ||
         aReason == NotRunReason::LeaseLapsed ||
         aReason == NotRunReason::UpstreamDown ||
         aReason == NotRunReason::Draining;
}

}

Ingress::Ingress(Incarnation aSelf,
                 const ViewHolder& aViews,
                 Timer& aTimer,
                 Metrics& aMetrics,
                 Hooks aHooks)
  : mSelf(aSelf)
  , mViews(aViews)
  , mTimer(aTimer)
  , mMetrics(aMetrics)
  , mHooks(std::move(aHooks))
{
}

CancelFn
Ingress::handle(CallerRequest aRequest, AnswerFn aAnswer)
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  const FlightPtr flight = std::make_shared<Flight>();
  flight->mAnswer = std::move(aAnswer);
  flight->mReceivedAt = aRequest.mReceivedAt;
  flight->mRequest.id_high = aRequest.mId.mHigh;
  flight->mRequest.id_low = aRequest.mId.mLow;
  const NotRunReason reason = mHooks.mReadHead
                                ? prepareByHead(aRequest, *view, *flight)
                                : prepare(aRequest, *view, *flight);
  if (reason != NotRunReason::None) {
    finish(flight, makeNotRunAnswer(aRequest.mId, reason));
    return {};
  }
  mHooks.mOnRequest();
  admit(flight);
  return [this, weak = std::weak_ptr<Flight>(flight)] {
    if (const FlightPtr kept = weak.lock()) {
      cancel(*kept);
    }
  };
}

NotRunReason
Ingress::prepare(CallerRequest& aRequest,
                 const FleetView& aView,
                 Flight& aFlight) const
{
  if (aView.mModel == nullptr) {
    return NotRunReason::NoOwner;
  }
  const config::Model& model = *aView.mModel;
  const std::optional<config::RouteMatch> match =
    config::matchRoute(model,
                       aRequest.mMethod,
                       aRequest.mTarget,
                       [&aRequest](std::string_view aName) {
                         return findHeader(aRequest.mHeaders, aName);
                       });
  if (!match) {
    return NotRunReason::NoRoute;
  }
  const config::Route& route = *match->mRoute;
  const std::string callerKey = findKeyHash(aRequest.mHeaders);
  ForwardRequest& request = aFlight.mRequest;
  request.workspace = findWorkspace(model, callerKey);
  request.config_version = aView.mConfigVersion;
  aFlight.mOpen = route.mOpen && request.workspace.empty();
  if (!route.mOpen) {
    request.caller_key = callerKey;
    const NotRunReason reason = checkCaller(request, aView);
    if (reason != NotRunReason::None) {
      return reason;
    }
  }
  fillRequest(aRequest, *match, request);
  aFlight.mDeadline =
    aFlight.mReceivedAt + model.mServices.at(route.mService).mDeadline;
  aFlight.mAdmitUntil = aFlight.mReceivedAt + kMaxAdmitWait;
  aFlight.mObjectiveAt = aFlight.mDeadline;
  aFlight.mResendUntil = aFlight.mDeadline;
  return NotRunReason::None;
}

NotRunReason
Ingress::checkCaller(const ForwardRequest& aRequest,
                     const FleetView& aView) const
{
  if (aRequest.caller_key.empty()) {
    return NotRunReason::None;
  }
  if (aRequest.workspace.empty() || isKeyWithdrawn(aView, aRequest)) {
    return NotRunReason::Unauthorized;
  }
  // A key withdrawn meanwhile must not pass; better refused than wrong.
  return mHooks.mConfigFresh() ? NotRunReason::None : NotRunReason::NoOwner;
}

void
Ingress::admit(const FlightPtr& aFlight)
{
  if (aFlight->mCancelled) {
    dropHeld(aFlight);
    finishCancelled(aFlight);
    return;
  }
  if (aFlight->mOpen) {
    send(aFlight);
    return;
  }
  const std::string& workspace = aFlight->mRequest.workspace;
  const TakeResult verdict =
    mHooks.mTakeToken(workspace, aFlight->mHeldForToken);
  if (verdict == TakeResult::Taken) {
    send(aFlight);
    return;
  }
  if (verdict == TakeResult::WaitForGrant) {
    if (mHooks.mNow() < aFlight->mAdmitUntil) {
      aFlight->mHeldForToken = true;
      mTimer.after(kAdmitPause, [this, aFlight] { admit(aFlight); });
      return;
    }
    mHooks.mDropHeld(workspace);
  }
  refuseByRate(aFlight);
}

void
Ingress::refuseByRate(const FlightPtr& aFlight)
{
  const ForwardRequest& request = aFlight->mRequest;
  const bool unanswered =
    mHooks.mTokenState && mHooks.mTokenState(request.workspace).mUnanswered;
  const Millis pause = retryAfterOutage(
    mHooks.mRetryAfter(request.workspace), request.rank, request.id_low);
  finish(aFlight,
         makeNotRunAnswer(idOf(request),
                          unanswered ? NotRunReason::NoOwner
                                     : NotRunReason::RateLimited,
                          pause));
}

void
Ingress::dropHeld(const FlightPtr& aFlight)
{
  if (aFlight->mHeldForToken) {
    mHooks.mDropHeld(aFlight->mRequest.workspace);
  }
}

void
Ingress::send(const FlightPtr& aFlight)
{
  if (aFlight->mCancelled) {
    finishCancelled(aFlight);
    return;
  }
  const Millis left = aFlight->mDeadline - mHooks.mNow() - kReturnMargin;
  if (left <= Millis{}) {
    const NotRunReason reason = aFlight->mLastReason == NotRunReason::None
                                  ? NotRunReason::DeadlinePassed
                                  : aFlight->mLastReason;
    finish(
      aFlight,
      makeNotRunAnswer(idOf(aFlight->mRequest), reason, kRetryAfterOutage));
    return;
  }
  const std::shared_ptr<const FleetView> view = mViews.get();
  const NotRunReason reason = checkCaller(aFlight->mRequest, *view);
  if (reason == NotRunReason::NoOwner) {
    sendLater(aFlight, reason);
    return;
  }
  if (reason != NotRunReason::None) {
    finish(aFlight, makeNotRunAnswer(idOf(aFlight->mRequest), reason));
    return;
  }
  const CellState* cell = view->cell(aFlight->mRequest.service);
  if (aFlight->mUnkeyed) {
    sendToAny(aFlight, *view, cell);
    return;
  }
  const Ownership ownership =
    cell == nullptr ? Ownership{} : ownerOf(*cell, aFlight->mRequest.key_hash);
  if (ownership.mOwner == 0) {
    sendLater(aFlight, NotRunReason::NoOwner);
    return;
  }
  ForwardRequest request = makeAttempt(*aFlight, *view);
  request.epoch = ownership.mEpoch;
  request.view_offset = cell->mNextOffset;
  handOver(aFlight, std::move(request), cell->mMembers.at(ownership.mOwner));
}

ForwardRequest
Ingress::makeAttempt(const Flight& aFlight, const FleetView& aView) const
{
  const Millis now = mHooks.mNow();
  ForwardRequest request = aFlight.mRequest;
  request.time_left_ms = (aFlight.mDeadline - now - kReturnMargin).mCount;
  request.config_version = aView.mConfigVersion;
  const bool hasObjective = aFlight.mObjectiveAt != aFlight.mDeadline;
  const Millis left =
    std::max(Millis{ 1 }, aFlight.mObjectiveAt - now - kReturnMargin);
  request.objective_ms = hasObjective ? left.mCount : 0;
  return request;
}

void
Ingress::handOver(const FlightPtr& aFlight,
                  ForwardRequest aRequest,
                  const Member& aOwner)
{
  // A refusal may come in the call itself: onAnswer takes no lock.
  AnswerFn onAnswer = [this, aFlight](Answer aAnswer) {
    this->onAnswer(aFlight, std::move(aAnswer));
  };
  const std::lock_guard<std::mutex> lock(aFlight->mAttemptMutex);
  aFlight->mSentTo = aOwner.mIncarnation;
  aFlight->mPeerAddress = aOwner.mPeerAddress;
  if (aFlight->mCancelled) {
    onAnswer(makeNotRunAnswer(idOf(aRequest), NotRunReason::Cancelled));
  } else if (aOwner.mIncarnation == mSelf) {
    mHooks.mToOwnUpstream(std::move(aRequest), std::move(onAnswer));
  } else {
    mHooks.mToPeer(
      aOwner.mPeerAddress, std::move(aRequest), std::move(onAnswer));
  }
}

void
Ingress::cancel(Flight& aFlight)
{
  aFlight.mCancelled = true;
  const std::lock_guard<std::mutex> lock(aFlight.mAttemptMutex);
  if (aFlight.mSentTo == mSelf) {
    mHooks.mCancelOwn(idOf(aFlight.mRequest));
  } else if (aFlight.mSentTo != 0) {
    mHooks.mCancelAtPeer(aFlight.mPeerAddress, idOf(aFlight.mRequest));
  }
}

void
Ingress::onAnswer(const FlightPtr& aFlight, Answer aAnswer)
{
  noteAnswer(*aFlight, aAnswer);
  if (aFlight->mCancelled) {
    finish(aFlight, std::move(aAnswer));
    return;
  }
  const Millis now = mHooks.mNow();
  if (aFlight->mUnkeyed && triesAnother(*aFlight, aAnswer, now) &&
      (aAnswer.reason != NotRunReason::Shed ||
       (mayTryAgain(*aFlight) && mHooks.mMayRetry(aFlight->mRequest)))) {
    aFlight->mLastReason = aAnswer.reason;
    mTimer.after(Millis{ 0 }, [this, aFlight] { send(aFlight); });
    return;
  }
  // The next owner knows from when on it serves the key.
  const bool isLongWait =
    mHooks.mReadHead && Millis{ aAnswer.retry_after_ms } > kUnservedRetryAfter;
  const bool inTime = now < aFlight->mResendUntil && !isLongWait;
  const bool follows = mHooks.mReadHead && !aFlight->mUnkeyed &&
                       aAnswer.kind == AnswerKind::NotRun &&
                       aAnswer.reason == NotRunReason::NotOwner &&
                       now < aFlight->mObjectiveAt &&
                       aFlight->mFollowed < kMostFollowed;
  if (follows) {
    // It waited while its key moved, and the next owner serves it now.
    ++aFlight->mFollowed;
    aFlight->mLastReason = aAnswer.reason;
    mTimer.after(kResendPause, [this, aFlight] { send(aFlight); });
    return;
  }
  if (aAnswer.kind == AnswerKind::NotRun && mayPass(aAnswer.reason) &&
      !aFlight->mUnkeyed && inTime) {
    sendLater(aFlight, aAnswer.reason);
    return;
  }
  if (aAnswer.kind == AnswerKind::Unknown && now < aFlight->mDeadline &&
      mayTryAgain(*aFlight) && mHooks.mMayRetry(aFlight->mRequest)) {
    aFlight->mMayHaveRun = true;
    mMetrics.count("radishroad_retries_total");
    sendLater(aFlight, NotRunReason::None);
    return;
  }
  finish(aFlight, std::move(aAnswer));
}

void
Ingress::sendLater(const FlightPtr& aFlight, NotRunReason aReason)
{
  aFlight->mLastReason = aReason;
  // Better refused now, while the caller can still come back, than held.
  const bool held = aReason != NotRunReason::None &&
                    mHooks.mNow() + kResendPause >= aFlight->mResendUntil &&
                    aFlight->mResendUntil < aFlight->mDeadline;
  if (held) {
    finish(
      aFlight,
      makeNotRunAnswer(idOf(aFlight->mRequest), aReason, kUnservedRetryAfter));
    return;
  }
  mTimer.after(kResendPause, [this, aFlight] { send(aFlight); });
}

void
Ingress::finishCancelled(const FlightPtr& aFlight)
{
  finish(aFlight,
         makeNotRunAnswer(idOf(aFlight->mRequest), NotRunReason::Cancelled));
}

void
Ingress::finish(const FlightPtr& aFlight, Answer aAnswer)
{
  if (aFlight->mMayHaveRun && aAnswer.kind == AnswerKind::NotRun) {
    aAnswer = makeUnknownAnswer(idOf(aFlight->mRequest));
  }
  if (mHooks.mReadHead && aAnswer.kind != AnswerKind::Answered) {
    addRefusalHead(*aFlight, aAnswer);
  }
  logOutcome(*aFlight, aAnswer);
  mMetrics.count(std::string("radishroad_requests_total{outcome=\"") +
                 wire::EnumNameAnswerKind(aAnswer.kind) + "\",reason=\"" +
                 wire::EnumNameNotRunReason(aAnswer.reason) + "\"}");
  mMetrics.observe("radishroad_request_seconds",
                   mHooks.mNow() - aFlight->mReceivedAt);
  aFlight->mAnswer(std::move(aAnswer));
}

}
