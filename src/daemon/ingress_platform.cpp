#include "radishroad/daemon/ingress.h"

#include "ingress_flight.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"
#include "radishroad/caller/header_filter.h"
#include "radishroad/caller/response.h"
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

/// Part of the time to the objective for which a request may wait for its key
/// to be served, or for its workspace's tokens.
constexpr std::int64_t kResendPart = 6;
constexpr Millis kLeastResend{ 30 };
/// Taken for callers that do not say how long they wait.
constexpr Millis kDefaultTimeLeft{ 5000 };
/// Refusals after which a request that any upstream may run is given up.
constexpr std::size_t kMaxRefusedBy = 3;
/// What refused callers are asked to wait if nothing better is known.
constexpr Millis kDefaultRetryAfter{ 250 };
/// Ranks that a workspace's rank is above those of routes.
constexpr unsigned kWorkspaceRankStep = 2;
constexpr unsigned kLowestRank = 15;

std::uint8_t
rankOf(const config::Route& aRoute, const config::Workspace* aWorkspace)
{
  const unsigned workspace =
    aWorkspace == nullptr ? 0U : aWorkspace->mRank.value_or(0);
  return static_cast<std::uint8_t>(
    std::min(kLowestRank, workspace * kWorkspaceRankStep + aRoute.mRank));
}

bool
isRefusedBy(std::span<const Incarnation> aRefusedBy, Incarnation aMember)
{
  return std::ranges::find(aRefusedBy, aMember) != aRefusedBy.end();
}

}

NotRunReason
Ingress::prepareByHead(CallerRequest& aRequest,
                       const FleetView& aView,
                       Flight& aFlight) const
{
  const CallerHeaders head = mHooks.mReadHead(aRequest);
  ForwardRequest& request = aFlight.mRequest;
  request.request_id = head.mRequestId;
  if (aView.mModel == nullptr) {
    return NotRunReason::NoOwner;
  }
  const config::Model& model = *aView.mModel;
  const config::Route* route =
    config::matchPrefix(model, head.mHost, aRequest.mTarget);
  if (route == nullptr) {
    return NotRunReason::NoRoute;
  }
  const NotRunReason reason = takeKey(head, aView, route->mOpen, aFlight);
  if (reason != NotRunReason::None) {
    return reason;
  }
  request.service = config::pickService(*route, hash64(head.mRequestId));
  const auto service = model.mServices.find(request.service);
  if (service == model.mServices.end()) {
    return NotRunReason::NoRoute;
  }
  aFlight.mUnkeyed = !service->second.mKeyed;
  request.shard = kShardCount;
  if (!aFlight.mUnkeyed) {
    if (!head.mKeyNumber) {
      return NotRunReason::Malformed;
    }
    const CellState* cell = aView.cell(request.service);
    const KeyLayout layout = cell == nullptr ? KeyLayout() : layoutOf(*cell);
    request.key_hash = layout.hashOfKeyNumber(*head.mKeyNumber);
    request.shard = shardOf(request.key_hash);
  }
  const auto workspace = model.mWorkspaces.find(request.workspace);
  const bool isKnown = workspace != model.mWorkspaces.end();
  request.rank = rankOf(*route, isKnown ? &workspace->second : nullptr);
  // Only a workspace with a rate needs tokens.
  aFlight.mOpen = !isKnown || workspace->second.mRatePerSecond <= 0;
  request.idempotent = route->mIdempotent;
  request.kind = static_cast<std::uint32_t>(hash64(route->mName));
  request.attempts_left = route->mMaxAttempts;
  request.caller_service = mHooks.mOwnService;
  request.method = std::move(aRequest.mMethod);
  request.target = std::move(aRequest.mTarget);
  request.body.assign(aRequest.mBody.begin(), aRequest.mBody.end());
  for (wire::HeaderT& header : aRequest.mHeaders) {
    if (!equalsIgnoringCase(header.name, "authorization")) {
      request.headers.push_back(
        std::make_unique<wire::HeaderT>(std::move(header)));
    }
  }
  Millis longest = head.mTimeLeft.value_or(kDefaultTimeLeft);
  if (route->mTimeout > Millis{}) {
    longest = std::min(longest, route->mTimeout);
  }
  const Millis from = aFlight.mReceivedAt;
  aFlight.mDeadline = from + longest;
  aFlight.mObjectiveAt = route->mLatencyObjective > Millis{}
                           ? from + std::min(route->mLatencyObjective, longest)
                           : aFlight.mDeadline;
  const Millis part = (aFlight.mObjectiveAt - from) / kResendPart;
  aFlight.mResendUntil = from + std::max(kLeastResend, part);
  aFlight.mAdmitUntil = aFlight.mResendUntil;
  return NotRunReason::None;
}

bool
Ingress::mayOverlap(const CallerRequest& aRequest) const
{
  const std::shared_ptr<const FleetView> view = mViews.get();
  if (!mHooks.mReadHead || view->mModel == nullptr) {
    return false;
  }
  const config::Route* route = config::matchPrefix(
    *view->mModel, mHooks.mReadHead(aRequest).mHost, aRequest.mTarget);
  return route != nullptr && route->mIdempotent;
}

NotRunReason
Ingress::takeKey(const CallerHeaders& aHead,
                 const FleetView& aView,
                 bool aOpen,
                 Flight& aFlight) const
{
  ForwardRequest& request = aFlight.mRequest;
  const config::Model& model = *aView.mModel;
  request.config_version = aView.mConfigVersion;
  if (aHead.mCallerKey) {
    const std::string stored = sha256Hex(*aHead.mCallerKey);
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

void
Ingress::sendToAny(const FlightPtr& aFlight,
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
      if (!isRefusedBy(aFlight->mRefusedBy, incarnation)) {
        candidates.push_back({ incarnation, sameZone });
      }
    }
  }
  std::optional<Incarnation> chosen;
  {
    const std::lock_guard<std::mutex> lock(mChoiceMutex);
    UpstreamSelector& choice = mChoices[aFlight->mRequest.service];
    choice.keepOnly(all);
    chosen = choice.choose(candidates, aFlight->mRequest.id_low, mHooks.mNow());
    if (chosen) {
      choice.onSent(*chosen);
    }
  }
  if (!chosen) {
    const NotRunReason reason = aFlight->mLastReason == NotRunReason::None
                                  ? NotRunReason::NoOwner
                                  : aFlight->mLastReason;
    finish(
      aFlight,
      makeNotRunAnswer(idOf(aFlight->mRequest), reason, kDefaultRetryAfter));
    return;
  }
  handOver(aFlight, makeAttempt(*aFlight, aView), aCell->mMembers.at(*chosen));
}

bool
Ingress::triesAnother(Flight& aFlight, const Answer& aAnswer, Millis aNow)
{
  const bool refused = aAnswer.kind == AnswerKind::NotRun &&
                       aAnswer.reason != NotRunReason::Malformed &&
                       aAnswer.reason != NotRunReason::Quarantined &&
                       aAnswer.reason != NotRunReason::DeadlinePassed &&
                       aAnswer.reason != NotRunReason::Unauthorized;
  if (!refused || aFlight.mRefusedBy.size() >= kMaxRefusedBy ||
      aNow >= aFlight.mObjectiveAt) {
    return false;
  }
  aFlight.mRefusedBy.push_back(aFlight.mSentTo);
  return true;
}

bool
Ingress::mayTryAgain(Flight& aFlight) const
{
  if (!mHooks.mReadHead) {
    return true;
  }
  std::uint8_t& left = aFlight.mRequest.attempts_left;
  // 0 stands for no bound.
  if (left == 1) {
    return false;
  }
  left = left == 0 ? 0 : static_cast<std::uint8_t>(left - 1);
  if (aFlight.mUnkeyed && !isRefusedBy(aFlight.mRefusedBy, aFlight.mSentTo)) {
    aFlight.mRefusedBy.push_back(aFlight.mSentTo);
  }
  return true;
}

void
Ingress::noteAnswer(const Flight& aFlight, const Answer& aAnswer)
{
  if (!aFlight.mUnkeyed) {
    return;
  }
  const Millis now = mHooks.mNow();
  const bool failed = aAnswer.kind == AnswerKind::Unknown ||
                      (aAnswer.kind == AnswerKind::NotRun &&
                       aAnswer.reason != NotRunReason::QueueFull &&
                       aAnswer.reason != NotRunReason::Cancelled);
  const std::lock_guard<std::mutex> lock(mChoiceMutex);
  UpstreamSelector& choice = mChoices[aFlight.mRequest.service];
  choice.onEnded(aFlight.mSentTo, failed, now);
  if (aAnswer.load != nullptr) {
    UpstreamStats pace;
    pace.mSlots = aAnswer.load->slots;
    pace.mRunning = aAnswer.load->running;
    pace.mRunMs = aAnswer.load->run_ms;
    pace.mSlowness = aAnswer.load->slowness;
    choice.onStats(aFlight.mSentTo, pace, aAnswer.load->queued, now);
  }
}

void
Ingress::addRefusalHead(const Flight& aFlight, Answer& aAnswer) const
{
  if (aAnswer.kind == AnswerKind::NotRun && aAnswer.retry_after_ms <= 0) {
    aAnswer.retry_after_ms = kDefaultRetryAfter.mCount;
  }
  if (!aFlight.mRequest.request_id.empty()) {
    std::unique_ptr<wire::HeaderT> id = std::make_unique<wire::HeaderT>();
    id->name = mHooks.mRequestIdHeader;
    id->value = aFlight.mRequest.request_id;
    aAnswer.headers.push_back(std::move(id));
  }
}

void
Ingress::logOutcome(const Flight& aFlight, const Answer& aAnswer) const
{
  const ForwardRequest& request = aFlight.mRequest;
  const bool answered = aAnswer.kind == AnswerKind::Answered;
  const Millis now = mHooks.mNow();
  const bool late = now > aFlight.mObjectiveAt;
  if (!mHooks.mReadHead ||
      (answered && !late && !isSampled(request.request_id))) {
    return;
  }
  nlohmann::json line = {
    { "outcome", outcomeName(aAnswer.kind) },
    { "reason", reasonName(aAnswer.reason) },
    { "status", aAnswer.status },
    { "service", request.service },
    { "workspace", request.workspace },
    { "shard", request.shard },
    { "sent_to", std::to_string(aFlight.mSentTo) },
    { "config_version", request.config_version },
    { "took_ms", (now - aFlight.mReceivedAt).mCount },
    { "objective_ms", (aFlight.mObjectiveAt - aFlight.mReceivedAt).mCount },
    { "retry_after_ms", aAnswer.retry_after_ms }
  };
  if (aFlight.mHeldForToken && aAnswer.kind == AnswerKind::NotRun &&
      mHooks.mTokenState) {
    const TokenState tokens = mHooks.mTokenState(request.workspace);
    line.update({ { "tokens_granted", tokens.mGranted },
                  { "tokens_wanted", tokens.mWanted },
                  { "waiting", tokens.mWaiting },
                  { "asked_ms_ago", tokens.mSinceLastAsk.mCount },
                  { "ask_pending", tokens.mAskPending },
                  { "owner_answers", !tokens.mUnanswered },
                  { "demand_per_second", tokens.mDemand } });
  }
  logRequest("request", request.request_id, std::move(line));
}

}
