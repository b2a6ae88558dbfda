#include "radishroad/log/http_client.h"

#include "platform/store.h"
#include "radishroad/operator/http_fetch.h"
#include "support/fake_upstream.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Reply = FakeUpstream::Reply;
using Request = FakeUpstream::Request;

const std::string kByLength = "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n"
                              "Content-Length: 4\r\n\r\nbody";
const std::string kInChunks = "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "4\r\nbody\r\n0\r\n\r\n";
const std::string kUnframed = "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n\r\nbody";

/// A server whose responses the test sets.
struct Server
{
  std::string mBytes;
  bool mReset = false;
  FakeUpstream mUpstream{ [this](const Request&) {
    return Reply{ mBytes, true, {}, mReset };
  } };
};

/// Whether the first aBytes are all that matters of a response: libcurl does
/// not wait for the last byte of chunks, a line end.
bool
isWhole(const std::string& aResponse, std::size_t aBytes)
{
  const bool isChunked = aResponse == kInChunks;
  return aResponse != kUnframed &&
         aBytes + (isChunked ? 1 : 0) >= aResponse.size();
}

}

BOOST_AUTO_TEST_SUITE(http_client)

// A call whose response ends in its head succeeds, without the headers that
// did not come.
BOOST_AUTO_TEST_CASE(a_response_cut_at_any_byte_is_not_complete)
{
  Server server;
  const std::string url = "http://" + server.mUpstream.address() + "/";
  HttpClient client({ .mCapturedHeader = "Store-Era" });
  for (const std::string& response : { kByLength, kInChunks, kUnframed }) {
    for (std::size_t n = 0; n <= response.size(); ++n) {
      for (const bool reset : { false, true }) {
        server.mBytes = response.substr(0, n);
        server.mReset = reset;
        const std::vector<std::uint8_t> data{ 1 };
        for (const HttpResponse& got :
             { client.get(url, 5_s), client.post(url, data, 5_s) }) {
          const std::string place = server.mBytes + ": " + got.describe();
          BOOST_TEST((got.mStatus == 0 || isWhole(response, n)), place);
          BOOST_TEST((got.mStatus == 0) == !got.mError.empty(), place);
          BOOST_TEST((got.mStatus == 0) == !got.mHeader.has_value(), place);
          BOOST_TEST(!got.mNeverSent, place);
          const bool mustPass =
            n == response.size() && response != kUnframed && !reset;
          BOOST_TEST((!mustPass || got.mBody == "body"), place);
        }
      }
    }
  }
}

// A conflict that the store reports without a length counts as an append with
// an unknown outcome.
BOOST_AUTO_TEST_CASE(a_failure_without_a_length_loses_its_status)
{
  Server server;
  server.mBytes = "HTTP/1.1 412 Precondition Failed\r\nStore-Era: 7\r\n\r\n";
  HttpClient client({ .mCapturedHeader = "Store-Era" });
  const HttpResponse got =
    client.get("http://" + server.mUpstream.address() + "/", 5_s);
  BOOST_TEST(got.mStatus == 412, got.describe());
  BOOST_TEST(got.mHeader.value_or("") == "7");
}

BOOST_AUTO_TEST_CASE(a_page_cut_at_any_byte_is_an_error)
{
  Server server;
  for (const std::string& response : { kByLength, kInChunks, kUnframed }) {
    for (std::size_t n = 0; n <= response.size(); ++n) {
      server.mBytes = response.substr(0, n);
      const Result<std::string> page =
        httpFetch(server.mUpstream.address(), "/");
      BOOST_TEST((!page || isWhole(response, n)), server.mBytes);
      const bool mustPass = n == response.size() && response != kUnframed;
      BOOST_TEST((!mustPass || (page && *page == "body")), server.mBytes);
    }
  }
}

// A response that ends before the line with the era is taken for one of a store
// that was restored.
BOOST_AUTO_TEST_CASE(a_cut_response_is_no_restored_store)
{
  std::atomic<bool> cut{ false };
  FakeUpstream server([&cut](const Request&) {
    const std::string bounds(16, '\0');
    return cut ? Reply{ "HTTP/1.1 200 OK\r\nContent-Type: a\r\n", true }
               : Reply{ "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n"
                        "Content-Length: 16\r\n\r\n" +
                          bounds,
                        true };
  });
  platform::StoreClient client(server.address());
  const platform::TopicPosition from{ 7, 0 };
  BOOST_TEST(client.read("t", from, 0, 0_ms, 5_s).has_value());
  cut = true;
  const Result<platform::KeyedRecords> read =
    client.read("t", from, 0, 0_ms, 5_s);
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().mCode == ErrorCode::Unavailable),
             read.error().mMessage);
  const std::vector<std::uint8_t> value{ 1 };
  const Result<platform::TopicPosition> append =
    client.append("t", "k", value, from, 5_s);
  BOOST_REQUIRE(!append.has_value());
  BOOST_TEST((append.error().mCode == ErrorCode::Unknown),
             append.error().mMessage);
}

BOOST_AUTO_TEST_SUITE_END()
