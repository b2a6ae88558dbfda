#ifndef RADISHROAD_DAEMON_CONTROL_CONTEXT_H
#define RADISHROAD_DAEMON_CONTROL_CONTEXT_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

class FleetState;
class Proposer;
struct DaemonSettings;

/// Dependencies shared by the components that run on the control thread.
struct ControlContext
{
  Incarnation mSelf = 0;
  const DaemonSettings& mSettings;
  FleetState& mFleet;
  Proposer& mProposer;
  /// Sends a control frame to another daemon. The receiver must not be this
  /// daemon.
  std::function<void(Incarnation, wire::FrameBodyUnion)> mSend;
  ClockFn mNow;
  /// Members that do not answer. They are given no shards or keys.
  std::function<std::vector<Incarnation>()> mSuspects;
  /// Time as of which the configuration in force is known to be the newest one;
  /// nullopt if that is not known.
  std::function<std::optional<Millis>()> mConfigAsOf;

  /// This daemon's entry in the cell state; null unless it is an active
  /// member.
  const Member* self() const;
  /// Name of the stream that holds this daemon's cell.
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
