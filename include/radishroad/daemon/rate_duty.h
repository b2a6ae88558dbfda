#ifndef RADISHROAD_DAEMON_RATE_DUTY_H
#define RADISHROAD_DAEMON_RATE_DUTY_H

#include "radishroad/base/millis.h"
#include "radishroad/config/model.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/policy/token_cache.h"
#include "radishroad/policy/workspace_bucket.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace radishroad {

struct ControlContext;
class ServeAuthority;

/// Holds each workspace to its rate over all daemons. A workspace's bucket is
/// a key with one owner, which grants batches of tokens; this duty is that
/// owner for the buckets that fall to this daemon, and keeps the wallet from
/// which callers' requests are admitted.
class RateDuty
{
public:
  RateDuty(ControlContext& aContext, const ServeAuthority& aAuthority);

  /// Any thread. aHeld: the request was told to wait before.
  TakeResult take(const std::string& aWorkspace, bool aHeld);
  /// Any thread. A request that waited was given up.
  void dropHeld(const std::string& aWorkspace);
  /// Any thread.
  Millis retryAfter(const std::string& aWorkspace) const;
  /// Any thread.
  TokenState tokenState(const std::string& aWorkspace) const;

  /// Control thread, as all that follows.
  void onConfig(const config::Model& aModel);
  void onAsk(const wire::TokenAskT& aAsk);
  void onGrant(const wire::TokenGrantT& aGrant);
  /// Sends the asks that are due.
  void tick();

private:
  struct Bucket
  {
    Epoch mEpoch = 0;
    WorkspaceBucket mTokens;
  };
  struct SentAsk
  {
    std::uint64_t mSequence = 0;
    Millis mSentAt;
  };

  Ownership bucketOwner(const std::string& aWorkspace) const;
  Bucket* ownBucket(const std::string& aWorkspace);
  void openBuckets(Millis aNow);
  void sendAsk(wire::TokenAskT aAsk, Millis aNow);

  ControlContext& mContext;
  const ServeAuthority& mAuthority;
  mutable std::mutex mMutex;
  TokenCache mWallet;
  std::map<std::string, config::Workspace> mWorkspaces;
  std::map<std::string, Bucket> mBuckets;
  std::map<std::string, SentAsk> mSentAsks;
  Millis mNextOpening;
};

}

#endif
