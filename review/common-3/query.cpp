// A request that crashes each worker that runs it comes again and again. Other
// requests of the same tenant differ from it in their query alone.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 5;
constexpr std::int64_t kContact = 3000;
constexpr const char* kPoison = "/archive/list?year=1987";

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
  std::vector<std::pair<std::string, std::int64_t>> arrivals;
  std::vector<std::int64_t> crashes;
  const bool trouble = hasTrouble();
  Worker::Options options;
  options.mCrashes = [trouble](const Request& aRequest) {
    return trouble && aRequest.mTarget == kPoison;
  };
  options.mOnRun = [&](const std::string& aWorker, const Request& aRequest) {
    if (aRequest.mTarget == kPoison) {
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals.emplace_back(aRequest.header("x-request-id"), now());
      site.mRecord.line("worker of " + aWorker + " begins to run " +
                        arrivals.back().first);
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
  std::vector<std::thread> traffic;
  for (int client = 0; client < 4; ++client) {
    traffic.emplace_back([&] {
      while (!stopped) {
        const int n = ++sent;
        const Reply reply =
          site.request(site.mMachines[n % kMachines],
                       "GET",
                       "/archive/list?year=" + std::to_string(2000 + n % 20),
                       "q" + std::to_string(n));
        served += reply.mStatus == 200 ? 1 : 0;
        sleepMs(80);
      }
    });
  }
  sleepMs(8000);
  std::map<std::string, std::int64_t> sentAt;
  for (int n = 1; n <= 30; ++n) {
    const Machine& at = site.mMachines[n % kMachines];
    const std::string id = "p" + std::to_string(n);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      sentAt[id] = now();
    }
    const Reply reply = site.request(at, "GET", kPoison, id);
    site.mRecord.line(id + " at " + at.mName + ": " +
                      std::to_string(reply.mStatus) + " after " +
                      std::to_string(reply.mTook) + " ms");
    sleepMs(1500);
  }
  stopped = true;
  for (std::thread& client : traffic) {
    client.join();
  }
  const std::lock_guard<std::mutex> lock(mutex);
  std::set<std::string> late;
  if (crashes.size() >= 3) {
    for (const auto& [id, at] : arrivals) {
      if (sentAt.at(id) > crashes[2] + kContact) {
        late.insert(id);
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
