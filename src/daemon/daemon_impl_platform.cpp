#include "daemon_impl.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/response.h"
#include "radishroad/log/feed_position.h"
#include "radishroad/request/text_answer.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/upstream/queued_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace radishroad {

namespace {

constexpr std::size_t kWriterQueueCapacity = 256;
/// How much longer than its wait for new entries a poll may take. A dead
/// connection is detected after the sum of both.
constexpr Millis kPollMargin{ 2000 };
/// Peers send each new state at once, and their stream positions with each
/// lease renewal. The store is read only for changes that no peer has sent, and
/// since each call has a cost, no more often than for operators' entries.
constexpr Millis kStateReadInterval{ 15000 };
constexpr Millis kStateReadTimeout{ 1000 };
/// Delay before a state that has been missed is read: peers mostly send it with
/// one of the next lease renewals.
constexpr Millis kRequestedReadDelay{ 100 };
/// While the store does not answer, only operators' entries are asked for
/// often; the states are read once it answers again.
constexpr Millis kStateReadMaxBackoff{ 5000 };
/// The first reads of daemons that start together are spread over this time.
/// Most of them then find a coordinator, which writes their records together
/// with its own.
constexpr Millis kFirstReadJitter{ 250 };
/// Time that the upstream may take to end a run after its limit has passed.
constexpr Millis kRunLimitMargin{ 100 };
/// Time between two log lines that tell the calls to the store since the last.
constexpr Millis kStoreCallsLogInterval{ 10000 };
constexpr std::string_view kJson = "application/json";
constexpr Millis kConfigCheckTimeout{ 1000 };
constexpr Millis kMinConfigCheckInterval{ 200 };
constexpr Millis kFailedConfigCheckInterval{ 1000 };
/// Checks are made on request.
constexpr Millis kUnrequestedCheckInterval{ 3600000 };
constexpr const char* kConfigCheckName = "config-check";

Bytes
encodeEntries(std::uint64_t aNext,
              const std::map<std::string, Bytes>& aEntries,
              const std::optional<OperatorEntry>& aUnreadable)
{
  wire::PublishT publish;
  publish.base_version = aNext;
  const auto add = [&publish](const std::string& aKey, const Bytes& aValue) {
    publish.files.push_back(std::make_unique<wire::ConfigFileT>());
    publish.files.back()->name = aKey;
    publish.files.back()->text.assign(aValue.begin(), aValue.end());
  };
  for (const auto& [key, value] : aEntries) {
    add(key, value);
  }
  if (aUnreadable) {
    // After the one that it would have replaced, so that a peer knows as little
    // of it.
    add(aUnreadable->mKey, aUnreadable->mValue);
  }
  return encodeRecord(makeRecord(std::move(publish), {}, {}));
}

/// Whether only a sample of such runs is logged.
bool
isOrdinary(const QueuedRequest& aQueued, const Answer& aAnswer, bool aIsLate)
{
  return aAnswer.kind == AnswerKind::Answered && !aIsLate &&
         (aAnswer.streams ||
          aQueued.mResponse.mEnd == ResponseTrace::End::Whole);
}

/// Logs how the daemon next to the upstream handled a request. The daemon that
/// received it from the caller logs it as "request". aOutage: of the own zone;
/// null if it is in service.
void
logRun(const QueuedRequest& aQueued,
       const Answer& aAnswer,
       const UpstreamStats& aStats,
       const config::ZoneOutage* aOutage)
{
  const ForwardRequest& request = aQueued.mRequest;
  const ResponseTrace& response = aQueued.mResponse;
  const Millis elapsed = monotonicNow() - aQueued.mQueuedAt;
  const bool late =
    request.objective_ms > 0 && elapsed.mCount > request.objective_ms;
  if (isOrdinary(aQueued, aAnswer, late) && aOutage == nullptr &&
      !isSampled(request.request_id)) {
    return;
  }
  nlohmann::json line = { { "outcome", outcomeName(aAnswer.kind) },
                          { "reason", reasonName(aAnswer.reason) },
                          { "status", aAnswer.status },
                          { "shard", request.shard },
                          { "here_ms", elapsed.mCount },
                          { "objective_ms", request.objective_ms },
                          { "time_left_ms", request.time_left_ms },
                          { "sheds", aQueued.mRejections },
                          { "repeats_id", aQueued.mRepeatsId },
                          { "epoch", aAnswer.epoch },
                          { "slots", aStats.mSlots },
                          { "running", aStats.mRunning },
                          { "run_ms", aStats.mRunMs },
                          { "cold_per_second", aStats.mColdPerSecond },
                          { "limit_per_second", aStats.mLimitPerSecond },
                          { "abandoned", reasonName(aQueued.mAbandonReason) },
                          { "response_end", responseEndName(response.mEnd) },
                          { "response_error", response.mError },
                          { "framing", framingName(response.mFraming) },
                          { "body_bytes", response.mBodyBytes },
                          { "connection_reused", response.mConnectionReused } };
  if (request.large_response) {
    line["large_wait_ms"] = aStats.mLargeWait.mCount;
    line["link_through_ms"] = aQueued.mLinkThrough.mCount;
  }
  if (aOutage != nullptr) {
    line["zone_known_out_ms"] = (monotonicNow() - aOutage->mLearnedAt).mCount;
  }
  logRequest("run", request.request_id, std::move(line));
}

}

void
Daemon::Impl::countStoreCall(const std::string& aClient, const char* aCall)
{
  mMetrics.count("radishroad_store_calls_total{client=\"" + aClient +
                 "\",call=\"" + aCall + "\"}");
  const std::lock_guard<std::mutex> lock(mStoreCallsMutex);
  ++mStoreCalls[aClient + " " + aCall];
}

void
Daemon::Impl::logStoreCalls(Millis aNow)
{
  if (aNow < mNextStoreCallsLog) {
    return;
  }
  mNextStoreCallsLog = aNow + kStoreCallsLogInterval;
  std::map<std::string, std::uint64_t> calls;
  {
    const std::lock_guard<std::mutex> lock(mStoreCallsMutex);
    calls.swap(mStoreCalls);
  }
  if (!calls.empty()) {
    logEvent(LogLevel::Info, "store_calls", nlohmann::json(calls));
  }
}

StateStore
Daemon::Impl::openStore(const std::string& aClient)
{
  StateStore store = mProtocol.mOpenStore();
  store.mRead =
    [this, aClient, read = std::move(store.mRead)](const std::string& aName,
                                                   std::uint64_t aKnownVersion,
                                                   Millis aWait,
                                                   Millis aTimeout) {
      countStoreCall(aClient, "read");
      return read(aName, aKnownVersion, aWait, aTimeout);
    };
  store.mReplace = [this, aClient, replace = std::move(store.mReplace)](
                     const std::string& aName,
                     std::uint64_t aExpectedVersion,
                     std::span<const std::uint8_t> aData,
                     Millis aTimeout) {
    countStoreCall(aClient, "replace");
    return replace(aName, aExpectedVersion, aData, aTimeout);
  };
  return store;
}

OperatorFeed
Daemon::Impl::openFeed(const std::string& aClient)
{
  OperatorFeed feed = mProtocol.mOpenFeed();
  feed.mRead = [this, aClient, read = std::move(feed.mRead)](
                 std::uint64_t aFrom, Millis aWait, Millis aTimeout) {
    countStoreCall(aClient, aWait > Millis{} ? "wait" : "read");
    return read(aFrom, aWait, aTimeout);
  };
  return feed;
}

void
Daemon::Impl::makePlatformServers()
{
  StateWriter::Hooks hooks;
  hooks.mOnState = [this](const std::string& aStream,
                          std::uint64_t aVersion,
                          const CellState& aState) {
    mLoop.post([this, aStream, aVersion, aState] {
      applyState(aStream, aVersion, aState);
    });
  };
  hooks.mOnWritten = [this](const std::string& aStream,
                            std::uint64_t aBase,
                            std::uint64_t aVersion,
                            const std::vector<Bytes>& aRecords) {
    mLoop.post([this, aStream, aBase, aVersion, aRecords] {
      broadcastStateChange(aStream, aBase, aVersion, aRecords);
    });
  };
  hooks.mOnStoreResult = [this](bool aAnswers, const std::string& aError) {
    recordStoreStatus(kWriterName, aAnswers, aError);
  };
  mWriter =
    std::make_unique<StateWriter>([this] { return openStore(kWriterName); },
                                  kWriterQueueCapacity,
                                  std::move(hooks),
                                  systemRandom());
  CallerServer::Options options;
  options.mThreads = 1;
  options.mBodyMemory = mBodyMemory;
  options.mListenAddress = mSettings.mReadyAddress;
  mReadinessServer = std::make_unique<CallerServer>(
    options,
    [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
      aAnswer(answerReadiness(aRequest));
      return CancelFn();
    },
    mMetrics);
  options.mListenAddress = mSettings.mReportAddress;
  mReportServer = std::make_unique<CallerServer>(
    options,
    [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
      handleUpstreamReport(aRequest, aAnswer);
      return CancelFn();
    },
    mMetrics);
}

Answer
Daemon::Impl::answerReadiness(const CallerRequest& aRequest) const
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
Daemon::Impl::handleUpstreamReport(const CallerRequest& aRequest,
                                   const AnswerFn& aAnswer)
{
  Result<UpstreamReport> report = mProtocol.mParseUpstreamReport(aRequest);
  if (!report) {
    logEvent(
      LogLevel::Warn,
      "upstream_report_refused",
      { { "error", report.error().mMessage }, { "target", aRequest.mTarget } });
    aAnswer(makeTextAnswer(400, kJson, "{}"));
    return;
  }
  const bool isOtherService =
    !report->mService.empty() && report->mService != mSettings.mService;
  if (isOtherService) {
    logEvent(LogLevel::Warn,
             "upstream_of_another_service",
             { { "instance", report->mInstance },
               { "service", report->mService },
               { "own_service", mSettings.mService } });
    aAnswer(makeTextAnswer(400, kJson, "{}"));
    return;
  }
  report->mIsAtOwnAddress = report->mAddress == mSettings.mUpstreamAddress;
  report->mReceivedAt = wallNow();
  report->mHasPlausibleStart = hasPlausibleStart(*report, report->mReceivedAt);
  const auto answer = [this, aAnswer](const ReportAnswer& aReportAnswer) {
    aAnswer(
      makeTextAnswer(200, kJson, mProtocol.mWriteReportAnswer(aReportAnswer)));
  };
  if (mSettings.hasRollouts() && !report->mVersion.empty() &&
      report->mIsAtOwnAddress && report->mHasPlausibleStart) {
    // Before the gate announces a new upstream process, so that it is recorded
    // with its version.
    mLoop.post([this, version = report->mVersion] {
      mMembership.onUpstreamVersion(version);
    });
  }
  if (!mGate->onReport(*report, answer)) {
    logEvent(LogLevel::Info,
             "upstream_report_outdated",
             { { "instance", report->mInstance },
               { "address", report->mAddress },
               { "born_ms", report->mStartTime.mCount },
               { "sequence", report->mSequence } });
  }
}

void
Daemon::Impl::setPlatformGateHooks(Gate::Hooks& aHooks)
{
  aHooks.mGrantableShards = [this] {
    return mAuthority.grantableShards(mUpstreamIncarnation, monotonicNow());
  };
  aHooks.mEpochOf = [this](Shard aShard) { return mAuthority.epochOf(aShard); };
  aHooks.mOnReleased = [this](Shard aShard,
                              const std::vector<std::string>& aTokens) {
    mLoop.post([this, aShard, aTokens] { sendHandover(aShard, aTokens); });
  };
  aHooks.mOnAnswer = [this](const QueuedRequest& aQueued,
                            const Answer& aAnswer,
                            const UpstreamStats& aStats) {
    const std::shared_ptr<const FleetView> view = mViews.get();
    logRun(aQueued, aAnswer, aStats, view->zoneOutage(mSettings.mZone));
  };
  aHooks.mOnIncarnation = [this](std::uint64_t aUpstreamIncarnation) {
    mUpstreamIncarnation = aUpstreamIncarnation;
    mLoop.post([this, aUpstreamIncarnation] {
      mMembership.onUpstreamIncarnation(aUpstreamIncarnation);
    });
  };
  aHooks.mLinkTotals = [this] {
    const PeerTransport::Traffic traffic = mPeerTransport->traffic();
    return Gate::LinkTotals{ traffic.mAnswerBytesQueued,
                             traffic.mAnswerBytesWritten };
  };
  aHooks.mOnDraining = [this] {
    mLoop.post([this] {
      mMembership.onUpstreamDraining();
      mLoop.scheduleImmediateTick();
    });
  };
}

void
Daemon::Impl::sendHandover(Shard aShard,
                           const std::vector<std::string>& aTokens)
{
  const Incarnation to = mHandoff.nextOwner(aShard);
  const bool hasTokens = std::ranges::any_of(
    aTokens, [](const std::string& aToken) { return !aToken.empty(); });
  if (to == 0 || !hasTokens) {
    return;
  }
  wire::HandoverT handover;
  handover.shard = aShard;
  handover.epoch = mFleet.ownCell().mShards.at(aShard).mEpoch;
  handover.tokens = aTokens;
  sendControl(to, makeBody(std::move(handover)));
}

AnswerFn
Daemon::Impl::attachLoad(AnswerFn aAnswer)
{
  if (!mProtocol.isPlatform()) {
    return aAnswer;
  }
  return [this, answer = std::move(aAnswer)](Answer aGateAnswer) {
    const Gate::Status gateStatus = mGate->gateStatus();
    // The gate has filled in the run time of the request's kind.
    if (aGateAnswer.load == nullptr) {
      aGateAnswer.load = std::make_unique<wire::GateLoadT>();
    }
    aGateAnswer.load->sustained_slots = gateStatus.mStats.mSustainedSlots;
    aGateAnswer.load->running = gateStatus.mStats.mRunning;
    aGateAnswer.load->queued = gateStatus.mQueued;
    aGateAnswer.load->slots = gateStatus.mStats.mReportedSlots;
    aGateAnswer.load->run_ms = static_cast<float>(gateStatus.mStats.mTypicalMs);
    aGateAnswer.load->slowness =
      static_cast<float>(gateStatus.mStats.mSlowness);
    aGateAnswer.load->limit_per_second =
      static_cast<float>(gateStatus.mStats.mLimitPerSecond);
    aGateAnswer.load->large_wait_ms =
      static_cast<std::uint32_t>(gateStatus.mStats.mLargeWait.mCount);
    answer(std::move(aGateAnswer));
  };
}

void
Daemon::Impl::recordStoreStatus(const std::string& aClient,
                                bool aAnswers,
                                const std::string& aError)
{
  mLoop.post([this, aClient, aAnswers, aError] {
    bool& unavailable = mUnavailableStores[aClient];
    if (!aAnswers) {
      mMetrics.count("radishroad_store_errors_total");
    }
    if (unavailable == !aAnswers) {
      return;
    }
    unavailable = !aAnswers;
    if (aAnswers && aClient == kConfigStream) {
      readFailedStates();
    }
    logEvent(unavailable ? LogLevel::Warn : LogLevel::Info,
             unavailable ? "store_lost" : "store_regained",
             { { "by", aClient }, { "error", aError } });
  });
}

void
Daemon::Impl::readFailedStates()
{
  for (const auto& [stream, wanted] : mWantedVersions) {
    if (mUnavailableStores[stream]) {
      mPollLoops.at(stream)->requestPoll();
    }
  }
}

void
Daemon::Impl::followStates(const std::string& aStream)
{
  const std::shared_ptr<StateStore> store =
    std::make_shared<StateStore>(openStore(aStream));
  const std::shared_ptr<std::atomic<std::uint64_t>> version =
    std::make_shared<std::atomic<std::uint64_t>>(0);
  mKnownVersions[aStream] = version;
  const std::shared_ptr<WantedVersion> wanted =
    std::make_shared<WantedVersion>();
  mWantedVersions[aStream] = wanted;
  PollLoop::Hooks hooks;
  hooks.mPoll = [this, aStream, store, version, wanted]() -> Result<void> {
    const Millis sentAt = monotonicNow();
    const std::uint64_t known = *version;
    if (!wanted->shouldRead(known)) {
      return {};
    }
    const Result<StoredState> read =
      store->mRead(aStream, known, Millis{ 0 }, kStateReadTimeout);
    if (!read) {
      return tl::unexpected<Error>(read.error());
    }
    wanted->onRead();
    recordStoreStatus(aStream, true, {});
    if (read->mVersion != known) {
      CellState state;
      // A restored store may have lost the state.
      const Result<void> decoded =
        read->mData.empty() ? Result<void>() : decodeState(read->mData, state);
      if (!decoded) {
        return tl::unexpected<Error>(decoded.error());
      }
      mLoop.post([this, aStream, newest = read->mVersion, state] {
        applyState(aStream, newest, state);
      });
    }
    mLoop.post(
      [this, aStream, sentAt] { mFleet.onReadSucceeded(aStream, sentAt); });
    return {};
  };
  hooks.mOnError = [this, aStream](const Error& aError) {
    recordStoreStatus(aStream, false, aError.mMessage);
    mLoop.post([this, aStream] { mFleet.onReadFailed(aStream); });
  };
  hooks.mAbort = [store] { store->mAbort(); };
  hooks.mInterval = kStateReadInterval;
  hooks.mCoalesceTime = kRequestedReadDelay;
  hooks.mMaxBackoff = kStateReadMaxBackoff;
  hooks.mInitialDelay = Millis{ static_cast<std::int64_t>(
    mSelf % static_cast<std::uint64_t>(kFirstReadJitter.mCount)) };
  mPollLoops[aStream] =
    std::make_unique<PollLoop>(std::move(hooks), systemRandom());
  mPollLoops[aStream]->start();
}

void
Daemon::Impl::followOperators()
{
  const std::string stream(kConfigStream);
  const std::shared_ptr<OperatorFeed> feed =
    std::make_shared<OperatorFeed>(openFeed(stream));
  const std::shared_ptr<FeedPosition> position =
    std::make_shared<FeedPosition>();
  PollLoop::Hooks hooks;
  hooks.mPoll = [this, stream, feed, position]() -> Result<void> {
    const Millis sentAt = monotonicNow();
    const FeedPosition::Read next = position->nextRead(sentAt);
    const Result<OperatorEntries> read =
      feed->mRead(next.mFrom, next.mWait, next.mWait + kPollMargin);
    if (!read) {
      position->onFailed();
      return tl::unexpected<Error>(read.error());
    }
    recordStoreStatus(stream, true, {});
    // The read may have waited long before the store was restored.
    position->onRead(*read, monotonicNow());
    mLoop.post([this, stream, sentAt, entries = *read] {
      onOperatorRead(entries, sentAt);
    });
    return {};
  };
  hooks.mOnError = [this, stream](const Error& aError) {
    recordStoreStatus(stream, false, aError.mMessage);
    mLoop.post([this, stream] { mFleet.onReadFailed(stream); });
  };
  hooks.mAbort = [feed] { feed->mAbort(); };
  mPollLoops[stream] =
    std::make_unique<PollLoop>(std::move(hooks), systemRandom());
  mPollLoops[stream]->start();
}

void
Daemon::Impl::onOperatorRead(const OperatorEntries& aEntries, Millis aSentAt)
{
  onOperatorEntries(aEntries, EntrySource::Store);
  mFleet.onReadSucceeded(std::string(kConfigStream), aSentAt);
  if (aEntries.mIsAtEnd) {
    mConfirmedPosition.onRead(aEntries.mNext, aSentAt);
    mConfigFreshness.onRead(
      aEntries.mNext, aSentAt, monotonicNow(), aEntries.mIsRestored);
  }
  publishConfigAsOf();
}

void
Daemon::Impl::startConfigCheck()
{
  const std::shared_ptr<OperatorFeed> feed =
    std::make_shared<OperatorFeed>(openFeed(kConfigCheckName));
  PollLoop::Hooks hooks;
  hooks.mPoll = [this, feed]() -> Result<void> {
    const std::uint64_t from = mConfigCheckFrom;
    if (from == 0) {
      // The first entries are read by followOperators().
      return {};
    }
    const Millis sentAt = monotonicNow();
    const Result<OperatorEntries> read =
      feed->mRead(from, Millis{}, kConfigCheckTimeout);
    mConfigCheckFails = !read;
    recordStoreStatus(
      kConfigCheckName, read.has_value(), read ? "" : read.error().mMessage);
    if (!read) {
      // Repeated on request only: each call to the store has its price.
      return {};
    }
    mLoop.post(
      [this, sentAt, entries = *read] { onOperatorRead(entries, sentAt); });
    return {};
  };
  hooks.mOnError = [](const Error&) {};
  hooks.mAbort = [feed] { feed->mAbort(); };
  hooks.mInterval = kUnrequestedCheckInterval;
  hooks.mCoalesceTime = Millis{};
  mConfigCheck = std::make_unique<PollLoop>(std::move(hooks), systemRandom());
  mConfigCheck->start();
}

bool
Daemon::Impl::checkConfig()
{
  if (!mConfigCheck) {
    return false;
  }
  const bool mayHelpSoon = !mConfigCheckFails && mIsConfigReadable;
  const Millis interval =
    mayHelpSoon ? kMinConfigCheckInterval : kFailedConfigCheckInterval;
  const std::int64_t now = monotonicNow().mCount;
  std::int64_t next = mNextConfigCheck;
  if (now >= next &&
      mNextConfigCheck.compare_exchange_strong(next, now + interval.mCount)) {
    mConfigCheck->requestPoll();
  }
  return mayHelpSoon;
}

void
Daemon::Impl::checkConfigInTime()
{
  const Incarnation coordinator = coordinatorOf(mFleet.ownCell());
  switch (mConfigCheckPlan.next(coordinator == mSelf,
                                mConfigFreshness.asOf(),
                                mSettings.configTime(),
                                monotonicNow())) {
    case config::CheckPlan::Action::AskStore:
      checkConfig();
      break;
    case config::CheckPlan::Action::AskCoordinator:
      mLease.askPositions(coordinator);
      break;
    case config::CheckPlan::Action::None:
      break;
  }
}

void
Daemon::Impl::publishConfigAsOf()
{
  mIsConfigReadable = !mUnreadableEntry;
  mConfigAsOf = mConfigFreshness.asOf().value_or(Millis{}).mCount;
}

void
Daemon::Impl::onOperatorEntries(const OperatorEntries& aEntries,
                                EntrySource aSource)
{
  const bool isReread =
    aEntries.mIsComplete && aEntries.mNext == mNextOperatorPosition;
  if (aEntries.mNext <= mNextOperatorPosition && !isReread) {
    if (aEntries.mNext < mNextOperatorPosition) {
      logEvent(LogLevel::Info,
               "operator_entries_older",
               { { "position", aEntries.mNext },
                 { "position_in_force", mNextOperatorPosition },
                 { "entries", aEntries.mEntries.size() } });
    }
    return;
  }
  std::map<std::string, config::ZoneOutage> zonesOut =
    mOperatorState.zonesOutOfService();
  if (aEntries.mIsComplete && !aEntries.mIsRestored) {
    zonesOut.clear();
    // A configuration stays in force until a newer one replaces it.
    std::erase_if(mOperatorEntries, [this](const auto& aEntry) {
      return aEntry.first != mConfigurationKey;
    });
  }
  for (const OperatorEntry& entry : aEntries.mEntries) {
    Result<OperatorChange> change = mProtocol.mParseOperatorEntry(entry);
    if (!change) {
      mMetrics.count("radishroad_operator_entries_refused_total");
      logEvent(LogLevel::Error,
               "operator_entry_refused",
               { { "key", entry.mKey },
                 { "position", aEntries.mNext },
                 { "error", change.error().mMessage },
                 { "version_in_force", mOperatorState.version() } });
      mUnreadableEntry = entry;
      continue;
    }
    if (config::VersionedModel* model =
          std::get_if<config::VersionedModel>(&change->mChange)) {
      const std::uint64_t version = model->mVersion;
      logSubstitutions(*model);
      if (mOperatorState.apply(std::move(*model)) ==
          config::OperatorState::ApplyResult::Outdated) {
        logEvent(LogLevel::Info,
                 "config_outdated",
                 { { "version", version },
                   { "version_in_force", mOperatorState.version() } });
        if (version != mOperatorState.version()) {
          continue;
        }
      }
      mConfigurationKey = entry.mKey;
      mOperatorEntries[entry.mKey] = entry.mValue;
      mUnreadableEntry.reset();
    }
    const OperatorChange::ZoneState* zone =
      std::get_if<OperatorChange::ZoneState>(&change->mChange);
    // What a copy says of zones may be older than what is in force.
    if (zone != nullptr && !aEntries.mIsRestored) {
      setZoneState(*zone, aEntries.mNext, aSource, zonesOut);
      if (zone->mInService) {
        mOperatorEntries.erase(entry.mKey);
      } else {
        mOperatorEntries[entry.mKey] = entry.mValue;
      }
    }
  }
  if (aEntries.mIsRestored) {
    rewriteOwnState();
  }
  logEvent(
    LogLevel::Info,
    "operator_entries",
    { { "position", aEntries.mNext },
      { "position_before", mNextOperatorPosition },
      { "entries", aEntries.mEntries.size() },
      { "complete", aEntries.mIsComplete },
      { "restored", aEntries.mIsRestored },
      { "learned_from", aSource == EntrySource::Store ? "store" : "peer" },
      { "operator_version", mOperatorState.version() } });
  mNextOperatorPosition = aEntries.mNext;
  mConfigCheckFrom = aEntries.mNext;
  mConfirmedPosition.onRelayed(aEntries.mNext);
  mOperatorState.setZonesOutOfService(std::move(zonesOut));
  mFleet.setModel(
    mNextOperatorPosition,
    mOperatorState.version(),
    mOperatorState.model(),
    mOperatorState.zonesOutOfService(),
    encodeEntries(mNextOperatorPosition, mOperatorEntries, mUnreadableEntry));
  // Only now may requests be refused by what was read.
  mConfigFreshness.onApplied(aEntries.mNext);
  mConfigFreshness.setReadable(!mUnreadableEntry);
  publishConfigAsOf();
}

void
Daemon::Impl::logSubstitutions(const config::VersionedModel& aModel)
{
  const std::vector<std::string>& substitutions = aModel.mModel.mSubstitutions;
  mMetrics.gauge("radishroad_config_substitutions",
                 static_cast<double>(substitutions.size()));
  for (const std::string& each : substitutions) {
    logEvent(LogLevel::Warn,
             "config_value_unknown",
             { { "version", aModel.mVersion }, { "problem", each } });
  }
}

void
Daemon::Impl::setZoneState(const OperatorChange::ZoneState& aZone,
                           std::uint64_t aPosition,
                           EntrySource aSource,
                           std::map<std::string, config::ZoneOutage>& aZonesOut)
{
  const Millis now = monotonicNow();
  nlohmann::json line = { { "changed_zone", aZone.mZone },
                          { "in_service", aZone.mInService },
                          { "learned_from",
                            aSource == EntrySource::Store ? "store" : "peer" },
                          { "position", aPosition } };
  if (aZone.mInService) {
    aZonesOut.erase(aZone.mZone);
  } else {
    // Reading all entries again does not take the zone out again.
    const auto& known = mOperatorState.zonesOutOfService();
    const auto it = known.find(aZone.mZone);
    const config::ZoneOutage outage =
      it != known.end()
        ? it->second
        : config::makeZoneOutage(
            mConfirmedPosition.confirmedAt(), now, mSettings.zoneOutTime());
    aZonesOut[aZone.mZone] = outage;
    if (outage.mInServiceAt) {
      line["in_service_ms_ago"] = (now - *outage.mInServiceAt).mCount;
    }
    line["learned_ms_ago"] = (now - outage.mLearnedAt).mCount;
    line["keys_served_ms"] = (outage.mServeKeysUntil - now).mCount;
  }
  logEvent(LogLevel::Info, "zone", line);
}

void
Daemon::Impl::confirmOperatorPosition(const LeaseManager::Positions& aPositions,
                                      std::optional<Millis> aAskedAt)
{
  for (const std::unique_ptr<wire::StreamPositionT>& position : aPositions) {
    if (aAskedAt && position->stream == kConfigStream &&
        position->as_of_ms_ago >= 0) {
      const Millis asOf = *aAskedAt - Millis{ position->as_of_ms_ago };
      mConfirmedPosition.onPeer(position->next_offset, asOf);
      mConfigFreshness.onPeer(position->next_offset, asOf);
      publishConfigAsOf();
    }
  }
}

void
Daemon::Impl::rewriteOwnState()
{
  // The probe writes the newest known state if the stored one is older.
  const bool queued = mWriter->probe(mContext.ownStream(), {}, [](bool) {});
  if (!queued) {
    logEvent(LogLevel::Warn,
             "state_not_rewritten",
             { { "stream", mContext.ownStream() } });
  }
}

Millis
Daemon::Impl::takeoverWait() const
{
  const config::Model* model = mFleet.model();
  const bool known =
    model != nullptr && model->mServices.contains(mSettings.mService);
  if (!known && mProtocol.isPlatform()) {
    return GrantManager::longestHold(mSettings.longestHold());
  }
  // Until the configuration is known, the longest wait applies.
  const config::Service service =
    known ? model->mServices.at(mSettings.mService) : config::Service{};
  return service.mHoldTime > Millis{}
           ? GrantManager::longestHold(service.mHoldTime)
           : service.mRunLimit + kRunLimitMargin;
}

}
