#ifndef RADISHROAD_DAEMON_MEMBERSHIP_MANAGER_H
#define RADISHROAD_DAEMON_MEMBERSHIP_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace radishroad {

struct ControlContext;

/// Makes this daemon join its cell once the upstream is healthy, and leave it
/// once all shards have been handed off. With the platform protocol it joins
/// without waiting for the upstream. Control thread only.
class MembershipManager
{
public:
  /// Joins at aJoinNotBefore at the earliest.
  MembershipManager(ControlContext& aContext, Millis aJoinNotBefore);

  void onUpstreamHealth(bool aHealthy);
  /// Sets the incarnation of the upstream process, for upstreams that send
  /// reports.
  void onUpstreamIncarnation(std::uint64_t aUpstreamIncarnation);
  /// Sets the software version of the upstream, which is recorded with its
  /// state. Called only if rollouts are enabled.
  void onUpstreamVersion(std::string aVersion);
  /// The upstream is draining: its keys move to other members, and it gets no
  /// more requests until it has been restarted.
  void onUpstreamDraining();
  void tick();
  /// Starts to leave the cell, after a hand-off of everything that this daemon
  /// owns. Also called internally when the upstream is lost.
  void beginLeave();
  bool leaving() const { return mLeaving; }
  /// A peer has announced directly that it is leaving, since the log may be
  /// unreachable.
  void onPeerLeaving(Incarnation aPeer);
  /// True if no member is left to take the shards: every other member of the
  /// cell is leaving, drained or unresponsive.
  bool isLastMember();
  bool joined() const;
  /// True if the log shows that this incarnation was expelled or has left.
  bool removed() const;

private:
  void proposeJoin();
  void leaveIfUpstreamLost();
  /// For upstreams that send reports: records whether the upstream accepts
  /// requests.
  void proposeUpstreamState();
  /// Active member with this daemon's VM and peer address, which this process
  /// replaces; 0 if there is none.
  Incarnation findPredecessor() const;
  void advanceLeave();
  void proposeBeginLeave();
  void notifyPeersOfLeave();
  /// True if a member outside of aUnavailable can take what this daemon owns.
  bool hasSuccessor(std::span<const Incarnation> aUnavailable) const;
  void proposeLeave();

  ControlContext& mContext;
  bool mUpstreamHealthy = false;
  bool mUpstreamDraining = false;
  std::uint64_t mUpstreamIncarnation = 0;
  std::string mVersion;
  bool mProposing = false;
  bool mWasMember = false;
  bool mLeaving = false;
  std::set<Incarnation> mLeavingPeers;
  Millis mNextLeaveNoticeAt;
  std::optional<Millis> mLastMemberSince;
  Millis mUnhealthySince;
  Millis mJoinNotBefore;
};

}

#endif
