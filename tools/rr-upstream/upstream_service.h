#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_UPSTREAM_SERVICE_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_UPSTREAM_SERVICE_H

#include "common/journal.h"
#include "common/reply.h"
#include "common/timers.h"
#include "rr-upstream/fence.h"
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

/// The upstream stand-in's calls: runs requests in a bounded number of slots,
/// and misbehaves as told.
class UpstreamService
{
public:
  UpstreamService(UpstreamOptions aOptions, Journal& aJournal);

  /// Takes a request; answers at once, or later from a timer. Any thread.
  void handle(const Pistache::Http::Request& aRequest, const Reply& aReply);

private:
  using JobPtr = std::shared_ptr<Job>;

  struct Faults
  {
    bool mShed = false;
    bool mUnhealthy = false;
    /// Added to the service time of each request.
    Millis mSlow;
  };

  struct LoadSample
  {
    int mInFlight = 0;
    std::size_t mQueued = 0;
  };

  void setFaults(const std::string& aBody, const Reply& aReply);
  void probe(const Reply& aReply);
  void answerHealth(const Reply& aReply);
  void answerLoad(const Reply& aReply);
  LoadSample reportedLoad();
  void cancel(const std::string& aId, const Reply& aReply);

  /// Delay that this connection's first request bears.
  Millis connectionDelay(const Reply& aReply);
  void admit(const JobPtr& aJob);
  bool fellOver();
  void start(const JobPtr& aJob);
  void finish(const JobPtr& aJob);
  void end(const JobPtr& aJob, const std::string& aOutcome);
  void startWaiting();
  void answer(const Job& aJob);
  void refuse(const Job& aJob,
              int aStatus,
              const std::string& aEvent,
              const std::string& aMark);
  void log(const std::string& aEvent);
  bool isCold() const;
  int slots() const;

  UpstreamOptions mOptions;
  Journal& mJournal;
  std::string mInstance;
  std::mutex mMutex;
  Faults mFaults;
  Fence mFence;
  Millis mColdUntil;
  Millis mDownUntil;
  Millis mConnectFreeAt;
  std::set<std::size_t> mConnections;
  int mRunning = 0;
  std::deque<JobPtr> mWaiting;
  std::map<std::string, JobPtr> mLive;
  std::set<std::string> mFinished;
  std::deque<std::string> mFinishedOrder;
  LoadSample mLaggedLoad;
  Millis mLaggedAt;
  Timers mTimers;
};

}

#endif
