// Measures how workspaces share a saturated upstream when one sends ten times
// its share: the gate's fair queue compared with first come, first served.
#include "radishroad/upstream/request_queue.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

using namespace radishroad;

namespace {

constexpr std::size_t kWorkspaceCount = 8;
constexpr std::size_t kSlots = 10;
constexpr std::int64_t kServiceMs = 20;
constexpr Millis kDuration{ 30000 };
constexpr Millis kDeadline{ 1000 };
constexpr std::size_t kMaxQueueLength = 512;
/// Requests per second of one workspace; together they take seven tenths of
/// the slots.
constexpr double kRequestsPerSecond = 350.0 / kWorkspaceCount;

struct Options
{
  bool mFairQueue = true;
  /// Factor by which the first workspace exceeds its share of requests.
  double mOverloadFactor = 10;
  /// Factor by which requests of the first workspace take longer.
  std::int64_t mOverloadCostFactor = 1;
};

struct WorkspaceStats
{
  int mOffered = 0;
  int mServed = 0;
  std::vector<std::int64_t> mLatenciesMs;

  double servedPercent() const
  {
    return 100.0 * mServed / std::max(1, mOffered);
  }
  std::int64_t p99()
  {
    std::ranges::sort(mLatenciesMs);
    return mLatenciesMs.empty() ? 0
                                : mLatenciesMs[mLatenciesMs.size() * 99 / 100];
  }
};

struct RunningRequest
{
  QueuedRequest mRequest;
  Millis mStartedAt;
  Millis mEndsAt;
};

/// Model of an upstream whose slots are always full or nearly so.
class LoadedUpstreamModel
{
public:
  explicit LoadedUpstreamModel(Options aOptions)
    : mOptions(aOptions)
    , mStats(kWorkspaceCount)
  {
  }

  std::vector<WorkspaceStats> run()
  {
    for (Millis now; now < kDuration; now += Millis{ 1 }) {
      enqueueArrivals(now);
      endRequests(now);
      mQueue.removeIf([now](const QueuedRequest& aQueued) {
        return now + Millis{ kServiceMs } >= aQueued.mDeadline;
      });
      startRequests(now);
    }
    return mStats;
  }

private:
  void enqueueArrivals(Millis aNow)
  {
    for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
      const double rate =
        kRequestsPerSecond * (i == 0 ? mOptions.mOverloadFactor : 1);
      std::poisson_distribution<int> count(rate / 1000);
      const int n = count(mRandom);
      for (int k = 0; k < n; ++k) {
        QueuedRequest queued;
        // With one queue for all, the workspaces are served in order of
        // arrival.
        queued.mRequest.workspace =
          mOptions.mFairQueue ? std::to_string(i) : "";
        queued.mFingerprint = i;
        queued.mQueuedAt = aNow;
        queued.mDeadline = aNow + kDeadline;
        ++mStats[i].mOffered;
        mQueue.pushBack(std::move(queued));
      }
    }
    while (mQueue.size() > kMaxQueueLength) {
      mQueue.dropFromLongest();
    }
  }

  void startRequests(Millis aNow)
  {
    while (mRunning.size() < kSlots) {
      std::optional<QueuedRequest> queued =
        mQueue.pop([](const QueuedRequest&) { return true; });
      if (!queued) {
        return;
      }
      const bool isOverloading = queued->mFingerprint == 0;
      const Millis cost{ kServiceMs *
                         (isOverloading ? mOptions.mOverloadCostFactor : 1) };
      mRunning.push_back({ std::move(*queued), aNow, aNow + cost });
    }
  }

  void endRequests(Millis aNow)
  {
    std::vector<RunningRequest> stillRunning;
    for (RunningRequest& running : mRunning) {
      if (aNow < running.mEndsAt) {
        stillRunning.push_back(std::move(running));
        continue;
      }
      mQueue.charge(running.mRequest.mRequest.workspace,
                    aNow - running.mStartedAt);
      WorkspaceStats& workspaceStats = mStats[running.mRequest.mFingerprint];
      ++workspaceStats.mServed;
      workspaceStats.mLatenciesMs.push_back(
        (aNow - running.mRequest.mQueuedAt).mCount);
    }
    mRunning = std::move(stillRunning);
  }

  Options mOptions;
  std::mt19937_64 mRandom{ 1 };
  RequestQueue mQueue;
  std::vector<RunningRequest> mRunning;
  std::vector<WorkspaceStats> mStats;
};

void
measure(const char* aName, Options aOptions)
{
  std::vector<WorkspaceStats> stats = LoadedUpstreamModel(aOptions).run();
  const auto worst = std::min_element(
    stats.begin() + 1,
    stats.end(),
    [](const WorkspaceStats& aLeft, const WorkspaceStats& aRight) {
      return aLeft.servedPercent() < aRight.servedPercent();
    });
  std::printf("%-26s %9.1f%% %9ld %9.1f%%\n",
              aName,
              worst->servedPercent(),
              static_cast<long>(worst->p99()),
              stats[0].servedPercent());
}

}

int
main()
{
  std::printf("%-26s %10s %9s %10s\n",
              "one sends ten times",
              "worst",
              "p99 ms",
              "overload");
  measure("first come first served", { false, 10, 1 });
  measure("fair", { true, 10, 1 });
  measure("first come, 4x cost", { false, 10, 4 });
  measure("fair, 4x cost", { true, 10, 4 });
  return EXIT_SUCCESS;
}
