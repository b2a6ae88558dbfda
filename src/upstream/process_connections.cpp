#include "radishroad/upstream/process_connections.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Newer reports that confirm a connection. One alone may have been sent by a
/// process that ended before the connection was opened.
constexpr std::uint64_t kConfirmingReports = 2;

}

void
ProcessConnections::reset(Millis aNow)
{
  mConfirmed.clear();
  mUnconfirmed.clear();
  mHadConfirmed = false;
  mResetAt = aNow;
  mSequence = 0;
  ++mProcess;
}

void
ProcessConnections::onResponse(ConnectionId aConnection,
                               bool aNamesInstance,
                               Millis aSentAt,
                               Millis aNow)
{
  if (aConnection == 0 || aSentAt < mResetAt) {
    return;
  }
  if (mConfirmed.contains(aConnection)) {
    std::erase_if(mUnconfirmed, [&](const auto& aEntry) {
      const bool isSame = aEntry.second.mSince <= aSentAt;
      if (isSame) {
        mConfirmed.insert(aEntry.first);
      }
      return isSame;
    });
    return;
  }
  if (!aNamesInstance) {
    return;
  }
  if (!mHadConfirmed) {
    mHadConfirmed = true;
    mUnconfirmed.erase(aConnection);
    mConfirmed.insert(aConnection);
    return;
  }
  mUnconfirmed.try_emplace(aConnection, Unconfirmed{ aNow, mSequence });
}

void
ProcessConnections::onReport(std::uint64_t aSequence)
{
  mSequence = std::max(mSequence, aSequence);
  std::erase_if(mUnconfirmed, [&](const auto& aEntry) {
    const bool isSame =
      mSequence >= aEntry.second.mSequence + kConfirmingReports;
    if (isSame) {
      mConfirmed.insert(aEntry.first);
    }
    return isSame;
  });
}

void
ProcessConnections::removeClosed(
  const std::function<bool(ConnectionId)>& aIsOpen)
{
  std::erase_if(mConfirmed, [&](ConnectionId aConnection) {
    return !aIsOpen(aConnection);
  });
  std::erase_if(mUnconfirmed,
                [&](const auto& aEntry) { return !aIsOpen(aEntry.first); });
}

bool
ProcessConnections::isConfirmed(ConnectionId aConnection) const
{
  return mConfirmed.contains(aConnection);
}

bool
ProcessConnections::isUnconfirmed(ConnectionId aConnection) const
{
  return mUnconfirmed.contains(aConnection);
}

}
