#ifndef RADISHROAD_DAEMON_CONTROL_CONTEXT_H
#define RADISHROAD_DAEMON_CONTROL_CONTEXT_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <string>
#include <vector>

namespace radishroad {

class FleetState;
class Proposer;
struct DaemonSettings;

/// What the duties of the control thread share.
struct ControlContext
{
  Incarnation mSelf = 0;
  const DaemonSettings& mSettings;
  FleetState& mFleet;
  Proposer& mProposer;
  /// Sends a control frame to a daemon; itself is not allowed.
  std::function<void(Incarnation, wire::FrameBodyUnion)> mSend;
  ClockFn mNow;
  /// Members that do not answer; nothing is handed to them.
  std::function<std::vector<Incarnation>()> mSuspects;

  /// This daemon's record in its cell, if it is an active member.
  const Member* self() const;
  /// The stream of this daemon's cell.
  std::string ownStream() const;
};

/// Wraps a frame body (any wire::...T of the FrameBody union).
template<typename Body>
wire::FrameBodyUnion
makeBody(Body aBody)
{
  wire::FrameBodyUnion body;
  body.Set(std::move(aBody));
  return body;
}

}

#endif
