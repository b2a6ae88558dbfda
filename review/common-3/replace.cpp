// All machines lose power at the same moment. Some come back, the others are
// gone for good and new machines come at other addresses.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 5;
constexpr std::int64_t kDown = 1200;
constexpr std::int64_t kRecovery = 15000;

}

int
main(int, char** aArguments)
{
  limitTime(115);
  const char* count = std::getenv("REPLACED");
  const int replaced = !hasTrouble() ? 0 : count != nullptr ? std::atoi(count) : 3;
  const bool isPowerLost = std::getenv("POWER_STAYS") == nullptr;
  Site site(aArguments[1]);
  site.publish(
    { { "browse", "/browse/", "idempotent", "catalog", 1000, 300 } },
    { { "catalog", true } });
  if (!site.mStore->open()) {
    return 2;
  }
  const auto holds = std::make_shared<Holds>();
  Worker::Options options;
  options.mKeyed = true;
  options.mHolds = holds;
  for (int n = 1; n <= kMachines + replaced; ++n) {
    site.add("catalog", n, options);
  }
  for (int n = 0; n < kMachines; ++n) {
    Machine& machine = site.mMachines[n];
    if (!machine.mWorker->start() || !site.startDaemon(machine)) {
      return 2;
    }
  }
  if (!site.waitFor(
        [&] { return holds->heldRuns("") == 65536 / Holds::kStep; }, 20000)) {
    return 2;
  }
  site.mRecord.line("all keys are held");
  int sent = 0;
  int served = 0;
  // Half a minute of requests at all machines that are there.
  const auto ask = [&](int aFirst, int aCount, const char* aName) {
    sent = 0;
    served = 0;
    for (int n = 0; n < 200; ++n) {
      const Machine& at = site.mMachines[aFirst + n % aCount];
      const Reply reply = site.request(
        at,
        "GET",
        "/browse/" + std::to_string(n),
        aName + std::to_string(n),
        "X-Shard-Key: " + std::to_string(n * 7919 % 65536) + "\r\n",
        1000);
      ++sent;
      served += reply.mStatus == 200 ? 1 : 0;
      if (n % 20 == 0) {
        site.mRecord.line(aName + std::to_string(n) + " at " + at.mName +
                          ": " + std::to_string(reply.mStatus));
      }
      sleepMs(50);
    }
    site.mRecord.line(std::string(aName) + ": sent " + std::to_string(sent) +
                      ", served " + std::to_string(served));
  };
  ask(0, kMachines, "before");
  const double before = static_cast<double>(served) / sent;
  for (int n = 0; n < kMachines; ++n) {
    if (hasTrouble() && (isPowerLost || n < replaced)) {
      ::kill(site.mMachines[n].mPid, SIGKILL);
      site.mMachines[n].mWorker->crash();
    }
  }
  for (int n = 0; n < kMachines; ++n) {
    if (hasTrouble() && (isPowerLost || n < replaced)) {
      site.end(site.mMachines[n], SIGKILL);
      if (n < replaced) {
        site.mMachines[n].mWorker->stop();
        site.mRecord.line(site.mMachines[n].mName + " is gone for good");
      }
    }
  }
  sleepMs(kDown);
  for (int n = replaced; n < kMachines + replaced; ++n) {
    Machine& machine = site.mMachines[n];
    const bool isNew = n >= kMachines;
    if (hasTrouble() && (isPowerLost || isNew)) {
      if ((isNew && !machine.mWorker->start()) || !site.startDaemon(machine)) {
        return 2;
      }
    }
  }
  site.mRecord.line("the machines are back");
  sleepMs(kRecovery + 500);
  site.mRecord.line("runs of keys held: " +
                    std::to_string(holds->heldRuns("")) + " of " +
                    std::to_string(65536 / Holds::kStep));
  ask(replaced, kMachines, "after");
  const std::string summary = "served before " +
                              std::to_string(static_cast<int>(before * 200)) +
                              " of 200, later than RecoveryS after the machines "
                              "are back " +
                              std::to_string(served) + " of " +
                              std::to_string(sent);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  if (before < 0.25) {
    return 2;
  }
  return static_cast<double>(served) / sent < 0.25 ? 1 : 0;
}
