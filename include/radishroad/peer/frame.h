#ifndef RADISHROAD_PEER_FRAME_H
#define RADISHROAD_PEER_FRAME_H

#include "radishroad/base/error.h"
#include "radishroad/generated/peer_generated.h"

#include <cstdint>
#include <span>

namespace radishroad {

/// Size of the little-endian length prefix of each frame.
constexpr std::size_t kFramePrefixBytes = 4;

/// An encoded frame with its length prefix.
using FrameBuffer = flatbuffers::DetachedBuffer;

FrameBuffer
encodeFrame(const wire::FrameBodyUnion& aBody);

/// Verifies and unpacks a frame with its length prefix. Fails with
/// ErrorCode::Corrupt for anything else, and for a frame without a body or with
/// an invalid enum value.
Result<wire::FrameBodyUnion>
decodeFrame(std::span<const std::uint8_t> aBytes);

/// Returns the frame length from a prefix of kFramePrefixBytes bytes.
std::size_t
frameLength(std::span<const std::uint8_t> aPrefix);

}

#endif
