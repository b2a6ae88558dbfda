#ifndef RADISHROAD_PEER_FRAME_H
#define RADISHROAD_PEER_FRAME_H

#include "radishroad/base/error.h"
#include "radishroad/generated/peer_generated.h"

#include <cstdint>
#include <optional>
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

/// The request or answer that a frame holds.
struct ForwardedFrame
{
  wire::FrameBody mType = wire::FrameBody::NONE;
  std::uint64_t mIdHigh = 0;
  std::uint64_t mIdLow = 0;
};

/// Reads which request or answer a frame with its length prefix holds from its
/// first bytes alone. Nothing for other and damaged frames.
std::optional<ForwardedFrame>
readForwardedFrame(std::span<const std::uint8_t> aFirstBytes);

/// Returns the frame length from a prefix of kFramePrefixBytes bytes.
std::size_t
frameLength(std::span<const std::uint8_t> aPrefix);

}

#endif
