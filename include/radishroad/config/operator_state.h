#ifndef RADISHROAD_CONFIG_OPERATOR_STATE_H
#define RADISHROAD_CONFIG_OPERATOR_STATE_H

#include "radishroad/config/model.h"
#include "radishroad/config/zone_outage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace radishroad::config {

/// A configuration with its version.
struct VersionedModel
{
  std::uint64_t mVersion = 0;
  Model mModel;
};

/// State set by operators, derived from the entries that they write: the newest
/// configuration and the availability zones that are out of service. The
/// configuration is never replaced by an older version. Does no I/O.
class OperatorState
{
public:
  enum class ApplyResult
  {
    Applied,
    /// The applied version is the same or newer.
    Outdated,
  };

  ApplyResult apply(VersionedModel aModel);
  /// Replaces the zones that are out of service, by name.
  void setZonesOutOfService(std::map<std::string, ZoneOutage> aZones);
  /// Version of the applied configuration; 0 before the first one.
  std::uint64_t version() const { return mVersion; }
  const std::map<std::string, ZoneOutage>& zonesOutOfService() const
  {
    return mZonesOutOfService;
  }
  /// The applied configuration, with the zones above marked as out of service;
  /// null before the first one.
  std::shared_ptr<const Model> model() const;

private:
  std::uint64_t mVersion = 0;
  std::shared_ptr<const Model> mModel;
  std::map<std::string, ZoneOutage> mZonesOutOfService;
};

}

#endif
