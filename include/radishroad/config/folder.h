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

/// Largest operators' file that is read.
constexpr std::size_t kMaxFileBytes = 1 << 20;

/// Reads the *.yaml files of a folder in name order. Files that cannot be
/// read, are no text or are too large become findings.
tl::expected<std::vector<ConfigText>, Findings>
readFolder(const std::filesystem::path& aFolder);

/// Merges the files in their order and checks the whole. All mistakes are
/// found in one pass.
tl::expected<Model, Findings>
parse(std::span<const ConfigText> aFiles);

}

#endif
