#include "radishroad/caller/header_filter.h"
#include "radishroad/caller/request_reader.h"
#include "radishroad/caller/target_check.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

constexpr Millis kNow{ 1000 };

RequestReader::Limits
smallLimits()
{
  return { 1024, 100 };
}

/// Status of the refusal of these bytes; 0 for a complete request, -1 if more
/// bytes are needed. Checks that feeding them one at a time gives the same
/// result.
int
statusFor(const std::string& aBytes)
{
  const auto read = [&aBytes](std::size_t aPiece) {
    RequestReader reader(smallLimits());
    for (std::size_t it = 0; it < aBytes.size(); it += aPiece) {
      reader.feed(std::string_view(aBytes).substr(it, aPiece));
      if (const auto outcome = reader.next(kNow)) {
        return *outcome ? 0 : static_cast<int>(outcome->error().mStatus);
      }
    }
    return -1;
  };
  const int whole = read(aBytes.size());
  BOOST_TEST(read(1) == whole, "byte by byte: " << aBytes);
  return whole;
}

std::string
getWithFields(const std::string& aFields)
{
  return "GET /a HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n";
}

std::string
getTarget(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

}

BOOST_AUTO_TEST_SUITE(request_reader)

BOOST_AUTO_TEST_CASE(complete_request)
{
  RequestReader reader(smallLimits());
  reader.feed("POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
              "X-One: 2\r\nContent-Length: 5\r\n\r\nhello");
  const auto outcome = reader.next(kNow);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_REQUIRE(outcome->has_value());
  const ParsedRequest& parsed = **outcome;
  BOOST_TEST(parsed.mKeepAlive);
  BOOST_TEST(parsed.mRequest.mMethod == "POST");
  BOOST_TEST(parsed.mRequest.mTarget == "/a/b?c=d");
  BOOST_TEST(parsed.mRequest.mBody == "hello");
  BOOST_TEST((parsed.mRequest.mReceivedAt == kNow));
  BOOST_REQUIRE(parsed.mRequest.mHeaders.size() == 3U);
  BOOST_TEST(parsed.mRequest.mHeaders[1].value == "1");
  BOOST_TEST(parsed.mRequest.mHeaders[2].value == "2");
  BOOST_TEST((reader.phase() == RequestReader::Phase::Idle));
}

BOOST_AUTO_TEST_CASE(chunked_body)
{
  RequestReader reader(smallLimits());
  reader.feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n" +
              getTarget("/next"));
  const auto first = reader.next(kNow);
  BOOST_REQUIRE((first && *first));
  BOOST_TEST((*first)->mRequest.mBody == "hello world");
  const auto second = reader.next(kNow);
  BOOST_REQUIRE((second && *second));
  BOOST_TEST((*second)->mRequest.mTarget == "/next");
}

BOOST_AUTO_TEST_CASE(trailer_fields_are_not_header_fields)
{
  RequestReader reader(smallLimits());
  reader.feed("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n1\r\nx\r\n0\r\nAuthorization: Bearer k\r\n\r\n");
  const auto outcome = reader.next(kNow);
  BOOST_REQUIRE((outcome && *outcome));
  BOOST_REQUIRE((*outcome)->mRequest.mHeaders.size() == 1U);
  BOOST_TEST((*outcome)->mRequest.mHeaders[0].name == "Host");
}

BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused)
{
  BOOST_TEST(statusFor(getWithFields("Content-Length: abc\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length: -1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length: +1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length: 0x1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length: 1,1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length: 1 1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length:\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Content-Length: 99999999999999999999\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Content-Length: 1\r\nContent-Length: 2\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Content-Length: 1\r\nContent-Length: 1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n")) == 400);
  for (const char* encoding : { "gzip",
                                "gzip, chunked",
                                "chunked, chunked",
                                "identity",
                                "xchunked",
                                "chunked;q=1",
                                "" }) {
    const std::string field = "Transfer-Encoding: " + std::string(encoding);
    BOOST_TEST(statusFor(getWithFields(field + "\r\n")) == 400, field);
  }
  BOOST_TEST(statusFor(getWithFields("Transfer-Encoding: chunked\r\n"
                                     "Transfer-Encoding: chunked\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content-Length : 1\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("Content Length: 1\r\n")) == 400);
  BOOST_TEST(statusFor("GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n0\r\n\r\n") == 400);
  const std::string chunked =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(statusFor(chunked + "zz\r\n") == 400);
  BOOST_TEST(statusFor(chunked + "-1\r\nx\r\n") == 400);
  BOOST_TEST(statusFor(chunked + "1\r\nxy\r\n0\r\n\r\n") == 400);
}

BOOST_AUTO_TEST_CASE(input_that_is_not_http_is_refused)
{
  BOOST_TEST(statusFor(std::string("\x16\x03\x01\x02\x00\x01\x00", 7)) == 400);
  BOOST_TEST(statusFor("hello\r\n") == 400);
  BOOST_TEST(statusFor("hello there general\r\n") == 400);
  BOOST_TEST(statusFor("GET /a\r\n") == 400);
  BOOST_TEST(statusFor("GET /a HTTP/2.0\r\n\r\n") == 400);
  BOOST_TEST(statusFor("GET  /a HTTP/1.1\r\n\r\n") == 400);
  BOOST_TEST(statusFor("PRI * HTTP/2.0\r\n\r\n") == 400);
  BOOST_TEST(statusFor(std::string(40, 'A')) == 400);
  BOOST_TEST(statusFor(std::string(4, '\0')) == 400);
  BOOST_TEST(statusFor("GET /a HTTP/1.1\nHost: h\n\n") == 400);
  BOOST_TEST(statusFor(getWithFields(std::string("X: a\0b\r\n", 8))) == 400);
  BOOST_TEST(statusFor(getWithFields("X: a\rb\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields("nocolon\r\n")) == 400);
}

BOOST_AUTO_TEST_CASE(size_limits)
{
  BOOST_TEST(statusFor(getWithFields("Content-Length: 101\r\n")) == 413);
  BOOST_TEST(statusFor("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "65\r\n" +
                       std::string(101, 'x') + "\r\n") == 413);
  BOOST_TEST(
    statusFor(getWithFields("X: " + std::string(1100, 'x') + "\r\n")) == 431);
  BOOST_TEST(statusFor(getTarget("/" + std::string(1100, 'x'))) == 414);
  RequestReader largeHeaderReader({ 64U << 10, 100 });
  largeHeaderReader.feed(getTarget("/" + std::string(9000, 'x')));
  const auto outcome = largeHeaderReader.next(kNow);
  BOOST_REQUIRE((outcome && !*outcome));
  BOOST_TEST(outcome->error().mStatus == 414U);
}

BOOST_AUTO_TEST_CASE(oversized_body_is_refused_before_it_arrives)
{
  BOOST_TEST(statusFor("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
             413);
}

BOOST_AUTO_TEST_CASE(repeated_singleton_fields_are_refused)
{
  BOOST_TEST(statusFor(getWithFields(
               "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n")) ==
             400);
  BOOST_TEST(statusFor(getWithFields("Host: other\r\n")) == 400);
  BOOST_TEST(statusFor(getWithFields(
               "Idempotency-Key: a\r\nidempotency-key: b\r\n")) == 400);
}

BOOST_AUTO_TEST_CASE(valid_and_invalid_targets)
{
  for (const char* good : { "/",
                            "/a/b",
                            "/a/%20b",
                            "/a?x=%2F..%2F",
                            "/a..b/c",
                            "/...",
                            "/a/v1%2e2",
                            "/a?b?c",
                            "/%C3%A1" }) {
    BOOST_TEST(statusFor(getTarget(good)) == 0, good);
  }
  for (const char* bad :
       { "/a/../b",   "/..",   "/.",         "/a/./b", "/a/%2e%2e/b",
         "/a/.%2E/b", "/%2e",  "/a%2fb",     "/a%2Fb", "/a%5cb",
         "/a\\b",     "/a%00", "/a?x=%00",   "/a%zz",  "/a%2",
         "/a#b",      "a",     "http://h/a", "*",      "//../a" }) {
    BOOST_TEST(statusFor(getTarget(bad)) == 400, bad);
  }
}

BOOST_AUTO_TEST_CASE(partial_requests_need_more_bytes)
{
  BOOST_TEST(statusFor("GET /a HT") == -1);
  BOOST_TEST(statusFor("GET /a HTTP/1.1\r\nHost: h\r\n") == -1);
  BOOST_TEST(statusFor("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhell") ==
             -1);
  BOOST_TEST(statusFor("\r\n\r\n") == -1);
  BOOST_TEST(statusFor("\r\n" + getTarget("/a")) == 0);
}

BOOST_AUTO_TEST_CASE(hop_by_hop_and_router_fields_are_removed)
{
  RequestReader reader(smallLimits());
  reader.feed(getWithFields("Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                            "X-Radishroad-Workspace: forged\r\n"
                            "x_radishroad_epoch: 9\r\n"
                            "TE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\n"
                            "Proxy-Authorization: p\r\nX-Kept: yes\r\n"));
  const auto outcome = reader.next(kNow);
  BOOST_REQUIRE((outcome && *outcome));
  const auto& headers = (*outcome)->mRequest.mHeaders;
  BOOST_REQUIRE(headers.size() == 2U);
  BOOST_TEST(headers[0].name == "Host");
  BOOST_TEST(headers[1].name == "X-Kept");
}

BOOST_AUTO_TEST_CASE(keep_alive_default_depends_on_the_version)
{
  const auto keeps = [](const std::string& aBytes) {
    RequestReader reader(smallLimits());
    reader.feed(aBytes);
    const auto outcome = reader.next(kNow);
    BOOST_REQUIRE((outcome && *outcome));
    return (*outcome)->mKeepAlive;
  };
  BOOST_TEST(keeps("GET /a HTTP/1.1\r\n\r\n"));
  BOOST_TEST(!keeps("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"));
  BOOST_TEST(!keeps("GET /a HTTP/1.0\r\n\r\n"));
  BOOST_TEST(keeps("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(expect_field)
{
  const std::string post = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n";
  BOOST_TEST(statusFor(post + "Expect: more\r\n\r\nhello") == 417);
  RequestReader reader(smallLimits());
  reader.feed(post + "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(!reader.next(kNow).has_value());
  BOOST_TEST(reader.takeContinueWanted());
  BOOST_TEST(!reader.takeContinueWanted());
  reader.feed("hello");
  BOOST_TEST(reader.next(kNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
