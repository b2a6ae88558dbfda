#ifndef RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H
#define RADISHROAD_OWNERSHIP_PROMISE_FEEDBACK_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/witness.h"

#include <functional>
#include <map>
#include <optional>

namespace radishroad {

/// Renewals in a row that show no promise heard before a witness holds back.
constexpr int kUnheardRenewals = 2;
/// How long a witness then holds back before it tries again.
constexpr Millis kHoldBackFor{ 3000 };

/// A witness's view of whether its promises arrive. A daemon that can send but
/// hears nothing has no lease, yet its renewals would keep its witnesses bound
/// and its keys without an owner for as long as the path is broken. Each
/// renewal names the newest renewal whose promise arrived; a witness whose
/// promises do not arrive holds them back, so that the label lapses and the
/// daemon can be expelled. To withhold a promise is always safe. Pure.
class PromiseFeedback
{
public:
  /// aHeardSentAt: send time, by the holder's clock, of the newest renewal
  /// whose promise from this witness arrived there; 0 if none did.
  bool shouldPromise(LeaseLabel aLabel, Millis aHeardSentAt, Millis aNow);
  void forgetExcept(const std::function<bool(LeaseLabel)>& aIsNeeded);

private:
  struct Entry
  {
    Millis mHeard{ -1 };
    int mUnheard = 0;
    std::optional<Millis> mHoldBackUntil;
  };
  std::map<LeaseLabel, Entry> mEntries;
};

}

#endif
