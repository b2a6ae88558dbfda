#ifndef RADISHROAD_TESTS_GATE_FIXTURE_H
#define RADISHROAD_TESTS_GATE_FIXTURE_H

#include "radishroad/upstream/gate.h"
#include "support/fake_upstream.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

namespace radishroad {

using Reply = FakeUpstream::Reply;
using Request = FakeUpstream::Request;

constexpr std::chrono::seconds kAnswerTimeout{ 10 };

inline ForwardRequest
makeRequest(std::string aMethod, std::uint64_t aId)
{
  ForwardRequest request;
  request.id_high = 7;
  request.id_low = aId;
  request.time_left_ms = 5000;
  request.workspace = "guild";
  request.shard = 3;
  request.key_hash = 99;
  request.method = std::move(aMethod);
  request.target = "/catalog/1/page?x=..%2f";
  return request;
}

inline void
addHeader(ForwardRequest& aRequest, std::string aName, std::string aValue)
{
  auto header = std::make_unique<wire::HeaderT>();
  header->name = std::move(aName);
  header->value = std::move(aValue);
  aRequest.headers.push_back(std::move(header));
}

/// A gate with a fake upstream and hooks whose results a test can change.
struct GateFixture
{
  explicit GateFixture(FakeUpstream::Handler aHandler)
    : mUpstream(std::move(aHandler))
    , mGate(options(mUpstream.address()), hooks(), mMetrics)
  {
    config::Service service;
    service.mDeadline = Millis{ 5000 };
    service.mMaxInFlight = 4;
    mGate.configure(service);
    mGate.start();
  }

  static Gate::Options options(const std::string& aAddress)
  {
    Gate::Options options;
    options.mUpstream = aAddress;
    options.mMaxQueued = 8;
    return options;
  }

  Gate::Hooks hooks()
  {
    Gate::Hooks hooks;
    hooks.mMayServe = [this](const ForwardRequest&) {
      ++mMayServeCalls;
      ServeDecision decision;
      decision.mRefusal = mRefusal;
      decision.mEpoch = mEpoch;
      decision.mServeUntil = monotonicNow() + Millis{ mLeaseMs };
      return decision;
    };
    hooks.mOnHealth = [this](bool aUp) { mUp = aUp; };
    hooks.mOnCrash = [this](std::uint64_t aFingerprint, RandomId) {
      mCrash.set_value(aFingerprint);
    };
    hooks.mNow = monotonicNow;
    return hooks;
  }

  std::future<Answer> submit(ForwardRequest aRequest)
  {
    auto promise = std::make_shared<std::promise<Answer>>();
    mGate.submit(std::move(aRequest), [promise](Answer aAnswer) {
      promise->set_value(std::move(aAnswer));
    });
    return promise->get_future();
  }

  Answer run(ForwardRequest aRequest)
  {
    std::future<Answer> answer = submit(std::move(aRequest));
    BOOST_REQUIRE(
      (answer.wait_for(kAnswerTimeout) == std::future_status::ready));
    return answer.get();
  }

  void pause(std::vector<Shard> aShards)
  {
    std::promise<void> done;
    mGate.pauseShards(aShards, [&done] { done.set_value(); });
    done.get_future().wait();
  }

  std::atomic<NotRunReason> mRefusal{ NotRunReason::None };
  std::atomic<Epoch> mEpoch{ 5 };
  std::atomic<std::int64_t> mLeaseMs{ 60000 };
  std::atomic<int> mMayServeCalls{ 0 };
  std::atomic<bool> mUp{ false };
  std::promise<std::uint64_t> mCrash;
  Metrics mMetrics;
  FakeUpstream mUpstream;
  Gate mGate;
};

/// Blocks the upstream's replies until the test releases them.
struct ReplyLatch
{
  Reply waitAndReturn(Reply aReply)
  {
    mReleased.get_future().wait();
    return aReply;
  }
  void release() { mReleased.set_value(); }
  std::promise<void> mReleased;
};

}

#endif
