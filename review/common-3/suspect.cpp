// A service whose requests are all about the same thing. A worker runs one of
// them and its answer is lost. Afterwards the worker is sound.
#include "rig.h"

using namespace rig;

namespace {

struct Count
{
  int mSent = 0;
  int mServed = 0;
};

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  site.publish({ { "browse", "/browse/", "idempotent", "catalog", 2000, 300 },
                 { "status", "/status/", "idempotent", "library", 2000, 300 } },
               { { "catalog", false }, { "library", true } });
  if (!site.mStore->open()) {
    return 2;
  }
  std::atomic<int> toLose{ 0 };
  Worker::Options options;
  const auto holds = std::make_shared<Holds>();
  site.add("catalog", 1, options);
  site.add("catalog", 2, options);
  site.add("catalog", 3, options);
  options.mKeyed = true;
  options.mHolds = holds;
  options.mOnRun = [&](const std::string& aWorker, const Request& aRequest) {
    site.mRecord.line("worker of " + aWorker + " runs " +
                      aRequest.header("x-request-id"));
  };
  options.mLosesAnswer = [&](const Request& aRequest) {
    const bool isLost = toLose.fetch_sub(1) > 0;
    if (isLost) {
      site.mRecord.line("the answer to " + aRequest.header("x-request-id") +
                        " is lost");
    }
    return isLost;
  };
  site.add("library", 1, options);
  site.add("library", 2, options);
  site.add("library", 3, options);
  for (Machine& machine : site.mMachines) {
    if (!machine.mWorker->start() || !site.startDaemon(machine)) {
      return 2;
    }
  }
  if (!site.waitFor([&] { return holds->heldRuns("") == 65536 / Holds::kStep; },
                    20000)) {
    return 2;
  }
  sleepMs(4000);
  std::atomic<bool> stopped{ false };
  std::atomic<bool> isCounted{ false };
  Count browse;
  Count status;
  std::thread traffic([&] {
    for (int n = 1; !stopped; ++n) {
      const bool counts = isCounted;
      const Reply reply = site.request(site.mMachines[n % 6],
                                       "GET",
                                       "/browse/" + std::to_string(n),
                                       "b" + std::to_string(n),
                                       {},
                                       2000);
      browse.mSent += counts ? 1 : 0;
      browse.mServed += counts && reply.mStatus == 200 ? 1 : 0;
      sleepMs(50);
    }
  });
  const auto ask = [&](int aNumber) {
    const Machine& at = site.mMachines[aNumber % 6];
    const std::string id = "s" + std::to_string(aNumber);
    const Reply reply = site.request(
      at, "GET", "/status/printer", id, "X-Shard-Key: 4711\r\n", 2000);
    site.mRecord.line(id + " at " + at.mName + ": " +
                      std::to_string(reply.mStatus) + " after " +
                      std::to_string(reply.mTook) + " ms");
    return reply.mStatus == 200;
  };
  // Before the disruption, as a requester looks from time to time.
  const bool wasServed = ask(0);
  site.mRecord.line(std::string("served before: ") +
                    (wasServed ? "yes" : "no"));
  sleepMs(12000);
  toLose = hasTrouble() ? 1 : 0;
  ask(1);
  toLose = 0;
  // From ContactMs after the disruption on.
  sleepMs(3500);
  isCounted = true;
  for (int n = 2; n < 26; ++n) {
    ++status.mSent;
    status.mServed += ask(n) ? 1 : 0;
    sleepMs(1000);
  }
  stopped = true;
  traffic.join();
  const std::string summary = "status: sent " + std::to_string(status.mSent) +
                              ", served " + std::to_string(status.mServed) +
                              "; browse: sent " + std::to_string(browse.mSent) +
                              ", served " + std::to_string(browse.mServed);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  if (!wasServed || browse.mServed == 0) {
    return 2;
  }
  const double all = static_cast<double>(browse.mServed + status.mServed) /
                     (browse.mSent + status.mSent);
  const double kind = static_cast<double>(status.mServed) / status.mSent;
  return kind < all / 4 ? 1 : 0;
}
