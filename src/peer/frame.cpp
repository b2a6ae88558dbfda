#include "radishroad/peer/frame.h"

#include <flatbuffers/flatbuffers.h>

namespace radishroad {

namespace {

/// Initial buffer size for all fields except bodies, so that most frames need
/// no reallocation.
constexpr std::size_t kSmallFrameBytes = 512;
/// Limit of the tables in one frame; each header and each relayed record is
/// one.
constexpr flatbuffers::uoffset_t kMaxTables = 100'000;
constexpr flatbuffers::uoffset_t kMaxDepth = 16;

std::size_t
sizeHint(const wire::FrameBodyUnion& aBody)
{
  if (const wire::ForwardRequestT* request = aBody.AsForwardRequest()) {
    return kSmallFrameBytes * 4 + request->body.size();
  }
  if (const wire::ForwardAnswerT* answer = aBody.AsForwardAnswer()) {
    return kSmallFrameBytes * 4 + answer->body.size();
  }
  return kSmallFrameBytes;
}

bool
hasValidEnums(const wire::FrameBodyUnion& aBody)
{
  const wire::ForwardAnswerT* answer = aBody.AsForwardAnswer();
  return answer == nullptr || answer->kind <= wire::AnswerKind::MAX;
}

}

FrameBuffer
encodeFrame(const wire::FrameBodyUnion& aBody)
{
  flatbuffers::FlatBufferBuilder builder(sizeHint(aBody));
  const flatbuffers::Offset<void> body = aBody.Pack(builder);
  wire::FinishSizePrefixedFrameBuffer(
    builder, wire::CreateFrame(builder, aBody.type, body));
  return builder.Release();
}

Result<wire::FrameBodyUnion>
decodeFrame(std::span<const std::uint8_t> aBytes)
{
  // The verifier reads the prefix without a bounds check.
  if (aBytes.size() < kFramePrefixBytes) {
    return fail(ErrorCode::Corrupt, "frame is shorter than its length prefix");
  }
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifySizePrefixedFrameBuffer(verifier)) {
    return fail(ErrorCode::Corrupt, "frame is not a valid FlatBuffer");
  }
  const wire::Frame* frame = wire::GetSizePrefixedFrame(aBytes.data());
  wire::FrameBodyUnion body;
  body.type = frame->body_type();
  if (frame->body() != nullptr) {
    body.value =
      wire::FrameBodyUnion::UnPack(frame->body(), body.type, nullptr);
  }
  if (body.value == nullptr) {
    body.type = wire::FrameBody::NONE;
    return fail(ErrorCode::Corrupt, "frame has no body of a known type");
  }
  if (!hasValidEnums(body)) {
    return fail(ErrorCode::Corrupt, "answer has an unknown kind");
  }
  return body;
}

std::size_t
frameLength(std::span<const std::uint8_t> aPrefix)
{
  return flatbuffers::ReadScalar<flatbuffers::uoffset_t>(aPrefix.data());
}

}
