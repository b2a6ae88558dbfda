// The store comes back from a copy some seconds old while all daemons are
// killed and started again. The keys that moved in the lost seconds must not be
// granted with an epoch number that another worker had.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr std::int64_t kCopyAge = 5000;
constexpr std::int64_t kAway = 1000;
constexpr std::int64_t kRestart = 500;
constexpr std::size_t kRuns = 65536 / Holds::kStep;

}

int
main(int, char** aArguments)
{
  limitTime(110);
  Site site(aArguments[1]);
  const bool drill = hasTrouble("drill");
  const bool kill = hasTrouble("kill");
  const auto holds = std::make_shared<Holds>();
  site.publish({ { "browse", "/browse/", "idempotent", "catalog" } },
               { { "catalog", true } });
  if (!site.mStore->open()) {
    return 2;
  }
  Worker::Options options;
  options.mKeyed = true;
  options.mHolds = holds;
  for (int n = 1; n <= 5; ++n) {
    site.add("catalog", n, options);
  }
  const auto startMachine = [&](Machine& aMachine) {
    return aMachine.mWorker->start() && site.startDaemon(aMachine);
  };
  for (int n = 0; n < 4; ++n) {
    if (!startMachine(site.mMachines[n])) {
      return 2;
    }
  }
  if (!site.waitFor([&] { return holds->heldRuns("") == kRuns; }, 20000)) {
    site.mRecord.line("not all keys are held at the start");
    return 2;
  }
  site.mRecord.line("all keys are held");
  sleepMs(kCopyAge + 1000);
  // Planned work: a fifth worker with its machine.
  Machine& added = site.mMachines[4];
  site.mRecord.line("machine added: " + added.mName);
  const std::int64_t addedAt = now();
  int result = startMachine(added) ? 0 : 2;
  if (!site.waitFor(
        [&] { return holds->heldRuns(added.mName) >= kRuns / 8; }, 8000)) {
    site.mRecord.line("the added worker got few keys");
    result = 2;
  }
  site.mRecord.line("the added worker holds " +
                    std::to_string(holds->heldRuns(added.mName)) + " of " +
                    std::to_string(kRuns) + " runs of keys");
  const std::int64_t troubleAt = now();
  const std::int64_t copyOf = std::min(troubleAt - kCopyAge, addedAt - 1);
  site.mRecord.line("the copy is " + std::to_string(troubleAt - copyOf) +
                    " ms old");
  if (drill) {
    site.mStore->goAway();
  }
  if (kill) {
    for (Machine& machine : site.mMachines) {
      ::kill(machine.mPid, SIGKILL);
    }
    for (Machine& machine : site.mMachines) {
      site.end(machine, SIGKILL);
    }
    site.mRecord.line("all daemons were killed");
    sleepMs(kRestart);
    for (Machine& machine : site.mMachines) {
      result = site.startDaemon(machine) ? result : 2;
    }
  }
  if (drill) {
    sleepMs(std::max<std::int64_t>(0, troubleAt + kAway - now()));
    result = site.mStore->comeBack(copyOf) ? result : 2;
  }
  std::atomic<bool> stopped{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::thread traffic([&] {
    while (!stopped) {
      const int n = ++sent;
      const Machine& at = site.mMachines[n % 4];
      const Reply reply =
        site.request(at,
                     "GET",
                     "/browse/" + std::to_string(n),
                     "q" + std::to_string(n),
                     "X-Shard-Key: " + std::to_string(n * 7919 % 65536) +
                       "\r\n",
                     1000);
      served += reply.mStatus == 200 ? 1 : 0;
      if (n % 20 == 0) {
        site.mRecord.line("request q" + std::to_string(n) + " at " + at.mName +
                          ": " + std::to_string(reply.mStatus));
      }
      sleepMs(40);
    }
  });
  sleepMs(15000);
  stopped = true;
  traffic.join();
  site.mRecord.line("requests sent " + std::to_string(sent) + ", served " +
                    std::to_string(served));
  int described = 0;
  for (const auto& [run, all] : holds->all()) {
    const auto isAdded = [&](const Hold& aHold) {
      return aHold.mWorker == added.mName && aHold.mFrom < troubleAt;
    };
    if (std::ranges::any_of(all, isAdded) && ++described <= 5) {
      std::string text = "keys from " + std::to_string(run * Holds::kStep) +
                         " were held by";
      for (const Hold& hold : all) {
        text += " " + hold.mWorker + " (epoch " + std::to_string(hold.mEpoch) +
                ", " + std::to_string(hold.mFrom - site.mRecord.start()) +
                " to " + std::to_string(hold.mTo - site.mRecord.start()) + ")";
      }
      site.mRecord.line(text);
    }
  }
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
          site.mRecord.line("keys from " +
                            std::to_string(run * Holds::kStep) + ": " +
                            text(first) + "; " + text(second));
        }
      }
    }
  }
  const std::string summary =
    "runs of keys taken with an epoch number that another worker had: " +
    std::to_string(repeated) +
    "; held by two workers for over half a second: " + std::to_string(together);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  return result != 0 ? result : repeated + together > 0 ? 1 : 0;
}
