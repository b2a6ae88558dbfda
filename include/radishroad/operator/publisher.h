#ifndef RADISHROAD_OPERATOR_PUBLISHER_H
#define RADISHROAD_OPERATOR_PUBLISHER_H

#include "radishroad/operator/surroundings.h"
#include "radishroad/state/config_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// A configuration to publish and how.
struct Publication
{
  std::vector<ConfigText> mFiles;
  std::string mOperator;
  /// The version it builds on; the one in force if not given.
  std::optional<std::uint64_t> mBaseVersion;
  Millis mTimeout;
};

struct PublicationEnd
{
  enum class Kind
  {
    Published,
    /// The configuration in force has the same files.
    Unchanged,
    /// Another publication built on the same version before this one.
    Lost,
  };

  Kind mKind = Kind::Lost;
  /// The version published, or the one that stands instead.
  std::uint64_t mVersion = 0;
  /// With Lost: who published the version after the base.
  std::string mWinner;
};

/// Publishes checked files. Errors as for appendChange.
Result<PublicationEnd>
publish(const Surroundings& aSurroundings, const Publication& aPublication);

}

#endif
