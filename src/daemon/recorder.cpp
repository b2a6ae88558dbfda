#include "radishroad/daemon/recorder.h"

#include <vector>

namespace radishroad {

namespace {

/// Time after which a record that has not been read back is sent again.
constexpr Millis kResendAfter{ 1000 };

}

Recorder::Recorder(SubmitFn aSubmit)
  : mSubmit(std::move(aSubmit))
{
}

void
Recorder::start(const std::string& aStream, wire::RecordT aRecord, DoneFn aDone)
{
  const RandomId id = makeRandomId();
  aRecord.id_high = id.mHigh;
  aRecord.id_low = id.mLow;
  aRecord.wall_ms = wallNow().mCount;
  Pending& pending = mPending[id];
  pending.mStream = aStream;
  pending.mRecord = std::move(aRecord);
  pending.mDone = std::move(aDone);
  send(id);
}

void
Recorder::send(RandomId aId)
{
  Pending& pending = mPending.at(aId);
  pending.mWaitingForResult = true;
  pending.mSentAt = monotonicNow();
  const bool submitted =
    mSubmit(pending.mStream,
            pending.mRecord,
            [this, aId](const Result<std::uint64_t>& aResult) {
              onResult(aId, aResult);
            });
  if (!submitted) {
    onResult(aId, fail(ErrorCode::Unavailable, "append queue is full"));
  }
}

void
Recorder::onResult(RandomId aId, const Result<std::uint64_t>& aResult)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return;
  }
  it->second.mWaitingForResult = false;
  if (aResult || aResult.error().mCode == ErrorCode::Unknown) {
    it->second.mInDoubt = true;
    return;
  }
  if (!it->second.mInDoubt) {
    end(aId, ProposalEnd::Failed);
  }
}

void
Recorder::onRecord(RandomId aId, FoldVerdict aVerdict)
{
  if (aVerdict == FoldVerdict::Applied || aVerdict == FoldVerdict::Ignored) {
    // Parts of snapshots change no state, but are there.
    end(aId, ProposalEnd::Applied);
  } else if (aVerdict == FoldVerdict::Refused) {
    end(aId, ProposalEnd::Refused);
  }
}

void
Recorder::tick(Millis aNow)
{
  std::vector<RandomId> due;
  for (const auto& [id, pending] : mPending) {
    if (!pending.mWaitingForResult && aNow - pending.mSentAt >= kResendAfter) {
      due.push_back(id);
    }
  }
  for (const RandomId& id : due) {
    send(id);
  }
}

void
Recorder::end(RandomId aId, ProposalEnd aEnd)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return;
  }
  const DoneFn done = std::move(it->second.mDone);
  mPending.erase(it);
  done(aEnd);
}

}
