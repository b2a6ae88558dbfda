#include "radishroad/daemon/proposal_forwarder.h"

#include <algorithm>
#include <utility>

namespace radishroad {

namespace {

/// Time within which a member must commit a record. A write takes the store
/// some milliseconds, and another batch may have to finish first. Longer waits
/// make takeovers longer.
constexpr Millis kCommitTimeout{ 400 };
/// Time between two sends of a record. Duplicates are harmless, since they
/// share one id.
constexpr Millis kResendInterval{ 100 };
/// Time for which a member that failed to commit a record is passed over: as
/// long as a writer tries to commit a record.
constexpr Millis kPassOverPeriod{ 2000 };
/// Members to which a record is sent before this daemon writes it.
constexpr int kMaxWriters = 3;
/// Time that a write takes the store, with the read that a conflict makes
/// necessary. Daemons that write by themselves spread over as many of them as
/// the cell has members.
constexpr Millis kWriteSlot{ 10 };

}

std::optional<Incarnation>
ProposalForwarder::writerFor(std::span<const Incarnation> aSuccession,
                             Millis aNow) const
{
  const auto isAvailable = [&](Incarnation aMember) {
    const auto it = mPassedOverUntil.find(aMember);
    return it == mPassedOverUntil.end() || aNow >= it->second;
  };
  const auto it = std::ranges::find_if(aSuccession, isAvailable);
  return it == aSuccession.end() ? std::nullopt : std::optional(*it);
}

void
ProposalForwarder::send(RandomId aId,
                        Incarnation aWriter,
                        SendFn aSend,
                        WriteFn aWrite,
                        Millis aNow)
{
  aSend(aWriter);
  PendingRecord& record = mPendingRecords[aId];
  record.mSend = std::move(aSend);
  record.mWrite = std::move(aWrite);
  record.mWriter = aWriter;
  record.mSentAt = aNow;
  record.mResendAt = aNow + kResendInterval;
}

void
ProposalForwarder::resend(Millis aNow)
{
  for (auto& [id, record] : mPendingRecords) {
    if (record.mWriter != 0 && aNow >= record.mResendAt) {
      record.mResendAt = aNow + kResendInterval;
      record.mSend(record.mWriter);
    }
  }
}

void
ProposalForwarder::onCommitted(RandomId aId)
{
  mPendingRecords.erase(aId);
}

std::vector<ProposalForwarder::WriteFn>
ProposalForwarder::takeOverdue(std::span<const Incarnation> aSuccession,
                               Millis aNow)
{
  std::erase_if(mPassedOverUntil,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second; });
  for (const auto& [id, record] : mPendingRecords) {
    if (record.mWriter != 0 && aNow - record.mSentAt >= kCommitTimeout) {
      passOver(record.mWriter, aNow);
    }
  }
  std::vector<WriteFn> due;
  for (auto it = mPendingRecords.begin(); it != mPendingRecords.end();) {
    PendingRecord& record = it->second;
    if (record.mWriter != 0 && aNow - record.mSentAt >= kCommitTimeout) {
      sendToNext(it->first, record, aSuccession, aNow);
    }
    const bool isDue = record.mWriter == 0 && aNow >= record.mWriteAt;
    if (isDue) {
      due.push_back(std::move(record.mWrite));
    }
    it = isDue ? mPendingRecords.erase(it) : std::next(it);
  }
  return due;
}

void
ProposalForwarder::passOver(Incarnation aWriter, Millis aNow)
{
  if (mPassedOverUntil.try_emplace(aWriter, aNow + kPassOverPeriod).second) {
    ++mPassedOver;
  }
}

void
ProposalForwarder::sendToNext(RandomId aId,
                              PendingRecord& aRecord,
                              std::span<const Incarnation> aSuccession,
                              Millis aNow)
{
  const std::optional<Incarnation> next = writerFor(aSuccession, aNow);
  if (next && aRecord.mWritersTried < kMaxWriters) {
    ++aRecord.mWritersTried;
    aRecord.mWriter = *next;
    aRecord.mSentAt = aNow;
    aRecord.mResendAt = aNow + kResendInterval;
    aRecord.mSend(*next);
    return;
  }
  const std::int64_t spread =
    kWriteSlot.mCount * static_cast<std::int64_t>(aSuccession.size());
  aRecord.mWriter = 0;
  aRecord.mWriteAt = aNow + Millis{
    static_cast<std::int64_t>(aId.mLow % static_cast<std::uint64_t>(spread + 1))
  };
}

}
