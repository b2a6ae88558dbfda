#include "radishroad/state/records.h"

namespace radishroad {

namespace {

/// Verifier limits: deeper and larger than any record that this code writes.
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 100000;
/// Buffer alignment that the FlatBuffers accessors expect.
constexpr std::size_t kAlignment = 8;

bool
isKnownChange(wire::Change aKind)
{
  return aKind > wire::Change::NONE && aKind <= wire::Change::MAX;
}

Result<std::unique_ptr<wire::RecordT>>
decodeAligned(std::span<const std::uint8_t> aBytes)
{
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyRecordBuffer(verifier)) {
    return fail(ErrorCode::Corrupt, "bytes are not a valid FlatBuffers record");
  }
  const wire::Record* root = wire::GetRecord(aBytes.data());
  // The verifier accepts unknown and missing union members.
  if (!isKnownChange(root->change_type()) || root->change() == nullptr) {
    return fail(ErrorCode::Corrupt,
                "record has an unknown or missing change type");
  }
  return std::unique_ptr<wire::RecordT>(root->UnPack());
}

}

std::string
cellStream(std::string_view aService)
{
  return "cell-" + std::string(aService);
}

Bytes
encodeRecord(const wire::RecordT& aRecord)
{
  flatbuffers::FlatBufferBuilder builder;
  wire::FinishRecordBuffer(builder, wire::Record::Pack(builder, &aRecord));
  const std::uint8_t* begin = builder.GetBufferPointer();
  return { begin, begin + builder.GetSize() };
}

Result<std::unique_ptr<wire::RecordT>>
decodeRecord(std::span<const std::uint8_t> aBytes)
{
  const std::uintptr_t address =
    reinterpret_cast<std::uintptr_t>(aBytes.data());
  if (address % kAlignment == 0) {
    return decodeAligned(aBytes);
  }
  const Bytes copy(aBytes.begin(), aBytes.end());
  return decodeAligned(copy);
}

}
