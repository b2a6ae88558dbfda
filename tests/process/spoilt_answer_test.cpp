#include "radishroad/base/hash.h"
#include "support/platform_site.h"
#include "support/raw_client.h"
#include "support/wait.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <iomanip>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>

/// Real daemons whose upstreams break off answers or send them twice: what
/// their callers get, for each kind of fault and of service.

namespace radishroad::test {

using namespace radishroad::literals;

namespace {

using Reply = FakeUpstream::Reply;
using Vm = PlatformSite::Vm;

constexpr int kRequestsPerFault = 6;
constexpr int kKeys = 65536;

/// Part of an answer within which it is broken off.
enum class Part
{
  Head,
  Body,
};

/// What an upstream does with each answer of one request.
struct Fault
{
  std::string mName;
  std::function<Reply(const UpstreamAnswer&, std::mt19937_64&)> mSend;
};

std::string
requestIdOf(const UpstreamAnswer& aAnswer)
{
  constexpr std::string_view kName = "X-Request-Id: ";
  for (const std::string& header : aAnswer.mHeaders) {
    if (header.starts_with(kName)) {
      return header.substr(kName.size());
    }
  }
  return {};
}

Fault
brokenOff(Framing aFraming, Part aPart, bool aReset)
{
  const std::array<const char*, 3> framings{ "length", "chunks", "end" };
  return { std::string(framings.at(static_cast<std::size_t>(aFraming))) +
             (aPart == Part::Head ? ", head, " : ", body, ") +
             (aReset ? "reset" : "orderly"),
           [=](const UpstreamAnswer& aAnswer, std::mt19937_64& aRandom) {
             Reply reply{ frame(aAnswer, aFraming), true };
             const std::size_t head = reply.mBytes.find("\r\n\r\n") + 4;
             const std::size_t size =
               aPart == Part::Head
                 ? aRandom() % head
                 : head + aRandom() % (reply.mBytes.size() - head);
             reply.mBytes.resize(size);
             reply.mReset = aReset;
             return reply;
           } };
}

/// Sends the answer twice. aHalf: breaks off the second copy.
Fault
repeated(Framing aFraming, bool aIsLate, bool aHalf)
{
  return { std::string(aFraming == Framing::Length ? "length" : "chunks") +
             (aHalf ? ", half a copy " : ", a copy ") +
             (aIsLate ? "before the next answer" : "while idle"),
           [=](const UpstreamAnswer& aAnswer, std::mt19937_64& aRandom) {
             constexpr std::chrono::milliseconds kNever(60000);
             Reply reply{ frame(aAnswer, aFraming) };
             reply.mLateBytes = reply.mBytes;
             if (aHalf) {
               reply.mLateBytes.resize(1 +
                                       aRandom() % (reply.mBytes.size() - 1));
             }
             reply.mLateAfter =
               aIsLate ? kNever : std::chrono::milliseconds(aRandom() % 3);
             return reply;
           } };
}

/// Sends the answer with another status line. aHasFinal: the answer itself
/// follows.
Fault
oddStatus(const std::string& aLine, bool aHasFinal = false)
{
  return { aLine, [=](const UpstreamAnswer& aAnswer, std::mt19937_64&) {
            const std::string bytes = frame(aAnswer, Framing::Length);
            const std::size_t end = bytes.find("\r\n");
            return aHasFinal ? Reply{ aLine + "\r\n\r\n" + bytes }
                             : Reply{ aLine + bytes.substr(end) };
          } };
}

Fault
none(Framing aFraming)
{
  return {
    aFraming == Framing::Connection ? "end, whole" : "length, whole",
    [=](const UpstreamAnswer& aAnswer, std::mt19937_64&) {
      return Reply{ frame(aAnswer, aFraming), aFraming == Framing::Connection };
    }
  };
}

class Counts
{
public:
  void add(const std::string& aFault,
           const std::string& aService,
           const std::string& aResult)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mCounts[aFault][aService + ": " + aResult];
  }

  int count(const std::string& aResult) const
  {
    int n = 0;
    for (const auto& [fault, results] : mCounts) {
      for (const auto& [result, count] : results) {
        n += result.ends_with(": " + aResult) ? count : 0;
      }
    }
    return n;
  }

  int countOf(const std::string& aFault, const std::string& aResult) const
  {
    int n = 0;
    const auto results = mCounts.find(aFault);
    if (results != mCounts.end()) {
      for (const auto& [result, count] : results->second) {
        n += result.ends_with(": " + aResult) ? count : 0;
      }
    }
    return n;
  }

  std::string text() const
  {
    std::ostringstream text;
    for (const auto& [fault, results] : mCounts) {
      text << '\n' << std::left << std::setw(40) << fault;
      for (const auto& [result, count] : results) {
        text << " | " << result << " " << count;
      }
    }
    return text.str();
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::map<std::string, int>> mCounts;
};

constexpr const char* kWhole = "whole";
/// A success with a length that covers another body than the upstream's.
constexpr const char* kWrongByLength = "wrong, by length";
/// A success whose body ends with the connection before its end.
constexpr const char* kShortByEnd = "short, by the end";
constexpr const char* kForeign = "another's";
constexpr const char* kFailure = "failure";
/// A status that no final answer has, or a status line of another form.
constexpr const char* kOddStatus = "odd status";
constexpr const char* kNoAnswer = "none";

const char*
judge(const std::optional<RawResponse>& aAnswer, const std::string& aRequestId)
{
  if (!aAnswer) {
    return kNoAnswer;
  }
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  const std::string status =
    std::to_string(aAnswer->mStatus).insert(0, kVersion) + " ";
  if (aAnswer->mStatus < 200 || aAnswer->mStatus > 599 ||
      !aAnswer->mHead.starts_with(status)) {
    return kOddStatus;
  }
  if (aAnswer->mStatus != 200) {
    return kFailure;
  }
  const std::string body = PlatformUpstream::bodyOf(aRequestId);
  if (aAnswer->field("X-Upstream-Signature") != "s-" + aRequestId ||
      !body.starts_with(aAnswer->mBody)) {
    return kForeign;
  }
  if (aAnswer->mBody == body) {
    return kWhole;
  }
  return aAnswer->mEndsWithConnection ? kShortByEnd : kWrongByLength;
}

/// Sends requests with each fault to a service through one daemon, on a kept
/// connection.
void
sendAll(const Vm& aVm,
        const std::string& aService,
        const std::vector<Fault>& aFaults,
        Counts& aCounts)
{
  std::unique_ptr<RawClient> client;
  for (int n = 0; n < kRequestsPerFault; ++n) {
    for (std::size_t fault = 0; fault < aFaults.size(); ++fault) {
      const std::string id = aVm.mName + "." + aService + "." +
                             std::to_string(n) + "." + std::to_string(fault);
      if (!client) {
        client = std::make_unique<RawClient>(PlatformSite::kCallers, aVm.mIp);
      }
      // Each request has its own path, as copies of one that seems to crash
      // upstreams are held back.
      client->send("GET /" + aService + "/" + id +
                   " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                   "\r\nX-Deadline-Ms: 400\r\nX-Shard-Key: " +
                   std::to_string(hash64(id) % kKeys) + "\r\n\r\n");
      const std::optional<RawResponse> answer = client->receive();
      aCounts.add(aFaults[fault].mName, aService, judge(answer, id));
      if (!answer || answer->mEndsWithConnection ||
          answer->field("Connection") == "close") {
        client.reset();
      }
    }
  }
}

/// Whether daemons answer requests to the service. The request has no fault.
bool
isServed(PlatformSite& aSite, const PlatformSite::Service& aService)
{
  return std::ranges::all_of(aSite.vms(), [&](const Vm& aVm) {
    RawClient client(PlatformSite::kCallers, aVm.mIp);
    client.send(
      "GET /" + aService.mName +
      "/first HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: first\r\n"
      "X-Deadline-Ms: 400\r\nX-Shard-Key: 1\r\n\r\n");
    const std::optional<RawResponse> answer = client.receive();
    return answer && answer->mStatus == 200;
  });
}

/// Runs daemons of each way of granting and without keys.
void
runFaults(const std::string& aName,
          const std::vector<Fault>& aFaults,
          Counts& aCounts)
{
  const std::vector<PlatformSite::Service> services{
    { "keyed", true, false, 2 },
    { "reported", true, true, 2 },
    { "plain", false, false, 2 },
  };
  PlatformSite site(aName, services, [&aFaults](const UpstreamAnswer& aAnswer) {
    const std::string id = requestIdOf(aAnswer);
    if (!aAnswer.mIsRun || id == "first") {
      return Reply{ frame(aAnswer, Framing::Length) };
    }
    std::mt19937_64 random(hash64(id));
    const std::size_t fault = std::stoul(id.substr(id.rfind('.') + 1));
    return aFaults.at(fault).mSend(aAnswer, random);
  });
  BOOST_REQUIRE(site.start());
  const Millis from = monotonicNow();
  for (const PlatformSite::Service& service : services) {
    BOOST_REQUIRE(waitFor([&] { return isServed(site, service); }, 30_s));
  }
  BOOST_TEST_MESSAGE("all served after " << (monotonicNow() - from).mCount
                                         << " ms");
  std::vector<std::thread> threads;
  for (const Vm& vm : site.vms()) {
    for (const PlatformSite::Service& service : services) {
      threads.emplace_back(
        [&] { sendAll(vm, service.mName, aFaults, aCounts); });
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST_MESSAGE(aCounts.text());
}

/// Returns the number of requests that get them.
int
addWholeAnswers(std::vector<Fault>& aFaults)
{
  aFaults.push_back(none(Framing::Length));
  aFaults.push_back(none(Framing::Connection));
  constexpr int kDaemons = 6;
  constexpr int kServices = 3;
  return 2 * kRequestsPerFault * kDaemons * kServices;
}

}

BOOST_AUTO_TEST_SUITE(spoilt_answers)

BOOST_AUTO_TEST_CASE(answer_broken_off_in_its_head_is_no_success)
{
  std::vector<Fault> faults;
  for (const bool reset : { false, true }) {
    for (const Framing framing :
         { Framing::Length, Framing::Chunked, Framing::Connection }) {
      faults.push_back(brokenOff(framing, Part::Head, reset));
    }
  }
  const int whole = addWholeAnswers(faults);
  Counts counts;
  runFaults("broken-off-in-head", faults, counts);
  BOOST_TEST(counts.count(kWhole) > whole / 2);
  BOOST_TEST(counts.count(kWrongByLength) == 0);
  BOOST_TEST(counts.count(kShortByEnd) == 0);
  BOOST_TEST(counts.count(kForeign) == 0);
}

BOOST_AUTO_TEST_CASE(answer_broken_off_in_its_body_has_no_length)
{
  std::vector<Fault> faults;
  for (const bool reset : { false, true }) {
    for (const Framing framing :
         { Framing::Length, Framing::Chunked, Framing::Connection }) {
      faults.push_back(brokenOff(framing, Part::Body, reset));
    }
  }
  const int whole = addWholeAnswers(faults);
  Counts counts;
  runFaults("broken-off-in-body", faults, counts);
  BOOST_TEST(counts.count(kWhole) > whole / 2);
  BOOST_TEST(counts.count(kWrongByLength) == 0);
  BOOST_TEST(counts.count(kForeign) == 0);
}

BOOST_AUTO_TEST_CASE(second_copy_of_an_answer_reaches_nobody)
{
  std::vector<Fault> faults;
  for (const bool half : { false, true }) {
    for (const bool late : { false, true }) {
      faults.push_back(repeated(Framing::Length, late, half));
      faults.push_back(repeated(Framing::Chunked, late, half));
    }
  }
  const int whole = addWholeAnswers(faults);
  Counts counts;
  runFaults("repeated", faults, counts);
  BOOST_TEST(counts.count(kWhole) > whole / 2);
  BOOST_TEST(counts.count(kWrongByLength) == 0);
  BOOST_TEST(counts.count(kShortByEnd) == 0);
  BOOST_TEST(counts.count(kForeign) == 0);
}

// Callers of another system got an answer with status 000.
BOOST_AUTO_TEST_CASE(answer_with_an_odd_status_reaches_nobody)
{
  std::vector<Fault> faults;
  for (const char* status : { "000",
                              "099",
                              "1000",
                              "",
                              "+200",
                              "-200",
                              "20",
                              "2 0",
                              "600",
                              "999",
                              "101",
                              "199" }) {
    faults.push_back(oddStatus("HTTP/1.1 " + std::string(status) + " OK"));
  }
  faults.push_back(oddStatus("HTTP/1.1 200000 OK"));
  faults.push_back(oddStatus("HTTP/1.1"));
  faults.push_back(oddStatus("HTTP/1.1 101 Switching Protocols", true));
  const std::size_t odd = faults.size();
  faults.push_back(oddStatus("HTTP/1.1 199 Odd", true));
  const int whole = addWholeAnswers(faults);
  Counts counts;
  runFaults("odd-status", faults, counts);
  BOOST_TEST(counts.count(kWhole) > whole / 2);
  BOOST_TEST(counts.count(kOddStatus) == 0);
  BOOST_TEST(counts.count(kWrongByLength) == 0);
  BOOST_TEST(counts.count(kShortByEnd) == 0);
  BOOST_TEST(counts.count(kForeign) == 0);
  for (std::size_t n = 0; n < odd; ++n) {
    BOOST_TEST(counts.countOf(faults[n].mName, kWhole) == 0, faults[n].mName);
  }
}

// The kernel ends the connections of a killed process in order.
BOOST_AUTO_TEST_CASE(body_without_a_length_from_a_killed_daemon_is_not_whole)
{
  constexpr std::size_t kBodyBytes = 16U << 20;
  const PlatformSite::Service service{ "plain", false, false, 1 };
  PlatformSite site("killed", { service }, [](UpstreamAnswer aAnswer) {
    if (requestIdOf(aAnswer) == "first") {
      return Reply{ frame(aAnswer, Framing::Length) };
    }
    aAnswer.mBody.resize(kBodyBytes, 'x');
    return Reply{ frame(aAnswer, Framing::Connection), true };
  });
  BOOST_REQUIRE(site.start());
  BOOST_REQUIRE(waitFor([&] { return isServed(site, service); }, 10_s));
  Vm& vm = site.vms().front();
  RawClient client(PlatformSite::kCallers, vm.mIp);
  client.send("GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
              "X-Request-Id: large\r\nX-Deadline-Ms: 3000\r\n\r\n");
  BOOST_REQUIRE(client.waitForInput());
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  vm.mDaemon->signal(SIGKILL);
  BOOST_REQUIRE(vm.mDaemon->waitForExit(10_s).has_value());
  BOOST_TEST(!client.receive().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
