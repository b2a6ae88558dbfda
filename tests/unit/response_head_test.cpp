#include "radishroad/http/response_head.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace radishroad;
using Framing = ResponseHead::Framing;

namespace {

/// Follows all lines of the text.
ResponseHead
follow(std::string_view aText, bool aIsHead = false)
{
  ResponseHead head(aIsHead);
  while (!aText.empty()) {
    const std::size_t n = std::min(aText.find('\n'), aText.size() - 1) + 1;
    head.addLine(aText.substr(0, n));
    aText.remove_prefix(n);
  }
  return head;
}

}

BOOST_AUTO_TEST_SUITE(response_head)

BOOST_AUTO_TEST_CASE(framing_by_the_final_head)
{
  struct Case
  {
    std::string mText;
    Framing mFraming;
    bool mIsHead = false;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 5\r\n";
  const std::string chunked = "Transfer-Encoding: Chunked\r\n";
  const std::vector<Case> cases{
    { ok + length + "\r\n", Framing::Length },
    { "HTTP/1.0 200\r\n" + length + "\r\n", Framing::Length },
    { "HTTP/1.1 200 OK\nContent-Length:5\n\n", Framing::Length },
    { ok + chunked + "\r\n", Framing::Chunked },
    { ok + "X-A: b\r\n\r\n", Framing::ConnectionEnd },
    { ok + length + "\r\n", Framing::NoBody, true },
    { "HTTP/1.1 204 No Content\r\n\r\n", Framing::NoBody },
    { "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n", Framing::NoBody },
    // Interim responses, also with fields that are no part of the final head.
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + length +
        "\r\n" + ok + chunked + "\r\n",
      Framing::Chunked },
    { "HTTP/1.1 100 Continue\r\n" + length + "\r\n", Framing::Unknown },
    { ok + length, Framing::Unknown },
  };
  for (const Case& it : cases) {
    const ResponseHead head = follow(it.mText, it.mIsHead);
    BOOST_TEST(head.error().empty(), it.mText << head.error());
    BOOST_TEST((head.framing() == it.mFraming), it.mText);
    BOOST_TEST(head.ended() == (it.mFraming != Framing::Unknown), it.mText);
    const bool hasFive = it.mFraming == Framing::Length;
    BOOST_TEST(head.isWhole(5) == (hasFive || it.mFraming == Framing::Chunked ||
                                   it.mFraming == Framing::ConnectionEnd),
               it.mText);
    BOOST_TEST(head.isWhole(4) == (it.mFraming == Framing::Chunked ||
                                   it.mFraming == Framing::ConnectionEnd),
               it.mText);
    BOOST_TEST(head.isWhole(0) == (head.ended() && !hasFive), it.mText);
  }
}

BOOST_AUTO_TEST_CASE(malformed_heads_are_rejected)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 5\r\n";
  const std::vector<std::string> heads{
    "\r\n",
    "X-A: b\r\n",
    "HTTP/2 200 OK\r\n",
    "HTTP/1.1  200 OK\r\n",
    "HTTP/1.1 20 OK\r\n",
    "HTTP/1.1 2000 OK\r\n",
    "HTTP/1.1 099 OK\r\n",
    "HTTP/1.1 600 OK\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    std::string("HTTP/1.1 200 O\0K\r\n", 18),
    // A second status line within a head.
    ok + length + ok,
    ok + "X-A\r\n",
    ok + "X A: b\r\n",
    ok + "X-A : b\r\n",
    ok + ": b\r\n",
    ok + "X-A: b\r\n c\r\n",
    ok + "X-A: b\rX-B: c\r\n",
    ok + " \r\n",
    ok + "Content-Length: 3x0\r\n\r\n",
    ok + "Content-Length: +5\r\n\r\n",
    ok + "Content-Length: -5\r\n\r\n",
    ok + "Content-Length:\r\n\r\n",
    ok + "Content-Length: 300, 600\r\n\r\n",
    ok + "Content-Length: 5, 5\r\n\r\n",
    ok + "Content-Length: 99999999999999999999\r\n\r\n",
    ok + "Content-Length: 9223372036854775808\r\n\r\n",
    ok + length + "Content-Length: 6\r\n\r\n",
    ok + length + length + "\r\n",
    ok + length + "Transfer-Encoding: chunked\r\n\r\n",
    ok + "Transfer-Encoding: gzip\r\n\r\n",
    ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
    ok + "Transfer-Encoding: chunked, chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    // Lines after a head whose framing has no trailers.
    ok + length + "\r\nX-A: b\r\n",
    ok + "X-A: " + std::string(ResponseHead::kMaxBytes, 'b') + "\r\n\r\n",
  };
  for (const std::string& text : heads) {
    const ResponseHead head = follow(text);
    BOOST_TEST(!head.error().empty(), text);
    BOOST_TEST(!head.ended(), text);
    BOOST_TEST(!head.isWhole(5), text);
  }
}

// A trailer promises that the request has not run, or resets the status.
BOOST_AUTO_TEST_CASE(trailers_are_no_part_of_the_head)
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n";
  ResponseHead head = follow(chunked + "X-Not-Executed: 1\r\n\r\n");
  BOOST_TEST(head.isWhole(5));
  BOOST_TEST(head.headers().size() == 2U);
  ResponseHead other = follow(chunked + "HTTP/1.1 503 Busy\r\n");
  BOOST_TEST(other.status() == 200);
  BOOST_TEST(!other.isWhole(5));
}

BOOST_AUTO_TEST_SUITE_END()
