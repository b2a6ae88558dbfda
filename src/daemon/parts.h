#ifndef RADISHROAD_SRC_DAEMON_PARTS_H
#define RADISHROAD_SRC_DAEMON_PARTS_H

#include "radishroad/base/metrics.h"
#include "radishroad/base/timer.h"
#include "radishroad/caller/server.h"
#include "radishroad/config/operator_state.h"
#include "radishroad/daemon/cell_coordinator.h"
#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/control_loop.h"
#include "radishroad/daemon/crash_watch.h"
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
#include "radishroad/daemon/serve_authority.h"
#include "radishroad/daemon/snapshot_manager.h"
#include "radishroad/log/log_appender.h"
#include "radishroad/log/log_follower.h"
#include "radishroad/log/poll_loop.h"
#include "radishroad/log/state_writer.h"
#include "radishroad/operator/admin_server.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/peer/peer_transport.h"
#include "radishroad/upstream/gate.h"

#include <atomic>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroad {

/// The daemon's threads and the state between them. Order of members is order
/// of construction: what is used by others comes first.
struct Daemon::Parts
{
  Parts(const DaemonSettings& aSettings,
        CrashWatch& aCrashes,
        Millis aJoinDelay,
        DaemonHooks aHooks);

  Result<void> start();
  void stop();
  /// True once there is nothing left that a planned stop would cut.
  bool drained();
  bool ready() const;
  nlohmann::json describe();

  const DaemonSettings mSettings;
  const DaemonHooks mHooks;
  const DaemonProtocol mProtocol;
  const Incarnation mSelf;
  Metrics mMetrics;
  Timer mTimer;
  ViewHolder mViews;
  ServeAuthority mAuthority;
  CrashWatch& mCrashes;
  std::atomic<std::int64_t> mConfigContact{ 0 };
  std::atomic<bool> mOut{ false };
  std::atomic<bool> mLeaveRequested{ false };
  std::atomic<bool> mLeft{ false };
  /// A caller's request came since the last tick.
  std::atomic<bool> mHadRequests{ false };

  ControlLoop mLoop;
  /// The one or the other, as the protocol keeps records or whole states.
  std::unique_ptr<LogAppender> mAppender;
  std::unique_ptr<StateWriter> mWriter;
  ProposalForwarder mProposals;
  /// Start of the upstream that reports; 0 before the first report.
  std::atomic<std::uint64_t> mUpstreamLife{ 0 };
  /// When the store last took a write of this daemon or of one that passed it
  /// on.
  Millis mStoreAnsweredAt;
  /// Versions from which followers of states read on.
  std::map<std::string, std::shared_ptr<std::atomic<std::uint64_t>>> mReadFrom;
  FleetState mFleet;
  Proposer mRecorder;
  std::unique_ptr<Gate> mGate;
  std::unique_ptr<PeerTransport> mLink;
  ControlContext mContext;
  MembershipManager mMembership;
  LeaseLogger mLeaseLog;
  LeaseManager mLease;
  HandoffManager mHandoff;
  CellCoordinator mCoordinator;
  RateLimiter mRate;
  RecordRelay mRelay;
  SnapshotManager mSnapshots;
  Ingress mIngress;
  CallerServer mCallers;
  AdminServer mAdmin;
  /// Only with a platform's protocol.
  std::unique_ptr<CallerServer> mReadiness;
  std::unique_ptr<CallerServer> mReports;
  /// What operators have in force; control thread.
  config::OperatorState mOperators;
  /// Position up to which operators' entries have been taken in.
  std::uint64_t mOperatorsNext = 0;
  /// Entries in force, by key, for peers.
  std::map<std::string, Bytes> mEntries;
  std::atomic<bool> mStateRead{ false };
  /// Clients of the store that have no answer just now.
  std::map<std::string, bool> mLostStores;
  bool mZoneOut = false;
  std::map<std::string, std::unique_ptr<LogFollower>> mFollowers;
  std::map<std::string, std::unique_ptr<PollLoop>> mFeeds;
  TakeoverGuard mGuard;
  bool mGuardStarted = false;
  Millis mNextLoadReport;
  Millis mNextIdleReport;
  Millis mNextTraffic;
  /// Traffic that the metrics hold.
  PeerTransport::Traffic mCounted;

private:
  FleetState::Hooks fleetHooks();
  Gate::Hooks gateHooks();
  PeerTransport::Hooks linkHooks();
  HandoffManager::Hooks handoffHooks();
  Ingress::Hooks ingressHooks();
  void follow(const std::string& aStream);
  // parts_platform.cpp: what only a platform's protocol needs.
  void makePlatformServers();
  void followStates(const std::string& aStream);
  void takeState(const std::string& aStream,
                 std::uint64_t aVersion,
                 const CellState& aState);
  // parts_state.cpp: states of cells, between the store and the peers.
  /// Sends what was written to all peers.
  void passOnState(const std::string& aStream,
                   std::uint64_t aBase,
                   std::uint64_t aVersion,
                   const std::vector<Bytes>& aRecords);
  void onStateChange(const wire::RelayRecordsT& aChange);
  void onProposal(Incarnation aFrom, const wire::ProposalT& aProposal);
  bool writeState(const std::string& aStream,
                  Bytes aData,
                  RandomId aId,
                  Millis aTimeout,
                  std::function<void(Result<std::uint64_t>)> aResult);
  /// Writes what the coordinator has not settled in time.
  void writeOverdue();
  void followOperators();
  void noteStore(const std::string& aWhat,
                 bool aAnswers,
                 const std::string& aError);
  /// Takes in entries of operators, from the store or from a peer.
  void onOperatorEntries(const OperatorEntries& aEntries);
  void onRelayedState(const std::string& aStream,
                      std::span<const LogRecord> aRecords);
  bool submitState(const std::string& aStream,
                   const wire::RecordT& aRecord,
                   std::function<void(Result<std::uint64_t>)> aResult);
  void takeReport(const CallerRequest& aRequest, const AnswerFn& aAnswer);
  Answer answerReadiness(const CallerRequest& aRequest) const;
  void setPlatformGateHooks(Gate::Hooks& aHooks);
  void sendHandover(Shard aShard, const std::vector<std::string>& aTokens);
  /// Puts what the gate bears on its answers.
  AnswerFn withLoad(AnswerFn aAnswer);
  void onZones();
  Millis takeoverWait() const;
  /// Returns the time until the next tick.
  Millis tick();
  void onCell(const std::string& aService,
              const CellState& aBefore,
              const CellState& aAfter);
  void guardTakeovers(const CellState& aBefore, const CellState& aAfter);
  void onControlFrame(Incarnation aFrom, const wire::FrameBodyUnion& aBody);
  void reportLoad(Millis aNow);
  void countTraffic(Millis aNow);
  void onMoveOrder(const wire::MoveOrderT& aOrder);
  void spreadCrashReport(const wire::CrashReportT& aReport);
  void sendControl(Incarnation aTo, wire::FrameBodyUnion aBody);
  bool submitAppend(const std::string& aStream,
                    const wire::RecordT& aRecord,
                    std::function<void(Result<std::uint64_t>)> aResult);
  void probeLog(const std::function<void(bool)>& aDone);
  bool draining() const;
  /// Waiting for a hand-off has no use.
  bool nobodyTakesOver();
  bool configFresh() const;
};

}

#endif
