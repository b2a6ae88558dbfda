#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

/// Real daemons that pass on large bodies while they receive them. Callers are
/// connected to the daemon beside the upstream, or to another one.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Reply = FakeUpstream::Reply;
using Vm = PlatformSite::Vm;

constexpr std::size_t kBodyBytes = 12U << 20;
constexpr std::size_t kPartBytes = 64U << 10;

std::string
largeBody()
{
  std::string body;
  body.reserve(kBodyBytes + 16);
  for (int n = 0; body.size() < kBodyBytes; ++n) {
    body += std::to_string(n) + " ";
  }
  return body;
}

std::string
headOf(const UpstreamAnswer& aAnswer, const std::string& aFraming)
{
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& header : aAnswer.mHeaders) {
    head += header + "\r\n";
  }
  return head + aFraming + "\r\n\r\n";
}

bool
isAbout(const UpstreamAnswer& aAnswer, const std::string& aPrefix)
{
  return std::ranges::any_of(aAnswer.mHeaders, [&](const std::string& aLine) {
    return aLine.starts_with("X-Request-Id: " + aPrefix);
  });
}

/// The reply that the beginning of the request id asks for.
Reply
reply(UpstreamAnswer aAnswer)
{
  const std::string part(kPartBytes, 'x');
  if (isAbout(aAnswer, "endless")) {
    return { headOf(aAnswer, "Content-Length: 16000000"), true, part };
  }
  if (isAbout(aAnswer, "whole")) {
    aAnswer.mBody = largeBody();
    return { frame(aAnswer, Framing::Length) };
  }
  if (isAbout(aAnswer, "chunked")) {
    aAnswer.mBody = largeBody();
    return { frame(aAnswer, Framing::Chunked) };
  }
  if (isAbout(aAnswer, "cut")) {
    aAnswer.mBody = largeBody();
    std::string bytes = frame(
      aAnswer,
      isAbout(aAnswer, "cut-chunked") ? Framing::Chunked : Framing::Length);
    bytes.resize(bytes.size() / 2);
    return { bytes, true };
  }
  return { frame(aAnswer, Framing::Length) };
}

class Site : public PlatformSite
{
public:
  explicit Site(const std::string& aName)
    : PlatformSite(aName, { service("big"), service("other") }, reply)
  {
  }
  Vm& big() { return vms().front(); }
  /// Both ways to the upstream of large bodies.
  std::vector<const Vm*> entries() { return { &vms().front(), &vms().back() }; }
  bool startServing()
  {
    return start() &&
           waitFor(
             [this] {
               return std::ranges::all_of(entries(), [](const Vm* aVm) {
                 RawClient client(kCallers, aVm->mIp);
                 send(client, "first");
                 const auto answer = client.receive();
                 return answer && answer->mStatus == 200;
               });
             },
             20_s);
  }
  static void send(RawClient& aClient, const std::string& aId)
  {
    aClient.send("GET /big/download/" + aId +
                 " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
                 "\r\nX-Deadline-Ms: 1500\r\n\r\n");
  }

private:
  static Service service(const std::string& aName)
  {
    Service service{ aName, false, false, 1 };
    service.mDownloads = { "/download/" };
    return service;
  }
};

/// Most memory that the process has occupied.
std::int64_t
peakKb(const ChildProcess& aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess.pid()) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::int64_t kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

}

BOOST_AUTO_TEST_SUITE(response_streams)

// Each daemon on the way held whole bodies, 12 MB each here.
BOOST_AUTO_TEST_CASE(large_bodies_arrive_whole_in_bounded_memory)
{
  constexpr std::int64_t kMaxGrowthKb = 12 << 10;
  Site site("stream-whole");
  BOOST_REQUIRE(site.startServing());
  std::vector<std::int64_t> before;
  for (const Vm& vm : site.vms()) {
    before.push_back(peakKb(*vm.mDaemon));
  }
  const std::string body = largeBody();
  std::atomic<int> whole{ 0 };
  std::vector<std::thread> callers;
  for (int n = 0; n < 6; ++n) {
    callers.emplace_back([&, n] {
      RawClient client(PlatformSite::kCallers, site.entries()[n % 2]->mIp);
      const bool isChunked = n >= 4;
      Site::send(client,
                 (isChunked ? "chunked." : "whole.") + std::to_string(n));
      if (n < 2) {
        // A slow reader: the upstream must wait for it.
        std::this_thread::sleep_for(std::chrono::seconds(2));
      }
      const std::optional<RawResponse> answer = client.receive();
      whole += answer && answer->mStatus == 200 && answer->mBody == body;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(whole == 6);
  for (std::size_t n = 0; n < before.size(); ++n) {
    const std::int64_t peak = peakKb(*site.vms()[n].mDaemon);
    BOOST_TEST_MESSAGE(site.vms()[n].mName << " grew by " << peak - before[n]
                                           << " KB");
    BOOST_TEST(peak - before[n] < kMaxGrowthKb);
  }
}

// Answers on one connection keep their order, and the connection its use.
BOOST_AUTO_TEST_CASE(pipelined_answers_keep_their_order)
{
  Site site("stream-pipelined");
  BOOST_REQUIRE(site.startServing());
  const std::string body = largeBody();
  for (const Vm* vm : site.entries()) {
    RawClient client(PlatformSite::kCallers, vm->mIp);
    for (const char* id : { "whole.a", "small.b", "whole.c" }) {
      Site::send(client, id + vm->mName);
    }
    for (const bool isLarge : { true, false, true }) {
      const std::optional<RawResponse> answer = client.receive();
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST((answer->mBody == body) == isLarge);
    }
  }
}

// A body that breaks off must never look whole.
BOOST_AUTO_TEST_CASE(body_cut_by_the_upstream_is_not_complete)
{
  Site site("stream-cut");
  BOOST_REQUIRE(site.startServing());
  for (const Vm* vm : site.entries()) {
    for (const char* id : { "cut.a", "cut-chunked.b" }) {
      RawClient client(PlatformSite::kCallers, vm->mIp);
      Site::send(client, id + vm->mName);
      BOOST_TEST(client.waitForInput());
      const Millis began = monotonicNow();
      BOOST_TEST(!client.receive().has_value());
      BOOST_TEST((monotonicNow() - began).mCount < 3000);
    }
  }
}

BOOST_AUTO_TEST_CASE(body_cut_by_a_killed_daemon_is_not_complete)
{
  Site site("stream-killed");
  BOOST_REQUIRE(site.startServing());
  RawClient client(PlatformSite::kCallers, site.entries().back()->mIp);
  Site::send(client, "endless.killed");
  BOOST_TEST(client.waitForInput());
  site.big().mDaemon->kill();
  const Millis began = monotonicNow();
  BOOST_TEST(!client.receive().has_value());
  BOOST_TEST((monotonicNow() - began).mCount < 5000);
  BOOST_TEST(site.vms().back().mDaemon->isRunning());
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_ends_the_run)
{
  Site site("stream-left");
  BOOST_REQUIRE(site.startServing());
  const FakeUpstream& upstream = site.big().mUpstream->server();
  std::uint64_t ends = 0;
  for (const Vm* vm : site.entries()) {
    {
      RawClient client(PlatformSite::kCallers, vm->mIp);
      Site::send(client, "endless." + vm->mName);
      BOOST_TEST(client.waitForInput());
    }
    ++ends;
    BOOST_TEST(waitFor([&] { return upstream.endlessEnds() == ends; }, 500_ms));
  }
}

// A caller that stopped reading held the whole body, and a slot of the
// upstream, until it closed the connection.
BOOST_AUTO_TEST_CASE(caller_that_stops_reading_is_ended)
{
  Site site("stream-stopped");
  BOOST_REQUIRE(site.startServing());
  const FakeUpstream& upstream = site.big().mUpstream->server();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (const Vm* vm : site.entries()) {
    clients.push_back(
      std::make_unique<RawClient>(PlatformSite::kCallers, vm->mIp));
    Site::send(*clients.back(), "endless." + vm->mName);
    BOOST_TEST(clients.back()->waitForInput());
  }
  BOOST_TEST(waitFor([&] { return upstream.endlessEnds() == 2; }, 8_s));
  for (const auto& client : clients) {
    BOOST_TEST(!client->receive().has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
