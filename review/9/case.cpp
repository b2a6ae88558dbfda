// A worker deregisters with a daemon that has just been started again, and then
// a liveness report that it sent before arrives late. Rule DRAIN.
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kContactMs = 3000;
/// How late the report arrives: "seconds".
constexpr std::int64_t kLateMs = 3300;
/// A worker goes on serving for DrainMs and "at times many seconds".
constexpr std::int64_t kServesOnMs = 8000;
/// As many as the sheet says of `library`.
constexpr int kMachines = 4;

/// Requesters of a machine: one request every 25 ms, on a connection of its
/// own.
class Requesters
{
public:
  Requesters(const Network& aNetwork, const Daemon& aDaemon)
    : mNetwork(aNetwork)
    , mDaemon(aDaemon)
    , mThread([this] { run(); })
  {
  }
  ~Requesters()
  {
    mStopped = true;
    mThread.join();
    for (std::thread& each : mCalls) {
      each.join();
    }
  }
  int answered() const { return mAnswered; }
  int refused() const { return mRefused; }

private:
  void run()
  {
    for (int n = 1; !mStopped; ++n) {
      const std::string id = mDaemon.node() + "-" + std::to_string(n);
      mCalls.emplace_back([this, id] { send(id); });
      sleepMs(25);
    }
  }
  void send(const std::string& aId)
  {
    const std::optional<Message> got = call(mDaemon.ip(),
                                            mNetwork.ports().mOutbound,
                                            request("GET",
                                                    "/a/x",
                                                    { "Host: shop.example",
                                                      "X-Request-Id: " + aId,
                                                      "X-Deadline-Ms: 2000",
                                                      "Connection: close" }),
                                            2500);
    const int status = got ? got->mStatus : 0;
    (status == 200 ? mAnswered : mRefused) += 1;
    record().add("request %s: %d", aId.c_str(), status);
  }
  const Network& mNetwork;
  const Daemon& mDaemon;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mRefused{ 0 };
  std::vector<std::thread> mCalls;
  std::thread mThread;
};

int
run(const Folder& aFolder)
{
  const Network network;
  Store store(network.ip(1), network.ports().mStore);
  if (!store.open()) {
    return kNotRun;
  }
  store.put(
    "keyed.op", "config", configuration("library", false, "idempotent"));

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Reporter>> reporters;
  for (int n = 1; n <= kMachines; ++n) {
    const std::string name = "m" + std::to_string(n);
    daemons.push_back(std::make_unique<Daemon>(network,
                                               10 + n,
                                               name,
                                               "z" + std::to_string(1 + n / 3),
                                               "library",
                                               aFolder.path(name + ".log")));
    workers.push_back(std::make_unique<Worker>(
      network, *daemons.back(), "i-" + std::to_string(n)));
    // As long as the sheet says of `archive`.
    workers.back()->setRunMs(220);
    if (!workers.back()->open()) {
      return kNotRun;
    }
    daemons.back()->start();
    reporters.push_back(std::make_unique<Reporter>(*workers.back()));
  }
  Daemon& daemon = *daemons[0];
  Worker& worker = *workers[0];
  const auto areReady = [&] {
    return std::all_of(daemons.begin(), daemons.end(), [](const auto& aDaemon) {
      return aDaemon->isReady();
    });
  };
  if (!waitFor(areReady, 20000)) {
    return kNotRun;
  }
  Requesters first(network, *daemons[1]);
  Requesters second(network, *daemons[2]);
  // The worker gets requests from the other machines.
  if (!waitFor([&] { return worker.runs().size() > 20; }, 15000)) {
    return kNotRun;
  }
  sleepMs(1000);

  reporters[0]->stop();
  if (hasTrouble()) {
    daemon.stop();
    daemon.start();
  }
  if (!waitFor([&] { return daemon.takesReports(); }, 10000)) {
    return kNotRun;
  }
  // This report is held up on its way. The worker gets no answer within a
  // second, and then leaves as planned, without reporting that it drains.
  const std::string late = worker.reportBytes();
  const std::int64_t sentAt = now();
  record().add("worker i-1 sends the report that arrives %lld ms late",
               static_cast<long long>(kLateMs));
  std::thread delayed([&] {
    sleepUntil(sentAt + kLateMs);
    const std::optional<Message> got =
      call(daemon.ip(), network.ports().mAdmin, late, 1000);
    record().add("the late report was delivered: %d", got ? got->mStatus : 0);
  });
  sleepUntil(sentAt + 1000);
  worker.setLeaving();
  const bool isAcknowledged = worker.deregister();
  const std::int64_t ackAt = now();
  record().add("worker i-1 deregisters: %s",
               isAcknowledged ? "acknowledged" : "no ack");
  sleepUntil(ackAt + kServesOnMs);
  delayed.join();
  worker.end();
  record().add("worker i-1 has ended");
  if (!isAcknowledged) {
    return kNotRun;
  }

  // DRAIN: requests that reach the worker later than DrainMs after the ack,
  // sent on by machines in touch. The daemon beside the worker is in touch
  // again ContactMs after its start.
  const std::int64_t inTouchAt = daemon.startedAt() + kContactMs;
  const std::int64_t from = std::max(ackAt + kDrainMs, inTouchAt);
  int late_ = 0;
  std::int64_t lastAt = 0;
  for (const Worker::Run& each : worker.runs()) {
    late_ += each.mAt > from ? 1 : 0;
    lastAt = std::max(lastAt, each.mAt);
  }
  record().add("ack at %lld, DrainMs ends at %lld, in touch from %lld, last "
               "request at %lld",
               static_cast<long long>(ackAt),
               static_cast<long long>(ackAt + kDrainMs),
               static_cast<long long>(inTouchAt),
               static_cast<long long>(lastAt));
  record().add("requests that reached i-1 too late: %d; answered %d, not %d",
               late_,
               first.answered() + second.answered(),
               first.refused() + second.refused());
  std::printf(
    "requests that reached the worker later than DrainMs after the ack: %d\n",
    late_);
  return late_ > 0 ? kBroken : kHeld;
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
