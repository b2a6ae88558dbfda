#include "radishroad/config/check_plan.h"

namespace radishroad::config {

namespace {

/// Ages of what is known, as percentages of the time after which a
/// configuration must be in force. The coordinator's leaves its members time to
/// learn of the answer before it is too old to refuse by.
constexpr std::int64_t kCoordinatorPercent = 33;
constexpr std::int64_t kMemberPercent = 55;
constexpr std::int64_t kMemberStorePercent = 80;
/// Pause between two asks of the coordinator.
constexpr std::int64_t kAskPausePercent = 15;

}

CheckPlan::Action
CheckPlan::next(bool aIsCoordinator,
                std::optional<Millis> aAsOf,
                Millis aConfigTime,
                Millis aNow)
{
  const auto part = [aConfigTime](std::int64_t aPercent) {
    return aConfigTime * aPercent / 100;
  };
  const auto isOlder = [&](std::int64_t aPercent) {
    return !aAsOf || aNow - *aAsOf >= part(aPercent);
  };
  const std::int64_t storePercent =
    aIsCoordinator ? kCoordinatorPercent : kMemberStorePercent;
  if (isOlder(storePercent) && aNow >= mNextStoreAsk) {
    mNextStoreAsk = aNow + part(storePercent);
    return Action::AskStore;
  }
  const bool asksCoordinator =
    !aIsCoordinator && isOlder(kMemberPercent) && aNow >= mNextCoordinatorAsk;
  if (asksCoordinator) {
    mNextCoordinatorAsk = aNow + part(kAskPausePercent);
    return Action::AskCoordinator;
  }
  return Action::None;
}

}
