// A worker crashes and starts again, with a new id, between two renewals of its
// keys, while no request is on its way to it. Rule OWNER, on epoch numbers.
#include "../common-2/rig.h"

using namespace rig;

namespace {

/// The worker is down for so long.
constexpr std::int64_t kDownMs = 500;
/// "Approximately every HeartbeatMs, a worker sends" a report: the first one
/// comes so long after the start.
constexpr std::int64_t kFirstReportMs = Reporter::kHeartbeatMs;
/// No renewal for so long shows that all keys were renewed.
constexpr std::int64_t kQuietMs = 100;
/// As many as the sheet says of `catalog`; one of them is a share of 0.14.
constexpr int kMachines = 7;

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
  // Until the balance of the keys is settled.
  sleepMs(8000);
  Worker& old = *workers[0];
  // The keys have just been renewed.
  const std::size_t grants = old.grants().size();
  const auto isRenewed = [&] {
    return old.grants().size() > grants &&
           now() - old.grants().back().mAt > kQuietMs;
  };
  if (!waitFor(isRenewed, 5000)) {
    return kNotRun;
  }
  std::unique_ptr<Worker> next;
  if (hasTrouble()) {
    reporters[0]->stop();
    old.end();
    record().add("worker i-1 has crashed");
    sleepMs(kDownMs);
    next = std::make_unique<Worker>(network, *daemons[0], "i-9");
    if (!next->open()) {
      return kNotRun;
    }
    sleepMs(kFirstReportMs);
    reporters[0] = std::make_unique<Reporter>(*next);
  }
  sleepMs(6000);
  reporters.clear();
  std::vector<const Worker*> lives;
  for (const auto& worker : workers) {
    lives.push_back(worker.get());
  }
  if (next) {
    lives.push_back(next.get());
  }
  for (const Worker* each : lives) {
    for (const Worker::Grant& grant : each->grants()) {
      record().add("grant to %s at %lld: %u to %u, epoch %llu",
                   each->id().c_str(),
                   static_cast<long long>(grant.mAt),
                   grant.mFrom,
                   grant.mTo,
                   static_cast<unsigned long long>(grant.mEpoch));
    }
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
  record().open("review/7/record.txt");
  const Folder folder;
  const int code = run(folder);
  record().add("exit code %d", code);
  return code;
}
