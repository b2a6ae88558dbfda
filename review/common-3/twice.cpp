// Workers give some answers twice, the second time late, and carry out some
// orders late without an answer. Then a zone is emptied and taken back.
#include "rig.h"

#include <algorithm>
#include <random>

using namespace rig;

namespace {

constexpr int kMachines = 7;
constexpr std::size_t kRuns = 65536 / Holds::kStep;
constexpr int kRounds = 8;
/// So many workers give answers twice, those of the zone among them.
constexpr int kStuttering = 4;
/// Share of the answers that are given twice, the second time late.
constexpr double kTwice = 0.03;
/// Share of the orders that get no answer and are carried out late.
constexpr double kLate = 0.02;

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
  const bool isTwice = hasTrouble("twice");
  const bool isLate = hasTrouble("late");
  std::atomic<bool> isStuttering{ false };
  std::atomic<bool> isTardy{ false };
  std::atomic<int> round{ 0 };
  const auto zone = [&] { return "z" + std::to_string(1 + round % 3); };
  const auto isInZone = [&](int aNumber) {
    return (aNumber - 1) % 3 == round % 3;
  };
  std::atomic<int> late{ 0 };
  std::atomic<int> twice{ 0 };
  std::atomic<int> orders{ 0 };
  const auto isStutterer = [&](int aNumber) {
    int others = kStuttering;
    for (int n = 1; n <= kMachines; ++n) {
      others -= isInZone(n) ? 1 : 0;
    }
    int before = 0;
    for (int n = 1; n < aNumber; ++n) {
      before += isInZone(n) ? 0 : 1;
    }
    return isInZone(aNumber) || before < others;
  };
  std::mutex randomMutex;
  std::mt19937 random(std::random_device{}());
  const auto draw = [&](double aShare) {
    const std::lock_guard<std::mutex> lock(randomMutex);
    return std::bernoulli_distribution(aShare)(random);
  };
  const auto between = [&](int aLeast, int aMost) {
    const std::lock_guard<std::mutex> lock(randomMutex);
    return std::uniform_int_distribution<std::int64_t>(aLeast, aMost)(random);
  };
  for (int n = 1; n <= kMachines; ++n) {
    Worker::Options options;
    options.mKeyed = true;
    options.mHolds = holds;
    options.mCarriedOutAfter = [&](const Request&) -> std::int64_t {
      if (!isTardy) {
        return 0;
      }
      ++orders;
      if (!isLate || !draw(kLate)) {
        return 0;
      }
      ++late;
      return between(2300, 2900);
    };
    options.mSecondAfter = [&, n](const Request&) -> std::int64_t {
      if (!isStuttering || !isTwice || !isStutterer(n) || !draw(kTwice)) {
        return 0;
      }
      ++twice;
      return between(20, 120);
    };
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
  while (round < kRounds) {
    site.mRecord.line("some answers are given twice from now on");
    isStuttering = true;
    sleepMs(1000);
    site.mRecord.line("some orders are carried out late from now on");
    isTardy = true;
    sleepMs(1500);
    isTardy = false;
    isStuttering = false;
    site.mRecord.line("orders since then " + std::to_string(orders) +
                      ", carried out late " + std::to_string(late) +
                      ", answers given twice " + std::to_string(twice));
    site.mRecord.line("zone " + zone() + " is emptied");
    site.mStore->put("evacuate/" + zone(), "{}");
    sleepMs(5000);
    site.mRecord.line("zone " + zone() + " is taken back");
    site.mStore->put("evacuate/" + zone(), "");
    sleepMs(3000);
    ++round;
  }
  stopped = true;
  traffic.join();
  site.mRecord.line("requests sent " + std::to_string(sent) + ", served " +
                    std::to_string(served));
  int repeated = 0;
  for (const auto& [run, all] : holds->all()) {
    for (std::size_t later = 0; later < all.size(); ++later) {
      for (std::size_t earlier = 0; earlier < later; ++earlier) {
        const Hold& first = all[earlier];
        const Hold& second = all[later];
        if (first.mWorker == second.mWorker || second.mEpoch > first.mEpoch) {
          continue;
        }
        ++repeated;
        const auto text = [&](const Hold& aHold) {
          return aHold.mWorker + " with epoch " + std::to_string(aHold.mEpoch) +
                 " from " + std::to_string(aHold.mFrom - site.mRecord.start()) +
                 " to " + std::to_string(aHold.mTo - site.mRecord.start());
        };
        site.mRecord.line("keys from " + std::to_string(run * Holds::kStep) +
                          ": " + text(first) + "; " + text(second));
      }
    }
  }
  const std::string summary =
    "runs of keys taken with an epoch number that another worker had: " +
    std::to_string(repeated);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  return repeated > 0 ? 1 : 0;
}
