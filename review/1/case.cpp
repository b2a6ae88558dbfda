// A worker breaks off the answer to one request, and later sends one answer
// twice, so that the second copy is read as the answer to the daemon's health
// probe. The daemon takes the worker for ended and gives its keys to others at
// once, while the worker still holds them.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 3;
constexpr std::int64_t kTrafficMs = 25000;
constexpr std::int64_t kTroubleAtMs = 8000;
/// Keys that two workers may hold at once for this long.
constexpr std::int64_t kBothMs = 500;

}

int
main(int, char** aArguments)
{
  const std::string root = aArguments[1];
  const std::string logs = aArguments[2];
  Record record(aArguments[3]);
  const bool trouble = hasTrouble();
  const int storePort = freePort();
  std::vector<Machine> machines;
  for (int n = 1; n <= kMachines; ++n) {
    machines.push_back(makeMachine(
      "catalog-" + std::to_string(n), "z" + std::to_string(n), "catalog"));
  }
  Store store(storePort);
  store.put("config",
            desiredState("r7", { { "catalog", true, "/cat/", true } }));
  enum Step
  {
    None,
    RequestNext,
    ProbeNext,
    Done
  };
  std::atomic<int> step{ None };
  std::mutex mutex;
  /// The last answer to a request on each connection, by its other port.
  std::map<int, std::string> lastAnswers;
  std::atomic<int> answers{ 0 };
  std::atomic<int> spoiled{ 0 };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kMachines; ++n) {
    const Machine& m = machines[static_cast<std::size_t>(n)];
    Worker::Options options;
    options.mService = "catalog";
    options.mId = "i-" + m.mName;
    options.mZone = m.mZone;
    options.mPort = m.mLocalApp;
    options.mReportPort = m.mAdmin;
    options.mKeyed = true;
    if (n == 0) {
      options.mSpoil =
        [&](int aSocket, const Message& aAsked, std::string& aText) {
          ++answers;
          const bool isProbe = aAsked.target() == "/healthz";
          const bool isRun = aAsked.target().rfind("/cat/", 0) == 0 &&
                             aText.rfind("HTTP/1.1 200", 0) == 0;
          std::string earlier;
          {
            const std::lock_guard<std::mutex> lock(mutex);
            earlier = isProbe ? lastAnswers[peerPort(aSocket)] : "";
            if (isRun) {
              lastAnswers[peerPort(aSocket)] = aText;
            }
          }
          int expected = isProbe ? ProbeNext : RequestNext;
          if ((!isRun && earlier.empty()) ||
              !step.compare_exchange_strong(expected, expected + 1)) {
            return true;
          }
          ++spoiled;
          if (isProbe) {
            // An extra response to the request before it on this connection.
            aText = earlier + aText;
            record.line("extra response ahead of the answer to the probe");
            return true;
          }
          sendAll(aSocket, aText.substr(0, aText.size() - 100));
          record.line("broken off: the answer to " + aAsked.target());
          return false;
        };
    }
    workers.push_back(std::make_unique<Worker>(options, record));
  }
  for (Machine& m : machines) {
    startDaemon(root, m, storePort, logs);
  }
  if (!waitReady(machines, 20000)) {
    record.line("the daemons did not become ready");
    std::printf("the daemons did not become ready\n");
    stopDaemons(machines);
    finish(2);
  }
  sleepMs(4000);
  const std::int64_t from = nowMs();
  const std::int64_t until = from + kTrafficMs;
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> threads;
  for (int n = 0; n < 12; ++n) {
    threads.emplace_back([&, n] {
      const Machine& m = machines[static_cast<std::size_t>(n % kMachines)];
      for (int k = n * 5077; nowMs() < until; k += 7919) {
        const std::string id = randomId();
        ++sent;
        const Message answer =
          get(m.mOutbound,
              "/cat/" + id,
              3000,
              "Host: shop.example\r\nX-Request-Id: " + id +
                "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " +
                std::to_string(k % kKeys) + "\r\n");
        served += answer.status() == 200 ? 1 : 0;
        record.line("sent " + id + " answered " +
                    std::to_string(answer.status()));
        sleepMs(40);
      }
    });
  }
  // Looks who holds which keys.
  std::int64_t longest = 0;
  int worstKeys = 0;
  threads.emplace_back([&] {
    std::vector<std::int64_t> since(kKeys, 0);
    std::set<int> reported;
    while (nowMs() < until) {
      std::vector<std::vector<Worker::Hold>> holds;
      for (const std::unique_ptr<Worker>& worker : workers) {
        holds.push_back(worker->allHolds());
      }
      const std::int64_t now = nowMs();
      for (int k = 0; k < kKeys; ++k) {
        std::string holders;
        int count = 0;
        for (std::size_t w = 0; w < holds.size(); ++w) {
          if (holds[w][static_cast<std::size_t>(k)].mUntil > now) {
            ++count;
            holders +=
              " " + workers[w]->options().mId + " (fence " +
              std::to_string(holds[w][static_cast<std::size_t>(k)].mFence) +
              ")";
          }
        }
        std::int64_t& start = since[static_cast<std::size_t>(k)];
        start = count < 2 ? 0 : start == 0 ? now : start;
        if (start != 0 && now - start > kBothMs) {
          longest = std::max(longest, now - start);
          if (reported.insert(k).second && reported.size() <= 20) {
            record.line("OWNER key " + std::to_string(k) + " is held by" +
                        holders + " for " + std::to_string(now - start) +
                        " ms");
          }
          worstKeys = static_cast<int>(reported.size());
        }
      }
      sleepMs(20);
    }
  });
  if (trouble) {
    sleepMs(from + kTroubleAtMs - nowMs());
    const std::int64_t last = workers[0]->lastBeat();
    while (workers[0]->lastBeat() == last) {
      sleepMs(1);
    }
    step = RequestNext;
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  stopDaemons(machines);
  std::ostringstream summary;
  summary << "sent " << sent << ", served " << served
          << ", answers of worker 1 " << answers << ", of these spoilt "
          << spoiled << ", keys held by two workers for over " << kBothMs
          << " ms " << worstKeys << ", longest " << longest << " ms";
  record.line(summary.str());
  std::printf("%s\n", summary.str().c_str());
  const bool ran = served > sent / 2 && (!trouble || step == Done);
  finish(worstKeys > 0 ? 1 : ran ? 0 : 2);
}
