// A worker breaks off one answer in fifty inside its head. The daemon passes it
// on as a complete success with an empty body.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 3;
constexpr std::int64_t kTrafficMs = 20000;
/// One answer in this many is broken off: x = 0.02 of the pages.
constexpr int kSpoilEvery = 50;

}

int
main(int, char** aArguments)
{
  const std::string root = aArguments[1];
  const std::string logs = aArguments[2];
  Record record(aArguments[3]);
  const bool trouble = hasTrouble();
  const int storePort = freePort();
  std::vector<Machine> machines;
  for (int n = 1; n <= kMachines; ++n) {
    machines.push_back(makeMachine(
      "library-" + std::to_string(n), "z" + std::to_string(n), "library"));
  }
  Store store(storePort);
  store.put("config",
            desiredState("r7", { { "library", false, "/lib/", true } }));
  std::atomic<bool> troubled{ false };
  std::atomic<int> answers{ 0 };
  std::atomic<int> brokenOff{ 0 };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kMachines; ++n) {
    const Machine& m = machines[static_cast<std::size_t>(n)];
    Worker::Options options;
    options.mService = "library";
    options.mId = "i-" + m.mName;
    options.mZone = m.mZone;
    options.mPort = m.mLocalApp;
    options.mReportPort = m.mAdmin;
    if (n == 0) {
      // One worker of three: share = 0.35.
      options.mSpoil =
        [&](int aSocket, const Message& aAsked, std::string& aText) {
          const bool isRun = aText.rfind("HTTP/1.1 200", 0) == 0 &&
                             aAsked.target().rfind("/lib/", 0) == 0;
          if (!troubled || !isRun || ++answers % kSpoilEvery != 0) {
            return true;
          }
          // By turns inside the body, and inside the head, between two of its
          // lines.
          const bool inHead = ++brokenOff % 2 == 0;
          const std::size_t end = aText.find("\r\nContent-Length");
          sendAll(aSocket,
                  aText.substr(0, inHead ? end + 2 : aText.size() - 100));
          record.line("broken off " + aAsked.header("X-Request-Id") +
                      (inHead ? " in its head" : " in its body"));
          return false;
        };
    }
    workers.push_back(std::make_unique<Worker>(options, record));
  }
  for (Machine& m : machines) {
    startDaemon(root, m, storePort, logs);
  }
  if (!waitReady(machines, 20000)) {
    record.line("the daemons did not become ready");
    std::printf("the daemons did not become ready\n");
    stopDaemons(machines);
    finish(2);
  }
  sleepMs(3000);
  troubled = trouble;
  std::atomic<int> sent{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> failed{ 0 };
  std::atomic<int> wrong{ 0 };
  const std::int64_t until = nowMs() + kTrafficMs;
  std::vector<std::thread> requesters;
  for (int n = 0; n < 12; ++n) {
    requesters.emplace_back([&, n] {
      const Machine& m = machines[static_cast<std::size_t>(n % kMachines)];
      while (nowMs() < until) {
        const std::string id = randomId();
        ++sent;
        const Message answer = get(m.mOutbound,
                                   "/lib/2f",
                                   3000,
                                   "Host: shop.example\r\nX-Request-Id: " + id +
                                     "\r\nX-Deadline-Ms: 2000\r\n");
        const int status = answer.status();
        const bool success = status >= 200 && status <= 299;
        const bool isWhole = answer.mBody == Worker::bodyOf(id, 600);
        whole += success && isWhole ? 1 : 0;
        failed += success ? 0 : 1;
        record.line("sent " + id + " answered " + std::to_string(status) +
                    " bytes " + std::to_string(answer.mBody.size()));
        if (success && answer.mComplete && !isWhole) {
          ++wrong;
          record.line("MIXED " + id + " status " + std::to_string(status) +
                      " signature '" + answer.header("X-Upstream-Signature") +
                      "' Content-Length " + answer.header("Content-Length") +
                      " of 600");
        }
        sleepMs(40);
      }
    });
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  stopDaemons(machines);
  std::ostringstream summary;
  summary << "sent " << sent << ", whole " << whole << ", not a success "
          << failed << ", broken off by the worker " << brokenOff
          << ", success with a body that is not whole " << wrong;
  record.line(summary.str());
  std::printf("%s\n", summary.str().c_str());
  finish(whole < sent / 2 ? 2 : wrong > 0 ? 1 : 0);
}
