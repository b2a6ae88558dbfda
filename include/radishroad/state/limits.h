#ifndef RADISHROAD_STATE_LIMITS_H
#define RADISHROAD_STATE_LIMITS_H

#include <cstddef>

namespace radishroad {

/// Bounds of a cell's state. A record that would pass one is refused by the
/// fold, so that the state stays bounded whatever is appended.

constexpr std::size_t kMaxActiveMembers = 1024;
/// Members that left or were expelled and are still remembered, apart from
/// those that an active member's witness set names.
constexpr std::size_t kMaxRetiredMembers = 256;
constexpr std::size_t kMaxWitnesses = 16;
constexpr std::size_t kMaxSplitKeys = 4096;
constexpr std::size_t kMaxDrainedVms = 4096;
constexpr std::size_t kMaxDrainedZones = 256;
/// Longest name of a VM or an availability zone, and longest address.
constexpr std::size_t kMaxNameBytes = 255;

}

#endif
