#ifndef RADISHROAD_UPSTREAM_GATE_H
#define RADISHROAD_UPSTREAM_GATE_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/millis.h"
#include "radishroad/config/model.h"
#include "radishroad/policy/queue_plan.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/upstream_protocol.h"
#include "radishroad/upstream/upstream_report.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

class BodyMemory;
struct QueuedRequest;
struct StopSchedule;

/// Whether this daemon may serve a key now. The gate checks this immediately
/// before it writes a request to the upstream.
struct ServeDecision
{
  /// None: serve at mEpoch. Otherwise the reason for the refusal.
  NotRunReason mRefusal = NotRunReason::None;
  Epoch mEpoch = 0;
  /// With mRefusal None: at this monotonic time the gate checks again and
  /// cancels the request unless the lease has been renewed.
  Millis mServeUntil;
  /// With NotRunReason::LeaseLapsed: earliest time to check again.
  Millis mRetryAt;
};

/// Admission control in front of the daemon's own upstream: queues requests,
/// limits how many run concurrently, paces new connections and health probes,
/// and runs requests with libcurl (multi) on one thread. Each request gets
/// exactly one answer. The answer is `NotRun` only if no byte of the request
/// was sent to the upstream, or if the upstream's response proves that it did
/// not run the request (such as a stale fence or a shed request, with the
/// not-run header).
class Gate
{
public:
  struct Options
  {
    /// "host:port" of the upstream.
    std::string mUpstream;
    std::size_t mMaxQueued = 512;
    std::size_t mMaxBodyBytes = 20U << 20;
    /// Bodies of queued requests and of responses are counted there; may be
    /// null.
    std::shared_ptr<BodyMemory> mBodyMemory = {};
    /// Path of the health probes, unless the service's configuration has one.
    std::string mHealthPath = "/health";
    UpstreamProtocol mProtocol = defaultUpstreamProtocol();
    /// An upstream that pushes reports is probed if it sends none for so long.
    Millis mReportTimeout{ 2500 };
    /// Time from an upstream's draining notice until it is sent no more
    /// requests, whichever keys it still owns.
    Millis mDrainPeriod{ 1500 };
    /// Rate of the VM's link, which limits large responses; 0 if unknown. Used
    /// with upstreams that push reports.
    double mLinkBytesPerSecond = 0;
    /// Baseline for benchmarks: no concurrency window and no pacing.
    bool mLimitsDisabled = false;
  };

  /// Bytes of answers to peers since the start.
  struct LinkTotals
  {
    /// Without those that were dropped.
    std::uint64_t mQueued = 0;
    std::uint64_t mWritten = 0;
  };

  struct Hooks
  {
    /// Whether this daemon may serve the request's key now. Called on the
    /// gate's thread.
    std::function<ServeDecision(const ForwardRequest&)> mMayServe;
    /// The upstream became healthy (true), or unhealthy or unreachable (false).
    std::function<void(bool)> mOnHealth;
    /// A request was in flight when the upstream crashed.
    std::function<void(std::uint64_t aFingerprint, RandomId aId)> mOnCrash;
    /// Whether requests with this fingerprint are quarantined.
    std::function<bool(std::uint64_t aFingerprint)> mIsQuarantined;
    /// Shards that the upstream should hold now, for upstreams that are granted
    /// keys; nullopt if this daemon does not know. Called on the gate's thread.
    std::function<std::optional<GrantableShards>()> mGrantableShards;
    /// Epoch at which this daemon owns a shard, even if it may not serve it
    /// now.
    std::function<Epoch(Shard)> mEpochOf;
    /// The upstream released a shard. aTokens: its handover tokens for the next
    /// holder, one for each of the shard's key runs.
    std::function<void(Shard, const std::vector<std::string>& aTokens)>
      mOnReleased;
    /// Identifies the current incarnation of the upstream process; called
    /// before mOnHealth for it.
    std::function<void(std::uint64_t aIncarnation)> mOnIncarnation;
    /// The upstream is draining: its keys should move to other upstreams.
    std::function<void()> mOnDraining;
    /// Called before each answer, for logging. May be empty.
    std::function<
      void(const QueuedRequest&, const Answer&, const UpstreamStats&)>
      mOnAnswer;
    /// Totals of the local queues to the network. May be empty. Called on the
    /// gate's thread.
    std::function<LinkTotals()> mLinkTotals;
    ClockFn mNow;
  };

  Gate(Options aOptions, Hooks aHooks, Metrics& aMetrics);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  void start();
  /// Applies the service's configuration: deadline, limits and costs.
  void configure(const config::Service& aService);
  /// Thread-safe. A full queue refuses the request immediately.
  void submit(ForwardRequest aRequest, AnswerFn aAnswer);
  void cancel(RandomId aId);
  /// Counts a response that leaves through the VM's link without having passed
  /// this gate. Thread-safe.
  void addLinkBytes(std::size_t aBytes);
  /// Whether no request is queued or running. Thread-safe.
  bool isIdle() const;
  /// Stops dispatching requests of these shards and calls aDone on the gate's
  /// thread once none of their requests is running. Queued requests wait until
  /// resumeShards and are then subject to mMayServe.
  void pauseShards(std::span<const Shard> aShards, std::function<void()> aDone);
  void resumeShards(std::span<const Shard> aShards);
  using ReportAnswerFn = std::function<void(ReportAnswer)>;
  /// Processes a report that the upstream sent about itself. Thread-safe. False
  /// if the report is from an earlier incarnation or out of order; it is then
  /// ignored. aAnswer is called in either case, on the calling thread or the
  /// gate's thread.
  bool onReport(const UpstreamReport& aReport,
                const ReportAnswerFn& aAnswer = {});
  /// Thread-safe: stores handover tokens from the shard's previous holder.
  void onHandover(Shard aShard, Epoch aEpoch, std::vector<std::string> aTokens);
  /// Utilization of the upstream and length of the queue.
  struct Status
  {
    UpstreamStats mStats;
    std::uint32_t mQueued = 0;
  };
  /// Thread-safe.
  Status gateStatus() const;
  /// Thread-safe. From now on requests that will not end in time are refused,
  /// and the upstream gets no more time than is left.
  void beginStop(const StopSchedule& aSchedule);
  /// Returns once all queued and running requests have been answered. Those
  /// that are left at aUntil get an answer whose outcome is unknown, or a
  /// refusal if they were not sent.
  void stop(Millis aUntil = Millis::max());

  struct Load
  {
    double mWindow = 0;
    /// Estimated capacity in requests per second; 0 if the upstream does not
    /// push reports.
    double mCapacity = 0;
    std::uint32_t mInFlight = 0;
    std::uint32_t mQueued = 0;
    bool mHealthy = false;
    /// Requests and busy time by shard since the last call of takeLoad.
    std::vector<wire::ShardLoad> mShards;
    /// The tracked keys, the hottest first.
    std::vector<wire::HotKeyT> mHotKeys;
  };
  /// Thread-safe. Resets the per-shard counts.
  Load takeLoad();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
