#ifndef RADISHROAD_CONFIG_OPERATOR_STATE_H
#define RADISHROAD_CONFIG_OPERATOR_STATE_H

#include "radishroad/config/model.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace radishroad::config {

/// A configuration as one entry holds it.
struct VersionedModel
{
  std::uint64_t mVersion = 0;
  Model mModel;
};

/// What operators have in force, put together from the entries that they write:
/// the newest configuration and the availability zones that are out of service.
/// Neither ever goes back to an older version. Pure.
class OperatorState
{
public:
  enum class Verdict
  {
    Applied,
    /// The version in force is the same or newer.
    Outdated,
  };

  Verdict apply(VersionedModel aModel);
  void setZone(const std::string& aZone, bool aInService);
  /// Zones out of service are these alone.
  void setZonesOut(std::set<std::string> aZones);
  /// 0 before the first configuration.
  std::uint64_t version() const { return mVersion; }
  const std::set<std::string>& zonesOut() const { return mZonesOut; }
  /// The configuration with the zones' state; null before the first.
  std::shared_ptr<const Model> model() const;

private:
  std::uint64_t mVersion = 0;
  std::shared_ptr<const Model> mModel;
  std::set<std::string> mZonesOut;
};

}

#endif
