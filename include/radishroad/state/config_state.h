#ifndef RADISHROAD_STATE_CONFIG_STATE_H
#define RADISHROAD_STATE_CONFIG_STATE_H

#include "radishroad/state/recent_ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishroad {

struct ConfigText
{
  std::string mName;
  std::string mText;

  bool operator==(const ConfigText&) const = default;
};

/// The published configuration, computed only from the records of the config
/// stream.
struct ConfigState
{
  std::uint64_t mNextOffset = 0;
  /// 0 before the first publication; incremented by each publication.
  std::uint64_t mVersion = 0;
  std::string mOperator;
  std::vector<ConfigText> mFiles;
  RecentIds mSeenIds;

  bool operator==(const ConfigState&) const = default;
};

}

#endif
