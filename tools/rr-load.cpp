/// Open-loop load generator. Requests are sent at their scheduled times
/// independently of the results of earlier requests, and they are not retried.
/// Latency is measured from the scheduled time. Prints a summary as JSON.

#include "common/load_engine.h"
#include "rr-load/arguments.h"
#include "rr-load/idle_connections.h"
#include "rr-load/schedule.h"
#include "rr-load/summary.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace {

namespace tools = radishroad::tools;

/// Exit code for invalid arguments.
constexpr int kUsageError = 2;

/// Delay of the first request, so that all threads have started by then.
constexpr std::chrono::milliseconds kStartDelay(50);

/// The requests that one thread sends, and their results.
struct Worker
{
  Worker(const tools::LoadOptions& aOptions,
         int aThread,
         tools::LoadRequest::TimePoint aStart)
    : mSchedule(aOptions, aThread, aStart)
    , mByWorkspace(std::max<std::size_t>(aOptions.mCallerKeys.size(), 1))
  {
  }

  void run(const tools::LoadOptions& aOptions)
  {
    tools::LoadEngine::Options options;
    options.mMaxConnections = static_cast<std::size_t>(
      std::max(aOptions.mConnections / aOptions.mThreads, 1));
    options.mLimitConnections = true;
    tools::LoadEngine engine(options);
    engine.run([this] { return mSchedule.next(); },
               [this](const tools::LoadResult& aResult) { count(aResult); });
  }

  void count(const tools::LoadResult& aResult)
  {
    if (!mSchedule.isMeasured(aResult.mRequest)) {
      return;
    }
    mAll.add(aResult);
    mByWorkspace[mSchedule.workspaceOf(aResult.mRequest)].add(aResult);
  }

  tools::Schedule mSchedule;
  tools::Summary mAll;
  std::vector<tools::Summary> mByWorkspace;
};

nlohmann::json
mergeResults(const tools::LoadOptions& aOptions, std::vector<Worker>& aWorkers)
{
  Worker& first = aWorkers.front();
  for (std::size_t i = 1; i < aWorkers.size(); ++i) {
    first.mAll.merge(aWorkers[i].mAll);
    for (std::size_t k = 0; k < first.mByWorkspace.size(); ++k) {
      first.mByWorkspace[k].merge(aWorkers[i].mByWorkspace[k]);
    }
  }
  nlohmann::json result = first.mAll.toJson();
  result["rate"] = aOptions.mRate;
  result["seconds"] = aOptions.mSeconds;
  result["seed"] = aOptions.mSeed;
  if (aOptions.mCallerKeys.size() > 1) {
    for (const tools::Summary& summary : first.mByWorkspace) {
      result["workspaces"].push_back(summary.toJson());
    }
  }
  return result;
}

}

int
main(int aCount, char** aValues)
{
  const std::optional<tools::LoadOptions> options =
    tools::parseArguments(aCount, const_cast<const char**>(aValues));
  if (!options) {
    return kUsageError;
  }
  const tools::IdleConnections idleConnections(options->mTargets,
                                               options->mIdleConnections);
  const tools::LoadRequest::TimePoint start =
    std::chrono::steady_clock::now() + kStartDelay;
  const auto threadCount = static_cast<std::size_t>(options->mThreads);
  std::vector<Worker> workers;
  workers.reserve(threadCount);
  for (int i = 0; i < options->mThreads; ++i) {
    workers.emplace_back(*options, i, start);
  }
  std::vector<std::thread> threads;
  threads.reserve(threadCount);
  for (Worker& worker : workers) {
    threads.emplace_back([&worker, &options] { worker.run(*options); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  nlohmann::json result = mergeResults(*options, workers);
  result["held_connections"] = idleConnections.size();
  std::printf("%s\n", result.dump(2).c_str());
  return 0;
}
