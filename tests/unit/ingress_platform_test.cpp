#include "radishroad/daemon/ingress.h"

#include "cell_log.h"
#include "platform/messages.h"
#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/hash.h"
#include "radishroad/base/timer.h"
#include "radishroad/config/freshness.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/ownership/key_layout.h"
#include "radishroad/state/snapshot_codec.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Millis kTimeout = 5_s;
constexpr Incarnation kSelf = 99;

struct Sent
{
  std::string mAddress;
  ForwardRequest mRequest;
  AnswerFn mAnswer;
};

/// An ingress with the platform's protocol, a keyed service and an unkeyed one,
/// whose requests any upstream may run.
struct PlatformIngress
{
  PlatformIngress()
    : mIngress(kSelf, mViews, mTimer, mMetrics, hooks())
  {
    CellLog keyed;
    CellLog unkeyed;
    for (Incarnation n = 1; n <= 3; ++n) {
      for (CellLog* log : { &keyed, &unkeyed }) {
        wire::JoinT join;
        join.vm = "vm-" + std::to_string(n);
        join.zone = "z";
        join.incarnation = n;
        join.peer_address = "peer-" + std::to_string(n);
        log->append(std::move(join));
      }
    }
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      keyed.assign(shard, 0, 1);
    }
    std::shared_ptr<config::Model> model = std::make_shared<config::Model>();
    model->mServices["keyed"].mName = "keyed";
    model->mServices["unkeyed"].mKeyed = false;
    model->mWorkspaces["w"].mName = "w";
    model->mWorkspaceOfKey[sha256Hex("secret")] = "w";
    for (const char* service : { "keyed", "unkeyed" }) {
      config::Route route;
      route.mHost = "h.x";
      route.mPrefix = std::string("/") + service + "/";
      route.mService = service;
      route.mIdempotent = true;
      route.mLatencyObjective = 300_ms;
      route.mTimeout = 1000_ms;
      route.mMaxAttempts = 2;
      model->mRoutes.push_back(route);
    }
    mView.mModel = model;
    mView.mConfigVersion = 3;
    mView.mCells["keyed"] = std::make_shared<CellState>(keyed.mState);
    mView.mCells["unkeyed"] = std::make_shared<CellState>(unkeyed.mState);
    mViews.set(std::make_shared<FleetView>(mView));
  }

  Ingress::Hooks hooks()
  {
    Ingress::Hooks hooks;
    hooks.mTakeToken = [](const std::string&, bool) {
      return TakeResult::Refused;
    };
    hooks.mCancelTokenWait = [](const std::string&) {};
    hooks.mRetryAfter = [](const std::string&) { return Millis{}; };
    hooks.mConfigFresh = [] { return true; };
    hooks.mConfigAsOf = [this] {
      const Millis asOf{ mConfigAsOf };
      return asOf == Millis{} ? std::nullopt : std::optional(asOf);
    };
    hooks.mMayRefuseForGood = [](std::optional<Millis> aAsOf,
                                 Millis aReceivedAt) {
      return config::mayRefuseForGood(aAsOf, aReceivedAt, 2000_ms);
    };
    hooks.mCheckConfig = [this] { return mMayCheckConfig.load(); };
    hooks.mSendToPeer = [this](const std::string& aAddress,
                               ForwardRequest aRequest,
                               AnswerFn aAnswer) {
      mSent.tryPush({ aAddress, std::move(aRequest), std::move(aAnswer) });
    };
    hooks.mCancelAtPeer = [](const std::string&, RandomId) {};
    hooks.mOnRequest = [] {};
    hooks.mMayRetry = [](const ForwardRequest& aRequest) {
      return aRequest.idempotent;
    };
    hooks.mParseCallerHeaders = platform::readCallerHeaders;
    hooks.mRequestIdHeader = "X-Request-Id";
    hooks.mOwnService = "front";
    hooks.mOwnZone = "z";
    hooks.mNow = monotonicNow;
    return hooks;
  }

  /// Sets the objective of the routes to the callers' deadline.
  void setLongObjective()
  {
    std::shared_ptr<config::Model> model =
      std::make_shared<config::Model>(*mView.mModel);
    for (config::Route& route : model->mRoutes) {
      route.mLatencyObjective = 2000_ms;
      route.mTimeout = 2000_ms;
    }
    mView.mModel = model;
    mViews.set(std::make_shared<FleetView>(mView));
  }

  void handle(const std::string& aTarget,
              const std::string& aKey = "secret",
              Millis aAge = {})
  {
    CallerRequest request;
    request.mId = { 0, 7 };
    request.mMethod = "GET";
    request.mTarget = aTarget;
    request.mReceivedAt = monotonicNow() - aAge;
    const std::string authorization = "Token " + aKey;
    for (const auto& [name, value] :
         std::initializer_list<std::pair<const char*, const char*>>{
           { "Host", "h.x" },
           { "X-Request-Id", "id-1" },
           { "X-Deadline-Ms", "2000" },
           { "X-Shard-Key", "4096" },
           { "Authorization", authorization.c_str() } }) {
      wire::HeaderT header;
      header.name = name;
      header.value = value;
      request.mHeaders.push_back(std::move(header));
    }
    mCancel = mIngress.handle(std::move(request), [this](Answer aAnswer) {
      mAnswers.tryPush(std::move(aAnswer));
    });
  }

  Answer answer() { return mAnswers.pop(kTimeout).value(); }
  Sent sent() { return mSent.pop(kTimeout).value(); }

  FleetView mView;
  BoundedQueue<Sent> mSent{ 16 };
  BoundedQueue<Answer> mAnswers{ 16 };
  FleetViewStore mViews;
  Metrics mMetrics;
  Timer mTimer;
  /// 0 for none.
  std::atomic<std::int64_t> mConfigAsOf{ monotonicNow().mCount };
  std::atomic<bool> mMayCheckConfig{ false };
  CancelFn mCancel;
  Ingress mIngress;
};

}

BOOST_AUTO_TEST_SUITE(ingress_platform)

BOOST_AUTO_TEST_CASE(a_keyed_request_goes_to_the_owner_with_its_attributes)
{
  PlatformIngress ingress;
  ingress.handle("/keyed/1");
  const Sent sent = ingress.sent();
  BOOST_TEST(sent.mAddress == "peer-1");
  BOOST_TEST(sent.mRequest.service == "keyed");
  BOOST_TEST(sent.mRequest.key_hash == KeyLayout().hashOfKeyNumber(4096));
  BOOST_TEST(sent.mRequest.workspace == "w");
  BOOST_TEST(sent.mRequest.caller_service == "front");
  BOOST_TEST(sent.mRequest.request_id == "id-1");
  // The route's timeout is shorter than the caller's deadline.
  BOOST_TEST(sent.mRequest.time_left_ms <= 1000);
  BOOST_TEST(sent.mRequest.objective_ms <= 300);
  BOOST_TEST(std::ranges::none_of(sent.mRequest.headers, [](const auto& it) {
    return it->value.find("secret") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_keys_are_refused_with_the_reason)
{
  PlatformIngress ingress;
  ingress.handle("/other/1");
  BOOST_TEST((ingress.answer().reason == NotRunReason::NoRoute));
  ingress.handle("/keyed/1", "wrong");
  BOOST_TEST((ingress.answer().reason == NotRunReason::Unauthorized));
  // Without a configuration, routes and keys cannot be checked.
  ingress.mViews.set(std::make_shared<FleetView>());
  ingress.handle("/keyed/1", "wrong");
  BOOST_TEST((ingress.answer().reason == NotRunReason::NoOwner));
}

// Routes and keys that an old configuration lacks were refused with 404 and
// 401.
BOOST_AUTO_TEST_CASE(a_configuration_of_unknown_age_refuses_nothing_for_good)
{
  PlatformIngress ingress;
  for (const Millis asOf : { Millis{}, monotonicNow() - 2100_ms }) {
    ingress.mConfigAsOf = asOf.mCount;
    for (const char* target : { "/other/1", "/keyed/1" }) {
      ingress.handle(target, "wrong");
      const Answer answer = ingress.answer();
      BOOST_TEST((answer.reason == NotRunReason::ConfigUnconfirmed));
      BOOST_TEST(answer.retry_after_ms > 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_route_waits_for_the_newest_configuration)
{
  PlatformIngress ingress;
  ingress.mMayCheckConfig = true;
  ingress.mConfigAsOf = 0;
  ingress.handle("/other/1");
  ingress.mConfigAsOf = monotonicNow().mCount;
  BOOST_TEST((ingress.answer().reason == NotRunReason::NoRoute));
  ingress.mConfigAsOf = 0;
  ingress.handle("/other/1");
  std::shared_ptr<config::Model> model =
    std::make_shared<config::Model>(*ingress.mView.mModel);
  model->mRoutes.front().mPrefix = "/other/";
  ingress.mView.mModel = model;
  ingress.mViews.set(std::make_shared<FleetView>(ingress.mView));
  BOOST_TEST(ingress.sent().mRequest.target == "/other/1");
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_the_configuration_is_cancelled)
{
  PlatformIngress ingress;
  ingress.mMayCheckConfig = true;
  ingress.mConfigAsOf = 0;
  ingress.handle("/other/1");
  ingress.mCancel();
  BOOST_TEST((ingress.answer().reason == NotRunReason::Cancelled));
}

BOOST_AUTO_TEST_CASE(
  a_request_for_an_unserved_key_is_refused_early_with_a_retry_time)
{
  PlatformIngress ingress;
  const Millis from = monotonicNow();
  ingress.handle("/keyed/1");
  std::optional<Sent> sent = ingress.mSent.pop(kTimeout);
  while (sent) {
    sent->mAnswer(makeNotRunAnswer({ 0, 7 }, NotRunReason::LeaseLapsed));
    sent = ingress.mSent.pop(100_ms);
  }
  const Answer answer = ingress.answer();
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST(answer.retry_after_ms > 0);
  BOOST_TEST((monotonicNow() - from < 1000_ms));
  BOOST_REQUIRE(!answer.headers.empty());
  BOOST_TEST(answer.headers.back()->value == "id-1");
}

// The request was queued for longer than requests may wait for their key to be
// served, and then its key moved. It must still be resent to the next owner.
BOOST_AUTO_TEST_CASE(a_request_follows_its_key_to_the_next_owner)
{
  PlatformIngress ingress;
  ingress.setLongObjective();
  ingress.handle("/keyed/1", "secret", 400_ms);
  for (int n = 0; n < 3; ++n) {
    ingress.sent().mAnswer(makeNotRunAnswer({ 0, 7 }, NotRunReason::NotOwner));
  }
  const Answer answer = ingress.answer();
  BOOST_TEST((answer.reason == NotRunReason::NotOwner));
  BOOST_TEST(ingress.mSent.size() == 0U);
}

// The next owner serves the key only after the grants of the lost owner have
// expired, so resending the request would be of no use.
BOOST_AUTO_TEST_CASE(a_long_wait_for_a_key_is_refused_at_once)
{
  PlatformIngress ingress;
  ingress.setLongObjective();
  ingress.handle("/keyed/1");
  ingress.sent().mAnswer(
    makeNotRunAnswer({ 0, 7 }, NotRunReason::LeaseLapsed, 2400_ms));
  const Answer answer = ingress.answer();
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST(answer.retry_after_ms == 2400);
  BOOST_TEST(ingress.mSent.size() == 0U);
}

// The daemon of the key's owner may not know yet that its zone is out.
BOOST_AUTO_TEST_CASE(keyed_requests_go_to_a_zone_that_has_long_been_out)
{
  PlatformIngress ingress;
  const Millis now = monotonicNow();
  ingress.mView.mZonesOut["z"] = { now - 5_s, now - 5_s, now - 1_s };
  ingress.mViews.set(std::make_shared<FleetView>(ingress.mView));
  ingress.handle("/keyed/1");
  const Answer answer = ingress.answer();
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST(answer.retry_after_ms > 0);
  BOOST_TEST((monotonicNow() - now < 1000_ms));
  BOOST_TEST(ingress.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(keyed_requests_go_to_their_owner_during_its_hand_off)
{
  PlatformIngress ingress;
  const Millis now = monotonicNow();
  ingress.mView.mZonesOut["z"] = { now, now, now + 10_s };
  ingress.mViews.set(std::make_shared<FleetView>(ingress.mView));
  ingress.handle("/keyed/1");
  BOOST_TEST(ingress.sent().mAddress == "peer-1");
}

BOOST_AUTO_TEST_CASE(a_refused_unkeyed_request_goes_to_another_upstream)
{
  PlatformIngress ingress;
  ingress.handle("/unkeyed/1");
  const Sent first = ingress.sent();
  first.mAnswer(makeNotRunAnswer({ 0, 7 }, NotRunReason::QueueFull));
  const Sent second = ingress.sent();
  BOOST_TEST(first.mAddress != second.mAddress);
  BOOST_TEST(second.mRequest.shard == kShardCount);
}

// Tries at full upstreams multiply the load and delay the refusal.
BOOST_AUTO_TEST_CASE(a_request_is_refused_at_once_if_all_upstreams_are_full)
{
  PlatformIngress ingress;
  std::shared_ptr<config::Model> model =
    std::make_shared<config::Model>(*ingress.mView.mModel);
  model->mServices["unkeyed"].mSharesRoom = true;
  ingress.mView.mModel = model;
  ingress.mViews.set(std::make_shared<FleetView>(ingress.mView));
  const auto refuseNext = [&ingress](Millis aRetryAfter) {
    const Sent sent = ingress.sent();
    sent.mAnswer(
      makeNotRunAnswer({ 0, 7 }, NotRunReason::QueueFull, aRetryAfter));
    return sent.mAddress;
  };
  ingress.handle("/unkeyed/1");
  const std::set<std::string> tried{ refuseNext(900_ms),
                                     refuseNext(700_ms),
                                     refuseNext(800_ms) };
  BOOST_TEST(tried.size() == 3U);
  const Answer first = ingress.answer();
  BOOST_TEST((first.reason == NotRunReason::QueueFull));
  // The earliest time that one of the upstreams told.
  BOOST_TEST(first.retry_after_ms <= 700);
  BOOST_TEST(first.retry_after_ms > 400);
  // The next one is tried once, since the gate counts what is offered.
  ingress.handle("/unkeyed/1");
  refuseNext(600_ms);
  BOOST_TEST((ingress.answer().kind == AnswerKind::NotRun));
  BOOST_TEST(ingress.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(no_more_upstreams_are_tried_than_the_route_allows)
{
  PlatformIngress ingress;
  ingress.handle("/unkeyed/1");
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Unknown));
  BOOST_TEST(ingress.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_stays_unknown_after_a_refusal)
{
  PlatformIngress ingress;
  ingress.handle("/unkeyed/1");
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  ingress.sent().mAnswer(
    makeNotRunAnswer({ 0, 7 }, NotRunReason::DeadlinePassed));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Unknown));
}

// LOST: the process ended (std::out_of_range) for a state of the store whose
// owner of a key is no member.
BOOST_AUTO_TEST_CASE(a_key_whose_owner_is_no_member_is_refused)
{
  PlatformIngress ingress;
  std::shared_ptr<CellState> state =
    std::make_shared<CellState>(*ingress.mView.mCells["keyed"]);
  for (Ownership& shard : state->mShards) {
    shard.mOwner = 77;
  }
  CellState decoded;
  BOOST_REQUIRE(decodeState(encodeState(*state), decoded).has_value());
  ingress.mView.mCells["keyed"] = std::make_shared<CellState>(decoded);
  ingress.mViews.set(std::make_shared<FleetView>(ingress.mView));
  ingress.handle("/keyed/1");
  const Answer refusal = ingress.answer();
  BOOST_TEST((refusal.kind == AnswerKind::NotRun));
  BOOST_TEST((refusal.reason == NotRunReason::NoOwner));
}

// LOST: a stopping daemon took requests that could not end in time.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_end_before_the_stop_is_refused)
{
  PlatformIngress ingress;
  ingress.mIngress.beginStop(StopSchedule::make(monotonicNow(), 600_ms));
  ingress.handle("/unkeyed/1");
  const Answer refusal = ingress.answer();
  BOOST_TEST((refusal.kind == AnswerKind::NotRun));
  BOOST_TEST((refusal.reason == NotRunReason::Draining));
  BOOST_TEST(refusal.retry_after_ms > 400);
  BOOST_TEST(ingress.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_takes_little_time_is_served_while_stopping)
{
  PlatformIngress ingress;
  ingress.handle("/unkeyed/1");
  Answer answered;
  answered.kind = AnswerKind::Answered;
  answered.status = 200;
  ingress.sent().mAnswer(std::move(answered));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Answered));
  ingress.mIngress.beginStop(StopSchedule::make(monotonicNow(), 960_ms));
  ingress.handle("/unkeyed/1");
  const Sent sent = ingress.sent();
  // The upstream has less time than this daemon waits for it.
  BOOST_TEST(sent.mRequest.work_left_ms > 0);
  BOOST_TEST(sent.mRequest.work_left_ms <= 800);
  BOOST_TEST(sent.mRequest.time_left_ms > sent.mRequest.work_left_ms);
  BOOST_TEST(sent.mRequest.time_left_ms <= 840);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_refused_while_stopping)
{
  PlatformIngress ingress;
  ingress.handle("/unkeyed/1");
  const Sent sent = ingress.sent();
  ingress.mIngress.beginStop(StopSchedule::make(monotonicNow(), {}));
  sent.mAnswer(makeUnknownAnswer({ 0, 7 }));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
