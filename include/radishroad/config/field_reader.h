#ifndef RADISHROAD_CONFIG_FIELD_READER_H
#define RADISHROAD_CONFIG_FIELD_READER_H

#include "radishroad/base/finding.h"
#include "radishroad/base/millis.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace radishroad::config {

/// Reads the fields of one YAML mapping. Each accessor checks type, unit and
/// range and adds a finding for each invalid value. finish() adds a finding for
/// each field that no accessor has read. Does not own the findings.
class FieldReader
{
public:
  /// aContext names the mapping in findings, such as "workspace granite".
  FieldReader(const YAML::Node& aNode,
              std::string aSource,
              std::string aContext,
              Findings& aFindings);

  /// The field's node; nothing if the field is missing.
  std::optional<YAML::Node> node(std::string_view aName);
  /// The field's value; nothing if the field is missing. Adds a finding if the
  /// value is not a scalar.
  std::optional<std::string> scalar(std::string_view aName);
  /// As scalar(), but adds a finding if the field is missing.
  std::optional<std::string> requiredScalar(std::string_view aName,
                                            std::string_view aExpected);
  bool boolean(std::string_view aName, bool aDefault);
  Millis duration(std::string_view aName, Millis aDefault, Millis aMax);
  std::int64_t integer(std::string_view aName,
                       std::int64_t aDefault,
                       std::int64_t aMax);
  /// Requests per second. Required, must be positive.
  double rate(std::string_view aName);
  /// Number of requests. Required, must be at least 1.
  double burst(std::string_view aName);
  std::vector<YAML::Node> list(std::string_view aName,
                               std::string_view aExpected);

  void finish();

  /// Line of a field, or of the mapping if the field is missing.
  int lineOf(std::string_view aName) const;
  void addFinding(int aLine, std::string_view aProblem, std::string aExpected);

private:
  std::string mSource;
  std::string mContext;
  Findings& mFindings;
  int mLine = 0;
  std::map<std::string, YAML::Node, std::less<>> mNodes;
  std::map<std::string, int, std::less<>> mLines;
  std::vector<std::string> mKnownNames;
};

/// Line of a node, counted from 1.
int
lineOf(const YAML::Node& aNode);

}

#endif
