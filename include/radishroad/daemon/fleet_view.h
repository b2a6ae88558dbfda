#ifndef RADISHROAD_DAEMON_FLEET_VIEW_H
#define RADISHROAD_DAEMON_FLEET_VIEW_H

#include "radishroad/config/model.h"
#include "radishroad/config/zone_outage.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace radishroad {

/// Consistent, immutable snapshot of the configuration and of all cells, read
/// by the request path and published by the control thread.
struct FleetView
{
  /// Position in the stream of configurations; peers compare by it.
  std::uint64_t mConfigVersion = 0;
  /// Version that operators gave the configuration; 0 if they give none.
  std::uint64_t mOperatorVersion = 0;
  /// Null before the first valid configuration.
  std::shared_ptr<const config::Model> mModel;
  /// Zones that operators have taken out of service, by name. Only with the
  /// platform's protocol.
  std::map<std::string, config::ZoneOutage> mZonesOut;
  /// Cell states by service.
  std::map<std::string, std::shared_ptr<const CellState>> mCells;

  const CellState* cell(const std::string& aService) const;
  /// Null for a zone in service.
  const config::ZoneOutage* zoneOutage(const std::string& aZone) const;
  /// Whether requests of keys may go to their owners in the zone.
  bool mayServeKeys(const std::string& aZone, Millis aNow) const;
};

/// Publishes the newest view to readers. Thread-safe.
class FleetViewStore
{
public:
  std::shared_ptr<const FleetView> get() const;
  void set(std::shared_ptr<const FleetView> aView);

private:
  mutable std::mutex mMutex;
  std::shared_ptr<const FleetView> mView = std::make_shared<FleetView>();
};

}

#endif
