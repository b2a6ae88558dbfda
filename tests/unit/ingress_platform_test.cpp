#include "radishroad/daemon/ingress.h"

#include "cell_log.h"
#include "platform/messages.h"
#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/hash.h"
#include "radishroad/base/timer.h"
#include "radishroad/config/model.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/ownership/key_layout.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Millis kPatience = 5_s;
constexpr Incarnation kSelf = 99;

struct Sent
{
  std::string mAddress;
  ForwardRequest mRequest;
  AnswerFn mAnswer;
};

/// An ingress that takes requests of a platform for a keyed service and for one
/// whose upstreams are all alike.
struct PlatformIngress
{
  PlatformIngress()
    : mIngress(kSelf, mViews, mTimer, mMetrics, hooks())
  {
    CellLog keyed;
    CellLog alike;
    for (Incarnation n = 1; n <= 3; ++n) {
      for (CellLog* log : { &keyed, &alike }) {
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
    model->mServices["alike"].mKeyed = false;
    model->mWorkspaces["w"].mName = "w";
    model->mWorkspaceOfKey[sha256Hex("secret")] = "w";
    for (const char* service : { "keyed", "alike" }) {
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
    mView.mCells["alike"] = std::make_shared<CellState>(alike.mState);
    mViews.set(std::make_shared<FleetView>(mView));
  }

  Ingress::Hooks hooks()
  {
    Ingress::Hooks hooks;
    hooks.mTakeToken = [](const std::string&, bool) {
      return TakeResult::Refused;
    };
    hooks.mDropHeld = [](const std::string&) {};
    hooks.mRetryAfter = [](const std::string&) { return Millis{}; };
    hooks.mConfigFresh = [] { return true; };
    hooks.mToPeer = [this](const std::string& aAddress,
                           ForwardRequest aRequest,
                           AnswerFn aAnswer) {
      mSent.tryPush({ aAddress, std::move(aRequest), std::move(aAnswer) });
    };
    hooks.mCancelAtPeer = [](const std::string&, RandomId) {};
    hooks.mOnRequest = [] {};
    hooks.mMayRetry = [](const ForwardRequest& aRequest) {
      return aRequest.idempotent;
    };
    hooks.mReadHead = platform::readCallerHead;
    hooks.mRequestIdHeader = "X-Request-Id";
    hooks.mOwnService = "front";
    hooks.mOwnZone = "z";
    hooks.mNow = monotonicNow;
    return hooks;
  }

  /// Gives the routes an objective as long as callers wait.
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
    mIngress.handle(std::move(request), [this](Answer aAnswer) {
      mAnswers.tryPush(std::move(aAnswer));
    });
  }

  Answer answer() { return mAnswers.pop(kPatience).value(); }
  Sent sent() { return mSent.pop(kPatience).value(); }

  FleetView mView;
  BoundedQueue<Sent> mSent{ 16 };
  BoundedQueue<Answer> mAnswers{ 16 };
  ViewHolder mViews;
  Metrics mMetrics;
  Timer mTimer;
  Ingress mIngress;
};

}

BOOST_AUTO_TEST_SUITE(ingress_platform)

BOOST_AUTO_TEST_CASE(a_keyed_request_goes_to_the_owner_with_what_it_needs)
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
  // The route's time goes before the caller's.
  BOOST_TEST(sent.mRequest.time_left_ms <= 1000);
  BOOST_TEST(sent.mRequest.objective_ms <= 300);
  BOOST_TEST(std::ranges::none_of(sent.mRequest.headers, [](const auto& it) {
    return it->value.find("secret") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_CASE(what_is_not_known_is_refused_by_its_reason)
{
  PlatformIngress ingress;
  ingress.handle("/other/1");
  BOOST_TEST((ingress.answer().reason == NotRunReason::NoRoute));
  ingress.handle("/keyed/1", "wrong");
  BOOST_TEST((ingress.answer().reason == NotRunReason::Unauthorized));
  // Before a configuration is known nothing can be said of routes and keys.
  ingress.mViews.set(std::make_shared<FleetView>());
  ingress.handle("/keyed/1", "wrong");
  BOOST_TEST((ingress.answer().reason == NotRunReason::NoOwner));
}

BOOST_AUTO_TEST_CASE(a_key_without_its_owner_is_refused_soon_and_asked_back)
{
  PlatformIngress ingress;
  const Millis from = monotonicNow();
  ingress.handle("/keyed/1");
  std::optional<Sent> sent = ingress.mSent.pop(kPatience);
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

// It waited for a slot for longer than requests wait for keys, and then its
// key moved.
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

// The next owner serves the key only when the holds of the lost one have run
// out.
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

BOOST_AUTO_TEST_CASE(a_refused_request_goes_to_another_of_those_alike)
{
  PlatformIngress ingress;
  ingress.handle("/alike/1");
  const Sent first = ingress.sent();
  first.mAnswer(makeNotRunAnswer({ 0, 7 }, NotRunReason::QueueFull));
  const Sent second = ingress.sent();
  BOOST_TEST(first.mAddress != second.mAddress);
  BOOST_TEST(second.mRequest.shard == kShardCount);
}

BOOST_AUTO_TEST_CASE(no_more_upstreams_are_tried_than_the_route_allows)
{
  PlatformIngress ingress;
  ingress.handle("/alike/1");
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Unknown));
  BOOST_TEST(ingress.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_refusal_after_an_unknown_attempt_promises_nothing)
{
  PlatformIngress ingress;
  ingress.handle("/alike/1");
  ingress.sent().mAnswer(makeUnknownAnswer({ 0, 7 }));
  ingress.sent().mAnswer(
    makeNotRunAnswer({ 0, 7 }, NotRunReason::DeadlinePassed));
  BOOST_TEST((ingress.answer().kind == AnswerKind::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
