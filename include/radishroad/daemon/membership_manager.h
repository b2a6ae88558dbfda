#ifndef RADISHROAD_DAEMON_MEMBERSHIP_MANAGER_H
#define RADISHROAD_DAEMON_MEMBERSHIP_MANAGER_H

#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <optional>
#include <set>
#include <span>

namespace radishroad {

struct ControlContext;

/// Joins the cell once the upstream has announced itself, and leaves it once
/// all shards have been handed off. Control thread only.
class MembershipManager
{
public:
  /// Does not join before aJoinNotBefore.
  MembershipManager(ControlContext& aContext, Millis aJoinNotBefore);

  void onUpstreamHealth(bool aHealthy);
  /// Names the present start of an upstream that reports.
  void onUpstreamLife(std::uint64_t aLife);
  /// The upstream drains: its keys go elsewhere, and it does not come back
  /// under its present life.
  void onUpstreamDraining();
  void tick();
  /// Starts to leave: the hand-off empties the daemon first. A daemon whose
  /// upstream is gone does so by itself.
  void beginLeave();
  bool leaving() const { return mLeaving; }
  /// A peer tells that it leaves, for when the log cannot.
  void onPeerLeaving(Incarnation aPeer);
  /// Nobody is left to hand shards to: every other member of the cell leaves,
  /// is drained or has gone silent.
  bool isLastMember();
  bool joined() const;
  /// The log says that this incarnation is out: expelled or left.
  bool removed() const;

private:
  void proposeJoin();
  void leaveIfUpstreamLost();
  /// With an upstream that reports: records whether it takes work.
  void proposeUpstreamState();
  Incarnation findPredecessor() const;
  void advanceLeave();
  void proposeBeginLeave();
  void notifyPeersOfLeave();
  /// Another member than those gone could take what this one owns.
  bool hasSuccessor(std::span<const Incarnation> aUnavailable) const;
  void proposeLeave();

  ControlContext& mContext;
  bool mUpstreamHealthy = false;
  bool mUpstreamDraining = false;
  std::uint64_t mUpstreamLife = 0;
  bool mProposing = false;
  bool mWasMember = false;
  bool mLeaving = false;
  std::set<Incarnation> mLeavingPeers;
  Millis mNextLeaveNoticeAt;
  std::optional<Millis> mAloneSince;
  Millis mUnhealthySince;
  Millis mJoinNotBefore;
};

}

#endif
