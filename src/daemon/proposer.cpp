#include "radishroad/daemon/proposer.h"

#include <vector>

namespace radishroad {

namespace {

/// A record that has not been read back within this time is sent again.
constexpr Millis kReadBackTimeout{ 1000 };

}

const char*
proposalOutcomeName(ProposalOutcome aOutcome)
{
  switch (aOutcome) {
    case ProposalOutcome::Applied:
      return "applied";
    case ProposalOutcome::Refused:
      return "refused";
    case ProposalOutcome::Failed:
      return "failed";
  }
  return "unknown";
}

Proposer::Proposer(SubmitFn aSubmit)
  : mSubmit(std::move(aSubmit))
{
}

void
Proposer::start(const std::string& aStream,
                wire::RecordT aRecord,
                DoneFn aDone,
                bool aNeedsCertainty)
{
  const RandomId id = makeRandomId();
  aRecord.id_high = id.mHigh;
  aRecord.id_low = id.mLow;
  aRecord.wall_ms = wallNow().mCount;
  Pending& pending = mPending[id];
  pending.mStream = aStream;
  pending.mRecord = std::move(aRecord);
  pending.mDone = std::move(aDone);
  pending.mNeedsCertainty = aNeedsCertainty;
  send(id);
}

void
Proposer::send(RandomId aId)
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
Proposer::onResult(RandomId aId, const Result<std::uint64_t>& aResult)
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
    end(aId, ProposalOutcome::Failed);
  }
}

void
Proposer::onRecord(RandomId aId, FoldVerdict aVerdict)
{
  if (aVerdict == FoldVerdict::Applied || aVerdict == FoldVerdict::Ignored) {
    // Snapshot chunks change no state, but have been appended.
    end(aId, ProposalOutcome::Applied);
  } else if (aVerdict == FoldVerdict::Refused) {
    end(aId, ProposalOutcome::Refused);
  }
}

void
Proposer::onCopySent(RandomId aId)
{
  const auto it = mPending.find(aId);
  if (it != mPending.end() && it->second.mNeedsCertainty) {
    it->second.mInDoubt = true;
  }
}

void
Proposer::tick(Millis aNow)
{
  std::vector<RandomId> due;
  for (const auto& [id, pending] : mPending) {
    if (!pending.mWaitingForResult &&
        aNow - pending.mSentAt >= kReadBackTimeout) {
      due.push_back(id);
    }
  }
  for (const RandomId& id : due) {
    send(id);
  }
}

void
Proposer::end(RandomId aId, ProposalOutcome aOutcome)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return;
  }
  const DoneFn done = std::move(it->second.mDone);
  mPending.erase(it);
  done(aOutcome);
}

}
