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
  /// A token was taken; the request may proceed.
  Taken,
  /// No token is available yet, but one may arrive soon: hold the request, and
  /// call takeForWaiting() after the next grant, or cancelWait() when the
  /// request stops waiting.
  WaitForGrant,
  /// The workspace exceeds its rate.
  Refused,
};

/// State of a workspace's tokens at one daemon; explains a refusal.
struct TokenState
{
  /// Tokens of the last grant, and how many were wanted.
  std::uint32_t mGranted = 0;
  std::uint32_t mWanted = 0;
  /// Requests that wait for tokens.
  std::uint32_t mWaiting = 0;
  /// Time since the last ask. An ask may get no grant because its bucket has no
  /// owner.
  Millis mSinceLastAsk;
  bool mAskPending = false;
  /// The last ask got no grant, because the bucket has no owner or the owner is
  /// unreachable. A refusal is then no evidence that the workspace exceeds its
  /// rate.
  bool mLastAskUnanswered = false;
  /// Requests a second that this daemon receives.
  double mDemand = 0;
};

/// Caches rate-limit tokens of the workspaces whose requests one daemon
/// receives. Does no I/O and reads no clock. It asks the owners of the
/// workspaces' buckets for batches ahead of need where demand is steady, and
/// for single tokens where it is not, so that few tokens expire unspent.
class TokenCache
{
public:
  /// aSelf: this daemon's incarnation.
  explicit TokenCache(std::uint64_t aSelf);

  /// Takes a token for a new request.
  TakeResult take(std::string_view aWorkspace, Millis aNow);
  /// Takes a token for a request that take() told to wait.
  TakeResult takeForWaiting(std::string_view aWorkspace, Millis aNow);
  /// A waiting request was abandoned.
  void cancelWait(std::string_view aWorkspace);

  /// Returns the asks to send now, each to the owner of its workspace's bucket.
  /// They must be sent at aNow or later.
  std::vector<wire::TokenAskT> asks(Millis aNow);
  /// Earliest time at which asks() may return something.
  Millis nextAsk(Millis aNow) const;

  /// Handles a grant. aSentAt is when its ask was sent, by this daemon's
  /// monotonic clock. The batch's lifetime counts from there, because the
  /// owner's count starts no earlier.
  void onGrant(const wire::TokenGrantT& aGrant, Millis aSentAt, Millis aNow);

  /// Returns the retry delay for a refused caller.
  ///
  /// Load pattern: a workspace sends several times its rate, or no bucket has
  /// an owner for a second. Callers that retried at once would be refused
  /// again, most of them permanently.
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
    bool mLastAskUnanswered = true;
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
  /// One sequence for all workspaces, which outlives an entry of mWorkspaces:
  /// the owner treats a repeated number as a copy of an ask.
  std::uint64_t mSequence = 0;
  std::map<std::string, WorkspaceTokens, std::less<>> mWorkspaces;
};

}

#endif
