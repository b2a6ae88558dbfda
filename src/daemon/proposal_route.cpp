#include "radishroad/daemon/proposal_route.h"

#include <utility>

namespace radishroad {

namespace {

/// A write takes the store some milliseconds, and a batch may be under way
/// before the one that the record comes into. Longer waits are felt as longer
/// takeovers.
constexpr Millis kSettleTime{ 400 };
/// For how long a coordinator that did not settle a record is not asked again:
/// as long as a writer tries to settle one.
constexpr Millis kOwnFor{ 2000 };

}

bool
ProposalRoute::throughCoordinator(bool aReachable, Millis aNow) const
{
  return aReachable && aNow >= mOwnUntil;
}

void
ProposalRoute::onSent(RandomId aId, WriteFn aWrite, Millis aNow)
{
  mWaiting[aId] = { std::move(aWrite), aNow };
}

void
ProposalRoute::onSettled(RandomId aId)
{
  mWaiting.erase(aId);
}

std::vector<ProposalRoute::WriteFn>
ProposalRoute::takeOverdue(Millis aNow)
{
  std::vector<WriteFn> overdue;
  std::erase_if(mWaiting, [&](auto& aEntry) {
    if (aNow - aEntry.second.mSentAt < kSettleTime) {
      return false;
    }
    overdue.push_back(std::move(aEntry.second.mWrite));
    return true;
  });
  if (!overdue.empty()) {
    mOwnUntil = aNow + kOwnFor;
  }
  return overdue;
}

}
