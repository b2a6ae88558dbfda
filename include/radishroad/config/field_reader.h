#ifndef RADISHROAD_CONFIG_FIELDS_H
#define RADISHROAD_CONFIG_FIELDS_H

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
/// range and adds a finding for what it does not accept; finish() adds one
/// for each field that no accessor asked for. Borrows the findings.
class Fields
{
public:
  /// aWhat names the mapping in findings: "workspace granite".
  Fields(const YAML::Node& aNode,
         std::string aSource,
         std::string aWhat,
         Findings& aFindings);

  /// The field's node if it is there.
  std::optional<YAML::Node> node(std::string_view aName);
  /// The field's scalar; a finding if it is no scalar.
  std::optional<std::string> text(std::string_view aName);
  /// As text(), with a finding if the field is missing.
  std::optional<std::string> needText(std::string_view aName,
                                      std::string_view aExpected);
  bool boolean(std::string_view aName, bool aDefault);
  Millis duration(std::string_view aName, Millis aDefault, Millis aLargest);
  std::int64_t whole(std::string_view aName,
                     std::int64_t aDefault,
                     std::int64_t aLargest);
  /// Required and positive, in requests a second.
  double rate(std::string_view aName);
  /// Required, at least 1.
  double burst(std::string_view aName);
  std::vector<YAML::Node> list(std::string_view aName,
                               std::string_view aExpected);

  void finish();

  /// Line of a field, or of the mapping if the field is missing.
  int lineOf(std::string_view aName) const;
  void add(int aLine, std::string_view aProblem, std::string aExpected);

private:
  std::string mSource;
  std::string mWhat;
  Findings& mFindings;
  int mLine = 0;
  std::map<std::string, YAML::Node, std::less<>> mNodes;
  std::map<std::string, int, std::less<>> mLines;
  std::vector<std::string> mKnown;
};

/// Line of a node, from 1.
int
lineOf(const YAML::Node& aNode);

}

#endif
