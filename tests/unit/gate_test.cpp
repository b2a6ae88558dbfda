#include "gate_fixture.h"
#include "radishroad/policy/stop_schedule.h"

#include <curl/curl.h>
#include <limits>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(gate)

BOOST_AUTO_TEST_CASE(forwards_request_and_response_completely)
{
  GateFixture fixture([](const Request&) {
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

BOOST_AUTO_TEST_CASE(header_injection_is_refused)
{
  GateFixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  ForwardRequest request = makeRequest("GET", 1);
  addHeader(request, "X-A", "b\r\nX-Radishroad-Epoch: 9");
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::Malformed));
}

/// Answers the first request on each connection; closes the connection after
/// reading a later one.
Reply
closeOnReuse(const Request& aRequest)
{
  const bool first = aRequest.mIndexOnConnection == 0;
  return first ? FakeUpstream::ok("first") : Reply{ "", true };
}

BOOST_AUTO_TEST_CASE(libcurl_alone_resends_a_post_on_a_closed_connection)
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
  // The caller made two requests, but the upstream received three.
  BOOST_TEST(upstream.requests("POST").size() == 3U);
}

BOOST_AUTO_TEST_CASE(post_runs_once_when_the_reused_connection_dies)
{
  GateFixture fixture([](const Request& aRequest) {
    return aRequest.mTarget == "/warm" ? FakeUpstream::ok("")
                                       : Reply{ "", true };
  });
  // The request below reuses the connection of the probe or of this request.
  ForwardRequest warm = makeRequest("GET", 1);
  warm.target = "/warm";
  BOOST_TEST((fixture.run(warm).kind == AnswerKind::Answered));
  ForwardRequest post = makeRequest("POST", 2);
  post.body = { 'x' };
  const Answer answer = fixture.run(post);
  BOOST_TEST((answer.kind == AnswerKind::Unknown));
  // The cancel shows that the gate has finished the request.
  BOOST_TEST(fixture.mUpstream.waitFor("DELETE", 1));
  fixture.mGate.stop();
  const std::vector<Request> posts = fixture.mUpstream.requests("POST");
  BOOST_REQUIRE(posts.size() == 1U);
  BOOST_TEST(posts[0].mIndexOnConnection > 0);
}

BOOST_AUTO_TEST_CASE(cut_body_is_unknown)
{
  const std::vector<std::string> truncated{
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };
  std::atomic<std::size_t> next{ 0 };
  GateFixture fixture([&](const Request&) {
    return Reply{ truncated[next++], true };
  });
  for (std::size_t i = 0; i < truncated.size(); ++i) {
    const Answer answer = fixture.run(makeRequest("GET", i));
    BOOST_TEST((answer.kind == AnswerKind::Unknown), truncated[i]);
  }
}

BOOST_AUTO_TEST_CASE(rejections_by_the_upstream)
{
  std::atomic<const char*> headers{ "" };
  std::atomic<const char*> status{ "" };
  GateFixture fixture([&](const Request&) {
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
  GateFixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  BOOST_TEST((fixture.run(makeRequest("GET", 1)).status == 200));
  fixture.mUpstream.close();
  ForwardRequest request = makeRequest("POST", 2);
  request.time_left_ms = 300;
  const Answer answer = fixture.run(std::move(request));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::UpstreamDown));
  BOOST_TEST(!fixture.mUp);
}

BOOST_AUTO_TEST_CASE(not_owner_is_not_run_and_has_the_epoch)
{
  GateFixture fixture([](const Request&) { return FakeUpstream::ok(""); });
  fixture.mRefusal = NotRunReason::NotOwner;
  const Answer answer = fixture.run(makeRequest("GET", 1));
  BOOST_TEST((answer.kind == AnswerKind::NotRun));
  BOOST_TEST((answer.reason == NotRunReason::NotOwner));
  BOOST_TEST(answer.epoch == 5U);
  BOOST_TEST(fixture.mUpstream.requests("GET").empty());
}

BOOST_AUTO_TEST_CASE(duplicates_share_one_run)
{
  ReplyLatch latch;
  GateFixture fixture([&](const Request&) {
    return latch.waitAndReturn(FakeUpstream::ok("paid"));
  });
  ForwardRequest first = makeRequest("POST", 1);
  first.idempotency_key = "order-7";
  ForwardRequest second = first;
  second.id_low = 2;
  std::future<Answer> running = fixture.submit(first);
  BOOST_TEST(fixture.mUpstream.waitFor("POST", 1));
  std::future<Answer> joined = fixture.submit(second);
  // The first caller cancels; the second still waits for the same run.
  fixture.mGate.cancel({ 7, 1 });
  latch.release();
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
  GateFixture fixture([](const Request&) { return Reply{ "", true }; });
  const ForwardRequest request = makeRequest("POST", 1);
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  BOOST_TEST((fixture.run(request).kind == AnswerKind::Unknown));
  BOOST_TEST(fixture.mUpstream.requests("POST").size() == 1U);
}

// More requests wait than the limit that the upstream names lets through before
// their deadlines, and callers learn it only then.
BOOST_AUTO_TEST_CASE(requests_beyond_a_named_limit_are_refused_at_once)
{
  GateFixture gate([](const Request&) {
    return FakeUpstream::status("200 OK", "X-Upstream-Limit: 1\r\n");
  });
  BOOST_TEST((gate.run(makeRequest("GET", 1)).kind == AnswerKind::Answered));
  std::vector<std::future<Answer>> answers;
  for (std::uint64_t id = 2; id < 10; ++id) {
    answers.push_back(gate.submit(makeRequest("GET", id)));
  }
  // The last one would wait for 8 s, 3 s beyond its deadline.
  std::future<Answer>& last = answers.back();
  BOOST_REQUIRE(
    (last.wait_for(std::chrono::seconds(1)) == std::future_status::ready));
  BOOST_TEST((last.get().reason == NotRunReason::QueueFull));
}

// LOST: a stopping daemon passed on requests that could not end in time.
BOOST_AUTO_TEST_CASE(what_cannot_end_before_the_stop_is_refused)
{
  GateFixture fixture([](const Request&) { return FakeUpstream::ok("a"); });
  fixture.mGate.beginStop(StopSchedule::make(monotonicNow(), 1200_ms));
  ForwardRequest request = makeRequest("GET", 1);
  request.time_left_ms = 900;
  BOOST_TEST((fixture.run(std::move(request)).kind == AnswerKind::Answered));
  // Now the time that such requests take is known.
  BOOST_TEST((fixture.run(makeRequest("GET", 2)).kind == AnswerKind::Answered));
  ForwardRequest unknown = makeRequest("GET", 3);
  unknown.kind = 5;
  const Answer refusal = fixture.run(std::move(unknown));
  BOOST_TEST((refusal.kind == AnswerKind::NotRun));
  BOOST_TEST((refusal.reason == NotRunReason::Draining));
  BOOST_TEST(fixture.mUpstream.requests("GET").size() == 2U);
}

BOOST_AUTO_TEST_CASE(time_for_work_is_bounded_by_the_time_left)
{
  GateFixture fixture([](const Request&) { return FakeUpstream::ok("a"); });
  ForwardRequest request = makeRequest("GET", 1);
  request.time_left_ms = 900;
  request.work_left_ms = std::numeric_limits<std::int64_t>::max();
  BOOST_TEST((fixture.run(std::move(request)).kind == AnswerKind::Answered));
  ForwardRequest late = makeRequest("GET", 2);
  late.work_left_ms = 1;
  fixture.mRefusal = NotRunReason::LeaseLapsed;
  const Answer refusal = fixture.run(std::move(late));
  BOOST_TEST((refusal.kind == AnswerKind::NotRun));
  BOOST_TEST(fixture.mUpstream.requests("GET").size() == 1U);
}

// LOST: the gate waited for runs until the process was killed.
BOOST_AUTO_TEST_CASE(a_stop_ends_in_time_and_answers_all)
{
  ReplyLatch latch;
  GateFixture fixture([&latch](const Request&) {
    return latch.waitAndReturn(FakeUpstream::ok("late"));
  });
  std::future<Answer> running = fixture.submit(makeRequest("GET", 1));
  BOOST_TEST(fixture.mUpstream.waitFor("GET", 1));
  fixture.pause({ 9 });
  std::future<Answer> queued;
  const Millis from = monotonicNow();
  fixture.mRefusal = NotRunReason::LeaseLapsed;
  queued = fixture.submit(makeRequest("GET", 2));
  fixture.mGate.stop(from + 300_ms);
  BOOST_TEST((monotonicNow() - from < 1_s));
  BOOST_TEST((running.get().kind == AnswerKind::Unknown));
  BOOST_TEST((queued.get().kind == AnswerKind::NotRun));
  latch.release();
}

BOOST_AUTO_TEST_SUITE_END()
