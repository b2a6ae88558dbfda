// A drill brings the store back from a copy while all daemons are killed. Rule
// OWNER, on epoch numbers.
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 7;
/// How old the copy is: "some seconds".
constexpr std::int64_t kCopyAgeMs = 5000;
/// The store is away "for a moment".
constexpr std::int64_t kAwayMs = 500;

/// Parts of the disruption that are left out, for a closer look.
bool
hasPart(const std::string& aName)
{
  const char* parts = std::getenv("PARTS");
  return parts != nullptr && aName == parts;
}

/// Whether a later life was given a key with an epoch number that is not above
/// all with which earlier lives or other workers had it.
int
countStaleGrants(const std::vector<const Worker*>& aWorkers)
{
  struct Given
  {
    std::size_t mWorker;
    Worker::Grant mGrant;
  };
  std::vector<Given> all;
  for (std::size_t n = 0; n < aWorkers.size(); ++n) {
    for (const Worker::Grant& each : aWorkers[n]->grants()) {
      all.push_back({ n, each });
    }
  }
  std::sort(
    all.begin(), all.end(), [](const Given& aLeft, const Given& aRight) {
      return aLeft.mGrant.mAt < aRight.mGrant.mAt;
    });
  // The highest epoch of each key, by worker.
  std::map<std::uint32_t, std::map<std::size_t, std::uint64_t>> highest;
  int stale = 0;
  for (const Given& each : all) {
    bool isStale = false;
    for (std::uint32_t key = each.mGrant.mFrom; key <= each.mGrant.mTo; ++key) {
      auto& byWorker = highest[key];
      for (const auto& [worker, epoch] : byWorker) {
        isStale =
          isStale || (worker != each.mWorker && epoch >= each.mGrant.mEpoch);
      }
      std::uint64_t& own = byWorker[each.mWorker];
      own = std::max(own, each.mGrant.mEpoch);
    }
    if (isStale) {
      ++stale;
      record().add(
        "worker %s took keys %u to %u with epoch %llu at %lld, which another "
        "worker had with that epoch or a higher one",
        aWorkers[each.mWorker]->id().c_str(),
        each.mGrant.mFrom,
        each.mGrant.mTo,
        static_cast<unsigned long long>(each.mGrant.mEpoch),
        static_cast<long long>(each.mGrant.mAt));
    }
  }
  return stale;
}

int
run(const Folder& aFolder)
{
  const Network network;
  Store store(network.ip(1), network.ports().mStore);
  if (!store.open()) {
    return kNotRun;
  }
  store.put("keyed.op", "config", configuration("catalog", true, "idempotent"));

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Reporter>> reporters;
  for (int n = 1; n <= kMachines; ++n) {
    const std::string name = "m" + std::to_string(n);
    daemons.push_back(std::make_unique<Daemon>(network,
                                               10 + n,
                                               name,
                                               "z" + std::to_string(1 + n % 3),
                                               "catalog",
                                               aFolder.path(name + ".log")));
    workers.push_back(std::make_unique<Worker>(
      network, *daemons.back(), "i-" + std::to_string(n)));
    if (!workers.back()->open()) {
      return kNotRun;
    }
    daemons.back()->start();
    reporters.push_back(std::make_unique<Reporter>(*workers.back()));
  }
  const auto isHeld = [&] {
    std::size_t held = 0;
    for (const auto& worker : workers) {
      held += worker->heldKeys();
    }
    return held == 65536;
  };
  if (!waitFor(isHeld, 20000)) {
    return kNotRun;
  }
  record().add("all keys are held");
  sleepMs(4000);
  store.keepCopy();
  const std::int64_t copiedAt = now();
  sleepMs(500);
  // Keys change hands, as at any planned restart.
  daemons[0]->stop();
  daemons[0]->start();
  sleepUntil(copiedAt + kCopyAgeMs);
  store.goAway();
  if (!hasPart("nokill")) {
    for (const auto& daemon : daemons) {
      daemon->kill();
    }
  }
  sleepMs(kAwayMs);
  if (hasTrouble()) {
    store.restoreCopy();
  }
  if (!store.comeBack()) {
    return kNotRun;
  }
  if (!hasPart("nokill")) {
    for (const auto& daemon : daemons) {
      daemon->start();
    }
  }
  sleepMs(8000);
  reporters.clear();
  std::vector<const Worker*> lives;
  for (const auto& worker : workers) {
    lives.push_back(worker.get());
  }
  const int stale = countStaleGrants(lives);
  std::printf("grants with an epoch number that is not above all others: %d\n",
              stale);
  return stale > 0 ? kBroken : kHeld;
}

}

int
main()
{
  record().open("review/9/record.txt");
  const Folder folder;
  const int code = run(folder);
  record().add("exit code %d", code);
  return code;
}
