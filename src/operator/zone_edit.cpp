#include "radishroad/operator/zone_edit.h"

#include "radishroad/config/folder.h"

#include <optional>
#include <yaml-cpp/yaml.h>

namespace radishroad {

namespace {

constexpr const char* kInServiceKey = "in_service";

struct Edit
{
  int mLine = 0;
  int mColumn = 0;
  std::string mOldValue;
};

/// Returns the in_service value of the zone, or nullopt if the file does not
/// set it. Sets aHasZone if the file contains the zone. The files were
/// validated before they were published, so their structure is known.
std::optional<YAML::Node>
findInService(const ConfigText& aFile, const std::string& aZone, bool& aHasZone)
{
  const YAML::Node zones = YAML::Load(aFile.mText)["zones"];
  if (!zones.IsMap() || !zones[aZone]) {
    return std::nullopt;
  }
  aHasZone = true;
  const YAML::Node zone = zones[aZone];
  if (!zone.IsMap() || !zone[kInServiceKey]) {
    return std::nullopt;
  }
  return zone[kInServiceKey];
}

std::size_t
lineOffset(const std::string& aText, int aLine)
{
  std::size_t at = 0;
  for (int it = 0; it < aLine && at != std::string::npos; ++it) {
    at = aText.find('\n', at);
    at = at == std::string::npos ? at : at + 1;
  }
  return at;
}

/// Replaces the scalar at its position in the text. Returns false if the text
/// at that position differs from the scalar's value.
bool
replaceScalar(std::string& aText, const YAML::Node& aNode, const char* aValue)
{
  const YAML::Mark mark = aNode.Mark();
  const std::size_t line = lineOffset(aText, mark.line);
  const std::string& old = aNode.Scalar();
  if (line == std::string::npos) {
    return false;
  }
  const std::size_t at = line + static_cast<std::size_t>(mark.column);
  if (at > aText.size() || aText.compare(at, old.size(), old) != 0) {
    return false;
  }
  aText.replace(at, old.size(), aValue);
  return true;
}

bool
zoneHasInService(std::span<const ConfigText> aFiles,
                 const std::string& aZone,
                 bool aInService)
{
  const tl::expected<config::Model, Findings> model = config::parse(aFiles);
  if (!model) {
    return false;
  }
  const auto it = model->mZones.find(aZone);
  return it != model->mZones.end() && it->second.mInService == aInService;
}

}

Result<std::vector<ConfigText>>
withZoneInService(std::span<const ConfigText> aFiles,
                  const std::string& aZone,
                  bool aInService)
{
  std::vector<ConfigText> files(aFiles.begin(), aFiles.end());
  bool hasZone = false;
  for (ConfigText& file : files) {
    const std::optional<YAML::Node> field = findInService(file, aZone, hasZone);
    if (!field) {
      continue;
    }
    if (!replaceScalar(file.mText, *field, aInService ? "true" : "false") ||
        !zoneHasInService(files, aZone, aInService)) {
      break;
    }
    return files;
  }
  if (!hasZone) {
    return fail(ErrorCode::NotFound,
                "the configuration has no availability zone " + aZone);
  }
  return fail(ErrorCode::InvalidArgument,
              "availability zone " + aZone +
                " has no in_service value that can be changed in place: set it "
                "in the configuration folder and publish the folder");
}

}
