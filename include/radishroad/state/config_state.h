#ifndef RADISHROAD_STATE_CONFIG_STATE_H
#define RADISHROAD_STATE_CONFIG_STATE_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace radishroad {

struct ConfigText
{
  std::string mName;
  std::string mText;

  bool operator==(const ConfigText&) const = default;
};

/// The published configuration: a pure function of the config stream.
struct ConfigState
{
  std::uint64_t mNextOffset = 0;
  /// 0 before the first publication; rises by one with each.
  std::uint64_t mVersion = 0;
  std::string mOperator;
  std::vector<ConfigText> mFiles;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> mSeenIds;

  bool operator==(const ConfigState&) const = default;
};

}

#endif
