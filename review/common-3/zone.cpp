// The workers of one zone go down together, while several requesters fetch the
// same thing, and come back cold. Afterwards all workers are sound.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr int kMachines = 6;
constexpr std::int64_t kCold = 3000;
constexpr const char* kFile = "/nightly/latest";

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  site.publish({ { "archive", "/archive/", "idempotent", "library" },
                 { "nightly", "/nightly/", "idempotent", "library" } },
               { { "library", false } });
  if (!site.mStore->open()) {
    return 2;
  }
  Worker::Options options;
  options.mWork = [](const Request& aRequest) {
    return aRequest.path() == kFile ? 800 : 50;
  };
  options.mCold = kCold;
  std::mutex mutex;
  std::map<std::string, std::string> ranAt;
  options.mOnRun = [&](const std::string& aWorker, const Request& aRequest) {
    if (aRequest.path() == kFile) {
      const std::lock_guard<std::mutex> lock(mutex);
      ranAt[aRequest.header("x-request-id")] = aWorker;
      site.mRecord.line("worker of " + aWorker + " begins to run " +
                        aRequest.header("x-request-id"));
    }
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
  std::atomic<bool> isCounted{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::thread traffic([&] {
    for (int n = 1; !stopped; ++n) {
      const bool counts = isCounted;
      const Reply reply = site.request(site.mMachines[n % kMachines],
                                       "GET",
                                       "/archive/f" + std::to_string(n),
                                       "q" + std::to_string(n));
      sent += counts ? 1 : 0;
      served += counts && reply.mStatus == 200 ? 1 : 0;
      sleepMs(40);
    }
  });
  sleepMs(8000);
  // The file is there: some requesters fetch it at once.
  std::vector<std::thread> requesters;
  for (int n = 0; n < 12; ++n) {
    requesters.emplace_back([&, n] {
      const std::string id = "first" + std::to_string(n);
      const Reply reply =
        site.request(site.mMachines[n % kMachines], "GET", kFile, id);
      site.mRecord.line(id + ": " + std::to_string(reply.mStatus) + " after " +
                        std::to_string(reply.mTook) + " ms");
    });
  }
  sleepMs(400);
  std::set<std::string> busy;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [id, worker] : ranAt) {
      busy.insert(worker);
    }
  }
  // A zone whose workers all have such work.
  std::map<std::string, int> busyOf;
  for (const Machine& machine : site.mMachines) {
    busyOf[machine.mZone] += busy.contains(machine.mName) ? 1 : 0;
  }
  const auto zone = std::ranges::max_element(
    busyOf, {}, [](const auto& aEntry) { return aEntry.second; });
  site.mRecord.line("zone " + zone->first + ": workers with such work " +
                    std::to_string(zone->second));
  for (Machine& machine : site.mMachines) {
    if (hasTrouble() && machine.mZone == zone->first) {
      site.mRecord.line("worker of " + machine.mName + " goes down");
      machine.mWorker->crash();
    }
  }
  for (std::thread& requester : requesters) {
    requester.join();
  }
  // From ContactMs after the workers are back and warm.
  sleepMs(2000 + kCold + 3500);
  isCounted = true;
  int askedLater = 0;
  int servedLater = 0;
  for (int n = 0; n < 40; ++n) {
    const std::string id = "later" + std::to_string(n);
    const Reply reply =
      site.request(site.mMachines[n % kMachines], "GET", kFile, id);
    ++askedLater;
    servedLater += reply.mStatus == 200 ? 1 : 0;
    site.mRecord.line(id + ": " + std::to_string(reply.mStatus) + " after " +
                      std::to_string(reply.mTook) + " ms");
    sleepMs(500);
  }
  stopped = true;
  traffic.join();
  const std::string summary = "nightly: sent " + std::to_string(askedLater) +
                              ", served " + std::to_string(servedLater) +
                              "; archive: sent " + std::to_string(sent) +
                              ", served " + std::to_string(served);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  if (served == 0 || zone->second < 2) {
    return 2;
  }
  const double all =
    static_cast<double>(served + servedLater) / (sent + askedLater);
  return static_cast<double>(servedLater) / askedLater < all / 4 ? 1 : 0;
}
