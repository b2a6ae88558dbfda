// Measures how workspaces share a full upstream when one sends ten times its
// part: the gate's queue against first come first served.
#include "radishroad/upstream/request_queue.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

using namespace radishroad;

namespace {

constexpr std::size_t kWorkspaces = 8;
constexpr std::size_t kSlots = 10;
constexpr std::int64_t kServiceMs = 20;
constexpr Millis kDuration{ 30000 };
constexpr Millis kDeadline{ 1000 };
constexpr std::size_t kMaxQueued = 512;
/// Requests a second of a workspace; together seven tenths of the slots.
constexpr double kPerSecond = 350.0 / kWorkspaces;

struct Options
{
  bool mFair = true;
  /// The first workspace sends so many times its part.
  double mFlood = 10;
  /// And its requests take so many times as long.
  std::int64_t mFloodCost = 1;
};

struct Service
{
  int mOffered = 0;
  int mServed = 0;
  std::vector<std::int64_t> mTimes;

  double share() const { return 100.0 * mServed / std::max(1, mOffered); }
  std::int64_t p99()
  {
    std::ranges::sort(mTimes);
    return mTimes.empty() ? 0 : mTimes[mTimes.size() * 99 / 100];
  }
};

struct Running
{
  QueuedRequest mRequest;
  Millis mStartedAt;
  Millis mEndsAt;
};

/// One upstream whose slots are always full or nearly so.
class FullUpstream
{
public:
  explicit FullUpstream(Options aOptions)
    : mOptions(aOptions)
    , mServices(kWorkspaces)
  {
  }

  std::vector<Service> run()
  {
    for (Millis now; now < kDuration; now += Millis{ 1 }) {
      arrive(now);
      end(now);
      mQueue.removeIf([now](const QueuedRequest& aQueued) {
        return now + Millis{ kServiceMs } >= aQueued.mDeadline;
      });
      start(now);
    }
    return mServices;
  }

private:
  void arrive(Millis aNow)
  {
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const double rate = kPerSecond * (i == 0 ? mOptions.mFlood : 1);
      std::poisson_distribution<int> count(rate / 1000);
      const int n = count(mRandom);
      for (int k = 0; k < n; ++k) {
        QueuedRequest queued;
        // In one line, all workspaces are served as they come.
        queued.mRequest.workspace = mOptions.mFair ? std::to_string(i) : "";
        queued.mFingerprint = i;
        queued.mQueuedAt = aNow;
        queued.mDeadline = aNow + kDeadline;
        ++mServices[i].mOffered;
        mQueue.pushBack(std::move(queued));
      }
    }
    while (mQueue.size() > kMaxQueued) {
      mQueue.dropFromLongest();
    }
  }

  void start(Millis aNow)
  {
    while (mRunning.size() < kSlots) {
      std::optional<QueuedRequest> queued =
        mQueue.pop([](const QueuedRequest&) { return true; });
      if (!queued) {
        return;
      }
      const bool flood = queued->mFingerprint == 0;
      const Millis cost{ kServiceMs * (flood ? mOptions.mFloodCost : 1) };
      mRunning.push_back({ std::move(*queued), aNow, aNow + cost });
    }
  }

  void end(Millis aNow)
  {
    std::vector<Running> left;
    for (Running& one : mRunning) {
      if (aNow < one.mEndsAt) {
        left.push_back(std::move(one));
        continue;
      }
      mQueue.charge(one.mRequest.mRequest.workspace, aNow - one.mStartedAt);
      Service& service = mServices[one.mRequest.mFingerprint];
      ++service.mServed;
      service.mTimes.push_back((aNow - one.mRequest.mQueuedAt).mCount);
    }
    mRunning = std::move(left);
  }

  Options mOptions;
  std::mt19937_64 mRandom{ 1 };
  RequestQueue mQueue;
  std::vector<Running> mRunning;
  std::vector<Service> mServices;
};

void
measure(const char* aName, Options aOptions)
{
  std::vector<Service> services = FullUpstream(aOptions).run();
  const auto worst =
    std::min_element(services.begin() + 1,
                     services.end(),
                     [](const Service& aLeft, const Service& aRight) {
                       return aLeft.share() < aRight.share();
                     });
  std::printf("%-26s %9.1f%% %9ld %9.1f%%\n",
              aName,
              worst->share(),
              static_cast<long>(worst->p99()),
              services[0].share());
}

}

int
main()
{
  std::printf(
    "%-26s %10s %9s %10s\n", "one sends ten times", "worst", "p99 ms", "flood");
  measure("first come first served", { false, 10, 1 });
  measure("fair", { true, 10, 1 });
  measure("first come, 4x cost", { false, 10, 4 });
  measure("fair, 4x cost", { true, 10, 4 });
  return EXIT_SUCCESS;
}
