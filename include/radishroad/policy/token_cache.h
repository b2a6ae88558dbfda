#ifndef RADISHROAD_POLICY_TOKEN_CACHE_H
#define RADISHROAD_POLICY_TOKEN_CACHE_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishroad {

enum class TakeResult
{
  /// A token was taken; the request may go on.
  Taken,
  /// No token here yet, but one may come soon: hold the request and call
  /// takeHeld after the next grant, or dropHeld when it waits no longer.
  WaitForGrant,
  /// The workspace is beyond its rate.
  Refused,
};

/// What a daemon knows of a workspace's tokens; explains a refusal.
struct TokenState
{
  /// Tokens of the last grant, and how many were wanted.
  std::uint32_t mGranted = 0;
  std::uint32_t mWanted = 0;
  /// Requests that wait for tokens.
  std::uint32_t mWaiting = 0;
  /// Since the last ask; an ask without a grant may have found no owner.
  Millis mSinceLastAsk;
  bool mAskPending = false;
  /// The last ask got no grant: the bucket has no owner, or it cannot be
  /// reached. A refusal then says nothing of the workspace's rate.
  bool mUnanswered = false;
  /// Requests a second that this daemon sees.
  double mDemand = 0;
};

/// The tokens that one daemon holds for the requests that it takes from
/// callers, by workspace. Pure. It asks the owners of the workspaces' buckets
/// for batches ahead of need where there is steady demand, and for single
/// tokens where there is not, so that few tokens expire unspent.
class TokenCache
{
public:
  /// aSelf is this daemon's incarnation.
  explicit TokenCache(std::uint64_t aSelf);

  /// For a request that has just come.
  TakeResult take(std::string_view aWorkspace, Millis aNow);
  /// For a request that was told to wait.
  TakeResult takeHeld(std::string_view aWorkspace, Millis aNow);
  /// A held request was given up.
  void dropHeld(std::string_view aWorkspace);

  /// Asks to send now, each to the owner of its workspace's bucket. They must
  /// leave at aNow or later.
  std::vector<wire::TokenAskT> asks(Millis aNow);
  /// Earliest time at which asks() may have something to send.
  Millis nextAsk(Millis aNow) const;

  /// Takes in a grant. aSentAt is when its ask was sent, by this daemon's
  /// monotonic clock: the batch expires counted from there, since the owner
  /// counts from no earlier.
  void onGrant(const wire::TokenGrantT& aGrant, Millis aSentAt, Millis aNow);

  /// Time after which a refused caller may find a token.
  ///
  /// Load pattern: a workspace sends several times its rate, or no bucket has
  /// an owner for a second. Callers that came back at once would be refused
  /// again, most of them for good.
  Millis retryAfter(std::string_view aWorkspace, Millis aNow) const;

  std::uint32_t availableTokens(std::string_view aWorkspace, Millis aNow) const;
  TokenState state(std::string_view aWorkspace, Millis aNow) const;

private:
  struct Batch
  {
    std::uint32_t mTokens = 0;
    Millis mExpiresAt;
  };
  struct WorkspaceTokens
  {
    std::deque<Batch> mBatches;
    std::uint64_t mSequence = 0;
    bool mAskPending = false;
    bool mUnanswered = true;
    Millis mAskedAt;
    Millis mNextAskAt;
    /// The last grant was less than wanted.
    bool mLastGrantPartial = false;
    std::uint32_t mLastGranted = 0;
    std::uint32_t mWanted = 0;
    std::uint32_t mWaiting = 0;
    /// Requests a second, smoothed.
    double mDemand = 0;
    Millis mDemandAt;
  };

  static bool spendToken(WorkspaceTokens& aTokens, Millis aNow);
  static std::uint32_t tokens(const WorkspaceTokens& aTokens, Millis aNow);
  static void recordRequest(WorkspaceTokens& aTokens, Millis aNow);
  static double demand(const WorkspaceTokens& aTokens, Millis aNow);
  static std::uint32_t wanted(const WorkspaceTokens& aTokens, Millis aNow);
  WorkspaceTokens& tokensOf(std::string_view aWorkspace);

  std::uint64_t mSelf;
  /// One count for all workspaces, which outlives a purse: the owner takes a
  /// repeated number for a copy of an ask.
  std::uint64_t mSequence = 0;
  std::map<std::string, WorkspaceTokens, std::less<>> mWorkspaces;
};

}

#endif
