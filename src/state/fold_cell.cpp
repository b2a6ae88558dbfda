#include "radishroad/state/fold.h"
#include "radishroad/state/fold_rules.h"

namespace radishroad {

namespace {

bool
applyChange(CellState& aState,
            const wire::ChangeUnion& aChange,
            std::uint64_t aOffset)
{
  switch (aChange.type) {
    case wire::Change::Join:
      return rules::apply(aState, *aChange.AsJoin(), aOffset);
    case wire::Change::Rewitness:
      return rules::apply(aState, *aChange.AsRewitness());
    case wire::Change::Expel:
      return rules::apply(aState, *aChange.AsExpel(), aOffset);
    case wire::Change::BeginLeave:
      return rules::apply(aState, *aChange.AsBeginLeave());
    case wire::Change::Leave:
      return rules::apply(aState, *aChange.AsLeave(), aOffset);
    case wire::Change::Drain:
      return rules::apply(aState, *aChange.AsDrain());
    case wire::Change::DeclareLost:
      return rules::apply(aState, *aChange.AsDeclareLost(), aOffset);
    case wire::Change::Assign:
      return rules::apply(aState, *aChange.AsAssign());
    case wire::Change::Release:
      return rules::apply(aState, *aChange.AsRelease());
    case wire::Change::SplitKey:
      return rules::apply(aState, *aChange.AsSplitKey());
    case wire::Change::ZonesOut:
      return rules::apply(aState, *aChange.AsZonesOut());
    case wire::Change::UpstreamChange:
      return rules::apply(aState, *aChange.AsUpstreamChange());
    case wire::Change::RolloutStep:
      return rules::apply(aState, *aChange.AsRolloutStep());
    case wire::Change::NONE:
    case wire::Change::SnapshotChunk:
    case wire::Change::Publish:
      return false;
  }
  return false;
}

bool
belongsToCell(wire::Change aKind)
{
  return aKind != wire::Change::SnapshotChunk && aKind != wire::Change::Publish;
}

}

FoldVerdict
fold(CellState& aState, const LogRecord& aRecord)
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
  if (!belongsToCell(decoded.change.type)) {
    return FoldVerdict::Ignored;
  }
  // The first copy of a record decides, even if it is refused: the writer may
  // already have read the refusal, so a late copy must not take effect.
  if (!aState.mSeenIds.add({ decoded.id_high, decoded.id_low })) {
    return FoldVerdict::Duplicate;
  }
  return applyChange(aState, decoded.change, aRecord.mOffset)
           ? FoldVerdict::Applied
           : FoldVerdict::Refused;
}

}
