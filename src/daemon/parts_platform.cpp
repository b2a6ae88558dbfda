#include "parts.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/response.h"
#include "radishroad/request/text_answer.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/upstream/queued_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace radishroad {

namespace {

constexpr std::size_t kWriterCapacity = 256;
/// How long a poll waits for news, and what it may take beyond that. A
/// connection that has gone silent is noticed after both.
constexpr Millis kPollWait{ 15000 };
constexpr Millis kPollMargin{ 2000 };
/// Peers pass each new state on at once, and name their positions with each
/// lease renewal. The store is asked for what no peer could tell, as often as
/// for operators' entries, and each call has its price.
constexpr Millis kStateReadInterval{ 15000 };
constexpr Millis kStateReadTimeout{ 1000 };
/// Daemons that start together read over this time: most of them then find a
/// coordinator, which writes their records with its own.
constexpr Millis kFirstReadSpread{ 250 };
/// Part of the time for a zone taken out in which its keys are still served.
constexpr std::int64_t kZonePercent = 80;
/// What a run may take beyond its limit until the upstream has ended it.
constexpr Millis kRunLimitMargin{ 100 };
constexpr std::string_view kJson = "application/json";

Bytes
encodeEntries(std::uint64_t aNext, const std::map<std::string, Bytes>& aEntries)
{
  wire::PublishT publish;
  publish.base_version = aNext;
  for (const auto& [key, value] : aEntries) {
    publish.files.push_back(std::make_unique<wire::ConfigFileT>());
    publish.files.back()->name = key;
    publish.files.back()->text.assign(value.begin(), value.end());
  }
  return encodeRecord(makeRecord(std::move(publish), {}, {}));
}

/// What the daemon beside the upstream did with a request; `request` is the
/// line of the daemon that took it from the caller.
void
logRun(const QueuedRequest& aQueued,
       const Answer& aAnswer,
       const UpstreamStats& aPace)
{
  const ForwardRequest& request = aQueued.mRequest;
  const Millis here = monotonicNow() - aQueued.mQueuedAt;
  const bool late =
    request.objective_ms > 0 && here.mCount > request.objective_ms;
  if (aAnswer.kind == AnswerKind::Answered && !late &&
      !isSampled(request.request_id)) {
    return;
  }
  logRequest("run",
             request.request_id,
             { { "outcome", outcomeName(aAnswer.kind) },
               { "reason", reasonName(aAnswer.reason) },
               { "status", aAnswer.status },
               { "shard", request.shard },
               { "here_ms", here.mCount },
               { "objective_ms", request.objective_ms },
               { "time_left_ms", request.time_left_ms },
               { "sheds", aQueued.mRejections },
               { "epoch", aAnswer.epoch },
               { "slots", aPace.mSlots },
               { "running", aPace.mRunning },
               { "run_ms", aPace.mRunMs },
               { "cold_per_second", aPace.mColdPerSecond } });
}

}

void
Daemon::Parts::makePlatformServers()
{
  StateWriter::Hooks hooks;
  hooks.mOnState = [this](const std::string& aStream,
                          std::uint64_t aVersion,
                          const CellState& aState) {
    mLoop.post([this, aStream, aVersion, aState] {
      takeState(aStream, aVersion, aState);
    });
  };
  hooks.mOnWritten = [this](const std::string& aStream,
                            std::uint64_t aBase,
                            std::uint64_t aVersion,
                            const std::vector<Bytes>& aRecords) {
    mLoop.post([this, aStream, aBase, aVersion, aRecords] {
      passOnState(aStream, aBase, aVersion, aRecords);
    });
  };
  hooks.mOnStore = [this](bool aAnswers, const std::string& aError) {
    noteStore("writer", aAnswers, aError);
  };
  mWriter = std::make_unique<StateWriter>(
    mProtocol.mOpenStore, kWriterCapacity, std::move(hooks), systemRandom());
  CallerServer::Options options;
  options.mThreads = 1;
  options.mListenAddress = mSettings.mReadyAddress;
  mReadiness = std::make_unique<CallerServer>(
    options,
    [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
      aAnswer(answerReadiness(aRequest));
      return CancelFn();
    },
    mMetrics);
  options.mListenAddress = mSettings.mReportAddress;
  mReports = std::make_unique<CallerServer>(
    options,
    [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
      takeReport(aRequest, aAnswer);
      return CancelFn();
    },
    mMetrics);
}

Answer
Daemon::Parts::answerReadiness(const CallerRequest& aRequest) const
{
  if (!mProtocol.mIsReadinessRequest(aRequest)) {
    return makeTextAnswer(404, kJson, "{\"error\":\"unknown call\"}");
  }
  const bool isReady = ready();
  return makeTextAnswer(isReady ? 200 : 503,
                        kJson,
                        isReady ? "{\"ready\":true}" : "{\"ready\":false}");
}

void
Daemon::Parts::takeReport(const CallerRequest& aRequest,
                          const AnswerFn& aAnswer)
{
  const Result<UpstreamReport> report = mProtocol.mReadReport(aRequest);
  if (!report) {
    logEvent(
      LogLevel::Warn,
      "upstream_report_refused",
      { { "error", report.error().mMessage }, { "target", aRequest.mTarget } });
    aAnswer(makeTextAnswer(400, kJson, "{}"));
    return;
  }
  const bool foreign =
    !report->mService.empty() && report->mService != mSettings.mService;
  if (foreign) {
    logEvent(LogLevel::Warn,
             "upstream_of_another_service",
             { { "instance", report->mInstance },
               { "service", report->mService },
               { "own_service", mSettings.mService } });
    aAnswer(makeTextAnswer(400, kJson, "{}"));
    return;
  }
  const auto answer = [this, aAnswer](const ReportAnswer& aTold) {
    aAnswer(makeTextAnswer(200, kJson, mProtocol.mWriteReportAnswer(aTold)));
  };
  if (!mGate->onReport(*report, answer)) {
    logEvent(LogLevel::Info,
             "upstream_report_outdated",
             { { "instance", report->mInstance },
               { "born_ms", report->mStartTime.mCount },
               { "sequence", report->mSequence } });
  }
}

void
Daemon::Parts::setPlatformGateHooks(Gate::Hooks& aHooks)
{
  aHooks.mHoldings = [this] {
    return mAuthority.holdings(mUpstreamLife, monotonicNow());
  };
  aHooks.mEpochOf = [this](Shard aShard) { return mAuthority.epochOf(aShard); };
  aHooks.mOnReleased = [this](Shard aShard,
                              const std::vector<std::string>& aTokens) {
    mLoop.post([this, aShard, aTokens] { sendHandover(aShard, aTokens); });
  };
  aHooks.mOnAnswer = [](const QueuedRequest& aQueued,
                        const Answer& aAnswer,
                        const UpstreamStats& aPace) {
    logRun(aQueued, aAnswer, aPace);
  };
  aHooks.mOnIncarnation = [this](std::uint64_t aLife) {
    mUpstreamLife = aLife;
    mLoop.post([this, aLife] { mMembership.onUpstreamLife(aLife); });
  };
  aHooks.mOnDraining = [this] {
    mLoop.post([this] {
      mMembership.onUpstreamDraining();
      mLoop.scheduleImmediateTick();
    });
  };
}

void
Daemon::Parts::sendHandover(Shard aShard,
                            const std::vector<std::string>& aTokens)
{
  const Incarnation to = mHandoff.nextOwner(aShard);
  const bool any = std::ranges::any_of(
    aTokens, [](const std::string& aToken) { return !aToken.empty(); });
  if (to == 0 || !any) {
    return;
  }
  wire::HandoverT handover;
  handover.shard = aShard;
  handover.epoch = mFleet.ownCell().mShards.at(aShard).mEpoch;
  handover.tokens = aTokens;
  sendControl(to, makeBody(std::move(handover)));
}

AnswerFn
Daemon::Parts::withLoad(AnswerFn aAnswer)
{
  if (!mProtocol.isPlatform()) {
    return aAnswer;
  }
  return [this, answer = std::move(aAnswer)](Answer aTold) {
    const Gate::Pace pace = mGate->pace();
    aTold.load = std::make_unique<wire::GateLoadT>();
    aTold.load->running = pace.mPace.mRunning;
    aTold.load->queued = pace.mQueued;
    aTold.load->slots = pace.mPace.mSlots;
    aTold.load->run_ms = static_cast<float>(pace.mPace.mTypicalMs);
    aTold.load->slowness = static_cast<float>(pace.mPace.mSlowness);
    answer(std::move(aTold));
  };
}

void
Daemon::Parts::noteStore(const std::string& aWhat,
                         bool aAnswers,
                         const std::string& aError)
{
  mLoop.post([this, aWhat, aAnswers, aError] {
    bool& lost = mLostStores[aWhat];
    if (!aAnswers) {
      mMetrics.count("radishroad_store_errors_total");
    }
    if (lost == !aAnswers) {
      return;
    }
    lost = !aAnswers;
    logEvent(lost ? LogLevel::Warn : LogLevel::Info,
             lost ? "store_lost" : "store_regained",
             { { "by", aWhat }, { "error", aError } });
  });
}

void
Daemon::Parts::followStates(const std::string& aStream)
{
  const std::shared_ptr<StateStore> store =
    std::make_shared<StateStore>(mProtocol.mOpenStore());
  const std::shared_ptr<std::atomic<std::uint64_t>> version =
    std::make_shared<std::atomic<std::uint64_t>>(0);
  mReadFrom[aStream] = version;
  FeedFollower::Hooks hooks;
  hooks.mPoll = [this, aStream, store, version]() -> Result<void> {
    const Millis askedAt = monotonicNow();
    const std::uint64_t known = *version;
    const Result<StoredState> read =
      store->mRead(aStream, known, Millis{ 0 }, kStateReadTimeout);
    if (!read) {
      return tl::unexpected<Error>(read.error());
    }
    noteStore(aStream, true, {});
    if (read->mVersion != known) {
      CellState state;
      const Result<void> decoded = decodeState(read->mData, state);
      if (!decoded) {
        return tl::unexpected<Error>(decoded.error());
      }
      mLoop.post([this, aStream, newest = read->mVersion, state] {
        takeState(aStream, newest, state);
      });
    }
    mLoop.post(
      [this, aStream, askedAt] { mFleet.onReadSucceeded(aStream, askedAt); });
    return {};
  };
  hooks.mOnError = [this, aStream](const Error& aError) {
    noteStore(aStream, false, aError.mMessage);
    mLoop.post([this, aStream] { mFleet.onReadFailed(aStream); });
  };
  hooks.mAbort = [store] { store->mAbort(); };
  hooks.mInterval = kStateReadInterval;
  hooks.mFirstPause = Millis{ static_cast<std::int64_t>(
    mSelf % static_cast<std::uint64_t>(kFirstReadSpread.mCount)) };
  mFeeds[aStream] =
    std::make_unique<FeedFollower>(std::move(hooks), systemRandom());
  mFeeds[aStream]->start();
}

void
Daemon::Parts::followOperators()
{
  const std::string stream(kConfigStream);
  const std::shared_ptr<OperatorFeed> feed =
    std::make_shared<OperatorFeed>(mProtocol.mOpenFeed());
  const std::shared_ptr<std::uint64_t> next =
    std::make_shared<std::uint64_t>(0);
  FeedFollower::Hooks hooks;
  hooks.mPoll = [this, stream, feed, next]() -> Result<void> {
    const Millis askedAt = monotonicNow();
    const Result<OperatorEntries> read =
      feed->mRead(*next, kPollWait, kPollWait + kPollMargin);
    if (!read) {
      return tl::unexpected<Error>(read.error());
    }
    noteStore(stream, true, {});
    *next = read->mNext;
    mLoop.post([this, stream, askedAt, entries = *read] {
      onOperatorEntries(entries);
      mFleet.onReadSucceeded(stream, askedAt);
    });
    return {};
  };
  hooks.mOnError = [this, stream](const Error& aError) {
    noteStore(stream, false, aError.mMessage);
    mLoop.post([this, stream] { mFleet.onReadFailed(stream); });
  };
  hooks.mAbort = [feed] { feed->mAbort(); };
  mFeeds[stream] =
    std::make_unique<FeedFollower>(std::move(hooks), systemRandom());
  mFeeds[stream]->start();
}

void
Daemon::Parts::onOperatorEntries(const OperatorEntries& aEntries)
{
  if (aEntries.mNext <= mOperatorsNext) {
    return;
  }
  if (aEntries.mWhole) {
    mOperators.setZonesOutOfService({});
    mEntries.clear();
  }
  for (const OperatorEntry& entry : aEntries.mEntries) {
    Result<OperatorChange> change = mProtocol.mReadEntry(entry);
    if (!change) {
      mMetrics.count("radishroad_operator_entries_refused_total");
      logEvent(LogLevel::Error,
               "operator_entry_refused",
               { { "key", entry.mKey },
                 { "position", aEntries.mNext },
                 { "error", change.error().mMessage },
                 { "version_in_force", mOperators.version() } });
      continue;
    }
    if (config::VersionedModel* model =
          std::get_if<config::VersionedModel>(&change->mChange)) {
      const std::uint64_t version = model->mVersion;
      if (mOperators.apply(std::move(*model)) ==
          config::OperatorState::ApplyResult::Outdated) {
        logEvent(LogLevel::Info,
                 "config_outdated",
                 { { "version", version },
                   { "version_in_force", mOperators.version() } });
        if (version != mOperators.version()) {
          continue;
        }
      }
      mEntries[entry.mKey] = entry.mValue;
    }
    if (const OperatorChange::ZoneState* zone =
          std::get_if<OperatorChange::ZoneState>(&change->mChange)) {
      mOperators.setZoneInService(zone->mZone, zone->mInService);
      if (zone->mInService) {
        mEntries.erase(entry.mKey);
      } else {
        mEntries[entry.mKey] = entry.mValue;
      }
      logEvent(LogLevel::Info,
               "zone",
               { { "zone", zone->mZone }, { "in_service", zone->mInService } });
    }
  }
  mOperatorsNext = aEntries.mNext;
  mFleet.setModel(mOperatorsNext,
                  mOperators.model(),
                  encodeEntries(mOperatorsNext, mEntries));
}

void
Daemon::Parts::onZones()
{
  const config::Model* model = mFleet.model();
  if (!mProtocol.isPlatform() || model == nullptr) {
    return;
  }
  const auto it = model->mZones.find(mSettings.mZone);
  const bool out = it != model->mZones.end() && !it->second.mInService;
  if (out == mZoneOut) {
    return;
  }
  mZoneOut = out;
  const Millis keysUntil =
    monotonicNow() + mSettings.zoneOutTime() * kZonePercent / 100;
  mAuthority.setZoneOutOfService(out ? std::optional<Millis>(keysUntil)
                                     : std::nullopt);
}

Millis
Daemon::Parts::takeoverWait() const
{
  const config::Model* model = mFleet.model();
  const bool known =
    model != nullptr && model->mServices.contains(mSettings.mService);
  if (!known && mProtocol.isPlatform()) {
    return GrantManager::longestHold(mSettings.longestHold());
  }
  // Before the configuration is known, the longest wait is taken.
  const config::Service service =
    known ? model->mServices.at(mSettings.mService) : config::Service{};
  return service.mHoldTime > Millis{}
           ? GrantManager::longestHold(service.mHoldTime)
           : service.mRunLimit + kRunLimitMargin;
}

}
