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

/// Of a truncated frame: prefix, root offset and file identifier.
constexpr std::size_t kMinTruncatedBytes = 12;

std::size_t
sizeHint(const wire::FrameBodyUnion& aBody)
{
  if (const wire::ForwardRequestT* request = aBody.AsForwardRequest()) {
    return kSmallFrameBytes * 4 + request->body.size();
  }
  if (const wire::ForwardAnswerT* answer = aBody.AsForwardAnswer()) {
    return kSmallFrameBytes * 4 + answer->body.size();
  }
  if (const wire::ResponseChunkT* chunk = aBody.AsResponseChunk()) {
    return kSmallFrameBytes + chunk->data.size();
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

std::optional<ForwardedFrame>
readForwardedFrame(std::span<const std::uint8_t> aFirstBytes)
{
  using wire::ForwardAnswer;
  using wire::ForwardRequest;
  // Tables come before what they refer to, as buffers are built from the end.
  if (aFirstBytes.size() < kMinTruncatedBytes) {
    return std::nullopt;
  }
  // The verifier checks alignment from the prefix on.
  flatbuffers::Verifier verifier(
    aFirstBytes.data(), aFirstBytes.size(), kMaxDepth, kMaxTables);
  const std::span<const std::uint8_t> bytes =
    aFirstBytes.subspan(kFramePrefixBytes);
  const std::size_t root =
    flatbuffers::ReadScalar<flatbuffers::uoffset_t>(bytes.data());
  const auto isTable = [&](const void* aTable) {
    return verifier.VerifyTableStart(static_cast<const std::uint8_t*>(aTable));
  };
  const wire::Frame* frame =
    root < bytes.size()
      ? reinterpret_cast<const wire::Frame*>(bytes.data() + root)
      : nullptr;
  if (frame == nullptr || !isTable(frame)) {
    return std::nullopt;
  }
  const auto* table = reinterpret_cast<const flatbuffers::Table*>(frame);
  const bool hasBody =
    table->VerifyField<std::uint8_t>(verifier, wire::Frame::VT_BODY_TYPE, 1) &&
    table->VerifyOffset(verifier, wire::Frame::VT_BODY) &&
    frame->body() != nullptr && isTable(frame->body());
  if (!hasBody) {
    return std::nullopt;
  }
  const auto* body = static_cast<const flatbuffers::Table*>(frame->body());
  const auto read = [&](flatbuffers::voffset_t aHigh,
                        flatbuffers::voffset_t aLow) {
    constexpr std::size_t kAlignment = 8;
    const bool isValid =
      body->VerifyField<std::uint64_t>(verifier, aHigh, kAlignment) &&
      body->VerifyField<std::uint64_t>(verifier, aLow, kAlignment);
    return isValid ? std::optional<ForwardedFrame>(
                       { frame->body_type(),
                         body->GetField<std::uint64_t>(aHigh, 0),
                         body->GetField<std::uint64_t>(aLow, 0) })
                   : std::nullopt;
  };
  switch (frame->body_type()) {
    case wire::FrameBody::ForwardRequest:
      return read(ForwardRequest::VT_ID_HIGH, ForwardRequest::VT_ID_LOW);
    case wire::FrameBody::ForwardAnswer:
      return read(ForwardAnswer::VT_ID_HIGH, ForwardAnswer::VT_ID_LOW);
    default:
      return std::nullopt;
  }
}

std::size_t
frameLength(std::span<const std::uint8_t> aPrefix)
{
  return flatbuffers::ReadScalar<flatbuffers::uoffset_t>(aPrefix.data());
}

}
