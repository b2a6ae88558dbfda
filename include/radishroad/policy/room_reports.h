#ifndef RADISHROAD_POLICY_ROOM_REPORTS_H
#define RADISHROAD_POLICY_ROOM_REPORTS_H

#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <utility>

namespace radishroad {

/// Which upstreams of a service have refused requests of a kind for lack of
/// room.
///
/// Load pattern: all upstreams of a service are overloaded. Each refused
/// request would be sent to two more upstreams, which triples the load on the
/// gates and delays the refusal. Full upstreams are reported by kind, since an
/// upstream without room for the least urgent kind serves others. Does no I/O
/// and reads no clock.
class RoomReports
{
public:
  void onRefused(Incarnation aMember, std::uint32_t aKind, Millis aNow);
  /// Whether the upstream has refused the kind within the last 250 ms. An
  /// answer to a request of the kind does not end this, since its run began
  /// earlier.
  bool isFull(Incarnation aMember, std::uint32_t aKind, Millis aNow) const;

private:
  /// When each kind was last refused.
  std::map<std::pair<Incarnation, std::uint32_t>, Millis> mRefusedAt;
};

}

#endif
