#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_UPSTREAM_SERVICE_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_UPSTREAM_SERVICE_H

#include "common/journal.h"
#include "common/reply.h"
#include "common/timers.h"
#include "rr-upstream/epoch_fence.h"
#include "rr-upstream/job.h"
#include "rr-upstream/options.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <pistache/http.h>
#include <set>
#include <string>

namespace radishroad::tools {

/// Implements the simulated upstream's HTTP calls: runs requests in a limited
/// number of slots and injects the configured faults.
class UpstreamService
{
public:
  UpstreamService(UpstreamOptions aOptions, Journal& aJournal);

  /// Answers a request immediately, or later from a timer. Thread-safe.
  void handle(const Pistache::Http::Request& aRequest, const Reply& aReply);

private:
  using JobPtr = std::shared_ptr<Job>;

  struct Faults
  {
    bool mShed = false;
    bool mUnhealthy = false;
    /// Added to the service time of each request.
    Millis mExtraServiceTime;
    /// Requests a second that responses name as the limit; empty for none.
    std::string mLimitPerSecond;
    /// Responses say that the upstream is leaving.
    bool mLeaving = false;
  };

  struct LoadSample
  {
    int mInFlight = 0;
    std::size_t mQueued = 0;
  };

  void setFaults(const std::string& aBody, const Reply& aReply);
  void handleProbe(const Reply& aReply);
  void answerHealth(const Reply& aReply);
  void answerLoad(const Reply& aReply);
  LoadSample reportedLoad();
  void cancel(const std::string& aId, const Reply& aReply);

  /// The time to establish the connection if this is its first request, else 0.
  Millis connectDelay(const Reply& aReply);
  void admit(const JobPtr& aJob);
  /// Returns whether the upstream is down because of overload. If this request
  /// overloads a cold upstream, the upstream goes down or exits.
  bool checkOverload();
  void start(const JobPtr& aJob);
  void completeJob(const JobPtr& aJob);
  void end(const JobPtr& aJob, const std::string& aOutcome);
  void startWaiting();
  void answer(const Job& aJob);
  void refuse(const Job& aJob,
              int aStatus,
              const std::string& aEvent,
              const std::string& aNotRunReason);
  /// Adds the headers on the limit and on leaving to a response.
  void addNotice(const Job& aJob);
  void logEvent(const std::string& aEvent);
  void logNotice();
  bool isCold() const;
  int slots() const;

  UpstreamOptions mOptions;
  Journal& mJournal;
  std::string mInstance;
  std::mutex mMutex;
  Faults mFaults;
  EpochFence mFence;
  Millis mColdUntil;
  Millis mDownUntil;
  Millis mLastConnectEnd;
  std::set<std::size_t> mConnections;
  int mRunning = 0;
  std::deque<JobPtr> mWaiting;
  std::map<std::string, JobPtr> mActiveJobs;
  std::set<std::string> mFinishedIds;
  std::deque<std::string> mFinishedIdOrder;
  LoadSample mDelayedLoad;
  Millis mDelayedLoadTime;
  Timers mTimers;
};

}

#endif
