#ifndef RADISHROAD_CONFIG_FOLDER_H
#define RADISHROAD_CONFIG_FOLDER_H

#include "radishroad/base/error.h"
#include "radishroad/base/finding.h"
#include "radishroad/config/model.h"
#include "radishroad/state/config_state.h"

#include <filesystem>
#include <span>
#include <vector>

namespace radishroad::config {

/// Maximum size of a configuration file.
constexpr std::size_t kMaxFileBytes = 1 << 20;

/// Reads the *.yaml files of a folder in the order of their names. Returns
/// findings for files that cannot be read, are not text or are too large.
tl::expected<std::vector<ConfigText>, Findings>
readFolder(const std::filesystem::path& aFolder);

/// Merges the files in the given order and checks the result. Reports all
/// errors in one pass.
tl::expected<Model, Findings>
parse(std::span<const ConfigText> aFiles);

}

#endif
