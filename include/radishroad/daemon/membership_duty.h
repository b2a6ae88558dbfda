#ifndef RADISHROAD_DAEMON_MEMBERSHIP_DUTY_H
#define RADISHROAD_DAEMON_MEMBERSHIP_DUTY_H

#include "radishroad/base/millis.h"

namespace radishroad {

struct ControlContext;

/// Joins the cell once the upstream has announced itself, and leaves it once
/// all shards have been handed off. Control thread only.
class MembershipDuty
{
public:
  /// Does not join before aJoinFrom.
  MembershipDuty(ControlContext& aContext, Millis aJoinFrom);

  void onUpstreamHealth(bool aHealthy);
  void tick();
  /// Starts to leave: the hand-off empties the daemon first. A daemon whose
  /// upstream is gone does so by itself.
  void beginLeave();
  bool leaving() const { return mLeaving; }
  bool joined() const;
  /// The log says that this incarnation is out: expelled or left.
  bool out() const;

private:
  void join();
  void watchUpstream();
  void stepLeave();
  void announceLeave();
  void leave();

  ControlContext& mContext;
  bool mUpstreamHealthy = false;
  bool mProposing = false;
  bool mWasMember = false;
  bool mLeaving = false;
  Millis mUnhealthySince;
  Millis mJoinFrom;
};

}

#endif
