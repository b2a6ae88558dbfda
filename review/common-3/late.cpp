// A worker's reports arrive late. It crashes and starts again under the id that
// it had; reports from before arrive after that.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr int kMachines = 7;
constexpr std::size_t kRuns = 65536 / Holds::kStep;
constexpr std::int64_t kLate = 4000;
constexpr std::int64_t kDown = 500;

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  const auto holds = std::make_shared<Holds>();
  site.publish({ { "browse", "/browse/", "idempotent", "catalog" } },
               { { "catalog", true } });
  if (!site.mStore->open()) {
    return 2;
  }
  for (int n = 1; n <= kMachines; ++n) {
    Worker::Options options;
    options.mKeyed = true;
    options.mHolds = holds;
    options.mKeepsId = true;
    options.mBackAfter = kDown;
    if (n == 3) {
      options.mOnReport = [&](const std::string& aProcess,
                              std::uint64_t aSequence) {
        site.mRecord.line("report " + std::to_string(aSequence) + " of " +
                          aProcess + " arrives");
      };
    }
    Machine& machine = site.add("catalog", n, options);
    if (!machine.mWorker->start() || !site.startDaemon(machine)) {
      return 2;
    }
  }
  if (!site.waitFor([&] { return holds->heldRuns("") == kRuns; }, 20000)) {
    site.mRecord.line("not all keys are held at the start");
    return 2;
  }
  site.mRecord.line("all keys are held");
  std::atomic<bool> stopped{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::thread traffic([&] {
    while (!stopped) {
      const int n = ++sent;
      const Machine& at = site.mMachines[n % kMachines];
      const Reply reply = site.request(
        at,
        "GET",
        "/browse/" + std::to_string(n),
        "q" + std::to_string(n),
        "X-Shard-Key: " + std::to_string(n * 7919 % 65536) + "\r\n",
        1000);
      served += reply.mStatus == 200 ? 1 : 0;
      sleepMs(20);
    }
  });
  sleepMs(5000);
  Worker& worker = *site.mMachines[2].mWorker;
  if (hasTrouble()) {
    site.mRecord.line("reports of " + worker.process() + " come late from now");
    worker.delayReports(kLate);
  }
  sleepMs(6000);
  if (hasTrouble()) {
    site.mRecord.line(worker.process() + " crashes and holds " +
                      std::to_string(holds->heldRuns(worker.process())) +
                      " runs of keys");
    worker.crash();
  }
  sleepMs(12000);
  stopped = true;
  traffic.join();
  site.mRecord.line("requests sent " + std::to_string(sent) + ", served " +
                    std::to_string(served));
  int repeated = 0;
  int together = 0;
  for (const auto& [run, all] : holds->all()) {
    for (std::size_t later = 0; later < all.size(); ++later) {
      for (std::size_t earlier = 0; earlier < later; ++earlier) {
        const Hold& first = all[earlier];
        const Hold& second = all[later];
        if (first.mWorker == second.mWorker) {
          continue;
        }
        const bool isRepeated = second.mEpoch <= first.mEpoch;
        const std::int64_t both =
          std::min(first.mTo, second.mTo) - second.mFrom;
        repeated += isRepeated ? 1 : 0;
        together += both > 500 ? 1 : 0;
        if ((isRepeated || both > 500) && repeated + together <= 20) {
          const auto text = [&](const Hold& aHold) {
            return aHold.mWorker + " with epoch " +
                   std::to_string(aHold.mEpoch) + " from " +
                   std::to_string(aHold.mFrom - site.mRecord.start()) + " to " +
                   std::to_string(aHold.mTo - site.mRecord.start());
          };
          site.mRecord.line("keys from " + std::to_string(run * Holds::kStep) +
                            ": " + text(first) + "; " + text(second));
        }
      }
    }
  }
  const std::string summary =
    "runs of keys taken with an epoch number that another process had: " +
    std::to_string(repeated) +
    "; held by two processes for over half a second: " +
    std::to_string(together);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  return repeated + together > 0 ? 1 : 0;
}
