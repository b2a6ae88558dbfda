#ifndef RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H
#define RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/witness.h"

#include <functional>
#include <map>

namespace radishroad {

/// A witness withholds its promise at this number of consecutive renewals that
/// acknowledge no newer answer.
constexpr int kUnackedRenewalLimit = 2;

/// Tracks for a witness whether its promises reach the lease holders. A daemon
/// that can send but not receive has no lease, yet its renewals would keep its
/// witnesses bound, and its keys would have no owner for as long as the path is
/// broken. Each renewal therefore names the newest renewal whose answer has
/// arrived. A witness whose answers do not arrive withholds its promise and
/// says so in its answer, so that the lease expires and the daemon can be
/// expelled; it promises again once an answer has arrived. Withholding a
/// promise is always safe. Performs no I/O.
class PromiseFeedback
{
public:
  bool shouldPromise(const ReceivedRenewal& aRenewal);
  void removeIf(const std::function<bool(LeaseId)>& aIsStale);

private:
  struct Entry
  {
    Millis mLastAckedSentAt{ -1 };
    int mUnackedCount = 0;
  };
  std::map<LeaseId, Entry> mEntries;
};

}

#endif
