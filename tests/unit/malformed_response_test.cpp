#include "gate_fixture.h"

#include "radishroad/upstream/exchange_runner.h"

#include <atomic>
#include <optional>
#include <string>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

/// How the response to a request with this id ends, by its headers.
ResponseTrace::End
endOf(const std::string& aId, const std::string& aHeaders)
{
  FakeUpstream upstream([&aHeaders](const Request&) {
    return FakeUpstream::status("200 OK", aHeaders);
  });
  UpstreamRequest request;
  request.mUpstream = upstream.address();
  request.mMethod = "GET";
  request.mTarget = "/";
  request.mTimeout = 10_s;
  request.mMaxIdle = 10_s;
  request.mEchoHeader = "X-Id";
  request.mEchoValue = aId;
  std::optional<ResponseTrace::End> end;
  ExchangeRunner runner;
  runner.start(
    request,
    [] { return true; },
    [&end](ExchangeOutcome, CURLcode, const UpstreamResponse& aResponse) {
      end = aResponse.mTrace.mEnd;
    });
  while (!end) {
    runner.perform();
    runner.poll(10_ms);
  }
  return *end;
}

}

BOOST_AUTO_TEST_SUITE(malformed_response)

// Responses whose framing readers may understand differently are passed on.
BOOST_AUTO_TEST_CASE(a_response_without_valid_framing_is_unknown)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 3\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "3\r\nabc\r\n0\r\n";
  const std::vector<std::string> malformed{
    ok + "X-A: b\r\nHTTP/1.1 201 Created\r\n" + length + "\r\nabc",
    ok + "X-A\r\n" + length + "\r\nabc",
    ok + "X-A : b\r\n" + length + "\r\nabc",
    ok + length + " folded: 1\r\n\r\nabc",
    "HTTP/1.1 999 Odd\r\n" + length + "\r\nabc",
    "HTTP/1.1 000 None\r\n" + length + "\r\nabc",
    "HTTP/1.1 099 Low\r\n" + length + "\r\nabc",
    "HTTP/1.1 1000 High\r\n" + length + "\r\nabc",
    "HTTP/1.1  \r\n" + length + "\r\nabc",
    "HTTP/1.1 +20 Sign\r\n" + length + "\r\nabc",
    "HTTP/1.1 -20 Sign\r\n" + length + "\r\nabc",
    "HTTP/1.1 101 Switch\r\n" + length + "\r\nabc",
    ok + "Content-Length: 3x0\r\n\r\nabc",
    ok + "Content-Length: 3, 6\r\n\r\nabc",
    ok + "Content-Length: 6\r\n" + length + "\r\nabc",
    ok + "Content-Length: 99999999999999999999\r\n\r\nabc",
    ok + length + chunked + "\r\n" + chunks + "\r\n",
    ok + "Transfer-Encoding: identity\r\n" + length + "\r\nabc",
    "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + chunks + "\r\n",
    ok + chunked + "\r\n" + chunks + "HTTP/1.1 201 Created\r\n\r\n",
  };
  std::atomic<std::size_t> next{ 0 };
  GateFixture gate([&](const Request&) {
    return Reply{ malformed[next++], true };
  });
  for (std::size_t n = 0; n < malformed.size(); ++n) {
    const Answer answer = gate.run(makeRequest("GET", n));
    BOOST_TEST((answer.kind == AnswerKind::Unknown),
               malformed[n] << ": status " << answer.status);
    BOOST_TEST(gate.mMetrics.counter("radishroad_gate_refused_responses_total"
                                     "{purpose=\"run\",cause=\"malformed\"}") ==
                 n + 1,
               malformed[n]);
  }
}

// A trailer turns a response into a promise that the request has not run.
BOOST_AUTO_TEST_CASE(a_trailer_is_no_header)
{
  GateFixture gate([](const Request&) {
    return Reply{ "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n0\r\nX-Not-Run: shed\r\n\r\n" };
  });
  const Answer answer = gate.run(makeRequest("POST", 1));
  BOOST_TEST((answer.kind == AnswerKind::Answered));
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.headers.empty());
}

// Of two ids in a response only the first is compared, and a response without
// one to a request without one counts as another's.
BOOST_AUTO_TEST_CASE(a_response_must_name_the_id_of_its_request_and_no_other)
{
  using End = ResponseTrace::End;
  BOOST_TEST(
    (endOf("mine", "X-Id: mine\r\nX-Id: other\r\n") == End::OtherRequest));
  BOOST_TEST((endOf("mine", "") == End::OtherRequest));
  BOOST_TEST((endOf("mine", "X-Id: mine\r\n") == End::Whole));
  BOOST_TEST((endOf("", "X-Id: other\r\n") == End::OtherRequest));
  BOOST_TEST((endOf("", "") == End::Whole));
}

BOOST_AUTO_TEST_SUITE_END()
