#include "radishroad/daemon/proposal_forwarder.h"

#include <utility>

namespace radishroad {

namespace {

/// Time within which the coordinator must commit a record. A write takes the
/// store some milliseconds, and another batch may have to finish first. Longer
/// waits make takeovers longer.
constexpr Millis kCommitTimeout{ 400 };
/// Time between two sends of a record. Duplicates are harmless, since they
/// share one id.
constexpr Millis kResendInterval{ 100 };
/// Time for which records are written directly after the coordinator failed to
/// commit one: as long as a writer tries to commit a record.
constexpr Millis kDirectWritePeriod{ 2000 };

}

bool
ProposalForwarder::usesCoordinator(bool aReachable, Millis aNow) const
{
  return aReachable && aNow >= mDirectUntil;
}

void
ProposalForwarder::send(RandomId aId, SendFn aSend, WriteFn aWrite, Millis aNow)
{
  aSend();
  mPendingRecords[aId] = {
    std::move(aSend), std::move(aWrite), aNow, aNow + kResendInterval
  };
}

void
ProposalForwarder::resend(Millis aNow)
{
  for (auto& [id, pending] : mPendingRecords) {
    if (aNow >= pending.mResendAt) {
      pending.mResendAt = aNow + kResendInterval;
      pending.mSend();
    }
  }
}

void
ProposalForwarder::onCommitted(RandomId aId)
{
  mPendingRecords.erase(aId);
}

std::vector<ProposalForwarder::WriteFn>
ProposalForwarder::takeOverdue(Millis aNow)
{
  std::vector<WriteFn> overdue;
  std::erase_if(mPendingRecords, [&](auto& aEntry) {
    if (aNow - aEntry.second.mSentAt < kCommitTimeout) {
      return false;
    }
    overdue.push_back(std::move(aEntry.second.mWrite));
    return true;
  });
  if (!overdue.empty()) {
    mDirectUntil = aNow + kDirectWritePeriod;
  }
  return overdue;
}

}
