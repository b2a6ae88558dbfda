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

class Fields;

/// Merges files into one model and collects what is wrong with them.
class ModelBuilder
{
public:
  /// Files are added in their order.
  void addFile(const ConfigText& aFile);
  /// Checks what spans several entries. Call once, after the last file.
  void finish();

  Model mModel;
  Findings mFindings;

private:
  struct Place
  {
    std::string mSource;
    int mLine = 0;
  };
  using AddEntryFn = void (ModelBuilder::*)(const std::string&, Fields&);

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
  void addWorkspace(const std::string& aName, Fields& aFields);
  void addService(const std::string& aName, Fields& aFields);
  void addRoute(const std::string& aName, Fields& aFields);
  void addZone(const std::string& aName, Fields& aFields);
  void addKeys(Workspace& aWorkspace, Fields& aFields);
  void checkRouteServices();
  void checkRouteClashes();

  /// First place of each "kind name", for repeats.
  std::map<std::string, Place> mPlaces;
  /// Place of each route in mModel.mRoutes.
  std::vector<Place> mRoutePlaces;
  Place mCurrent;
};

}

#endif
