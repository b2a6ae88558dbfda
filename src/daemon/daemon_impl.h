#ifndef RADISHROAD_SRC_DAEMON_DAEMON_IMPL_H
#define RADISHROAD_SRC_DAEMON_DAEMON_IMPL_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/timer.h"
#include "radishroad/caller/server.h"
#include "radishroad/config/check_plan.h"
#include "radishroad/config/freshness.h"
#include "radishroad/config/operator_state.h"
#include "radishroad/daemon/cell_coordinator.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/control_loop.h"
#include "radishroad/daemon/daemon.h"
#include "radishroad/daemon/daemon_hooks.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/daemon/handoff_manager.h"
#include "radishroad/daemon/ingress.h"
#include "radishroad/daemon/lease_logger.h"
#include "radishroad/daemon/lease_manager.h"
#include "radishroad/daemon/membership_manager.h"
#include "radishroad/daemon/proposal_forwarder.h"
#include "radishroad/daemon/proposer.h"
#include "radishroad/daemon/protocol.h"
#include "radishroad/daemon/rate_limiter.h"
#include "radishroad/daemon/record_relay.h"
#include "radishroad/daemon/retry_policy.h"
#include "radishroad/daemon/serve_authority.h"
#include "radishroad/daemon/snapshot_manager.h"
#include "radishroad/log/confirmed_position.h"
#include "radishroad/log/log_appender.h"
#include "radishroad/log/log_follower.h"
#include "radishroad/log/poll_loop.h"
#include "radishroad/log/state_writer.h"
#include "radishroad/log/wanted_version.h"
#include "radishroad/operator/admin_server.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/peer/peer_transport.h"
#include "radishroad/state/change_buffer.h"
#include "radishroad/upstream/gate.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace radishroad {

/// Name of the StateWriter among the clients of the store.
constexpr const char* kWriterName = "writer";

/// The daemon's threads and the state that they share. Members are constructed
/// in their order here, so those that others use come first.
struct Daemon::Impl
{
  Impl(const DaemonSettings& aSettings,
       RetryPolicy& aRetryPolicy,
       Millis aJoinDelay,
       DaemonHooks aHooks);

  Result<void> start();
  /// From now on requests that will not end in time are refused.
  void beginStop(const StopSchedule& aSchedule);
  /// aUntil: running requests are not waited for after this time.
  void stop(Millis aUntil);
  /// True once a planned stop may go on: the daemon has left its cell, or no
  /// member can take over.
  bool drained();
  bool ready() const;
  nlohmann::json describe();
  nlohmann::json unknownConfigValues() const;

  const DaemonSettings mSettings;
  const DaemonHooks mHooks;
  const DaemonProtocol mProtocol;
  const std::shared_ptr<BodyMemory> mBodyMemory;
  const Incarnation mSelf;
  Metrics mMetrics;
  Timer mTimer;
  FleetViewStore mViews;
  ServeAuthority mAuthority;
  RetryPolicy& mRetryPolicy;
  std::atomic<std::int64_t> mLastConfigRead{ 0 };
  /// As Freshness::asOf(), for the request path; 0 for none.
  std::atomic<std::int64_t> mConfigAsOf{ 0 };
  std::atomic<bool> mRemoved{ false };
  std::atomic<bool> mLeaveRequested{ false };
  std::atomic<bool> mLeft{ false };
  /// A caller's request has arrived since the last tick.
  std::atomic<bool> mHadRequests{ false };

  ControlLoop mLoop;
  /// Exactly one of the two is set: the appender if the protocol stores records
  /// in a log, the writer if it stores full states.
  std::unique_ptr<LogAppender> mAppender;
  std::unique_ptr<StateWriter> mWriter;
  ProposalForwarder mProposalForwarder;
  /// Incarnation of the upstream process that sends the reports; 0 before the
  /// first report.
  std::atomic<std::uint64_t> mUpstreamIncarnation{ 0 };
  /// When the store last accepted a write, by this daemon or by a peer that has
  /// sent the change.
  Millis mStoreAnsweredAt;
  /// By stream: newest known version, which reads of the store start from.
  std::map<std::string, std::shared_ptr<std::atomic<std::uint64_t>>>
    mKnownVersions;
  std::map<std::string, std::shared_ptr<WantedVersion>> mWantedVersions;
  std::map<std::string, ChangeBuffer> mChangeBuffers;
  FleetState mFleet;
  Proposer mProposer;
  std::unique_ptr<Gate> mGate;
  std::unique_ptr<PeerTransport> mPeerTransport;
  ControlContext mContext;
  MembershipManager mMembership;
  LeaseLogger mLeaseLog;
  LeaseManager mLease;
  HandoffManager mHandoff;
  CellCoordinator mCoordinator;
  RateLimiter mRateLimiter;
  RecordRelay mRelay;
  SnapshotManager mSnapshots;
  Ingress mIngress;
  CallerServer mCallerServer;
  AdminServer mAdmin;
  /// Only with the platform's protocol.
  std::unique_ptr<CallerServer> mReadinessServer;
  std::unique_ptr<CallerServer> mReportServer;
  /// Operators' settings in force. Control thread only.
  config::OperatorState mOperatorState;
  /// How far operators' entries are known.
  ConfirmedPosition mConfirmedPosition;
  config::Freshness mConfigFreshness;
  /// Reads the operators' entries without waiting for news. The members below
  /// are shared with its thread and the request path.
  std::unique_ptr<PollLoop> mConfigCheck;
  /// Time before which it is not asked to read again.
  std::atomic<std::int64_t> mNextConfigCheck{ 0 };
  /// Position from which it reads; see mNextOperatorPosition.
  std::atomic<std::uint64_t> mConfigCheckFrom{ 0 };
  /// Whether its last read failed.
  std::atomic<bool> mConfigCheckFails{ false };
  /// False if mUnreadableEntry is set: then only a newer entry helps.
  std::atomic<bool> mIsConfigReadable{ true };
  /// Control thread only.
  config::CheckPlan mConfigCheckPlan;
  /// Position up to which operators' entries have been applied.
  std::uint64_t mNextOperatorPosition = 0;
  /// Operators' entries in force, by key, to be relayed to peers.
  std::map<std::string, Bytes> mOperatorEntries;
  /// Key of the entry with the configuration in force.
  std::string mConfigurationKey;
  /// The newest entry, if it could not be read. It may hold a configuration.
  std::optional<OperatorEntry> mUnreadableEntry;
  std::atomic<bool> mCellLoaded{ false };
  /// By client of the store: whether its last call failed.
  std::map<std::string, bool> mUnavailableStores;
  std::mutex mStoreCallsMutex;
  /// Calls to the store since the last log line, by client and call. Guarded by
  /// mStoreCallsMutex.
  std::map<std::string, std::uint64_t> mStoreCalls;
  Millis mNextStoreCallsLog;
  /// Hashes of peers' proposals that the writer has not finished yet.
  std::set<std::uint64_t> mWaitingProposals;
  std::map<std::string, std::unique_ptr<LogFollower>> mFollowers;
  std::map<std::string, std::unique_ptr<PollLoop>> mPollLoops;
  TakeoverGuard mTakeoverGuard;
  bool mTakeoverGuardStarted = false;
  Millis mNextLoadReport;
  Millis mNextIdleReport;
  Millis mNextTrafficUpdate;
  /// Traffic that is already counted in the metrics.
  PeerTransport::Traffic mCountedTraffic;
  /// Refusals for want of memory that are already counted.
  std::uint64_t mCountedRefusals = 0;

private:
  FleetState::Hooks fleetHooks();
  Gate::Hooks gateHooks();
  PeerTransport::Hooks peerTransportHooks();
  HandoffManager::Hooks handoffHooks();
  Ingress::Hooks ingressHooks();
  void followLog(const std::string& aStream);
  // daemon_impl_platform.cpp: what only the platform's protocol needs.
  void makePlatformServers();
  /// Clients of the store whose calls are counted under the client's name.
  StateStore openStore(const std::string& aClient);
  OperatorFeed openFeed(const std::string& aClient);
  void countStoreCall(const std::string& aClient, const char* aCall);
  void logStoreCalls(Millis aNow);
  void followStates(const std::string& aStream);
  void applyState(const std::string& aStream,
                  std::uint64_t aVersion,
                  const CellState& aState);
  // daemon_impl_state.cpp: exchange of cell states with the store and the
  // peers.
  /// Sends the records just written to all peers.
  void broadcastStateChange(const std::string& aStream,
                            std::uint64_t aBase,
                            std::uint64_t aVersion,
                            const std::vector<Bytes>& aRecords);
  /// Applies the changes that build on the present state of a stream.
  void applyBufferedChange(const std::string& aStream);
  void onStateChange(const wire::RelayRecordsT& aChange);
  void onProposal(Incarnation aFrom, const wire::ProposalT& aProposal);
  bool writeState(const std::string& aStream,
                  Bytes aData,
                  RandomId aId,
                  Millis aTimeout,
                  std::function<void(Result<std::uint64_t>)> aResult);
  /// Writes the proposals that the coordinator has not committed in time.
  void writeOverdueProposals();
  /// Reads the states again whose last read failed.
  void readFailedStates();
  void followOperators();
  /// Applies what a read of the store has returned.
  void onOperatorRead(const OperatorEntries& aEntries, Millis aSentAt);
  void startConfigCheck();
  /// Has the store asked whether the configuration is the newest one, unless it
  /// was asked just before. Returns whether an answer can be expected soon.
  /// Thread-safe.
  bool checkConfig();
  /// Has the store or the coordinator asked before what is known of the
  /// configuration is too old.
  void checkConfigInTime();
  void publishConfigAsOf();
  /// For the request path; thread-safe.
  std::optional<Millis> configAsOf() const;
  bool mayRefuseForGood(std::optional<Millis> aAsOf, Millis aReceivedAt) const;
  void recordStoreStatus(const std::string& aClient,
                         bool aAnswers,
                         const std::string& aError);
  /// Where operators' entries come from.
  enum class EntrySource
  {
    Store,
    Peer,
  };
  void onOperatorEntries(const OperatorEntries& aEntries, EntrySource aSource);
  void logSubstitutions(const config::VersionedModel& aModel);
  void setZoneState(const OperatorChange::ZoneState& aZone,
                    std::uint64_t aPosition,
                    EntrySource aSource,
                    std::map<std::string, config::ZoneOutage>& aZonesOut);
  void confirmOperatorPosition(const LeaseManager::Positions& aPositions,
                               std::optional<Millis> aAskedAt);
  void onRelayedState(const std::string& aStream,
                      std::span<const LogRecord> aRecords);
  bool submitState(const std::string& aStream,
                   const wire::RecordT& aRecord,
                   std::function<void(Result<std::uint64_t>)> aResult);
  void handleUpstreamReport(const CallerRequest& aRequest,
                            const AnswerFn& aAnswer);
  Answer answerReadiness(const CallerRequest& aRequest) const;
  void setPlatformGateHooks(Gate::Hooks& aHooks);
  void sendHandover(Shard aShard, const std::vector<std::string>& aTokens);
  /// Adds the gate's load to the answer.
  AnswerFn attachLoad(AnswerFn aAnswer);
  /// Has the own cell's state written again if a restored store lost it.
  void rewriteOwnState();
  Millis takeoverWait() const;
  /// Returns the time until the next tick.
  Millis tick();
  void onCellChanged(const std::string& aService,
                     const CellState& aBefore,
                     const CellState& aAfter);
  void updateTakeoverGuard(const CellState& aBefore, const CellState& aAfter);
  void onControlFrame(Incarnation aFrom, const wire::FrameBodyUnion& aBody);
  void reportLoad(Millis aNow);
  void countTraffic(Millis aNow);
  /// Publishes the use of the memory for bodies, and logs refusals.
  void recordBodyMemory();
  void onMoveOrder(const wire::MoveOrderT& aOrder);
  void broadcastCrashReport(const wire::CrashReportT& aReport);
  void sendControl(Incarnation aTo, wire::FrameBodyUnion aBody);
  /// Members that may write records of the own cell, in their order; mSelf
  /// stands for this process.
  std::vector<Incarnation> writers() const;
  bool submitAppend(const std::string& aStream,
                    const wire::RecordT& aRecord,
                    std::function<void(Result<std::uint64_t>)> aResult);
  void probeLog(const std::function<void(bool)>& aDone);
  bool draining() const;
  /// True if a leaving daemon need not wait for its hand-offs.
  bool hasNoSuccessor();
  bool configFresh() const;
};

}

#endif
