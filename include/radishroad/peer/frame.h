#ifndef RADISHROAD_PEER_FRAME_H
#define RADISHROAD_PEER_FRAME_H

#include "radishroad/base/error.h"
#include "radishroad/generated/peer_generated.h"

#include <cstdint>
#include <span>

namespace radishroad {

/// Bytes of the little-endian length before each frame.
constexpr std::size_t kFramePrefixBytes = 4;

/// An encoded frame with its length prefix.
using FrameBuffer = flatbuffers::DetachedBuffer;

FrameBuffer
encodeFrame(const wire::FrameBodyUnion& aBody);

/// Verifies and unpacks a frame with its length prefix. ErrorCode::Corrupt for
/// anything else, and for a frame without a body or with a bad enum value.
Result<wire::FrameBodyUnion>
decodeFrame(std::span<const std::uint8_t> aBytes);

/// The length that a prefix of kFramePrefixBytes bytes announces.
std::size_t
frameLength(std::span<const std::uint8_t> aPrefix);

}

#endif
