#ifndef RADISHROAD_DAEMON_RATE_LIMITER_H
#define RADISHROAD_DAEMON_RATE_LIMITER_H

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

/// Enforces each workspace's rate limit across all daemons. A workspace's token
/// bucket is a key with one owner, which grants batches of tokens. This class
/// runs the buckets that this daemon owns, and holds the granted tokens from
/// which callers' requests are admitted here.
class RateLimiter
{
public:
  RateLimiter(ControlContext& aContext, const ServeAuthority& aAuthority);

  /// Any thread. aIsWaiting: the request has been told to wait before.
  TakeResult take(const std::string& aWorkspace, bool aIsWaiting);
  /// Any thread. A request that was told to wait has been abandoned.
  void cancelWait(const std::string& aWorkspace);
  /// Any thread.
  Millis retryAfter(const std::string& aWorkspace) const;
  /// Any thread.
  TokenState tokenState(const std::string& aWorkspace) const;

  /// Control thread only, as is everything below.
  void onConfig(const config::Model& aModel);
  void onAsk(const wire::TokenAskT& aAsk);
  void onGrant(const wire::TokenGrantT& aGrant);
  /// Opens buckets that this daemon has come to own, and sends the token asks
  /// that are due.
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
  TokenCache mTokenCache;
  std::map<std::string, config::Workspace> mWorkspaces;
  std::map<std::string, Bucket> mBuckets;
  std::map<std::string, SentAsk> mSentAsks;
  Millis mNextBucketOpeningAt;
};

}

#endif
