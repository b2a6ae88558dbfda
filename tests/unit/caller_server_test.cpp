#include "radishroad/base/bounded_queue.h"
#include "radishroad/caller/response.h"
#include "radishroad/caller/server.h"
#include "support/raw_client.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::test::RawClient;
using radishroad::test::RawResponse;

namespace {

constexpr Millis kWaitTimeout = 10_s;

struct ReceivedRequest
{
  CallerRequest mRequest;
  AnswerFn mAnswer;
};

void
addHeader(Answer& aAnswer, std::string aName, std::string aValue)
{
  auto header = std::make_unique<wire::HeaderT>();
  header->name = std::move(aName);
  header->value = std::move(aValue);
  aAnswer.headers.push_back(std::move(header));
}

Answer
answerWith(std::string_view aBody, std::uint16_t aStatus = 200)
{
  Answer answer;
  answer.kind = AnswerKind::Answered;
  answer.status = aStatus;
  answer.body.assign(aBody.begin(), aBody.end());
  return answer;
}

/// An answer whose body ended with the upstream's connection.
Answer
unframedAnswer(std::string_view aBody, std::uint16_t aStatus = 200)
{
  Answer answer = answerWith(aBody, aStatus);
  answer.ends_with_connection = true;
  return answer;
}

/// A server whose requests the test receives and answers from its own thread.
class Fixture
{
public:
  Fixture()
    : Fixture(CallerServer::Options{})
  {
  }

  explicit Fixture(CallerServer::Options aOptions)
    : mRequests(256)
    , mCancelledTargets(256)
    , mServer(
        withLoopbackAddress(std::move(aOptions)),
        [this](CallerRequest aRequest, AnswerFn aAnswer) {
          std::string target = aRequest.mTarget;
          mRequests.tryPush({ std::move(aRequest), std::move(aAnswer) });
          return [this, target = std::move(target)] {
            mCancelledTargets.tryPush(std::string(target));
          };
        },
        mMetrics)
  {
    BOOST_REQUIRE(mServer.start().has_value());
  }

  static CallerServer::Options withLoopbackAddress(
    CallerServer::Options aOptions)
  {
    aOptions.mListenAddress = "127.0.0.1:0";
    return aOptions;
  }

  std::uint16_t port() const { return mServer.port(); }

  ReceivedRequest take()
  {
    std::optional<ReceivedRequest> received = mRequests.pop(kWaitTimeout);
    BOOST_REQUIRE(received.has_value());
    return std::move(*received);
  }

  bool hasNoRequest() { return mRequests.size() == 0; }

  Metrics mMetrics;
  BoundedQueue<ReceivedRequest> mRequests;
  /// Targets of requests that were cancelled.
  BoundedQueue<std::string> mCancelledTargets;
  CallerServer mServer;
};

std::string
get(const std::string& aTarget, const std::string& aFields = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n";
}

std::string
patternedBytes(std::size_t aSize)
{
  std::string text(aSize, '\0');
  for (std::size_t it = 0; it < aSize; ++it) {
    text[it] = static_cast<char>(it * 2654435761U >> 13U);
  }
  return text;
}

/// Checks that the request is refused with the status, does not reach the
/// handler, and that the connection is closed.
void
checkRefused(Fixture& aFixture, const std::string& aBytes, int aStatus)
{
  RawClient client(aFixture.port());
  client.send(aBytes);
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE_MESSAGE(response.has_value(), aBytes.substr(0, 200));
  BOOST_TEST(response->mStatus == aStatus, aBytes.substr(0, 200));
  BOOST_TEST(response->field("Connection") == "close");
  BOOST_TEST(response->field("X-Radishroad-Outcome") == "not-run");
  const nlohmann::json json = nlohmann::json::parse(response->mBody);
  BOOST_TEST(json.at("outcome") == "not-run");
  BOOST_TEST(json.at("request_id") ==
             response->field("X-Radishroad-Request-Id"));
  BOOST_TEST(client.receiveEnd());
  BOOST_TEST(aFixture.hasNoRequest());
}

}

BOOST_AUTO_TEST_SUITE(caller_server)

BOOST_AUTO_TEST_CASE(answer_is_filtered_and_sent_on_its_connection)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/catalog/k/page?a=b", "X-Radishroad-Epoch: 7\r\n"));
  ReceivedRequest received = fixture.take();
  BOOST_TEST(received.mRequest.mTarget == "/catalog/k/page?a=b");
  BOOST_TEST(received.mRequest.mHeaders.size() == 1U);
  Answer answer = answerWith("page", 201);
  addHeader(answer, "Content-Type", "text/x-odd; a=\"b\"");
  addHeader(answer, "Set-Cookie", "a=1");
  addHeader(answer, "Set-Cookie", "b=2");
  addHeader(answer, "Connection", "X-Hop");
  addHeader(answer, "X-Hop", "1");
  addHeader(answer, "Transfer-Encoding", "chunked");
  addHeader(answer, "X-Radishroad-Outcome", "forged");
  addHeader(answer, "X-Split", "a\r\nX-Evil: 1");
  received.mAnswer(std::move(answer));
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mStatus == 201);
  BOOST_TEST(response->mBody == "page");
  BOOST_TEST(response->field("Content-Type") == "text/x-odd; a=\"b\"");
  BOOST_TEST(response->mHead.find("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n") !=
             std::string::npos);
  for (const char* gone : { "X-Hop", "chunked", "forged", "X-Evil" }) {
    BOOST_TEST(response->mHead.find(gone) == std::string::npos, gone);
  }
  BOOST_TEST(response->field("X-Radishroad-Outcome") == "answered");
  BOOST_TEST(response->field("X-Radishroad-Request-Id") ==
             received.mRequest.mId.toString());
  BOOST_TEST(response->field("Connection") == "keep-alive");
}

BOOST_AUTO_TEST_CASE(malformed_requests_do_not_reach_the_handler)
{
  CallerServer::Options options;
  options.mMaxHeaderBytes = 4096;
  options.mMaxBodyBytes = 1000;
  Fixture fixture(options);
  checkRefused(fixture, get("/a", "Content-Length: abc\r\n"), 400);
  checkRefused(
    fixture, get("/a", "Content-Length: 1\r\nContent-Length: 2\r\n"), 400);
  checkRefused(fixture,
               get("/a", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
               400);
  checkRefused(fixture, "hello, is anyone there?\r\n", 400);
  checkRefused(fixture, std::string("\x16\x03\x01\x02\x00", 5), 400);
  checkRefused(fixture, get("/a/%2e%2e/b"), 400);
  checkRefused(fixture, get("/a/../b"), 400);
  checkRefused(fixture, get("/a%2fb"), 400);
  checkRefused(fixture, get("/a%5cb"), 400);
  checkRefused(fixture, get("/a%00b"), 400);
  checkRefused(fixture, get("/a", "Content-Length: 1001\r\n"), 413);
  checkRefused(fixture, get("/" + std::string(5000, 'a')), 414);
  checkRefused(
    fixture, get("/a", "X: " + std::string(5000, 'a') + "\r\n"), 431);
  // A caller that sends its body despite the refusal still gets the answer.
  checkRefused(fixture,
               get("/a", "Content-Length: 4000000\r\n") +
                 std::string(4000000, 'x'),
               413);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
  Fixture fixture;
  RawClient client(fixture.port());
  std::string bytes;
  constexpr int kRequests = 40;
  for (int it = 0; it < kRequests; ++it) {
    bytes += get("/" + std::to_string(it));
  }
  client.send(bytes);
  for (int it = 0; it < kRequests; ++it) {
    ReceivedRequest received = fixture.take();
    BOOST_TEST(received.mRequest.mTarget == "/" + std::to_string(it));
    // The requests run one at a time: the next one starts after this answer.
    BOOST_TEST(fixture.hasNoRequest());
    received.mAnswer(answerWith(received.mRequest.mTarget));
  }
  for (int it = 0; it < kRequests; ++it) {
    const std::optional<RawResponse> response = client.receive();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->mBody == "/" + std::to_string(it));
  }
}

// Guards against lookups that miss their deadlines because they are pipelined
// behind a slow request: each deadline counts from when the request was sent.
BOOST_AUTO_TEST_CASE(requests_that_may_run_concurrently_do_so)
{
  CallerServer::Options options;
  options.mMayRunConcurrently = [](const CallerRequest& aRequest) {
    return aRequest.mTarget != "/once";
  };
  Fixture fixture(options);
  RawClient client(fixture.port());
  client.send(get("/1") + get("/2") + get("/3") + get("/once") + get("/5"));
  ReceivedRequest first = fixture.take();
  ReceivedRequest second = fixture.take();
  ReceivedRequest third = fixture.take();
  BOOST_TEST(third.mRequest.mTarget == "/3");
  third.mAnswer(answerWith("/3"));
  second.mAnswer(answerWith("/2"));
  // The fourth request may run only once, so it waits until the requests before
  // it are answered.
  BOOST_TEST(fixture.hasNoRequest());
  first.mAnswer(answerWith("/1"));
  for (const char* target : { "/1", "/2", "/3" }) {
    BOOST_TEST(client.receive().value().mBody == target);
  }
  ReceivedRequest once = fixture.take();
  BOOST_TEST(once.mRequest.mTarget == "/once");
  ReceivedRequest fifth = fixture.take();
  fifth.mAnswer(answerWith("/5"));
  once.mAnswer(answerWith("/once"));
  BOOST_TEST(client.receive().value().mBody == "/once");
  BOOST_TEST(client.receive().value().mBody == "/5");
}

BOOST_AUTO_TEST_CASE(number_of_concurrent_requests_is_limited)
{
  CallerServer::Options options;
  options.mMayRunConcurrently = [](const CallerRequest&) { return true; };
  Fixture fixture(options);
  RawClient client(fixture.port());
  std::string bytes;
  for (int it = 0; it < 12; ++it) {
    bytes += get("/" + std::to_string(it));
  }
  client.send(bytes);
  std::vector<ReceivedRequest> running;
  running.reserve(8);
  for (int it = 0; it < 8; ++it) {
    running.push_back(fixture.take());
  }
  BOOST_TEST(fixture.hasNoRequest());
  running[0].mAnswer(answerWith("/0"));
  BOOST_TEST(client.receive().value().mBody == "/0");
  BOOST_TEST(fixture.take().mRequest.mTarget == "/8");
}

BOOST_AUTO_TEST_CASE(closing_a_connection_cancels_its_running_requests)
{
  CallerServer::Options options;
  options.mMayRunConcurrently = [](const CallerRequest&) { return true; };
  Fixture fixture(options);
  RawClient client(fixture.port());
  client.send(get("/a") + get("/b"));
  const ReceivedRequest first = fixture.take();
  const ReceivedRequest second = fixture.take();
  second.mAnswer(answerWith("early"));
  client.close();
  BOOST_TEST(fixture.mCancelledTargets.pop(kWaitTimeout).value_or("") == "/a");
  first.mAnswer(answerWith("late"));
}

// A body that ended with the upstream's connection was given a length, which
// made a truncated one look whole.
BOOST_AUTO_TEST_CASE(body_without_a_length_ends_with_the_connection)
{
  CallerServer::Options options;
  options.mMayRunConcurrently = [](const CallerRequest& aRequest) {
    return aRequest.mTarget != "/once";
  };
  Fixture fixture(options);
  RawClient client(fixture.port());
  client.send(get("/first") + get("/unframed") + get("/running") +
              get("/once"));
  ReceivedRequest first = fixture.take();
  fixture.take().mAnswer(unframedAnswer("part"));
  ReceivedRequest running = fixture.take();
  first.mAnswer(answerWith("first"));
  BOOST_TEST(client.receive().value().mBody == "first");
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mEndsWithConnection);
  BOOST_TEST(response->field("Content-Length").empty());
  BOOST_TEST(response->field("Connection") == "close");
  BOOST_TEST(response->mBody == "part");
  BOOST_TEST(fixture.mCancelledTargets.pop(kWaitTimeout).value_or("") ==
             "/running");
  running.mAnswer(answerWith("running"));
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(responses_without_a_body_keep_the_connection)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send("HEAD /a HTTP/1.1\r\n\r\n");
  fixture.take().mAnswer(unframedAnswer(""));
  BOOST_TEST(client.receive(true).value().field("Connection") == "keep-alive");
  for (const std::uint16_t status : { 204, 304 }) {
    client.send(get("/b"));
    fixture.take().mAnswer(unframedAnswer("", status));
    BOOST_TEST(client.receive().value().mStatus == status);
  }
  client.send(get("/c"));
  Answer unknown = makeUnknownAnswer({});
  unknown.ends_with_connection = true;
  fixture.take().mAnswer(std::move(unknown));
  BOOST_TEST(client.receive().value().mStatus == 502);
  client.send(get("/d"));
  fixture.take().mAnswer(answerWith("d"));
  BOOST_TEST(client.receive().value().mBody == "d");
}

BOOST_AUTO_TEST_CASE(body_without_a_length_reaches_an_http_1_0_caller)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  fixture.take().mAnswer(unframedAnswer("a"));
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mEndsWithConnection);
  BOOST_TEST(response->mBody == "a");
}

BOOST_AUTO_TEST_CASE(requests_after_connection_close_are_not_run)
{
  CallerServer::Options options;
  options.mMayRunConcurrently = [](const CallerRequest&) { return true; };
  Fixture fixture(options);
  RawClient client(fixture.port());
  client.send(get("/last", "Connection: close\r\n") + get("/behind"));
  fixture.take().mAnswer(answerWith("last"));
  BOOST_TEST(client.receive().value().mBody == "last");
  BOOST_TEST(client.receiveEnd());
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(refusal_waits_for_the_answers_before_it)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/first") + get("/a/../b") + get("/never"));
  fixture.take().mAnswer(answerWith("first"));
  BOOST_TEST(client.receive().value().mBody == "first");
  BOOST_TEST(client.receive().value().mStatus == 400);
  BOOST_TEST(client.receiveEnd());
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(overfull_pipeline_ends_after_a_correct_answer)
{
  Fixture fixture;
  RawClient client(fixture.port());
  std::thread sender([&client] {
    for (int it = 0; it < 20000; ++it) {
      if (!client.send(get("/" + std::to_string(it)))) {
        break;
      }
    }
  });
  int answered = 0;
  ReceivedRequest first = fixture.take();
  sender.join();
  first.mAnswer(answerWith("/0"));
  while (std::optional<RawResponse> response = client.receive()) {
    BOOST_TEST(response->mBody == "/" + std::to_string(answered));
    ++answered;
    if (response->field("Connection") == "close") {
      break;
    }
    fixture.take().mAnswer(answerWith("/" + std::to_string(answered)));
  }
  BOOST_TEST(answered >= 16);
  BOOST_TEST(answered < 20000);
  BOOST_TEST(client.receiveEnd());
}

BOOST_AUTO_TEST_CASE(bodies_are_forwarded_unchanged)
{
  CallerServer::Options options;
  options.mMaxBodyBytes = 16U << 20;
  Fixture fixture(options);
  RawClient client(fixture.port());
  for (const std::size_t size : { std::size_t{ 0 },
                                  std::size_t{ 1 },
                                  std::size_t{ 1 } << 20U,
                                  std::size_t{ 16 } << 20U }) {
    const std::string body = patternedBytes(size);
    std::thread sender([&client, &body] {
      client.send("POST /a HTTP/1.1\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    ReceivedRequest received = fixture.take();
    sender.join();
    BOOST_TEST((received.mRequest.mBody == body), size);
    received.mAnswer(answerWith(received.mRequest.mBody));
    const std::optional<RawResponse> response = client.receive();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST((response->mBody == body), size);
  }
}

BOOST_AUTO_TEST_CASE(answers_go_only_to_their_own_connection)
{
  Fixture fixture;
  // The first caller disconnects, and the next connection reuses its
  // descriptor.
  std::optional<ReceivedRequest> late;
  {
    RawClient gone(fixture.port());
    gone.send(get("/gone"));
    late = fixture.take();
  }
  for (int it = 0; it < 20; ++it) {
    RawClient client(fixture.port());
    client.send(get("/here"));
    ReceivedRequest received = fixture.take();
    if (late) {
      late->mAnswer(answerWith("gone"));
      late.reset();
    }
    received.mAnswer(answerWith("here"));
    received.mAnswer(answerWith("twice"));
    BOOST_TEST(client.receive().value().mBody == "here");
    client.send(get("/again"));
    fixture.take().mAnswer(answerWith("again"));
    BOOST_TEST(client.receive().value().mBody == "again");
  }
}

BOOST_AUTO_TEST_CASE(concurrent_callers_get_their_own_answers)
{
  Fixture fixture;
  std::vector<std::thread> callers;
  std::atomic<int> correct{ 0 };
  constexpr int kCallers = 16;
  constexpr int kRequests = 50;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&fixture, &correct, caller] {
      RawClient client(fixture.port());
      for (int it = 0; it < kRequests; ++it) {
        const std::string target =
          "/" + std::to_string(caller) + "/" + std::to_string(it);
        client.send(get(target));
        const std::optional<RawResponse> response = client.receive();
        correct += response && response->mBody == target ? 1 : 0;
      }
    });
  }
  std::vector<std::thread> workers;
  std::atomic<int> taken{ 0 };
  for (int worker = 0; worker < 3; ++worker) {
    workers.emplace_back([&fixture, &taken] {
      while (taken.fetch_add(1) < kCallers * kRequests) {
        std::optional<ReceivedRequest> received =
          fixture.mRequests.pop(kWaitTimeout);
        if (received) {
          received->mAnswer(answerWith(received->mRequest.mTarget));
        }
      }
    });
  }
  for (std::thread& thread : callers) {
    thread.join();
  }
  for (std::thread& thread : workers) {
    thread.join();
  }
  BOOST_TEST(correct.load() == kCallers * kRequests);
}

BOOST_AUTO_TEST_CASE(answer_to_head_has_a_length_but_no_body)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send("HEAD /a HTTP/1.1\r\n\r\n");
  Answer answer = answerWith("");
  addHeader(answer, "Content-Length", "123");
  fixture.take().mAnswer(std::move(answer));
  const std::optional<RawResponse> response = client.receive(true);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->field("Content-Length") == "123");
  client.send("HEAD /a HTTP/1.1\r\n\r\n");
  ReceivedRequest received = fixture.take();
  received.mAnswer(
    makeNotRunAnswer(received.mRequest.mId, NotRunReason::NoRoute));
  BOOST_TEST(client.receive(true).value().mStatus == 404);
  client.send(get("/b"));
  fixture.take().mAnswer(answerWith("b"));
  BOOST_TEST(client.receive().value().mBody == "b");
}

BOOST_AUTO_TEST_CASE(statuses_without_a_body)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/a"));
  fixture.take().mAnswer(answerWith("", 204));
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mStatus == 204);
  BOOST_TEST(response->field("Content-Length").empty());
}

// A peer may pass on any number; a caller of another system got a status 000.
BOOST_AUTO_TEST_CASE(a_status_that_no_final_answer_has_is_not_passed_on)
{
  Fixture fixture;
  for (const std::uint16_t status : { 0, 99, 100, 101, 199, 600, 999, 1000 }) {
    RawClient client(fixture.port());
    client.send(get("/a"));
    fixture.take().mAnswer(answerWith("body", status));
    const std::optional<RawResponse> response = client.receive();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->mHead.starts_with("HTTP/1.1 502 "), response->mHead);
    BOOST_TEST(response->field("X-Radishroad-Outcome") == "unknown");
  }
}

BOOST_AUTO_TEST_CASE(refusals_say_whether_the_request_ran)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/a"));
  ReceivedRequest first = fixture.take();
  first.mAnswer(
    makeNotRunAnswer(first.mRequest.mId, NotRunReason::RateLimited, 1200_ms));
  std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mStatus == 429);
  BOOST_TEST(response->field("Retry-After") == "2");
  BOOST_TEST(response->field("X-Radishroad-Outcome") == "not-run");
  BOOST_TEST(nlohmann::json::parse(response->mBody).at("reason") ==
             "rate-limited");
  client.send(get("/b"));
  ReceivedRequest second = fixture.take();
  second.mAnswer(makeUnknownAnswer(second.mRequest.mId));
  response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mStatus == 502);
  BOOST_TEST(nlohmann::json::parse(response->mBody).at("outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(dropped_answer_callback_is_answered_as_unknown)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/a"));
  fixture.take();
  const std::optional<RawResponse> response = client.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->field("X-Radishroad-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(reasons_have_distinct_names)
{
  std::set<std::string_view> names;
  for (const NotRunReason reason : wire::EnumValuesNotRunReason()) {
    names.insert(reasonName(reason));
    BOOST_TEST(statusOf(AnswerKind::NotRun, reason) >= 400U);
  }
  BOOST_TEST(names.size() == std::size(wire::EnumValuesNotRunReason()));
}

BOOST_AUTO_TEST_CASE(incomplete_requests_time_out)
{
  CallerServer::Options options;
  options.mHeaderTimeout = 100_ms;
  options.mBodyTimeout = 100_ms;
  Fixture fixture(options);
  checkRefused(fixture, "GET /a HTTP/1.1\r\nHos", 408);
  checkRefused(
    fixture, "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", 408);
  RawClient gone(fixture.port());
  gone.send("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel");
  gone.close();
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(idle_connections_are_closed)
{
  CallerServer::Options options;
  options.mIdleTimeout = 50_ms;
  Fixture fixture(options);
  RawClient client(fixture.port());
  BOOST_TEST(client.receiveEnd());
}

BOOST_AUTO_TEST_CASE(continue_is_sent_when_expected)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send("POST /a HTTP/1.1\r\nContent-Length: 5\r\n"
              "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(client.receive().value().mStatus == 100);
  client.send("hello");
  ReceivedRequest received = fixture.take();
  BOOST_TEST(received.mRequest.mBody == "hello");
  received.mAnswer(answerWith("done"));
  BOOST_TEST(client.receive().value().mBody == "done");
}

BOOST_AUTO_TEST_CASE(drain_interrupts_no_request)
{
  Fixture fixture;
  RawClient idle(fixture.port());
  RawClient running(fixture.port());
  RawClient sending(fixture.port());
  running.send(get("/running") + get("/pipelined"));
  ReceivedRequest first = fixture.take();
  sending.send("POST /sending HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel");
  std::atomic<bool> drained{ false };
  std::thread drainer([&fixture, &drained] {
    fixture.mServer.drain(kWaitTimeout);
    drained = true;
  });
  // The idle connection ends once the server has stopped accepting connections
  // and closes idle ones.
  BOOST_TEST(idle.receiveEnd());
  BOOST_TEST(!drained.load());
  // A refused connection sends the caller to another daemon. The server must
  // not accept connections whose requests it would then refuse.
  BOOST_CHECK_THROW(RawClient late(fixture.port()), std::runtime_error);
  sending.send("lo");
  ReceivedRequest sent = fixture.take();
  BOOST_TEST(sent.mRequest.mBody == "hello");
  sent.mAnswer(answerWith("sent"));
  std::optional<RawResponse> response = sending.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mBody == "sent");
  BOOST_TEST(response->field("Connection") == "close");
  first.mAnswer(answerWith("running"));
  BOOST_TEST(running.receive().value().mBody == "running");
  BOOST_TEST(!drained.load());
  fixture.take().mAnswer(answerWith("pipelined"));
  response = running.receive();
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->mBody == "pipelined");
  BOOST_TEST(response->field("Connection") == "close");
  drainer.join();
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(drain_serves_open_connections_for_a_grace_period)
{
  CallerServer::Options options;
  options.mDrainGracePeriod = 5_s;
  Fixture fixture(options);
  RawClient client(fixture.port());
  client.send(get("/a"));
  fixture.take().mAnswer(answerWith("a"));
  BOOST_TEST(client.receive().value().mBody == "a");
  std::thread drainer([&fixture] { fixture.mServer.drain(kWaitTimeout); });
  std::string connection = "keep-alive";
  while (connection == "keep-alive") {
    client.send(get("/b"));
    fixture.take().mAnswer(answerWith("b"));
    connection = client.receive().value().field("Connection");
  }
  BOOST_TEST(client.receiveEnd());
  client.close();
  drainer.join();
}

// LOST: connections of requests at work were closed without an answer.
BOOST_AUTO_TEST_CASE(requests_at_work_are_answered_when_time_is_up)
{
  Fixture fixture;
  RawClient client(fixture.port());
  client.send(get("/a"));
  ReceivedRequest received = fixture.take();
  std::thread finisher([&fixture] { fixture.mServer.finish(100_ms); });
  BOOST_TEST(fixture.mCancelledTargets.pop(kWaitTimeout).value() == "/a");
  received.mAnswer(makeUnknownAnswer(received.mRequest.mId));
  BOOST_TEST(client.receive().value().mStatus == 502);
  finisher.join();
}

BOOST_AUTO_TEST_CASE(others_are_served_while_current_requests_are_waited_for)
{
  Fixture fixture;
  RawClient early(fixture.port());
  early.send(get("/early"));
  ReceivedRequest first = fixture.take();
  std::atomic<bool> served{ false };
  std::thread waiter([&fixture, &served] {
    fixture.mServer.waitCurrentServed(kWaitTimeout);
    served = true;
  });
  RawClient late(fixture.port());
  late.send(get("/late"));
  fixture.take().mAnswer(answerWith("late"));
  const std::optional<RawResponse> response = late.receive();
  BOOST_TEST(response.value().field("Connection") == "keep-alive");
  BOOST_TEST(!served.load());
  first.mAnswer(answerWith("early"));
  BOOST_TEST(early.receive().value().mBody == "early");
  waiter.join();
}

BOOST_AUTO_TEST_CASE(closing_cancels_only_unanswered_requests)
{
  Fixture fixture;
  RawClient answered(fixture.port());
  answered.send(get("/a"));
  fixture.take().mAnswer(answerWith("a"));
  BOOST_TEST(answered.receive().value().mBody == "a");
  answered.close();
  RawClient waiting(fixture.port());
  waiting.send(get("/b") + get("/c"));
  const ReceivedRequest running = fixture.take();
  waiting.close();
  BOOST_TEST(fixture.mCancelledTargets.pop(kWaitTimeout).value_or("") == "/b");
  running.mAnswer(answerWith("late"));
  fixture.mServer.stop();
  BOOST_TEST(fixture.mCancelledTargets.size() == 0U);
  BOOST_TEST(fixture.hasNoRequest());
}

BOOST_AUTO_TEST_CASE(address_in_use_is_an_error)
{
  Fixture fixture;
  CallerServer::Options options;
  options.mListenAddress = "127.0.0.1:" + std::to_string(fixture.port());
  Metrics metrics;
  CallerServer second(
    options,
    [](const CallerRequest&, const AnswerFn&) { return CancelFn(); },
    metrics);
  BOOST_TEST(!second.start().has_value());
  options.mListenAddress = "no address";
  CallerServer third(
    options,
    [](const CallerRequest&, const AnswerFn&) { return CancelFn(); },
    metrics);
  BOOST_TEST(!third.start().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
