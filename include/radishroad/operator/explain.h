#ifndef RADISHROAD_OPERATOR_EXPLAIN_H
#define RADISHROAD_OPERATOR_EXPLAIN_H

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// What happened to one request, reconstructed from the log lines of the
/// daemons.
struct Explanation
{
  /// The events of the request and the last state change on the owner's VM
  /// before the request ended, in time order.
  std::vector<nlohmann::ordered_json> mEvents;
  /// The cause in one sentence; empty if the request's own event was not found.
  std::string mCause;
  /// Log lines that are missing and make the explanation uncertain.
  std::vector<std::string> mMissing;
};

/// aEvents are all events of all daemons in time order (see mergeEvents).
Explanation
explainRequest(std::span<const nlohmann::ordered_json> aEvents,
               const std::string& aRequestId);

}

#endif
