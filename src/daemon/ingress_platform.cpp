#include "radishroad/daemon/ingress.h"

#include "ingress_pending_request.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"
#include "radishroad/caller/header_filter.h"
#include "radishroad/caller/response.h"
#include "radishroad/config/freshness.h"
#include "radishroad/config/model.h"
#include "radishroad/config/prefix_match.h"
#include "radishroad/daemon/caller_key.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::uint32_t kMinServerError = 500;
/// A request may wait for its key to be served, or for a token of its
/// workspace, for the time to its objective divided by this number.
constexpr std::int64_t kWaitDivisor = 6;
constexpr Millis kMinWait{ 30 };
/// Deadline of requests that state none.
constexpr Millis kDefaultTimeout{ 5000 };
/// Refusals after which a request that any upstream may run is not resent.
constexpr std::size_t kMaxRefusals = 3;
/// Retry-after for refused callers if the refusal states none.
constexpr Millis kDefaultRetryAfter{ 250 };
/// Weight of a workspace's rank relative to the rank of a route.
constexpr unsigned kWorkspaceRankStep = 2;
constexpr unsigned kLowestRank = 15;

std::uint8_t
rankOf(const config::Route& aRoute, const config::Workspace* aWorkspace)
{
  const unsigned workspace =
    aWorkspace == nullptr ? 0U : aWorkspace->mPriorityRank.value_or(0);
  return static_cast<std::uint8_t>(std::min(
    kLowestRank, workspace * kWorkspaceRankStep + aRoute.mPriorityRank));
}

/// Whether the answer was made by the configuration and its age.
bool
isByConfig(const Answer& aAnswer)
{
  return aAnswer.kind == AnswerKind::NotRun &&
         (aAnswer.reason == NotRunReason::Unauthorized ||
          aAnswer.reason == NotRunReason::NoRoute ||
          aAnswer.reason == NotRunReason::ConfigUnconfirmed);
}

bool
sharesRoom(const FleetView& aView, const std::string& aService)
{
  if (aView.mModel == nullptr) {
    return false;
  }
  const auto it = aView.mModel->mServices.find(aService);
  return it != aView.mModel->mServices.end() && it->second.mSharesRoom;
}

bool
isRefusedBy(std::span<const Incarnation> aRefusedBy, Incarnation aMember)
{
  return std::ranges::find(aRefusedBy, aMember) != aRefusedBy.end();
}

}

NotRunReason
Ingress::preparePlatformRequest(CallerRequest& aRequest,
                                const FleetView& aView,
                                PendingRequest& aPending) const
{
  const CallerHeaders callerHeaders = mHooks.mParseCallerHeaders(aRequest);
  ForwardRequest& request = aPending.mRequest;
  request.request_id = callerHeaders.mRequestId;
  request.config_version = aView.mConfigVersion;
  if (aView.mModel == nullptr) {
    return NotRunReason::NoOwner;
  }
  const config::Model& model = *aView.mModel;
  const config::Route* route =
    config::matchPrefix(model, callerHeaders.mHost, aRequest.mTarget);
  if (route == nullptr) {
    // It may be meant for a route that this version cannot read.
    return model.mHasUnreadableRoutes ? NotRunReason::NoOwner
                                      : NotRunReason::NoRoute;
  }
  const NotRunReason reason =
    authenticate(callerHeaders, aView, route->mIsPublic, aPending);
  if (reason != NotRunReason::None) {
    return reason;
  }
  request.service =
    config::pickService(*route, hash64(callerHeaders.mRequestId));
  const auto service = model.mServices.find(request.service);
  if (service == model.mServices.end()) {
    return NotRunReason::NoOwner;
  }
  aPending.mUnkeyed = !service->second.mKeyed;
  request.shard = kShardCount;
  if (!aPending.mUnkeyed) {
    if (!callerHeaders.mKeyNumber) {
      return NotRunReason::Malformed;
    }
    const CellState* cell = aView.cell(request.service);
    const KeyLayout layout = cell == nullptr ? KeyLayout() : layoutOf(*cell);
    request.key_hash = layout.hashOfKeyNumber(*callerHeaders.mKeyNumber);
    request.shard = shardOf(request.key_hash);
  }
  const auto workspace = model.mWorkspaces.find(request.workspace);
  const bool isKnown = workspace != model.mWorkspaces.end();
  request.rank = rankOf(*route, isKnown ? &workspace->second : nullptr);
  // Only workspaces with a rate limit need tokens.
  aPending.mRateExempt = !isKnown || workspace->second.mRatePerSecond <= 0;
  request.idempotent = route->mIdempotent;
  request.large_response = route->mLargeResponse;
  request.kind = static_cast<std::uint32_t>(hash64(route->mName));
  request.attempts_left = route->mMaxAttempts;
  request.caller_service = mHooks.mOwnService;
  request.method = std::move(aRequest.mMethod);
  request.target = std::move(aRequest.mTarget);
  request.body.assign(aRequest.mBody.begin(), aRequest.mBody.end());
  std::string().swap(aRequest.mBody);
  for (wire::HeaderT& header : aRequest.mHeaders) {
    if (!equalsIgnoringCase(header.name, "authorization")) {
      request.headers.push_back(
        std::make_unique<wire::HeaderT>(std::move(header)));
    }
  }
  Millis timeout = callerHeaders.mTimeLeft.value_or(kDefaultTimeout);
  if (route->mTimeout > Millis{}) {
    timeout = std::min(timeout, route->mTimeout);
  }
  const Millis from = aPending.mReceivedAt;
  aPending.mDeadline = from + timeout;
  aPending.mObjectiveAt = route->mLatencyObjective > Millis{}
                            ? from + std::min(route->mLatencyObjective, timeout)
                            : aPending.mDeadline;
  const Millis part = (aPending.mObjectiveAt - from) / kWaitDivisor;
  aPending.mResendUntil = aPending.mStartedAt + std::max(kMinWait, part);
  aPending.mTokenWaitEnd = aPending.mResendUntil;
  return NotRunReason::None;
}

bool
Ingress::mayRunConcurrently(const CallerRequest& aRequest) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (!mHooks.mParseCallerHeaders || view->mModel == nullptr) {
    return false;
  }
  const config::Route* route =
    config::matchPrefix(*view->mModel,
                        mHooks.mParseCallerHeaders(aRequest).mHost,
                        aRequest.mTarget);
  return route != nullptr && route->mIdempotent;
}

bool
Ingress::mayEndConnection(const CallerRequest& aRequest) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (!mHooks.mParseCallerHeaders || view->mModel == nullptr) {
    return false;
  }
  const CallerHeaders headers = mHooks.mParseCallerHeaders(aRequest);
  const config::Route* route =
    config::matchPrefix(*view->mModel, headers.mHost, aRequest.mTarget);
  if (route == nullptr) {
    return false;
  }
  const std::string service =
    config::pickService(*route, hash64(headers.mRequestId));
  const std::lock_guard<std::mutex> lock(mUnframedMutex);
  return mUnframedServices.mayEndConnection(service, mHooks.mNow());
}

NotRunReason
Ingress::authenticate(const CallerHeaders& aHeaders,
                      const FleetView& aView,
                      bool aOpen,
                      PendingRequest& aPending) const
{
  ForwardRequest& request = aPending.mRequest;
  const config::Model& model = *aView.mModel;
  if (aHeaders.mCallerKey) {
    const std::string stored = sha256Hex(*aHeaders.mCallerKey);
    request.workspace = findWorkspace(model, stored);
    const bool checked = !aOpen && !model.mWorkspaces.empty();
    request.caller_key = checked ? stored : std::string();
  }
  if (aOpen || model.mWorkspaces.empty()) {
    return NotRunReason::None;
  }
  return request.workspace.empty() ? NotRunReason::Unauthorized
                                   : NotRunReason::None;
}

bool
Ingress::isReportedFull(const ForwardRequest& aRequest, Incarnation aMember)
{
  const std::lock_guard<std::mutex> lock(mSelectorMutex);
  return mRoomReports[aRequest.service].isFull(
    aMember, aRequest.kind, mHooks.mNow());
}

void
Ingress::sendUnkeyed(const PendingRequestPtr& aPending,
                     const FleetView& aView,
                     const CellState* aCell)
{
  std::vector<UpstreamSelector::Candidate> candidates;
  std::vector<UpstreamSelector::Candidate> all;
  if (aCell != nullptr) {
    for (const auto& [incarnation, member] : aCell->mMembers) {
      const auto zone = aView.mModel->mZones.find(member.mZone);
      const bool zoneOut =
        zone != aView.mModel->mZones.end() && !zone->second.mInService;
      if (!isEligibleOwner(*aCell, incarnation) || zoneOut) {
        continue;
      }
      const bool sameZone = member.mZone == mHooks.mOwnZone;
      all.push_back({ incarnation, sameZone });
      const bool isExcluded =
        isRefusedBy(aPending->mRefusedBy, incarnation) ||
        (aPending->mRoomAt && isReportedFull(aPending->mRequest, incarnation));
      if (!isExcluded) {
        candidates.push_back({ incarnation, sameZone });
      }
    }
  }
  std::optional<Incarnation> chosen;
  {
    const std::lock_guard<std::mutex> lock(mSelectorMutex);
    UpstreamSelector& selector = mSelectors[aPending->mRequest.service];
    selector.keepOnly(all);
    chosen = selector.choose(candidates,
                             aPending->mRequest.id_low,
                             mHooks.mNow(),
                             aPending->mRequest.kind,
                             aPending->mRequest.large_response);
    if (chosen) {
      selector.onSent(*chosen);
    }
  }
  if (!chosen) {
    const NotRunReason reason = aPending->mLastReason == NotRunReason::None
                                  ? NotRunReason::NoOwner
                                  : aPending->mLastReason;
    const Millis retryAfter =
      aPending->mRoomAt
        ? std::max(Millis{ 1 }, *aPending->mRoomAt - mHooks.mNow())
        : kDefaultRetryAfter;
    finish(aPending,
           makeNotRunAnswer(idOf(aPending->mRequest), reason, retryAfter));
    return;
  }
  dispatch(aPending,
           makeAttempt(*aPending, aView),
           aView,
           aCell->mMembers.at(*chosen));
}

bool
Ingress::tryAnotherUpstream(PendingRequest& aPending,
                            Answer& aAnswer,
                            Millis aNow)
{
  const bool hasRoom = hasRoomElsewhere(aPending, aAnswer, aNow);
  const bool refused = aAnswer.kind == AnswerKind::NotRun &&
                       aAnswer.reason != NotRunReason::Malformed &&
                       aAnswer.reason != NotRunReason::Quarantined &&
                       aAnswer.reason != NotRunReason::DeadlinePassed &&
                       aAnswer.reason != NotRunReason::Unauthorized;
  if (!refused || !hasRoom || aPending.mRefusedBy.size() >= kMaxRefusals ||
      aNow >= aPending.mObjectiveAt) {
    return false;
  }
  aPending.mRefusedBy.push_back(aPending.mSentTo);
  return true;
}

bool
Ingress::hasRoomElsewhere(PendingRequest& aPending,
                          Answer& aAnswer,
                          Millis aNow)
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  const ForwardRequest& request = aPending.mRequest;
  const CellState* cell = view->cell(request.service);
  if (aAnswer.kind != AnswerKind::NotRun ||
      aAnswer.reason != NotRunReason::QueueFull || cell == nullptr ||
      !sharesRoom(*view, request.service)) {
    return true;
  }
  if (aAnswer.retry_after_ms > 0) {
    const Millis at = aNow + Millis{ aAnswer.retry_after_ms };
    aPending.mRoomAt = std::min(aPending.mRoomAt.value_or(at), at);
    aAnswer.retry_after_ms =
      std::max(Millis{ 1 }, *aPending.mRoomAt - aNow).mCount;
  }
  const std::lock_guard<std::mutex> lock(mSelectorMutex);
  RoomReports& reports = mRoomReports[request.service];
  reports.onRefused(aPending.mSentTo, request.kind, aNow);
  return std::ranges::any_of(cell->mMembers, [&](const auto& aEntry) {
    return isEligibleOwner(*cell, aEntry.first) &&
           !isRefusedBy(aPending.mRefusedBy, aEntry.first) &&
           !reports.isFull(aEntry.first, request.kind, aNow);
  });
}

bool
Ingress::consumeAttempt(PendingRequest& aPending) const
{
  if (!mHooks.mParseCallerHeaders) {
    return true;
  }
  std::uint8_t& left = aPending.mRequest.attempts_left;
  // 0 means no limit.
  if (left == 1) {
    return false;
  }
  left = left == 0 ? 0 : static_cast<std::uint8_t>(left - 1);
  if (aPending.mUnkeyed &&
      !isRefusedBy(aPending.mRefusedBy, aPending.mSentTo)) {
    aPending.mRefusedBy.push_back(aPending.mSentTo);
  }
  return true;
}

void
Ingress::recordAnswer(const PendingRequest& aPending, const Answer& aAnswer)
{
  if (!aPending.mUnkeyed) {
    return;
  }
  const Millis now = mHooks.mNow();
  const bool failed = aAnswer.kind == AnswerKind::Unknown ||
                      (aAnswer.kind == AnswerKind::NotRun &&
                       aAnswer.reason != NotRunReason::QueueFull &&
                       aAnswer.reason != NotRunReason::Cancelled);
  const std::lock_guard<std::mutex> lock(mSelectorMutex);
  UpstreamSelector& selector = mSelectors[aPending.mRequest.service];
  selector.onEnded(aPending.mSentTo, failed, now);
  const bool hasRun = aAnswer.kind != AnswerKind::NotRun;
  if (hasRun) {
    selector.onRun(aPending.mSentTo,
                   aPending.mRequest.kind,
                   aAnswer.kind == AnswerKind::Unknown ||
                     aAnswer.status >= kMinServerError,
                   now);
  }
  if (aAnswer.load != nullptr) {
    UpstreamStats stats;
    stats.mSlots = aAnswer.load->slots;
    stats.mSustainedSlots = aAnswer.load->sustained_slots;
    stats.mRunning = aAnswer.load->running;
    stats.mRunMs = aAnswer.load->run_ms;
    stats.mSlowness = aAnswer.load->slowness;
    stats.mLimitPerSecond = aAnswer.load->limit_per_second;
    stats.mLargeWait = Millis{ aAnswer.load->large_wait_ms };
    selector.onStats(aPending.mSentTo, stats, aAnswer.load->queued, now);
    selector.onKindTime(
      aPending.mSentTo, aPending.mRequest.kind, aAnswer.load->kind_run_ms, now);
  }
}

void
Ingress::addRefusalHeaders(const PendingRequest& aPending,
                           Answer& aAnswer) const
{
  if (aAnswer.kind == AnswerKind::NotRun && aAnswer.retry_after_ms <= 0) {
    aAnswer.retry_after_ms = kDefaultRetryAfter.mCount;
  }
  if (!aPending.mRequest.request_id.empty()) {
    std::unique_ptr<wire::HeaderT> id = std::make_unique<wire::HeaderT>();
    id->name = mHooks.mRequestIdHeader;
    id->value = aPending.mRequest.request_id;
    aAnswer.headers.push_back(std::move(id));
  }
}

void
Ingress::logOutcome(const PendingRequest& aPending, const Answer& aAnswer) const
{
  const ForwardRequest& request = aPending.mRequest;
  const bool answered = aAnswer.kind == AnswerKind::Answered;
  const Millis now = mHooks.mNow();
  const bool late = now > aPending.mObjectiveAt;
  const bool isOrdinary = answered && !late && aPending.mZoneOut.empty();
  if (!mHooks.mParseCallerHeaders ||
      (isOrdinary && !isSampled(request.request_id))) {
    return;
  }
  // A request without a route has no objective.
  const Millis objective = aPending.mObjectiveAt == Millis{}
                             ? Millis{}
                             : aPending.mObjectiveAt - aPending.mReceivedAt;
  nlohmann::json line = { { "outcome", outcomeName(aAnswer.kind) },
                          { "reason", reasonName(aAnswer.reason) },
                          { "status", aAnswer.status },
                          { "service", request.service },
                          { "workspace", request.workspace },
                          { "shard", request.shard },
                          { "sent_to", std::to_string(aPending.mSentTo) },
                          { "config_version", request.config_version },
                          { "took_ms", (now - aPending.mReceivedAt).mCount },
                          { "objective_ms", objective.mCount },
                          { "retry_after_ms", aAnswer.retry_after_ms } };
  if (isByConfig(aAnswer) && aPending.mRefusalBasis) {
    const PendingRequest::RefusalBasis& basis = *aPending.mRefusalBasis;
    line["operator_version"] = basis.mOperatorVersion;
    line["config_age_ms"] =
      config::configAge(basis.mConfigAsOf, aPending.mReceivedAt);
  }
  if (!aPending.mZoneOut.empty()) {
    line["zone_out"] = aPending.mZoneOut;
    line["zone_known_out_ms"] = aPending.mZoneKnownOut.mCount;
  }
  if (aPending.mIsWaitingForTokens && aAnswer.kind == AnswerKind::NotRun &&
      mHooks.mTokenState) {
    const TokenState tokens = mHooks.mTokenState(request.workspace);
    line.update({ { "tokens_granted", tokens.mGranted },
                  { "tokens_wanted", tokens.mWanted },
                  { "waiting", tokens.mWaiting },
                  { "asked_ms_ago", tokens.mSinceLastAsk.mCount },
                  { "ask_pending", tokens.mAskPending },
                  { "owner_answers", !tokens.mLastAskUnanswered },
                  { "demand_per_second", tokens.mDemand } });
  }
  logRequest("request", request.request_id, std::move(line));
}

}
