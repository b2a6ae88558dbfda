#ifndef RADISHROAD_POLICY_IN_FLIGHT_HEADROOM_H
#define RADISHROAD_POLICY_IN_FLIGHT_HEADROOM_H

#include "radishroad/state/cell_state.h"

#include <map>

namespace radishroad {

/// How much more work the members of a cell bear now, in requests in flight.
/// Pure; made anew for each plan.
class InFlightHeadroom
{
public:
  /// aWindow: what the member's gate sends at once; 0 for not known, which
  /// bounds nothing. aInFlight: requests that its shards keep in flight.
  void setMember(Incarnation aMember, double aWindow, double aInFlight);
  /// Takes a shard that keeps aAdded requests in flight. False if that is more
  /// than the member bears; a member without load may take one shard of any.
  bool take(Incarnation aMember, double aAdded);

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
