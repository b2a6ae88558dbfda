// A request that crashes each worker that runs it comes again and again, while
// the daemons are stopped and started in turn.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 5;
constexpr std::int64_t kContact = 3000;
constexpr const char* kPoison = "/archive/ledger-1987";

struct Arrival
{
  std::string mId;
  std::string mWorker;
  std::int64_t mAt = 0;
};

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  site.publish({ { "archive", "/archive/", "idempotent", "library" } },
               { { "library", false } });
  if (!site.mStore->open()) {
    return 2;
  }
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::vector<std::int64_t> crashes;
  Worker::Options options;
  options.mCrashes = [](const Request& aRequest) {
    return aRequest.path() == kPoison;
  };
  options.mOnRun = [&](const std::string& aWorker, const Request& aRequest) {
    if (aRequest.path() == kPoison) {
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals.push_back({ aRequest.header("x-request-id"), aWorker, now() });
      site.mRecord.line("worker of " + aWorker + " begins to run " +
                        arrivals.back().mId);
    }
  };
  options.mOnCrash = [&](const std::string& aWorker) {
    const std::lock_guard<std::mutex> lock(mutex);
    crashes.push_back(now());
    site.mRecord.line("worker of " + aWorker + " crashes");
  };
  for (int n = 1; n <= kMachines; ++n) {
    Machine& machine = site.add("library", n, options);
    if (!machine.mWorker->start() || !site.startDaemon(machine)) {
      return 2;
    }
  }
  if (!site.waitFor(
        [&] {
          bool all = true;
          for (const Machine& machine : site.mMachines) {
            all = all && Site::isReady(machine);
          }
          return all;
        },
        20000)) {
    return 2;
  }
  sleepMs(4000);
  std::atomic<bool> stopped{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  // Usual traffic, at machines that are not being stopped.
  std::mutex siteMutex;
  const auto calmMachine = [&](int aSeed) -> const Machine* {
    const std::lock_guard<std::mutex> lock(siteMutex);
    for (int n = 0; n < kMachines; ++n) {
      const Machine& machine = site.mMachines[(aSeed + n) % kMachines];
      if (machine.mPid > 0 && now() - machine.mTouchedAt > kContact + 200) {
        return &machine;
      }
    }
    return nullptr;
  };
  std::thread traffic([&] {
    while (!stopped) {
      const int n = ++sent;
      if (const Machine* at = calmMachine(n)) {
        const Reply reply = site.request(
          *at, "GET", "/archive/f" + std::to_string(n), "q" + std::to_string(n));
        served += reply.mStatus == 200 ? 1 : 0;
      }
      sleepMs(50);
    }
  });
  // The requester sends its request again each half a second.
  std::map<std::string, std::int64_t> sentAt;
  std::thread requester([&] {
    for (int n = 1; !stopped; ++n) {
      if (const Machine* at = calmMachine(n)) {
        const std::string id = "p" + std::to_string(n);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sentAt[id] = now();
        }
        const Reply reply = site.request(*at, "GET", kPoison, id);
        site.mRecord.line(id + " at " + at->mName + ": " +
                          std::to_string(reply.mStatus) + " after " +
                          std::to_string(reply.mTook) + " ms");
      }
      sleepMs(500);
    }
  });
  sleepMs(10000);
  for (Machine& machine : site.mMachines) {
    if (hasTrouble()) {
      pid_t pid = 0;
      {
        const std::lock_guard<std::mutex> lock(siteMutex);
        machine.mTouchedAt = now();
        pid = std::exchange(machine.mPid, 0);
      }
      site.mRecord.line("SIGTERM for the daemon of " + machine.mName);
      ::kill(pid, SIGTERM);
      const std::int64_t until = now() + 6000;
      while (::waitpid(pid, nullptr, WNOHANG) == 0) {
        if (now() > until) {
          ::kill(pid, SIGKILL);
        }
        sleepMs(5);
      }
      sleepMs(300);
      const std::lock_guard<std::mutex> lock(siteMutex);
      if (!site.startDaemon(machine)) {
        return 2;
      }
    }
    sleepMs(11000);
  }
  sleepMs(4000);
  stopped = true;
  traffic.join();
  requester.join();
  const std::lock_guard<std::mutex> lock(mutex);
  std::set<std::string> late;
  if (crashes.size() >= 3) {
    for (const Arrival& arrival : arrivals) {
      if (sentAt.at(arrival.mId) > crashes[2] + kContact) {
        late.insert(arrival.mId);
      }
    }
  }
  const std::string summary =
    "crashes " + std::to_string(crashes.size()) +
    ", retries that reached a worker later than ContactMs after the third: " +
    std::to_string(late.size()) + "; usual requests sent " +
    std::to_string(sent) + ", served " + std::to_string(served);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  return late.size() > 3 ? 1 : 0;
}
