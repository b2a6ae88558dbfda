#ifndef RADISHROAD_SRC_UPSTREAM_GATE_IMPL_H
#define RADISHROAD_SRC_UPSTREAM_GATE_IMPL_H

#include "radishroad/base/ring.h"
#include "radishroad/ownership/grant_keeper.h"
#include "radishroad/policy/answered_set.h"
#include "radishroad/policy/cold_start_limiter.h"
#include "radishroad/policy/concurrency_window.h"
#include "radishroad/policy/connection_pacer.h"
#include "radishroad/policy/deduplication_cache.h"
#include "radishroad/policy/retry_budget.h"
#include "radishroad/policy/run_time_estimator.h"
#include "radishroad/upstream/exchange_runner.h"
#include "radishroad/upstream/gate.h"
#include "radishroad/upstream/health_tracker.h"
#include "radishroad/upstream/load_counter.h"
#include "radishroad/upstream/request_queue.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace radishroad {

/// The gate's state and the steps of its thread. Members without a note
/// belong to that thread.
struct Gate::Impl
{
  using RunId = std::uint64_t;

  /// Taken until the upstream has told.
  static constexpr std::uint32_t kDefaultSlots = 4;

  /// A request that was handed to libcurl.
  struct Run
  {
    QueuedRequest mQueued;
    ExchangeRunner::ExchangeId mExchange = 0;
    Epoch mEpoch = 0;
    Millis mServeUntil;
    /// The run ends here, by the request's deadline or the service's limit.
    Millis mEndBy;
    /// When the request was handed over, and its rank in flight then.
    Millis mSentAt;
    std::uint32_t mInFlight = 0;
    bool mSent = false;
    /// It was held back when its connection stood; goes back to the queue.
    bool mHeldBack = false;
  };

  /// A run that was given up and may still be running at the upstream.
  struct GivenUpRun
  {
    RandomId mId;
    Shard mShard = 0;
    Millis mDeadline;
    Millis mNextCancel;
    bool mIdempotent = false;
    bool mCancelUnderWay = false;
  };

  struct Drain
  {
    std::set<Shard> mShards;
    std::function<void()> mDone;
  };

  struct CrashSuspect
  {
    std::uint64_t mFingerprint = 0;
    RandomId mId;
    Millis mAt;
  };

  /// A grant or a release under way.
  struct KeyCall
  {
    GrantOrder mOrder;
    std::uint32_t mRun = 0;
    Millis mSentAt;
    /// Kept while libcurl reads it.
    std::string mBody;
  };
  /// A shard that the upstream is giving back.
  struct Release
  {
    /// Runs whose release was answered, or given up.
    std::uint32_t mEnded = 0;
    /// Runs whose release is still to be sent.
    std::vector<std::uint32_t> mToSend;
    Epoch mEpoch = 0;
    std::vector<std::string> mTokens;
    bool mTold = false;
    /// The upstream has been told to give it back.
    bool mOrdered = false;
  };

  Impl(Options aOptions, Hooks aHooks, Metrics& aMetrics);

  // gate_loop.cpp: the thread.
  void loop();
  void takeSubmitted();
  void applyConfiguration();
  /// False if the request is a copy and has been dealt with.
  bool admit(QueuedRequest& aQueued);
  /// Takes in what other threads have handed over.
  void takeInbox();
  void checkRuns(Millis aNow);
  void expireQueued(Millis aNow);
  /// Time after which a request is not worth sending: it would run out at the
  /// upstream.
  Millis lastSend(const QueuedRequest& aQueued) const;
  void refuseMoved();
  /// Answers what was submitted to a gate that never ran.
  void refuseSubmitted();
  void finishDrains();
  Millis nextWake(Millis aNow) const;
  bool finished() const;
  void publishLoad();
  /// Any thread: runs the task on the gate's thread.
  void post(std::function<void()> aTask);

  // gate_run.cpp: a request's way through the upstream.
  void dispatch(Millis aNow);
  std::uint32_t busy() const;
  /// The window has room for one more that may not be run again.
  bool mayStartNotIdempotent() const;
  bool mayStart(Millis aNow) const;
  /// A pooled connection is free, or a new one may be opened.
  bool hasConnection(Millis aNow) const;
  void decide(QueuedRequest aQueued, Millis aNow);
  void startRun(QueuedRequest aQueued, const ServeDecision& aDecision);
  bool maySend(RunId aId);
  void onRunEnd(RunId aId,
                ExchangeEnd aEnd,
                CURLcode aCode,
                UpstreamResponse aResponse);
  void onWhole(Run aRun, UpstreamResponse aResponse);
  void onNotSent(Run aRun, ExchangeEnd aEnd);
  void onLost(Run aRun, CURLcode aCode);
  /// Aborts the transfer. aReason is for a request that was not yet written.
  void giveUp(RunId aId, NotRunReason aReason);
  void answer(QueuedRequest& aQueued, Answer aAnswer);
  void refuse(QueuedRequest& aQueued,
              NotRunReason aReason,
              Epoch aEpoch = 0,
              Millis aRetryAfter = {});

  // gate_window.cpp: what the upstream bears.
  void watchPending(Millis aNow);
  /// Cancels the newest idempotent runs beyond the window, to run later.
  void takeBack(Millis aNow);
  /// Slowness of the upstream's machine, as a response told last.
  double slowness(Millis aNow) const;
  void onLoadAnswer(const UpstreamResponse& aResponse);
  void notePaidConnections(Millis aNow);

  // gate_order.cpp: work for an upstream that reports its slots.
  void dispatchByObjective(Millis aNow);
  UpstreamStats currentPace(Millis aNow);
  QueueEntry describeWaiting(const QueuedRequest& aQueued) const;
  /// Refuses what waits in vain for its key.
  void refuseUnserved(Millis aNow);
  // gate_report.cpp: what the upstream says of itself.
  void takeReport(const UpstreamReport& aReport);
  void onUpstreamHealth(const UpstreamResponse& aResponse);
  void watchReports(Millis aNow);
  /// The response names another upstream than the one that reports here.
  bool isAnotherUpstream(const UpstreamResponse& aResponse) const;
  void noteResponse(const UpstreamResponse& aResponse);
  /// Nothing more may be sent to an upstream that drains.
  bool isClosed(Millis aNow) const;
  // gate_grant.cpp: keys that the upstream holds.
  bool grantsKeys() const;
  bool grantsByReport() const;
  /// Shards to be held now; nothing if this daemon cannot tell.
  std::optional<Holdings> wantedHoldings(Millis aNow) const;
  void setHoldings(const Holdings& aHoldings);
  /// Takes in what the upstream holds, and says what it is to hold.
  ReportAnswer answerReport(const UpstreamReport& aReport);
  void noteReleased(const UpstreamReport& aReport);
  bool releaseByReport(Shard aShard, Millis aNow);
  void endRelease(Shard aShard, Release& aRelease);
  /// Requests of the shard wait: it is being handed off.
  bool isHeldBack(Shard aShard) const;
  using KeyCallEndFn = std::function<
    void(std::uint64_t aCall, ExchangeEnd aEnd, const UpstreamResponse&)>;
  void startKeyCall(UpstreamCall aCall,
                    KeyCall aEntry,
                    Millis aTimeout,
                    KeyCallEndFn aEnd);
  void sendGrants(Millis aNow);
  void onGrantEnd(std::uint64_t aCall, ExchangeEnd aEnd, int aStatus);
  /// May the key be sent to the upstream, by what it holds?
  bool holdsKey(const ForwardRequest& aRequest, Epoch aEpoch) const;
  /// Begins to give a shard back; true once nothing of it is held.
  bool releaseShard(Shard aShard, Millis aNow);
  void onReleaseEnd(std::uint64_t aCall,
                    ExchangeEnd aEnd,
                    const UpstreamResponse& aResponse);
  // gate_cancel.cpp: runs that were given up.
  void cancelRequest(RandomId aId);
  /// A copy must wait: the cancel of the one before would end it too.
  bool isGivenUp(RandomId aId) const;
  void trackGivenUp(const Run& aRun, Millis aNow);
  void sendCancels(Millis aNow);
  void onCancelEnd(RunId aId,
                   ExchangeEnd aEnd,
                   const UpstreamResponse& aAnswer);
  void forgetGivenUp();

  // gate_health.cpp: probes, restarts and crashes.
  void probe(Millis aNow);
  void onProbeEnd(ExchangeEnd aEnd, const UpstreamResponse& aResponse);
  void onHealthChange(HealthChange aChange);
  void suspectCrash(const Run& aRun);
  bool isCrashSuspect(std::uint64_t aFingerprint) const;
  void reportCrash();

  const Options mOptions;
  const Hooks mHooks;
  Metrics& mMetrics;

  ExchangeRunner mExchanges;
  RequestQueue mQueue;
  std::map<RunId, Run> mRuns;
  std::map<RunId, GivenUpRun> mGivenUp;
  RunId mNextRun = 1;
  /// Shards that are being handed off, and since when.
  std::map<Shard, Millis> mPaused;
  std::vector<Drain> mDrains;
  HealthTracker mHealth;
  bool mProbing = false;
  Millis mProbeStartedAt;
  std::vector<CrashSuspect> mSuspects;
  config::Service mService;
  ConcurrencyWindow mWindow;
  ConnectionPacer mPacer;
  RetryBudget mRetries;
  DeduplicationCache mDuplicates;
  AnsweredSet mAnswered;
  GrantKeeper mGrants;
  bool mGrantsBegun = false;
  std::map<std::uint64_t, KeyCall> mKeyCalls;
  std::map<Shard, Release> mReleases;
  std::uint64_t mNextKeyCall = 1;
  ColdStartLimiter mCold;
  UpstreamReport mReport;
  Millis mReportedAt;
  Millis mNextSilenceProbe;
  /// Set once the upstream has said that it drains.
  std::optional<Millis> mClosedFrom;
  std::uint32_t mSlots = kDefaultSlots;
  RunTimeEstimator mRunTimes;
  double mSlowness = 1;
  Millis mSlownessAt;
  std::uint64_t mNextTicket = 1;
  /// Connections known to the pacer.
  std::uint64_t mPacedConnections = 0;
  std::uint64_t mProbes = 0;
  Millis mGaugesAt;

  /// Any thread.
  Ring<QueuedRequest> mSubmitted;
  std::atomic<std::uint32_t> mQueuedCount{ 0 };
  std::atomic<bool> mStopping{ false };
  LoadCounter mLoad;
  std::atomic<std::uint32_t> mInFlight{ 0 };
  std::atomic<bool> mHealthyNow{ false };
  std::atomic<double> mWindowNow{ 0 };
  mutable std::mutex mPaceMutex;
  Pace mPaceNow;
  /// The newest report accepted; guarded by mPaceMutex.
  UpstreamReport mAccepted;
  std::mutex mTaskMutex;
  std::vector<std::function<void()>> mTasks;
  config::Service mNewService;
  std::atomic<bool> mConfigured{ false };
  std::mutex mThreadMutex;
  std::thread mThread;
};

}

#endif
