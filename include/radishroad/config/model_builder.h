#ifndef RADISHROAD_CONFIG_MODEL_BUILDER_H
#define RADISHROAD_CONFIG_MODEL_BUILDER_H

#include "radishroad/base/finding.h"
#include "radishroad/config/model.h"
#include "radishroad/state/config_state.h"

#include <map>
#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace radishroad::config {

class FieldReader;

/// Merges configuration files into one model and collects the errors found.
class ModelBuilder
{
public:
  /// Call for each file, in the order of the merge.
  void addFile(const ConfigText& aFile);
  /// Checks the relations between entries. Call once, after the last file.
  void finish();

  Model mModel;
  Findings mFindings;

private:
  struct SourceLocation
  {
    std::string mSource;
    int mLine = 0;
  };
  using AddEntryFn = void (ModelBuilder::*)(const std::string&, FieldReader&);

  void addDocument(const std::string& aSource, const YAML::Node& aRoot);
  void addSection(const std::string& aSource,
                  const std::string& aKind,
                  const YAML::Node& aSection,
                  AddEntryFn aAdd);
  void addEntry(const std::string& aSource,
                const std::string& aKind,
                const YAML::Node& aName,
                const YAML::Node& aFields,
                AddEntryFn aAdd);
  void addWorkspace(const std::string& aName, FieldReader& aFields);
  void addService(const std::string& aName, FieldReader& aFields);
  void addRoute(const std::string& aName, FieldReader& aFields);
  void addZone(const std::string& aName, FieldReader& aFields);
  void addKeys(Workspace& aWorkspace, FieldReader& aFields);
  void checkRouteServices();
  void checkRouteConflicts();

  /// Location of the first definition of each entry, by kind and name ("route
  /// buy"); used to detect repeated definitions.
  std::map<std::string, SourceLocation> mFirstLocations;
  /// Location of each route in mModel.mRoutes.
  std::vector<SourceLocation> mRouteLocations;
  SourceLocation mCurrentLocation;
};

}

#endif
