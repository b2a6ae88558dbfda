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

struct QueuedRequest;

/// What the gate learns when it asks, at the last moment before a request is
/// written to the upstream, whether this daemon may serve the key now.
struct ServeDecision
{
  /// None: serve with mEpoch. Otherwise the reason for refusing.
  NotRunReason mRefusal = NotRunReason::None;
  Epoch mEpoch = 0;
  /// With mRefusal None: the request is given up and cancelled at this
  /// monotonic time unless the lease has been prolonged (checked again then).
  Millis mServeUntil;
  /// With NotRunReason::LeaseLapsed: worth asking again from this time on.
  Millis mRetryAt;
};

/// Guards the daemon's own upstream: decides how many requests run at once,
/// paces new connections and probes, and runs requests by libcurl (multi) on
/// one thread. Each request ends with exactly one answer. The answer is
/// `NotRun` only if no byte of the request was handed to the upstream, or the
/// upstream itself proved that it did not run it (a stale fence, a shed with
/// the not-run mark).
class Gate
{
public:
  struct Options
  {
    /// "host:port" of the upstream.
    std::string mUpstream;
    std::size_t mMaxQueued = 512;
    std::size_t mMaxBodyBytes = 20U << 20;
    /// Health and load endpoint polled by paced probes.
    std::string mHealthPath = "/health";
    /// How the upstream is spoken to.
    UpstreamProtocol mProtocol = ownUpstreamProtocol();
    /// An upstream that reports is asked if no report came for so long.
    Millis mReportSilence{ 2500 };
    /// Time after an upstream's notice that it drains until it gets nothing
    /// more, whatever it still owns.
    Millis mDrainLimit{ 1500 };
    /// Baseline for measurements: no concurrency window, no pacing.
    bool mUnguarded = false;
  };

  struct Hooks
  {
    /// May this daemon run the key now? Called on the gate's thread.
    std::function<ServeDecision(const ForwardRequest&)> mMayServe;
    /// The upstream came up (true) or is gone or unhealthy (false).
    std::function<void(bool)> mOnHealth;
    /// A request was in flight when the upstream crashed.
    std::function<void(std::uint64_t aFingerprint, RandomId aId)> mOnCrash;
    /// Is this fingerprint quarantined?
    std::function<bool(std::uint64_t aFingerprint)> mIsQuarantined;
    /// Shards that the upstream is to hold now; for upstreams that are granted
    /// keys. Called on the gate's thread.
    /// Nothing if this daemon cannot tell.
    std::function<std::optional<Holdings>()> mHoldings;
    /// Epoch at which this daemon owns a shard, whether or not it may serve it.
    std::function<Epoch(Shard)> mEpochOf;
    /// A shard was given back by the upstream, with what it handed out for the
    /// next holder of each of the shard's runs.
    std::function<void(Shard, const std::vector<std::string>& aTokens)>
      mOnReleased;
    /// Names the upstream's present start, before mOnHealth tells of it.
    std::function<void(std::uint64_t aLife)> mOnLife;
    /// The upstream drains: its keys are to go elsewhere.
    std::function<void()> mOnDraining;
    /// A request is about to be answered; for logs. May be empty.
    std::function<
      void(const QueuedRequest&, const Answer&, const UpstreamStats&)>
      mOnAnswer;
    ClockFn mNow;
  };

  Gate(Options aOptions, Hooks aHooks, Metrics& aMetrics);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  void start();
  /// Sets deadline, window bound and costs from the configuration.
  void configure(const config::Service& aService);
  /// Any thread. A full queue refuses at once.
  void submit(ForwardRequest aRequest, AnswerFn aAnswer);
  void cancel(RandomId aId);
  /// Holds new requests of these shards back and calls aDone on the gate's
  /// thread once none of them runs any more. Held requests stay queued until
  /// resumeShards and are then decided by mMayServe.
  void pauseShards(std::span<const Shard> aShards, std::function<void()> aDone);
  void resumeShards(std::span<const Shard> aShards);
  using ReportAnswerFn = std::function<void(ReportAnswer)>;
  /// Any thread: what the upstream says of itself. False if the report is of
  /// an earlier start or out of order, and changes nothing. aAnswer is called
  /// in either case, on this or the gate's thread.
  bool onReport(const UpstreamReport& aReport,
                const ReportAnswerFn& aAnswer = {});
  /// Any thread: tokens that another upstream gave out for this one.
  void onHandover(Shard aShard, Epoch aEpoch, std::vector<std::string> aTokens);
  /// Any thread: how busy the upstream is.
  struct Pace
  {
    UpstreamStats mPace;
    std::uint32_t mQueued = 0;
  };
  Pace pace() const;
  /// Ends after what is queued and running has been answered.
  void stop();

  struct Load
  {
    double mWindow = 0;
    /// Requests a second that the upstream bears; 0 if it does not report.
    double mCapacity = 0;
    std::uint32_t mInFlight = 0;
    std::uint32_t mQueued = 0;
    bool mHealthy = false;
    /// Requests answered by shard since the last call of takeLoad.
    std::vector<wire::ShardLoad> mShards;
    /// All keys that are counted, the hottest first.
    std::vector<wire::HotKeyT> mHotKeys;
  };
  /// Any thread. Resets the per-shard counts.
  Load takeLoad();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
