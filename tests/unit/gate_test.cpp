#include "radishroad/upstream/gate.h"

#include "fake_upstream.h"
#include "radishroad/policy/fingerprint.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <curl/curl.h>
#include <future>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Reply = FakeUpstream::Reply;
using Request = FakeUpstream::Request;

constexpr std::chrono::seconds kPatience{ 10 };

ForwardRequest
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

void
addHeader(ForwardRequest& aRequest, std::string aName, std::string aValue)
{
  auto header = std::make_unique<wire::HeaderT>();
  header->name = std::move(aName);
  header->value = std::move(aValue);
  aRequest.headers.push_back(std::move(header));
}

/// A gate before a fake upstream, with hooks that a test can change.
struct Fixture
{
  explicit Fixture(FakeUpstream::Handler aHandler)
    : mUpstream(std::move(aHandler))
    , mGate(options(mUpstream.address()), hooks(), mMetrics)
  {
    config::Service service;
    service.mDeadline = 5_s;
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
      ++mAsked;
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
    BOOST_REQUIRE((answer.wait_for(kPatience) == std::future_status::ready));
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
  std::atomic<int> mAsked{ 0 };
  std::atomic<bool> mUp{ false };
  std::promise<std::uint64_t> mCrash;
  Metrics mMetrics;
  FakeUpstream mUpstream;
  Gate mGate;
};

/// Holds the upstream's answers back until the test lets them go.
struct Valve
{
  Reply hold(Reply aReply)
  {
    mOpen.get_future().wait();
    return aReply;
  }
  void open() { mOpen.set_value(); }
  std::promise<void> mOpen;
};

}

BOOST_AUTO_TEST_SUITE(gate)

BOOST_AUTO_TEST_CASE(passes_request_and_answer_whole)
{
  Fixture fixture([](const Request&) {
    return Reply{ "HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 201 Created\r\nX-A: b\r\nConnection: X-Hop\r\n"
                  "X-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                  false };
  });
  ForwardRequest request = makeRequest("POST", 1);
  request.body = { 'h', 'i' };
  addHeader(request, "Authorization", "Bearer secret");
  addHeader(request, "X-Radishroad-Workspace", "forged");
  addHeader(request, "X-Custom", "kept");
  addHeader(request, "Keep-Alive", "5");
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::Answered));
  BOOST_TEST(answer.status == 201);
  BOOST_TEST(std::string(answer.body.begin(), answer.body.end()) == "abcde");
  BOOST_REQUIRE(answer.headers.size() == 1U);
  BOOST_TEST(answer.headers[0]->name == "X-A");
  BOOST_TEST(answer.headers[0]->value == "b");

  const Request seen = fixture.mUpstream.requests("POST").at(0);
  BOOST_TEST(seen.mTarget == "/catalog/1/page?x=..%2f");
  BOOST_TEST(seen.mBody == "hi");
  BOOST_TEST(seen.mHeaders.at("x-custom") == "kept");
  BOOST_TEST(seen.mHeaders.at("x-radishroad-workspace") == "guild");
  BOOST_TEST(seen.mHeaders.at("x-radishroad-epoch") == "5");
  BOOST_TEST(seen.mHeaders.at("x-radishroad-shard") == "3");
  BOOST_TEST(seen.mHeaders.at("x-radishroad-key-hash") == "99");
  BOOST_TEST(seen.mHeaders.at("x-radishroad-request-id") ==
             (RandomId{ 7, 1 }.toString()));
  BOOST_TEST(seen.mHeaders.count("authorization") == 0U);
  BOOST_TEST(seen.mHeaders.count("keep-alive") == 0U);
  BOOST_TEST(seen.mHeaders.count("content-type") == 0U);
}

BOOST_AUTO_TEST_CASE(header_that_adds_a_line_is_refused)
{
  Fixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  ForwardRequest request = makeRequest("GET", 1);
  addHeader(request, "X-A", "b\r\nX-Radishroad-Epoch: 9");
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::Malformed));
}

/// Answers the first request on each connection; reads later ones and closes.
Reply
closeOnReuse(const Request& aRequest)
{
  const bool first = aRequest.mOnConnection == 0;
  return first ? FakeUpstream::ok("first") : Reply{ "", true };
}

BOOST_AUTO_TEST_CASE(libcurl_alone_sends_a_post_again_on_a_dead_connection)
{
  FakeUpstream upstream(closeOnReuse);
  const std::string url = "http://" + upstream.address() + "/pay";
  CURL* easy = curl_easy_init();
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "once");
  curl_easy_setopt(
    easy, CURLOPT_WRITEFUNCTION, +[](char*, size_t, size_t aCount, void*) {
      return aCount;
    });
  BOOST_TEST(curl_easy_perform(easy) == CURLE_OK);
  BOOST_TEST(curl_easy_perform(easy) == CURLE_OK);
  curl_easy_cleanup(easy);
  // Two requests by the caller, three runs.
  BOOST_TEST(upstream.requests("POST").size() == 3U);
}

BOOST_AUTO_TEST_CASE(post_runs_once_when_the_reused_connection_dies)
{
  Fixture fixture([](const Request& aRequest) {
    return aRequest.mTarget == "/warm" ? FakeUpstream::ok("")
                                       : Reply{ "", true };
  });
  // The probe's connection and that of this request are reused below.
  ForwardRequest warm = makeRequest("GET", 1);
  warm.target = "/warm";
  BOOST_TEST((fixture.run(warm).kind == AnswerKind::Answered));
  ForwardRequest post = makeRequest("POST", 2);
  post.body = { 'x' };
  const Answer answer = fixture.run(post);
  BOOST_TEST((answer.kind == AnswerKind::Unknown));
  // The cancel shows that the gate has done with the request.
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
  fixture.mGate.stop();
  const std::vector<Request> posts = fixture.mUpstream.requests("POST");
  BOOST_REQUIRE(posts.size() == 1U);
  BOOST_TEST(posts[0].mOnConnection > 0);
}

BOOST_AUTO_TEST_CASE(cut_body_is_unknown)
{
  const std::vector<std::string> cuts{
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };
  std::atomic<std::size_t> next{ 0 };
  Fixture fixture([&](const Request&) { return Reply{ cuts[next++], true }; });
  for (std::size_t i = 0; i < cuts.size(); ++i) {
    const Answer answer = fixture.run(makeRequest("GET", i));
    BOOST_TEST((answer.kind == AnswerKind::Unknown), cuts[i]);
  }
}

BOOST_AUTO_TEST_CASE(refusals_of_the_upstream)
{
  std::atomic<const char*> headers{ "" };
  std::atomic<const char*> status{ "" };
  Fixture fixture([&](const Request&) {
    return FakeUpstream::status(status.load(), headers.load());
  });
  status = "503 Service Unavailable";
  headers = "X-Not-Run: shed\r\n";
  const Answer shed = fixture.run(makeRequest("POST", 1));
  BOOST_TEST((shed.kind == AnswerKind::NotRun));
  BOOST_TEST((shed.reason == NotRunReason::Shed));

  headers = "";
  const Answer plain = fixture.run(makeRequest("POST", 2));
  BOOST_TEST((plain.kind == AnswerKind::Answered));
  BOOST_TEST(plain.status == 503);

  status = "409 Conflict";
  headers = "X-Not-Run: stale-fence\r\n";
  const Answer stale = fixture.run(makeRequest("POST", 3));
  BOOST_TEST((stale.kind == AnswerKind::NotRun));
  BOOST_TEST((stale.reason == NotRunReason::NotOwner));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_run)
{
  Fixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  BOOST_TEST((fixture.run(makeRequest("GET", 1)).status == 200));
  fixture.mUpstream.close();
  ForwardRequest request = makeRequest("POST", 2);
  request.time_left_ms = 300;
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::UpstreamDown));
  BOOST_TEST(!fixture.mUp);
}

BOOST_AUTO_TEST_CASE(deadline_cancels_the_run)
{
  Valve valve;
  Fixture fixture(
    [&](const Request&) { return valve.hold(FakeUpstream::ok("")); });
  ForwardRequest request = makeRequest("POST", 1);
  request.time_left_ms = 200;
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::Unknown));
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
  const RandomId id{ 7, 1 };
  BOOST_TEST(fixture.mUpstream.requests("DELETE")[0].mTarget ==
             "/requests/" + id.toString());
  valve.open();
}

BOOST_AUTO_TEST_CASE(cancel_of_waiting_and_running_requests)
{
  Valve valve;
  Fixture fixture(
    [&](const Request&) { return valve.hold(FakeUpstream::ok("")); });
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
  valve.open();
}

BOOST_AUTO_TEST_CASE(lapsed_lease_ends_a_run_and_a_prolonged_one_does_not)
{
  for (const bool prolonged : { true, false }) {
    Valve valve;
    Fixture fixture(
      [&](const Request&) { return valve.hold(FakeUpstream::ok("")); });
    fixture.mLeaseMs = 50;
    std::future<Answer> answer = fixture.submit(makeRequest("POST", 1));
    BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
    const int asked = fixture.mAsked;
    if (prolonged) {
      while (fixture.mAsked < asked + 2) {
        std::this_thread::yield();
      }
      valve.open();
      BOOST_TEST((answer.get().kind == AnswerKind::Answered));
      continue;
    }
    fixture.mRefusal = NotRunReason::LeaseLapsed;
    BOOST_TEST((answer.get().kind == AnswerKind::Unknown));
    BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
    valve.open();
  }
}

BOOST_AUTO_TEST_CASE(not_the_owner_is_not_run_and_names_the_epoch)
{
  Fixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  fixture.mRefusal = NotRunReason::NotOwner;
  const Answer answer = fixture.run(makeRequest("GET", 1));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::NotOwner));
  BOOST_TEST(answer.epoch == 5U);
  BOOST_TEST(fixture.mUpstream.requests("GET").empty());
}

BOOST_AUTO_TEST_CASE(pause_waits_for_runs_and_holds_new_requests)
{
  Valve valve;
  Fixture fixture(
    [&](const Request&) { return valve.hold(FakeUpstream::ok("")); });
  std::future<Answer> running = fixture.submit(makeRequest("POST", 1));
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  std::promise<void> paused;
  const std::vector<Shard> shards{ 3 };
  fixture.mGate.pauseShards(shards, [&] { paused.set_value(); });
  std::future<Answer> held = fixture.submit(makeRequest("POST", 2));
  std::future<void> done = paused.get_future();
  BOOST_TEST((done.wait_for(std::chrono::milliseconds(50)) ==
              std::future_status::timeout));
  valve.open();
  BOOST_TEST((running.get().kind == AnswerKind::Answered));
  done.get();
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
  fixture.mRefusal = NotRunReason::NotOwner;
  fixture.mGate.resumeShards(shards);
  BOOST_TEST((held.get().reason == NotRunReason::NotOwner));
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_and_stop_answers_the_rest)
{
  Fixture fixture([](const Request&) { return FakeUpstream::ok(""); });
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

BOOST_AUTO_TEST_CASE(copies_share_one_run)
{
  Valve valve;
  Fixture fixture(
    [&](const Request&) { return valve.hold(FakeUpstream::ok("paid")); });
  ForwardRequest first = makeRequest("POST", 1);
  first.idempotency_key = "order-7";
  ForwardRequest second = first;
  second.id_low = 2;
  std::future<Answer> running = fixture.submit(first);
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  std::future<Answer> joined = fixture.submit(second);
  // The caller of the first goes away; the second still waits for it.
  fixture.mGate.cancel({ 7, 1 });
  valve.open();
  BOOST_TEST((running.get().kind == AnswerKind::Answered));
  const Answer copy = joined.get();
  BOOST_TEST(copy.id_low == 2U);
  BOOST_TEST(std::string(copy.body.begin(), copy.body.end()) == "paid");
  second.id_low = 3;
  BOOST_TEST((fixture.run(second).kind == AnswerKind::Answered));
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_id_that_has_run_does_not_run_again)
{
  Fixture fixture([](const Request&) { return Reply{ "", true }; });
  const ForwardRequest request = makeRequest("POST", 1);
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
}

BOOST_AUTO_TEST_CASE(fresh_upstream_gets_one_request_at_a_time)
{
  std::atomic<int> running{ 0 };
  std::atomic<int> most{ 0 };
  Fixture fixture([&](const Request&) {
    most = std::max(most.load(), ++running);
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
  BOOST_TEST(most == 1);
}

BOOST_AUTO_TEST_CASE(runs_are_taken_back_when_the_upstream_turns_cold)
{
  // Answers are held for the ids from kHeld on, the first time they come.
  constexpr int kHeld = 100000;
  std::mutex mutex;
  std::map<std::string, int> seen;
  std::promise<void> opened;
  const std::shared_future<void> open = opened.get_future().share();
  Fixture fixture([&](const Request& aRequest) {
    const std::string id = aRequest.mHeaders.at("x-radishroad-request-id");
    int times = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      times = ++seen[id];
    }
    if (aRequest.mTarget == "/held" && times == 1) {
      open.wait();
    }
    return FakeUpstream::ok("");
  });
  // Requests until the window lets several run at once.
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
  // The two idempotent ones are cancelled, to run again once the POST, which
  // keeps its only run, has left the window of one.
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
  Fixture fixture([&](const Request&) {
    upstream->setInstance("two");
    return Reply{ "", true };
  });
  upstream = &fixture.mUpstream;
  const ForwardRequest request = makeRequest("POST", 1);
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  std::future<std::uint64_t> crash = fixture.mCrash.get_future();
  BOOST_REQUIRE((crash.wait_for(kPatience) == std::future_status::ready));
  BOOST_TEST(crash.get() == fingerprintOf(request));
}

BOOST_AUTO_TEST_SUITE_END()
