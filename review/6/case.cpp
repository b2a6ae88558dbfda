// A worker crashes and starts again, with a new id, between two renewals of its
// keys, and its first report arrives late. Its daemon renews its keys at the
// next life, and then hands them to others at once. Rule OWNER, on two holders.
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

/// How late the first report of the next life arrives.
constexpr std::int64_t kLateMs = 3000;
/// A worker waits so long for the answer to a report.
constexpr std::int64_t kAnswerMs = 1000;

void
send(const Network& aNetwork, const Daemon& aDaemon, int aNumber)
{
  const std::string id = "r-" + std::to_string(aNumber);
  const int key = aNumber * 331 % 65536;
  const std::optional<Message> got =
    call(aDaemon.ip(),
         aNetwork.ports().mOutbound,
         request("GET",
                 "/a/x",
                 { "Host: shop.example",
                   "X-Request-Id: " + id,
                   "X-Shard-Key: " + std::to_string(key),
                   "X-Deadline-Ms: 2000",
                   "Connection: close" }),
         2500);
  record().add("request %s: %d", id.c_str(), got ? got->mStatus : 0);
}

/// The bound of the rule for holds without requests.
constexpr std::int64_t kMostOverlapMs = 500;

/// Keys that two workers held at the same time for longer than the bound.
int
countDoubleHolds(const std::vector<const Worker*>& aWorkers)
{
  int keys = 0;
  for (std::uint32_t key = 0; key < 65536; key += 8) {
    std::int64_t longest = 0;
    std::string text;
    for (std::size_t n = 0; n < aWorkers.size(); ++n) {
      const std::vector<Worker::Hold> ours = aWorkers[n]->holds(key);
      for (std::size_t k = n + 1; k < aWorkers.size(); ++k) {
        // Renewals follow one another, so that the spans of one worker touch.
        std::int64_t from = std::numeric_limits<std::int64_t>::max();
        std::int64_t to = 0;
        std::uint64_t ourEpoch = 0;
        std::uint64_t theirEpoch = 0;
        for (const Worker::Hold& our : ours) {
          for (const Worker::Hold& their : aWorkers[k]->holds(key)) {
            const std::int64_t begin = std::max(our.mFrom, their.mFrom);
            const std::int64_t end = std::min(our.mTo, their.mTo);
            if (begin < end) {
              from = std::min(from, begin);
              to = std::max(to, end);
              ourEpoch = our.mEpoch;
              theirEpoch = their.mEpoch;
            }
          }
        }
        if (to - from > longest && to > from) {
          longest = to - from;
          text = "key " + std::to_string(key) + ": held by " +
                 aWorkers[n]->id() + " (epoch " + std::to_string(ourEpoch) +
                 ") and " + aWorkers[k]->id() + " (epoch " +
                 std::to_string(theirEpoch) + ") from " + std::to_string(from) +
                 " to " + std::to_string(to);
        }
      }
    }
    if (longest > kMostOverlapMs) {
      ++keys;
      record().add("%s", text.c_str());
    }
  }
  return keys;
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
  std::atomic<bool> stopped{ false };
  std::thread requester;
  std::thread late;
  std::vector<std::thread> calls;
  if (hasTrouble()) {
    reporters[0]->stop();
    old.end();
    record().add("worker i-1 has crashed");
    sleepMs(kDownMs);
    next = std::make_unique<Worker>(network, *daemons[0], "i-9");
    if (!next->open()) {
      return kNotRun;
    }
    const std::int64_t reportAt = now() + kFirstReportMs;
    // Until its keys have been renewed, as before the crash.
    const auto isRenewedAgain = [&] {
      const std::vector<Worker::Grant> given = next->grants();
      return !given.empty() && now() - given.back().mAt > kQuietMs;
    };
    waitFor(isRenewedAgain, 2000);
    // Requests for many keys begin at another machine.
    requester = std::thread([&] {
      for (int n = 0; !stopped; ++n) {
        calls.emplace_back([&, n] { send(network, *daemons[1], n); });
        sleepMs(50);
      }
    });
    // The first report is sent in time and arrives late. The worker gets no
    // answer within a second, and sends the next one, which arrives in time.
    sleepUntil(reportAt);
    late = std::thread([&, bytes = next->reportBytes(), reportAt] {
      sleepUntil(reportAt + kLateMs);
      const std::optional<Message> got =
        call(daemons[0]->ip(), network.ports().mAdmin, bytes, 1000);
      record().add("the late report was delivered: %d", got ? got->mStatus : 0);
    });
    sleepUntil(reportAt + kAnswerMs);
    reporters[0] = std::make_unique<Reporter>(*next);
  }
  sleepMs(5000);
  stopped = true;
  if (requester.joinable()) {
    requester.join();
    late.join();
  }
  for (std::thread& each : calls) {
    each.join();
  }
  reporters.clear();
  std::vector<const Worker*> lives;
  for (const auto& worker : workers) {
    lives.push_back(worker.get());
  }
  if (next) {
    lives.push_back(next.get());
  }
  const int keys = countDoubleHolds(lives);
  std::printf("keys that two workers held for over %lld ms: %d\n",
              static_cast<long long>(kMostOverlapMs),
              keys);
  return keys > 0 ? kBroken : kHeld;
}

}

int
main()
{
  record().open("review/6/record.txt");
  const Folder folder;
  const int code = run(folder);
  record().add("exit code %d", code);
  return code;
}
