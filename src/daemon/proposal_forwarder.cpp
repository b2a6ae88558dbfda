#include "radishroad/daemon/proposal_forwarder.h"

#include <utility>

namespace radishroad {

namespace {

/// A write takes the store some milliseconds, and a batch may be under way
/// before the one that the record comes into. Longer waits are felt as longer
/// takeovers.
constexpr Millis kCommitTimeout{ 400 };
/// Pause before a record is sent again. Copies do no harm: they have one id.
constexpr Millis kResendInterval{ 100 };
/// For how long a coordinator that did not settle a record is not asked again:
/// as long as a writer tries to settle one.
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
  mWaiting[aId] = {
    std::move(aSend), std::move(aWrite), aNow, aNow + kResendInterval
  };
}

void
ProposalForwarder::resend(Millis aNow)
{
  for (auto& [id, waiting] : mWaiting) {
    if (aNow >= waiting.mResendAt) {
      waiting.mResendAt = aNow + kResendInterval;
      waiting.mSend();
    }
  }
}

void
ProposalForwarder::onCommitted(RandomId aId)
{
  mWaiting.erase(aId);
}

std::vector<ProposalForwarder::WriteFn>
ProposalForwarder::takeOverdue(Millis aNow)
{
  std::vector<WriteFn> overdue;
  std::erase_if(mWaiting, [&](auto& aEntry) {
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
