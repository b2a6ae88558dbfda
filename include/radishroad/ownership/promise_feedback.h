#ifndef RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H
#define RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/witness.h"

#include <functional>
#include <map>

namespace radishroad {

/// Renewals in a row that show no answer heard before a witness holds back.
constexpr int kUnheardRenewals = 2;

/// A witness's view of whether its promises arrive. A daemon that can send but
/// hears nothing has no lease, yet its renewals would keep its witnesses bound
/// and its keys without an owner for as long as the path is broken. Each
/// renewal names the newest renewal whose answer arrived; a witness whose
/// answers do not arrive withholds its promise and says so, so that the label
/// lapses and the daemon can be expelled, and promises again once an answer
/// has arrived. To withhold a promise is always safe. Pure.
class PromiseFeedback
{
public:
  bool shouldPromise(const ReceivedRenewal& aRenewal);
  void forgetIf(const std::function<bool(LeaseLabel)>& aIsStale);

private:
  struct Entry
  {
    Millis mHeard{ -1 };
    int mUnheard = 0;
  };
  std::map<LeaseLabel, Entry> mEntries;
};

}

#endif
