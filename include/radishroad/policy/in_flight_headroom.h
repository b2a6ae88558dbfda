#ifndef RADISHROAD_POLICY_IN_FLIGHT_HEADROOM_H
#define RADISHROAD_POLICY_IN_FLIGHT_HEADROOM_H

#include "radishroad/state/cell_state.h"

#include <map>

namespace radishroad {

/// Tracks how many more requests in flight the members of a cell can take on.
/// Built anew for each plan. Does no I/O and reads no clock.
class InFlightHeadroom
{
public:
  /// aWindow: the member's concurrency window; 0 if unknown, which means no
  /// limit. aInFlight: requests that its shards keep in flight.
  void setMember(Incarnation aMember, double aWindow, double aInFlight);
  /// Reserves room for a shard that keeps aAdded requests in flight. Returns
  /// false if the member cannot handle it; a member without load may take one
  /// shard of any size.
  bool tryReserve(Incarnation aMember, double aAdded);

private:
  struct Entry
  {
    double mWindow = 0;
    double mInFlight = 0;
  };

  std::map<Incarnation, Entry> mMembers;
};

}

#endif
