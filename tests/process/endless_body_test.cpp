#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

/// Real daemons on VMs of 160 MB whose upstreams and callers send more than
/// these can hold.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Reply = FakeUpstream::Reply;
using Vm = PlatformSite::Vm;

constexpr int kCallers = 24;
constexpr int kUploads = 20;
constexpr std::size_t kUploadBytes = 12U << 20;
constexpr Millis kRunTime = 6_s;
/// The aim for a daemon that holds no bodies, the memory for bodies, and the
/// largest frame while it is unpacked.
constexpr std::int64_t kMaxResidentKb = (25 + 56 + 2 * 24) << 10;

std::string
headOf(const std::string& aId, const std::string& aMethod = "GET")
{
  return aMethod + " /plain/" + aId +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 1500\r\n";
}

bool
isAbout(const UpstreamAnswer& aAnswer, const std::string& aPrefix)
{
  return std::ranges::any_of(aAnswer.mHeaders, [&](const std::string& aLine) {
    return aLine.starts_with("X-Request-Id: " + aPrefix);
  });
}

/// An answer whose body does not end.
Reply
endless(const UpstreamAnswer& aAnswer, Framing aFraming)
{
  constexpr std::size_t kPartBytes = 64U << 10;
  const std::string part(kPartBytes, 'x');
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& header : aAnswer.mHeaders) {
    head += header + "\r\n";
  }
  switch (aFraming) {
    case Framing::Length:
      return { head + "Content-Length: 16000000\r\n\r\n", true, part };
    case Framing::Chunked:
      return { head + "Transfer-Encoding: chunked\r\n\r\n",
               true,
               "10000\r\n" + part + "\r\n" };
    case Framing::Connection:
      break;
  }
  return { head + "\r\n", true, part };
}

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

/// Requests of an ordinary caller at one daemon.
class OrdinaryCaller
{
public:
  explicit OrdinaryCaller(const Vm& aVm)
    : mThread([this, &aVm] { callUntilStopped(aVm); })
  {
  }
  ~OrdinaryCaller() { stop(); }
  OrdinaryCaller(const OrdinaryCaller&) = delete;
  OrdinaryCaller& operator=(const OrdinaryCaller&) = delete;

  void stop()
  {
    mStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  int sent() const { return mSent; }
  int served() const { return mServed; }

private:
  void callUntilStopped(const Vm& aVm)
  {
    while (!mStopped) {
      const std::string id = aVm.mName + "." + std::to_string(++mSent);
      try {
        RawClient client(PlatformSite::kCallers, aVm.mIp);
        client.send(headOf(id) + "\r\n");
        const std::optional<RawResponse> answer = client.receive();
        mServed += answer && answer->mStatus == 200 ? 1 : 0;
      } catch (const std::runtime_error&) {
        // The daemon is gone, which the test checks.
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  std::atomic<bool> mStopped{ false };
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::thread mThread;
};

PlatformSite::Service
plainService()
{
  PlatformSite::Service service{ "plain", false, false, 3 };
  service.mSlots = kCallers;
  return service;
}

bool
isServed(PlatformSite& aSite)
{
  return std::ranges::all_of(aSite.vms(), [](const Vm& aVm) {
    RawClient client(PlatformSite::kCallers, aVm.mIp);
    client.send(headOf("first") + "\r\n");
    const std::optional<RawResponse> answer = client.receive();
    return answer && answer->mStatus == 200;
  });
}

/// Runs aTrouble beside ordinary callers; checks that all daemons live on
/// within their memory and that the ordinary callers are served.
void
checkBounded(PlatformSite& aSite, const std::function<void()>& aTrouble)
{
  BOOST_REQUIRE(aSite.start());
  BOOST_REQUIRE(waitFor([&] { return isServed(aSite); }, 20_s));
  std::vector<std::unique_ptr<OrdinaryCaller>> callers;
  for (const Vm& vm : aSite.vms()) {
    callers.push_back(std::make_unique<OrdinaryCaller>(vm));
  }
  aTrouble();
  int sent = 0;
  int served = 0;
  for (const auto& caller : callers) {
    caller->stop();
    sent += caller->sent();
    served += caller->served();
  }
  for (Vm& vm : aSite.vms()) {
    BOOST_TEST(vm.mDaemon->isRunning());
    const std::int64_t peak = peakKb(*vm.mDaemon);
    BOOST_TEST_MESSAGE(vm.mName << " held at most " << peak << " KB");
    BOOST_TEST(peak < kMaxResidentKb);
  }
  BOOST_TEST_MESSAGE("served " << served << " of " << sent);
  constexpr int kPercent = 100;
  constexpr int kMinServedPercent = 95;
  BOOST_TEST(served * kPercent >= sent * kMinServedPercent);
}

/// Calls aCall in each of several threads until the time is up.
void
repeatInThreads(int aThreads, const std::function<void(int, int)>& aCall)
{
  const Millis until = monotonicNow() + kRunTime;
  std::vector<std::thread> threads;
  for (int n = 0; n < aThreads; ++n) {
    threads.emplace_back([&aCall, until, n] {
      for (int turn = 0; monotonicNow() < until; ++turn) {
        try {
          aCall(n, turn);
        } catch (const std::runtime_error&) {
          // The daemon is gone, which checkBounded() checks.
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
sendForEndlessBodies(PlatformSite& aSite, bool aIsRead)
{
  repeatInThreads(kCallers, [&](int aCaller, int aTurn) {
    const Vm& vm = aSite.vms().front();
    RawClient client(PlatformSite::kCallers, vm.mIp);
    client.send(headOf("endless." + std::to_string(aCaller) + "." +
                       std::to_string(aTurn)) +
                "\r\n");
    if (aIsRead) {
      client.receive();
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
  });
}

void
runEndless(const std::string& aName, Framing aFraming)
{
  for (const bool isRead : { true, false }) {
    PlatformSite site(
      aName, { plainService() }, [=](const UpstreamAnswer& aAnswer) {
        return isAbout(aAnswer, "endless")
                 ? endless(aAnswer, aFraming)
                 : Reply{ frame(aAnswer, Framing::Length) };
      });
    checkBounded(site, [&] { sendForEndlessBodies(site, isRead); });
  }
}

}

BOOST_AUTO_TEST_SUITE(endless_bodies)

// The daemon kept them all and ended, and other callers' requests with it.
BOOST_AUTO_TEST_CASE(bodies_with_a_length_end_no_daemon)
{
  runEndless("endless-length", Framing::Length);
}

BOOST_AUTO_TEST_CASE(chunked_bodies_end_no_daemon)
{
  runEndless("endless-chunks", Framing::Chunked);
}

BOOST_AUTO_TEST_CASE(bodies_without_a_length_end_no_daemon)
{
  runEndless("endless-end", Framing::Connection);
}

// Answers that were whole, and that their callers left unread.
BOOST_AUTO_TEST_CASE(answers_that_nobody_reads_end_no_daemon)
{
  constexpr std::size_t kBodyBytes = 8U << 20;
  PlatformSite site("unread", { plainService() }, [](UpstreamAnswer aAnswer) {
    if (isAbout(aAnswer, "endless")) {
      aAnswer.mBody.assign(kBodyBytes, 'x');
    }
    return Reply{ frame(aAnswer, Framing::Length) };
  });
  checkBounded(site, [&] { sendForEndlessBodies(site, false); });
}

BOOST_AUTO_TEST_CASE(uploads_at_once_end_no_daemon)
{
  PlatformSite site("uploads", { plainService() });
  const std::string body(kUploadBytes, 'x');
  std::atomic<int> taken{ 0 };
  std::atomic<int> untold{ 0 };
  checkBounded(site, [&] {
    repeatInThreads(kUploads, [&](int aCaller, int aTurn) {
      RawClient client(PlatformSite::kCallers, site.vms().front().mIp);
      client.send(headOf("upload." + std::to_string(aCaller) + "." +
                           std::to_string(aTurn),
                         "POST") +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n");
      client.send(body);
      const std::optional<RawResponse> answer = client.receive();
      const bool isRefused =
        answer && (answer->mStatus == 503 || answer->mStatus == 413);
      taken += answer && answer->mStatus == 200 ? 1 : 0;
      untold += isRefused && answer->mStatus == 503 &&
                    answer->field("Retry-After").empty()
                  ? 1
                  : 0;
    });
  });
  BOOST_TEST_MESSAGE("uploads taken: " << taken);
  BOOST_TEST(taken > 0);
  BOOST_TEST(untold == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
