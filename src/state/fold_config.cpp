#include "radishroad/state/fold.h"

namespace radishroad {

namespace {

bool
applyPublish(ConfigState& aState, const wire::PublishT& aPublish)
{
  if (aPublish.base_version != aState.mVersion) {
    return false;
  }
  ++aState.mVersion;
  aState.mOperator = aPublish.operator_name;
  aState.mFiles.clear();
  for (const std::unique_ptr<wire::ConfigFileT>& file : aPublish.files) {
    aState.mFiles.push_back({ file->name, file->text });
  }
  return true;
}

}

FoldVerdict
fold(ConfigState& aState, const LogRecord& aRecord)
{
  if (aRecord.mOffset != aState.mNextOffset) {
    return FoldVerdict::Ignored;
  }
  ++aState.mNextOffset;
  const Result<std::unique_ptr<wire::RecordT>> record =
    decodeRecord(aRecord.mData);
  if (!record) {
    return FoldVerdict::Corrupt;
  }
  const wire::RecordT& decoded = **record;
  if (decoded.change.type != wire::Change::Publish) {
    return FoldVerdict::Ignored;
  }
  if (!aState.mSeenIds.add({ decoded.id_high, decoded.id_low })) {
    return FoldVerdict::Duplicate;
  }
  return applyPublish(aState, *decoded.change.AsPublish())
           ? FoldVerdict::Applied
           : FoldVerdict::Refused;
}

}
