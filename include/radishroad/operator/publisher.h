#ifndef RADISHROAD_OPERATOR_PUBLISHER_H
#define RADISHROAD_OPERATOR_PUBLISHER_H

#include "radishroad/operator/command_context.h"
#include "radishroad/state/config_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// A configuration to publish and the parameters of the publish.
struct PublishRequest
{
  std::vector<ConfigText> mFiles;
  std::string mOperator;
  /// The version that this configuration is based on; defaults to the newest
  /// published version.
  std::optional<std::uint64_t> mBaseVersion;
  Millis mTimeout;
};

struct PublishResult
{
  enum class Outcome
  {
    Published,
    /// The newest published version has the same files.
    Unchanged,
    /// Another configuration was published on top of the base version first.
    Lost,
  };

  Outcome mOutcome = Outcome::Lost;
  /// The version published by this request, otherwise the newest version.
  std::uint64_t mVersion = 0;
  /// If the outcome is Lost: the operator who published the version that
  /// follows the base.
  std::string mWinner;
};

/// Publishes validated files. Returns the errors of appendChange, and
/// ErrorCode::InvalidArgument if the base version does not exist.
Result<PublishResult>
publish(const CommandContext& aContext, const PublishRequest& aRequest);

}

#endif
