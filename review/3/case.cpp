// A worker that leaves spoils a byte of the handover that it gives out in the
// answer to a release. The daemon that gets the keys ends by itself.
#include "../common/rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 3;
constexpr int kConnections = 12;
constexpr std::int64_t kTrafficMs = 16000;
constexpr std::int64_t kLeaveAtMs = 4000;
/// One answer to a release in this many is spoilt: x = 0.02 of the pages.
constexpr int kSpoilEvery = 50;
/// Requests that may be lost.
constexpr int kMayBeLost = 3;

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
  std::atomic<int> releases{ 0 };
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
    options.mSlots = 18;
    options.mWorkMs = 350;
    if (n == 0) {
      options.mSpoil = [&](int, const Message& aAsked, std::string& aText) {
        const std::size_t at = aText.find("X-Handover: ");
        if (trouble && aAsked.target() == "/api/release" &&
            at != std::string::npos && ++releases % kSpoilEvery == 0) {
          ++spoiled;
          aText[at + 20] = static_cast<char>(0xE9);
          record.line("spoilt: the handover in the answer to " + aAsked.mBody);
        }
        return true;
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
  std::mutex mutex;
  std::vector<std::string> unanswered;
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> threads;
  for (int n = 0; n < kMachines * kConnections; ++n) {
    threads.emplace_back([&, n] {
      const Machine& m = machines[static_cast<std::size_t>(n % kMachines)];
      int s = -1;
      std::unique_ptr<Reader> reader;
      for (int k = n * 5077; nowMs() < until; k += 7919) {
        if (s < 0) {
          s = connectTo(m.mOutbound);
          if (s < 0) {
            sleepMs(100);
            continue;
          }
          reader = std::make_unique<Reader>(s);
        }
        const std::string id = randomId();
        ++sent;
        sendAll(s,
                "GET /cat/" + id +
                  " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                  "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " +
                  std::to_string(k % kKeys) + "\r\n\r\n");
        Message answer;
        const bool answered = reader->next(answer, true, nowMs() + 3000);
        served += answered && answer.status() == 200 ? 1 : 0;
        record.line("sent " + id + " to " + m.mName +
                    (answered ? " answered " + std::to_string(answer.status())
                              : " closed without an answer"));
        if (!answered) {
          const std::lock_guard<std::mutex> lock(mutex);
          unanswered.push_back(id);
        }
        if (!answered || answer.header("Connection") == "close") {
          ::close(s);
          s = -1;
        }
        sleepMs(20);
      }
    });
  }
  int ends = 0;
  bool left = false;
  while (nowMs() < until) {
    if (!left && nowMs() > from + kLeaveAtMs) {
      left = true;
      record.line("i-catalog-1 says that it is draining");
      workers[0]->setState("draining");
    }
    for (Machine& m : machines) {
      int status = 0;
      if (m.mPid > 0 && ::waitpid(m.mPid, &status, WNOHANG) == m.mPid) {
        ++ends;
        record.line("the daemon " + m.mName + " ended by itself, signal " +
                    std::to_string(WIFSIGNALED(status) ? WTERMSIG(status) : 0));
        // The platform starts it again after a short delay.
        sleepMs(500);
        startDaemon(root, m, storePort, logs);
      }
    }
    sleepMs(20);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  stopDaemons(machines);
  int lost = 0;
  for (const std::string& id : unanswered) {
    for (int n = 1; n < kMachines; ++n) {
      const std::size_t w = static_cast<std::size_t>(n);
      if (workers[w]->runs().count(id) > 0) {
        ++lost;
        record.line("LOST " + id + " was passed on to " +
                    workers[w]->options().mId + " and got no answer");
        break;
      }
    }
  }
  std::ostringstream summary;
  summary << "sent " << sent << ", served " << served
          << ", answers to releases spoilt " << spoiled
          << ", daemons that ended by themselves " << ends
          << ", passed on to a sound worker and closed without an answer "
          << lost << " (may be " << kMayBeLost << ")";
  record.line(summary.str());
  std::printf("%s\n", summary.str().c_str());
  const bool ran = served > sent / 2 && (!trouble || spoiled > 0);
  finish(lost > kMayBeLost ? 1 : ran ? 0 : 2);
}
