#ifndef RADISHROAD_OPERATOR_EXPLAIN_H
#define RADISHROAD_OPERATOR_EXPLAIN_H

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

/// One request's course through the fleet, by its daemons' log lines.
struct Explanation
{
  /// Lines of the request and of what its daemons came to believe just before,
  /// in order of time.
  std::vector<nlohmann::ordered_json> mCourse;
  /// One sentence; empty if no line tells of the request.
  std::string mCause;
  /// What lines are missing that would be needed to be sure.
  std::vector<std::string> mMissing;
};

/// aEvents: all lines of all daemons, in order of time (see mergeEvents).
Explanation
explainRequest(std::span<const nlohmann::ordered_json> aEvents,
               const std::string& aRequestId);

}

#endif
