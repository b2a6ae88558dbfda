#include "gate_fixture.h"

#include "radishroad/policy/fingerprint.h"

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(gate_load)

BOOST_AUTO_TEST_CASE(deadline_cancels_the_run)
{
  ReplyLatch replies;
  GateFixture fixture([&](const Request&) {
    return replies.waitAndReturn(FakeUpstream::ok(""));
  });
  ForwardRequest request = makeRequest("POST", 1);
  request.time_left_ms = 200;
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::Unknown));
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
  const RandomId id{ 7, 1 };
  BOOST_TEST(fixture.mUpstream.requests("DELETE")[0].mTarget ==
             "/requests/" + id.toString());
  replies.release();
}

BOOST_AUTO_TEST_CASE(service_deadline_limits_the_request_deadline)
{
  ReplyLatch replies;
  GateFixture fixture([&](const Request&) {
    return replies.waitAndReturn(FakeUpstream::ok(""));
  });
  config::Service service;
  service.mDeadline = 200_ms;
  fixture.mGate.configure(service);
  ForwardRequest request = makeRequest("POST", 1);
  request.time_left_ms = 600000;
  BOOST_TEST((fixture.run(std::move(request)).kind == AnswerKind::Unknown));
  const Request seen = fixture.mUpstream.requests("POST").at(0);
  BOOST_TEST(std::stoi(seen.mHeaders.at("x-radishroad-deadline-ms")) <= 200);
  replies.release();
}

BOOST_AUTO_TEST_CASE(cancel_of_waiting_and_running_requests)
{
  ReplyLatch replies;
  GateFixture fixture([&](const Request&) {
    return replies.waitAndReturn(FakeUpstream::ok(""));
  });
  fixture.pause({ 8 });
  ForwardRequest held = makeRequest("POST", 1);
  held.shard = 8;
  std::future<Answer> waiting = fixture.submit(held);
  std::future<Answer> running = fixture.submit(makeRequest("POST", 2));
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  fixture.mGate.cancel({ 7, 1 });
  fixture.mGate.cancel({ 7, 2 });
  const Answer notRun = waiting.get();
  BOOST_TEST((notRun.kind == AnswerKind::NotRun));
  BOOST_TEST((notRun.reason == NotRunReason::Cancelled));
  BOOST_TEST((running.get().kind == AnswerKind::Unknown));
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
  replies.release();
}

BOOST_AUTO_TEST_CASE(lapsed_lease_cancels_a_run_and_renewed_lease_does_not)
{
  for (const bool renewed : { true, false }) {
    ReplyLatch replies;
    GateFixture fixture([&](const Request&) {
      return replies.waitAndReturn(FakeUpstream::ok(""));
    });
    fixture.mLeaseMs = 50;
    std::future<Answer> answer = fixture.submit(makeRequest("POST", 1));
    BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
    const int asked = fixture.mMayServeCalls;
    if (renewed) {
      while (fixture.mMayServeCalls < asked + 2) {
        std::this_thread::yield();
      }
      replies.release();
      BOOST_TEST((answer.get().kind == AnswerKind::Answered));
      continue;
    }
    fixture.mRefusal = NotRunReason::LeaseLapsed;
    BOOST_TEST((answer.get().kind == AnswerKind::Unknown));
    BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
    replies.release();
  }
}

BOOST_AUTO_TEST_CASE(pause_waits_for_runs_and_holds_new_requests)
{
  ReplyLatch replies;
  GateFixture fixture([&](const Request&) {
    return replies.waitAndReturn(FakeUpstream::ok(""));
  });
  std::future<Answer> running = fixture.submit(makeRequest("POST", 1));
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  std::promise<void> paused;
  const std::vector<Shard> shards{ 3 };
  fixture.mGate.pauseShards(shards, [&] { paused.set_value(); });
  std::future<Answer> held = fixture.submit(makeRequest("POST", 2));
  std::future<void> done = paused.get_future();
  BOOST_TEST((done.wait_for(std::chrono::milliseconds(50)) ==
              std::future_status::timeout));
  replies.release();
  BOOST_TEST((running.get().kind == AnswerKind::Answered));
  done.get();
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
  fixture.mRefusal = NotRunReason::NotOwner;
  fixture.mGate.resumeShards(shards);
  BOOST_TEST((held.get().reason == NotRunReason::NotOwner));
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_and_stop_answers_the_rest)
{
  GateFixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  fixture.pause({ 3 });
  std::vector<std::future<Answer>> answers;
  for (std::uint64_t i = 0; i < 9; ++i) {
    answers.push_back(fixture.submit(makeRequest("POST", i)));
  }
  const Answer full = answers.back().get();
  BOOST_TEST((full.reason == NotRunReason::QueueFull));
  answers.pop_back();
  const std::vector<Shard> shards{ 3 };
  fixture.mGate.resumeShards(shards);
  fixture.mGate.stop();
  for (std::future<Answer>& answer : answers) {
    BOOST_TEST((answer.get().kind == AnswerKind::Answered));
  }
  const Answer late = fixture.run(makeRequest("POST", 20));
  BOOST_TEST((late.reason == NotRunReason::Draining));
}

BOOST_AUTO_TEST_CASE(fresh_upstream_gets_one_request_at_a_time)
{
  std::atomic<int> running{ 0 };
  std::atomic<int> maxRunning{ 0 };
  GateFixture fixture([&](const Request&) {
    maxRunning = std::max(maxRunning.load(), ++running);
    --running;
    return FakeUpstream::ok("");
  });
  std::vector<std::future<Answer>> answers;
  for (std::uint64_t i = 0; i < 8; ++i) {
    answers.push_back(fixture.submit(makeRequest("POST", i)));
  }
  for (std::future<Answer>& answer : answers) {
    BOOST_TEST((answer.get().kind == AnswerKind::Answered));
  }
  BOOST_TEST(maxRunning == 1);
}

BOOST_AUTO_TEST_CASE(non_idempotent_requests_are_limited)
{
  std::promise<void> opened;
  const std::shared_future<void> release = opened.get_future().share();
  GateFixture fixture([&](const Request& aRequest) {
    if (aRequest.mMethod == "POST") {
      release.wait();
    }
    return FakeUpstream::ok("");
  });
  const auto get = [](std::uint64_t aId) {
    ForwardRequest request = makeRequest("GET", aId);
    request.idempotent = true;
    return request;
  };
  std::uint64_t id = 0;
  while (fixture.mGate.takeLoad().mWindow < 4) {
    std::vector<std::future<Answer>> answers;
    for (int i = 0; i < 4; ++i) {
      answers.push_back(fixture.submit(get(id++)));
    }
    for (std::future<Answer>& answer : answers) {
      answer.get();
    }
  }
  std::future<Answer> first = fixture.submit(makeRequest("POST", id++));
  std::future<Answer> second = fixture.submit(makeRequest("POST", id++));
  BOOST_TEST((fixture.run(get(id++)).kind == AnswerKind::Answered));
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
  opened.set_value();
  BOOST_TEST((first.get().kind == AnswerKind::Answered));
  BOOST_TEST((second.get().kind == AnswerKind::Answered));
}

BOOST_AUTO_TEST_CASE(idempotent_runs_are_rerun_when_the_upstream_turns_cold)
{
  // The first answer to each request to /held, with ids from kHeld on, is held
  // back.
  constexpr int kHeld = 100000;
  std::mutex mutex;
  std::map<std::string, int> seen;
  std::promise<void> opened;
  const std::shared_future<void> release = opened.get_future().share();
  GateFixture fixture([&](const Request& aRequest) {
    const std::string id = aRequest.mHeaders.at("x-radishroad-request-id");
    int times = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      times = ++seen[id];
    }
    if (aRequest.mTarget == "/held" && times == 1) {
      release.wait();
    }
    return FakeUpstream::ok("");
  });
  // Send requests until the window allows several at once.
  std::uint64_t id = 0;
  while (fixture.mGate.takeLoad().mWindow < 3) {
    std::vector<std::future<Answer>> answers;
    for (int i = 0; i < 4; ++i) {
      answers.push_back(fixture.submit(makeRequest("GET", id++)));
    }
    for (std::future<Answer>& answer : answers) {
      answer.get();
    }
  }
  std::vector<std::future<Answer>> held;
  for (std::uint64_t i = 0; i < 3; ++i) {
    ForwardRequest request = makeRequest(i == 0 ? "POST" : "GET", kHeld + i);
    request.target = "/held";
    request.idempotent = i != 0;
    held.push_back(fixture.submit(std::move(request)));
  }
  // The two idempotent requests are cancelled and run again once the POST,
  // which must run only once, has left the window of one.
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 2));
  opened.set_value();
  for (std::future<Answer>& answer : held) {
    BOOST_TEST((answer.get().kind == AnswerKind::Answered));
  }
  BOOST_TEST(fixture.mUpstream.requests("DELETE").size() == 2U);
  const std::lock_guard<std::mutex> lock(mutex);
  BOOST_TEST((seen.at(RandomId{ 7, kHeld }.toString()) == 1));
}

BOOST_AUTO_TEST_CASE(request_in_flight_at_a_restart_is_reported)
{
  FakeUpstream* upstream = nullptr;
  GateFixture fixture([&](const Request&) {
    upstream->setInstance("two");
    return Reply{ "", true };
  });
  upstream = &fixture.mUpstream;
  const ForwardRequest request = makeRequest("POST", 1);
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  std::future<std::uint64_t> crash = fixture.mCrash.get_future();
  BOOST_REQUIRE((crash.wait_for(kAnswerTimeout) == std::future_status::ready));
  BOOST_TEST(crash.get() == fingerprintOf(request));
}

BOOST_AUTO_TEST_SUITE_END()
