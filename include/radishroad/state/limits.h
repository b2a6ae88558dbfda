#ifndef RADISHROAD_STATE_LIMITS_H
#define RADISHROAD_STATE_LIMITS_H

#include <cstddef>

namespace radishroad {

/// Limits on the size of a cell's state. fold() refuses records that would
/// exceed one, so the state stays bounded whatever is appended to the log.

constexpr std::size_t kMaxActiveMembers = 1024;
/// Retained members that have left or were expelled. Members in the witness set
/// of an active member are retained in addition.
constexpr std::size_t kMaxRetiredMembers = 256;
constexpr std::size_t kMaxWitnesses = 16;
constexpr std::size_t kMaxSplitKeys = 4096;
constexpr std::size_t kMaxDrainedVms = 4096;
constexpr std::size_t kMaxDrainedZones = 256;
/// Maximum length of a VM name, an availability zone name or an address.
constexpr std::size_t kMaxNameBytes = 255;

}

#endif
