// Workers send some downloads a body that has no end, until their caller
// closes.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMachines = 4;
constexpr int kClients = 12;
constexpr int kTimeout = 3000;
constexpr int kDeadline = 5000;
constexpr std::size_t kBodyBytes = 90000;
/// One in so many answers of every other worker.
constexpr int kEndlessEach = 20;

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  site.publish(
    { { "recon", "/recon/", "download", "reconline", kTimeout, 1000 } },
    { { "reconline", false } });
  if (!site.mStore->open()) {
    return 2;
  }
  std::atomic<int> answers{ 0 };
  for (int n = 1; n <= kMachines; ++n) {
    Worker::Options options;
    options.mBody = [](const Request&) { return std::string(kBodyBytes, 'b'); };
    options.mOnEndlessClosed = [&](const Request& aRequest) {
      site.mRecord.line("worker: the connection of " +
                        aRequest.header("x-request-id") + " was closed");
    };
    if (hasTrouble() && n % 2 == 0) {
      options.mIsEndless = [&](const Request& aRequest) {
        const bool isEndless = ++answers % kEndlessEach == 0;
        if (isEndless) {
          site.mRecord.line("worker: the body of " +
                            aRequest.header("x-request-id") + " has no end");
        }
        return isEndless;
      };
    }
    Machine& machine = site.add("reconline", n, options);
    if (!machine.mWorker->start() || !site.startDaemon(machine)) {
      return 2;
    }
  }
  if (!site.waitFor(
        [&] {
          bool all = true;
          for (const Machine& machine : site.mMachines) {
            all = all && Site::isReady(machine);
          }
          return all;
        },
        20000)) {
    return 2;
  }
  sleepMs(4000);
  std::atomic<bool> stopped{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> longer{ 0 };
  std::atomic<int> unfinished{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int n = 0; !stopped; ++n) {
        const std::string id =
          "d" + std::to_string(client) + "." + std::to_string(n);
        ++sent;
        const Reply reply =
          site.request(site.mMachines[(client + n) % kMachines],
                       "GET",
                       "/recon/" + id,
                       id,
                       {},
                       kDeadline);
        const bool isServed =
          reply.mStatus == 200 && reply.mBody.size() == kBodyBytes;
        served += isServed ? 1 : 0;
        longer += reply.mTook > kTimeout ? 1 : 0;
        unfinished += reply.mTook > kTimeout + 500 ? 1 : 0;
        if (!isServed) {
          site.mRecord.line(id + ": status " + std::to_string(reply.mStatus) +
                            ", ended after " + std::to_string(reply.mTook) +
                            " ms");
        }
        sleepMs(100);
      }
    });
  }
  sleepMs(30000);
  stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary =
    "downloads sent " + std::to_string(sent) + ", served " +
    std::to_string(served) +
    "; longer than TimeoutMs: " + std::to_string(longer) +
    ", of these without a final answer 0.5 s after it: " +
    std::to_string(unfinished);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  if (served == 0) {
    return 2;
  }
  return unfinished >= 8 && unfinished * 4 > longer ? 1 : 0;
}
