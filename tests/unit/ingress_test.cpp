#include "radishroad/daemon/ingress.h"

#include "cell_log.h"
#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/hash.h"
#include "radishroad/base/timer.h"
#include "radishroad/config/folder.h"
#include "radishroad/daemon/fleet_view.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

constexpr Millis kTimeout = 5_s;
constexpr Incarnation kSelf = 2;

/// An ingress for which member 1, a peer, owns the keys of all requests.
class Fixture
{
public:
  Fixture()
    : mIngress(kSelf, mViews, mTimer, mMetrics, hooks())
  {
    CellLog log = CellLog::withFourMembers();
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      log.assign(shard, 0, 1);
    }
    const std::string text =
      "workspaces: {w: {rate: 1/s, burst: 1, keys: [" + sha256Hex("k") +
      "]}}\nservices: {s: {}}\nroutes:\n"
      "  r: {path: '/{key}', service: s, idempotent: true}\n";
    FleetView view;
    view.mModel = std::make_shared<config::Model>(
      config::parse(std::vector<ConfigText>{ { "a.yaml", text } }).value());
    view.mCells["s"] = std::make_shared<CellState>(log.mState);
    mViews.set(std::make_shared<FleetView>(view));
  }

  Ingress::Hooks hooks()
  {
    Ingress::Hooks hooks;
    hooks.mTakeToken = [this](const std::string&, bool) { return mVerdict; };
    hooks.mCancelTokenWait = [this](const std::string&) {
      ++mCancelledTokenWaits;
    };
    hooks.mRetryAfter = [](const std::string&) { return Millis{}; };
    hooks.mConfigFresh = [] { return true; };
    hooks.mConfigAsOf = [] { return monotonicNow(); };
    hooks.mMayRefuseForGood = [](std::optional<Millis>, Millis) {
      return true;
    };
    hooks.mCheckConfig = [] { return false; };
    hooks.mSendToPeer =
      [this](const std::string&, const ForwardRequest&, AnswerFn aAnswer) {
        mSent.tryPush(std::move(aAnswer));
      };
    hooks.mCancelAtPeer = [this](const std::string&, RandomId aId) {
      mCancelled.tryPush(std::move(aId));
    };
    hooks.mOnRequest = [] {};
    hooks.mMayRetry = [](const ForwardRequest&) { return true; };
    hooks.mNow = monotonicNow;
    return hooks;
  }

  CancelFn handle()
  {
    CallerRequest request;
    request.mId = { 0, 7 };
    request.mMethod = "GET";
    request.mTarget = "/a";
    request.mReceivedAt = monotonicNow();
    wire::HeaderT key;
    key.name = "Authorization";
    key.value = "Bearer k";
    request.mHeaders.push_back(std::move(key));
    return mIngress.handle(std::move(request), [this](Answer aAnswer) {
      mAnswers.tryPush(std::move(aAnswer));
    });
  }

  TakeResult mVerdict = TakeResult::Taken;
  std::atomic<int> mCancelledTokenWaits{ 0 };
  BoundedQueue<AnswerFn> mSent{ 8 };
  BoundedQueue<RandomId> mCancelled{ 8 };
  BoundedQueue<Answer> mAnswers{ 8 };
  FleetViewStore mViews;
  Metrics mMetrics;
  Timer mTimer;
  Ingress mIngress;
};

}

BOOST_AUTO_TEST_SUITE(ingress)

BOOST_AUTO_TEST_CASE(cancelled_request_stops_waiting_for_tokens)
{
  Fixture fixture;
  fixture.mVerdict = TakeResult::WaitForGrant;
  const CancelFn cancel = fixture.handle();
  cancel();
  const Answer answer = fixture.mAnswers.pop(kTimeout).value();
  BOOST_TEST((answer.reason == NotRunReason::Cancelled));
  BOOST_TEST(fixture.mCancelledTokenWaits == 1);
  BOOST_TEST(fixture.mSent.size() == 0U);
}

BOOST_AUTO_TEST_CASE(cancelled_request_is_not_resent)
{
  // An idempotent request with an unknown outcome, and one that was not run.
  for (const Answer& end :
       { makeUnknownAnswer({ 0, 7 }),
         makeNotRunAnswer({ 0, 7 }, NotRunReason::NotOwner) }) {
    Fixture fixture;
    const CancelFn cancel = fixture.handle();
    const AnswerFn attempt = fixture.mSent.pop(kTimeout).value();
    cancel();
    BOOST_TEST((fixture.mCancelled.pop(kTimeout) == RandomId{ 0, 7 }));
    attempt(end);
    const Answer answer = fixture.mAnswers.pop(kTimeout).value();
    BOOST_TEST((answer.kind == end.kind));
    BOOST_TEST(fixture.mSent.size() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(cancel_between_two_attempts_ends_the_request)
{
  Fixture fixture;
  const CancelFn cancel = fixture.handle();
  fixture.mSent.pop(kTimeout).value()(
    makeNotRunAnswer({ 0, 7 }, NotRunReason::NotOwner));
  cancel();
  const Answer answer = fixture.mAnswers.pop(kTimeout).value();
  BOOST_TEST((answer.reason == NotRunReason::Cancelled));
  BOOST_TEST(fixture.mSent.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
