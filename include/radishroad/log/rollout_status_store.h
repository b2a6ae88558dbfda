#ifndef RADISHROAD_LOG_ROLLOUT_STATUS_STORE_H
#define RADISHROAD_LOG_ROLLOUT_STATUS_STORE_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/policy/rollout_progress.h"

#include <functional>
#include <string>

namespace radishroad {

/// Client that tells operators the states of rollouts. Use one client per
/// thread; only mAbort may be called from other threads.
struct RolloutStatusStore
{
  /// Writes the state of a service's rollout to version aTo, unless it is
  /// stored already. aState must not be None. Fails with ErrorCode::Conflict if
  /// another status was written meanwhile, and with the errors of
  /// StateStore::mReplace; may be repeated after each of them.
  std::function<Result<void>(const std::string& aService,
                             const std::string& aTo,
                             RolloutState aState,
                             Millis aTimeout)>
    mWrite;
  /// Ends the call in progress and each later one with ErrorCode::Timeout.
  std::function<void()> mAbort;
};

/// Opens a client for the calling thread.
using OpenRolloutStatusFn = std::function<RolloutStatusStore()>;

}

#endif
