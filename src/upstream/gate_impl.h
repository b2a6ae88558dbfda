#ifndef RADISHROAD_SRC_UPSTREAM_GATE_IMPL_H
#define RADISHROAD_SRC_UPSTREAM_GATE_IMPL_H

#include "radishroad/base/bounded_queue.h"
#include "radishroad/ownership/grant_manager.h"
#include "radishroad/policy/adaptive_concurrency.h"
#include "radishroad/policy/answered_set.h"
#include "radishroad/policy/cold_start_limiter.h"
#include "radishroad/policy/concurrency_window.h"
#include "radishroad/policy/connection_pacer.h"
#include "radishroad/policy/deduplication_cache.h"
#include "radishroad/policy/link_budget.h"
#include "radishroad/policy/longest_run_times.h"
#include "radishroad/policy/named_limit.h"
#include "radishroad/policy/retry_budget.h"
#include "radishroad/policy/room_allocator.h"
#include "radishroad/policy/run_time_estimator.h"
#include "radishroad/policy/stop_schedule.h"
#include "radishroad/request/body_stream.h"
#include "radishroad/upstream/exchange_runner.h"
#include "radishroad/upstream/gate.h"
#include "radishroad/upstream/health_tracker.h"
#include "radishroad/upstream/load_counter.h"
#include "radishroad/upstream/process_connections.h"
#include "radishroad/upstream/report_order.h"
#include "radishroad/upstream/request_queue.h"
#include "radishroad/upstream/sent_ids.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_set>

namespace radishroad {

/// The gate's state and the steps of its thread. Unless noted otherwise,
/// members are used on that thread only.
struct Gate::Impl
{
  using RunId = std::uint64_t;

  /// UpstreamRequest::mPurpose of a caller's request.
  static constexpr std::string_view kRunPurpose = "run";

  /// Longest time for which a body is passed on while it is received.
  static constexpr Millis kMaxStreamTime{ 300000 };

  /// Assumed until the upstream has reported its slots.
  static constexpr std::uint32_t kDefaultSlots = 4;

  /// A request that has been passed to libcurl.
  struct Run
  {
    QueuedRequest mQueued;
    ExchangeRunner::ExchangeId mExchange = 0;
    Millis mStartedAt;
    Epoch mEpoch = 0;
    /// The lease is checked again at this time.
    Millis mServeUntil;
    /// The run is cancelled at this time: the request's deadline or the end of
    /// the service's run limit.
    Millis mEndTime;
    /// When the request was sent, and the occupied slots at that time.
    Millis mSentAt;
    std::uint32_t mInFlight = 0;
    bool mSent = false;
    /// maySend() refused it when its connection was established; it returns to
    /// the queue.
    bool mSendDenied = false;
    /// Set once a part of the body was passed on; the request is answered then.
    std::shared_ptr<BodyStream> mStream;
  };

  /// A run that the gate has abandoned and the upstream may still be running.
  struct AbandonedRun
  {
    RandomId mId;
    Shard mShard = 0;
    Millis mDeadline;
    Millis mNextCancel;
    bool mIdempotent = false;
    bool mCancelInFlight = false;
  };

  /// A pauseShards() call that waits until no request of its shards is running.
  struct PendingPause
  {
    std::set<Shard> mShards;
    std::function<void()> mDone;
  };

  /// A request whose connection was lost while it ran, which may have crashed
  /// the upstream.
  struct CrashSuspect
  {
    std::uint64_t mFingerprint = 0;
    RandomId mId;
    Millis mAt;
  };

  /// A grant or a release in flight.
  struct KeyOperation
  {
    KeyGrant mGrant;
    std::uint32_t mKeyRun = 0;
    Millis mSentAt;
    bool mNeedsFreshConnection = false;
    /// Must outlive the exchange, because libcurl does not copy it.
    std::string mBody;
    /// In which mKeyRun is counted.
    KeyLayout mLayout{};
    /// It is not sent from then on.
    Millis mValidUntil = Millis::max();
    /// A grant is sent only to this process; see ProcessConnections.
    std::optional<std::uint64_t> mProcess = {};
  };
  /// The release of a shard by the upstream.
  struct Release
  {
    /// Number of key runs whose release has succeeded or failed.
    std::uint32_t mCompleted = 0;
    /// Key runs whose release has not been sent yet.
    std::vector<std::uint32_t> mToSend;
    Epoch mEpoch = 0;
    Millis mStartedAt;
    std::vector<std::string> mTokens;
    /// Hooks::mOnReleased has been called.
    bool mNotified = false;
    /// A report has been answered without the shard, so that the upstream
    /// releases it.
    bool mRequested = false;
    /// Number of key runs whose release the upstream has confirmed.
    std::uint32_t mConfirmed = 0;
  };

  Impl(Options aOptions, Hooks aHooks, Metrics& aMetrics);

  // gate_loop.cpp: the thread's loop.
  void loop();
  void processSubmitted();
  void applyConfiguration();
  /// False if the request is a duplicate and has been handled.
  bool admit(QueuedRequest& aQueued);
  /// Processes requests and tasks from other threads.
  void processInbox();
  void checkRuns(Millis aNow);
  void expireQueued(Millis aNow);
  /// Time after which the request would probably expire at the upstream and is
  /// not sent.
  Millis latestSendTime(const QueuedRequest& aQueued) const;
  /// Refuses queued requests that the upstream's limit does not let through
  /// before their deadline.
  void refuseBeyondLimit(Millis aNow);
  /// Refuses queued requests whose key has moved to another owner.
  void refuseMoved();
  /// While stopping, refuses queued requests that will not end in time.
  void refuseUnfinishable(Millis aNow);
  /// Time until which the upstream may work on the request.
  Millis workUntil(const QueuedRequest& aQueued) const;
  /// Refuses requests that are left when the thread has ended or never ran.
  void refuseSubmitted();
  /// At the end of the time to stop: answers all requests that are left.
  void abandonAll();
  void completePauses();
  Millis nextWake(Millis aNow);
  bool finished() const;
  void publishLoad();
  /// Runs the task on the gate's thread. Thread-safe.
  void post(std::function<void()> aTask);

  // gate_run.cpp, gate_record.cpp: running requests at the upstream.
  void dispatch(Millis aNow);
  /// Running requests and abandoned ones that may still be running.
  std::uint32_t occupiedSlots() const;
  /// The window has room for one more request that is not idempotent.
  bool hasNonIdempotentRoom() const;
  bool mayStart(Millis aNow);
  /// New connections wait for mPacer.
  bool pacesConnections() const;
  /// A pooled connection is free, or a new one may be opened.
  bool hasConnection(Millis aNow) const;
  /// Starts the request, refuses it, or returns it to the queue.
  void tryStartRun(QueuedRequest aQueued, Millis aNow);
  void startRun(QueuedRequest aQueued, const ServeDecision& aDecision);
  bool maySend(RunId aId);
  /// Whether only this daemon's lease keeps a run from outlasting the ownership
  /// of its key. Upstreams whose protocol grants keys end such work by
  /// themselves, and those of unkeyed services have no owner to wait for.
  bool needsLeaseWhileRunning() const;
  /// Counts a response that is not complete, and logs it unless the line of its
  /// run tells about it.
  void recordIncomplete(std::string_view aPurpose, const ResponseTrace& aTrace);
  void onRunEnd(RunId aId,
                ExchangeOutcome aOutcome,
                UpstreamResponse aResponse);
  void onComplete(Run aRun, UpstreamResponse aResponse);
  /// Records the load and the notice that a response reports.
  void recordResponse(const Run& aRun, const UpstreamResponse& aResponse);
  /// Records a run that took until aNow and was answered authentically.
  void recordServed(const Run& aRun, Millis aNow);
  void onNotSent(Run aRun, ExchangeOutcome aOutcome);
  void onIncomplete(Run aRun);
  /// A run without a whole response may have crashed the upstream, and may go
  /// on there.
  void trackIncomplete(const Run& aRun, Millis aNow);
  /// Aborts the run and answers its request: with aReason if it was not written
  /// yet, otherwise that the outcome is unknown. A request that was not written
  /// because the lease lapsed returns to the queue.
  void abandon(RunId aId, NotRunReason aReason);
  void answer(QueuedRequest& aQueued, Answer aAnswer);
  void refuse(QueuedRequest& aQueued,
              NotRunReason aReason,
              Epoch aEpoch = 0,
              Millis aRetryAfter = {});

  // gate_stream.cpp: responses that are passed on while they are received.
  /// Whether the response may be streamed, by its request alone.
  static bool mayStream(const QueuedRequest& aQueued);
  ResponseStreamHooks streamHooks(RunId aId);
  void onStreamStart(RunId aId,
                     UpstreamResponse aResponse,
                     std::int64_t aLength);
  /// The exchange of a run with a stream has ended.
  void onStreamEnd(const Run& aRun, ExchangeOutcome aOutcome);
  /// Ends the stream of a run whose exchange has ended or is aborted.
  void finishStream(const Run& aRun, bool aIsWhole, std::string_view aCause);
  /// Ends the streams whose readers have stalled.
  void checkStreams(Millis aNow);

  // gate_window.cpp: the concurrency window.
  /// Passes the ages of running requests to the window.
  void checkPendingAges(Millis aNow);
  /// Cancels the newest idempotent runs beyond the window and requeues them.
  void requeueNewestRuns(Millis aNow);
  /// Slowness of the upstream's machine by its last response; 1 if that is
  /// outdated.
  double slowness(Millis aNow) const;
  void onLoadResponse(const UpstreamResponse& aResponse);
  void recordOpenedConnections(Millis aNow);

  // gate_objective_dispatch.cpp: dispatch to an upstream that reports its
  // slots.
  void dispatchByObjective(Millis aNow);
  UpstreamStats currentStats(Millis aNow);
  QueueEntry makeQueueEntry(const QueuedRequest& aQueued) const;

  // gate_room.cpp: sharing scarce slots among kinds.
  RoomRequest makeRoomRequest(const QueuedRequest& aQueued) const;
  /// Verdicts of mRoom on each request of aQueue; empty if the service does not
  /// share its room.
  std::vector<RoomVerdict> decideRoom(
    std::span<const QueuedRequest* const> aQueue,
    Millis aNow);
  /// Logs the refusal of a request by mRoom.
  void logRoomRefusal(const QueuedRequest& aQueued,
                      Millis aRetryAfter,
                      Millis aNow) const;
  void publishRoom();

  /// Refuses queued requests that cannot be served in time.
  void refuseUnservable(Millis aNow);

  // gate_report.cpp: reports of the upstream.
  void applyReport(const UpstreamReport& aReport);
  /// Whether a response names one instance, as each response to a probe does.
  bool namesInstance(const UpstreamResponse& aResponse) const;
  void onHealthResponse(const UpstreamResponse& aResponse,
                        bool aIsFreshConnection);
  void checkReportAge(Millis aNow);
  /// The response names another instance than the one that sent the reports.
  bool isFromOtherInstance(const UpstreamResponse& aResponse) const;
  void recordReportedLoad(const UpstreamResponse& aResponse);
  /// The upstream is known to be leaving since aSince. Its keys move, and after
  /// the drain period it gets no more requests.
  void beginDrain(Millis aSince);
  /// The drain period has passed: nothing more may be sent to the upstream.
  bool isDrainOver(Millis aNow) const;

  // gate_adaptive.cpp: concurrency that the upstream sustains.
  bool isAdaptive() const;
  /// Requests that may run at once.
  std::uint32_t slotLimit() const;
  /// Expected run time in ms of a request of this kind.
  double expectedRunMs(std::uint32_t aKind) const;
  AdaptiveConcurrency::Run makeAdaptiveRun(const Run& aRun) const;
  void recordAdaptiveStart(const Run& aRun);
  void recordAdaptiveAnswer(const Run& aRun,
                            NotRunReason aReason,
                            const UpstreamResponse& aResponse);
  void setKindRunTime(const QueuedRequest& aQueued, Answer& aAnswer) const;
  void recordAdaptiveEnd(const Run& aRun,
                         AdaptiveConcurrency::Outcome aOutcome);
  void updateAdaptive(Millis aNow);
  void recordSustained();

  // gate_notice.cpp: what the upstream says about itself in its responses.
  /// aSentAt: when the request was sent that the response belongs to.
  void recordNotice(const UpstreamResponse& aResponse, Millis aSentAt);
  /// Takes over what another VM has passed on to its callers, until this daemon
  /// has a response of its own. Returns whether anything was new.
  bool learnFrom(const wire::UpstreamNoticeT& aNotice);
  /// The notice for answers; nullptr if nothing is known yet.
  std::unique_ptr<wire::UpstreamNoticeT> noticeForAnswers() const;
  /// As recordNotice() for a response to a health request, which may leave out
  /// what responses to requests of callers name.
  void recordHealthNotice(const UpstreamResponse& aResponse, Millis aSentAt);
  void setNotice(const UpstreamNotice& aNotice, Millis aLeavingSince);
  /// Identifies the process of the upstream; 0 if unknown.
  std::uint64_t upstreamProcess() const;
  /// Forgets what the previous process of the upstream said about itself.
  void onNewUpstreamProcess();
  /// Logs how many requests were sent while the upstream names a limit.
  void recordLimitUse(Millis aNow);

  // gate_grant.cpp: keys that the upstream holds.
  bool grantsKeys() const;
  /// Whether keys may be held by the upstream although this daemon does not
  /// know how they are granted, as it has no configuration yet.
  bool mayHoldUnknownKeys() const;
  bool grantsByReport() const;
  /// Shards that the upstream should hold now; nullopt if this daemon does not
  /// know.
  std::optional<GrantableShards> currentGrantableShards(Millis aNow) const;
  void setGrantableShards(const GrantableShards& aGrantable);
  /// Releases in progress begin anew with another layout.
  void setLayout(const KeyLayout& aLayout);
  /// Records what the upstream holds and returns what it should hold.
  ReportAnswer answerReport(const UpstreamReport& aReport);
  void storeHandoverTokens(const UpstreamReport& aReport);
  bool releaseByReport(Shard aShard, Millis aNow);
  void finishRelease(Shard aShard, Release& aRelease);
  /// Requests of the shard wait because it is being handed off.
  bool isShardPaused(Shard aShard) const;
  using KeyOperationCompletionFn =
    std::function<void(std::uint64_t aOperationId,
                       ExchangeOutcome aOutcome,
                       const UpstreamResponse&)>;
  using IsPossibleResponseFn = std::function<bool(const UpstreamResponse&)>;
  void startKeyOperation(ControlRequest aRequest,
                         KeyOperation aEntry,
                         Millis aTimeout,
                         IsPossibleResponseFn aIsPossibleResponse,
                         KeyOperationCompletionFn aOnCompletion);
  void sendGrants(Millis aNow);
  void onGrantEnd(std::uint64_t aOperationId,
                  ExchangeOutcome aOutcome,
                  const UpstreamResponse& aResponse);
  void onGrantNotSent(const KeyOperation& aOperation, Millis aNow);
  /// The upstream holds the request's key, or keys are not granted to it.
  bool holdsKey(const ForwardRequest& aRequest, Epoch aEpoch) const;
  /// Starts or continues the release of a shard; true once none of its keys is
  /// held.
  bool releaseShard(Shard aShard, Millis aNow);
  void sendRelease(std::uint32_t aRun,
                   Epoch aEpoch,
                   bool aNeedsFreshConnection);
  /// Logs on whose word the shards of a pause count as released.
  void logReleased(const PendingPause& aPause) const;
  /// Call when the upstream's process has ended.
  void clearHolds(const char* aCause);
  /// Whether a response with this handover token can be the one to a release.
  bool isNewHandover(const std::string& aToken) const;
  void onReleaseEnd(std::uint64_t aOperationId,
                    ExchangeOutcome aOutcome,
                    const UpstreamResponse& aResponse);

  // gate_process.cpp: which connections lead to the process that reports.
  /// Records a response to a request that was sent at aSentAt. aNamesInstance:
  /// it shows that the instance which reports has given it.
  void recordProcess(const UpstreamResponse& aResponse,
                     bool aNamesInstance,
                     Millis aSentAt);
  /// Whether a run's response shows that the instance which reports has run it.
  bool isFromReportedInstance(const UpstreamResponse& aResponse) const;
  /// Number of grants and releases that can be sent now over idle connections
  /// to the process that reports. Has such a connection opened or confirmed if
  /// there is none.
  std::size_t keyConnections(Millis aNow);
  /// Has the connection of the probes confirmed, or confirm others.
  void requestConfirmation(Millis aNow);
  /// Opens a connection for grants and releases by a health request.
  void openKeyConnection(Millis aNow);
  void onKeyConnection(ExchangeOutcome aOutcome,
                       const UpstreamResponse& aResponse,
                       Millis aSentAt);
  /// A health request, whose response has to name an instance if the upstream
  /// pushes reports.
  UpstreamRequest makeHealthRequest() const;

  // gate_cancel.cpp: abandoned runs.
  void cancelRequest(RandomId aId);
  /// A run with this id is abandoned. A retry with the same id must wait, since
  /// the cancel of the abandoned run would end it too.
  bool isAbandoned(RandomId aId) const;
  void trackAbandoned(const Run& aRun, Millis aNow);
  void sendCancels(Millis aNow);
  void onCancelEnd(RunId aId,
                   ExchangeOutcome aOutcome,
                   const UpstreamResponse& aAnswer);
  void clearAbandoned();

  // gate_link.cpp: large responses and the VM's link.
  /// Learns from the bytes that left since the last call.
  void observeLink(Millis aNow);
  /// Refuses queued requests whose large response the link cannot carry by its
  /// objective, and sets mHeldForLink.
  void planLargeResponses(Millis aNow);
  LinkBudget::Entry makeLinkEntry(const QueuedRequest& aQueued) const;
  void recordLinkUse(RunId aId,
                     ExchangeOutcome aOutcome,
                     const UpstreamResponse& aResponse);
  void publishLink(Millis aNow);

  // gate_health.cpp: probes, restarts and crashes.
  void probe(Millis aNow);
  void onProbeEnd(ExchangeOutcome aOutcome,
                  const UpstreamResponse& aResponse,
                  bool aIsFreshConnection);
  void onHealthChange(HealthChange aChange);
  enum class LostCause
  {
    ConnectionRefused,
    OtherInstance,
  };
  /// An exchange that was started at aStartedAt indicates that the upstream's
  /// process has ended. aInstance: instance that responds now.
  void onProcessEnded(LostCause aCause,
                      Millis aStartedAt,
                      std::string_view aInstance = {});
  /// Asks for the probe that tells a process that has ended from one that only
  /// takes no connections for a moment.
  void requestEndProbe(Millis aNow);
  /// The process has ended for certain, so that it holds no keys.
  void confirmEnd();
  bool isEndConfirmed() const { return mHealth.lost() && mIsEndConfirmed; }
  void suspectCrash(const Run& aRun);
  bool isCrashSuspect(std::uint64_t aFingerprint) const;
  void reportCrash();

  const Options mOptions;
  const Hooks mHooks;
  Metrics& mMetrics;

  ExchangeRunner mExchanges;
  RequestQueue mQueue;
  std::map<RunId, Run> mRuns;
  std::map<RunId, AbandonedRun> mAbandoned;
  RunId mNextRun = 1;
  /// Shards that are being handed off, and when they were paused.
  std::map<Shard, Millis> mPaused;
  std::vector<PendingPause> mPendingPauses;
  HealthTracker mHealth;
  /// When a connection to the upstream was refused first.
  Millis mLostAt;
  Millis mNextEndProbe;
  bool mIsEndConfirmed = false;
  bool mProbeInFlight = false;
  Millis mProbeStartedAt;
  bool mNextProbeNeedsFreshConnection = false;
  std::vector<CrashSuspect> mCrashSuspects;
  config::Service mService;
  ConcurrencyWindow mWindow;
  ConnectionPacer mPacer;
  RetryBudget mRetryBudget;
  DeduplicationCache mDeduplicationCache;
  /// Counts the answers that the cache holds.
  BodyShare mCacheShare;
  AnsweredSet mAnswered;
  SentIds mSentIds;
  GrantManager mGrants;
  bool mGrantsStarted = false;
  bool mIsConfigured = false;
  std::map<std::uint64_t, KeyOperation> mKeyOperations;
  std::map<Shard, Release> mReleases;
  /// Hashes of the handover tokens that the upstream has given out.
  std::unordered_set<std::uint64_t> mHandoverTokens;
  std::uint64_t mNextKeyOperation = 1;
  ColdStartLimiter mColdStartLimiter;
  ProcessConnections mProcessConnections;
  bool mOpensKeyConnection = false;
  /// Grants are due, and no connection can carry one.
  bool mGrantsAwaitConnection = false;
  /// When a connection for grants and releases may be opened, and when an
  /// unconfirmed one may be checked.
  Millis mNextKeyConnection;
  Millis mNextConfirmation;
  UpstreamReport mAppliedReport;
  Millis mReportedAt;
  Millis mNextReportProbe;
  /// End of the drain period; set once the upstream has reported that it
  /// drains, or said in a response that it is leaving.
  std::optional<Millis> mDrainEnd;
  UpstreamNotice mNotice;
  /// mNotice comes from a response that the current process of the upstream
  /// gave to this daemon.
  bool mHasOwnNotice = false;
  /// When the current process of the upstream became known.
  Millis mUpstreamSince;
  NamedLimit mNamedLimit;
  /// Requests sent since mLimitUseFrom.
  std::uint32_t mSentSinceLimitUse = 0;
  Millis mLimitUseFrom;
  std::uint32_t mSlots = kDefaultSlots;
  RoomAllocator mRoom;
  /// Values that the metrics have counted.
  std::map<std::uint8_t, RoomAllocator::Totals> mRoomCounted;
  AdaptiveConcurrency mAdaptive;
  Millis mNextAdaptiveUpdate;
  /// Sustained concurrency at the last log line.
  std::uint32_t mLoggedSustained = 0;
  RunTimeEstimator mRunTimes;
  LongestRunTimes mLongestRunTimes;
  std::optional<StopSchedule> mStop;
  double mSlowness = 1;
  Millis mSlownessAt;
  std::uint64_t mNextQueueId = 1;
  LinkBudget mLink;
  /// Queue ids of the large requests that wait until the link has room.
  std::set<std::uint64_t> mHeldForLink;
  /// Queue id up to which planLargeResponses() has considered all requests.
  std::uint64_t mLastPlannedForLink = 0;
  /// Opened connections that have been reported to the pacer.
  std::uint64_t mPacedConnections = 0;
  /// Rejected pooled connections that the metric has counted.
  std::uint64_t mRejectedConnections = 0;
  std::uint64_t mProbeCount = 0;
  Millis mGaugesUpdatedAt;

  // Members below are used by several threads.
  BoundedQueue<QueuedRequest> mSubmitted;
  std::atomic<std::uint32_t> mQueuedCount{ 0 };
  /// Number of runs with a stream.
  std::atomic<std::size_t> mStreams{ 0 };
  std::atomic<bool> mStopping{ false };
  /// While stopping: time after which no running request is waited for.
  std::atomic<Millis> mStopUntil{ Millis::max() };
  LoadCounter mLoad;
  /// See addLinkBytes().
  std::atomic<std::uint64_t> mOtherLinkBytes{ 0 };
  std::atomic<std::uint32_t> mInFlight{ 0 };
  std::atomic<bool> mPublishedHealthy{ false };
  std::atomic<double> mPublishedWindow{ 0 };
  mutable std::mutex mStatusMutex;
  Status mCurrentStatus;
  /// Guarded by mStatusMutex.
  ReportOrder mReportOrder;
  std::mutex mTaskMutex;
  std::vector<std::function<void()>> mTasks;
  config::Service mNewService;
  std::atomic<bool> mConfigured{ false };
  std::mutex mThreadMutex;
  std::thread mThread;
};

}

#endif
