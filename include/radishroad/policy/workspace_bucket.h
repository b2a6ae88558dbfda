#ifndef RADISHROAD_POLICY_WORKSPACE_BUCKET_H
#define RADISHROAD_POLICY_WORKSPACE_BUCKET_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"

#include <cstdint>
#include <deque>
#include <map>

namespace radishroad {

/// Maximum lifetime of a batch of tokens, from the time when its ask was sent.
constexpr Millis kMaxTokenTtl{ 1000 };

/// The token bucket of one workspace at its owner, which grants batches of
/// tokens to the daemons that receive callers' requests. Does no I/O and reads
/// no clock.
///
/// Over any period the fleet spends at most rate x period + burst. A batch
/// counts against the burst until it has expired, since the owner does not
/// learn when it was spent: level + unexpired batches <= burst. A new owner
/// does not know the batches granted by the previous one. So each owner keeps
/// its unexpired batches within three quarters of the burst, and a new one
/// starts empty and stays within the last quarter for as long as old batches
/// may be valid. docs/policy.md has the complete argument.
class WorkspaceBucket
{
public:
  /// aRate: tokens a second; aBurst: tokens at once. Starts empty at aNow.
  WorkspaceBucket(double aRate, double aBurst, Millis aNow);

  /// Applies a new rate or burst from the configuration.
  void configure(double aRate, double aBurst, Millis aNow);

  /// Answers an ask. A repeated ask gets the same grant again at no cost; an
  /// ask older than the asker's last one gets nothing.
  wire::TokenGrantT grant(const wire::TokenAskT& aAsk, Millis aNow);

  /// Whole tokens that could be granted now.
  std::uint32_t available(Millis aNow);

private:
  struct Batch
  {
    std::uint32_t mTokens = 0;
    Millis mExpiresAt;
  };
  struct Asker
  {
    wire::TokenGrantT mLastGrant;
    std::uint32_t mWanted = 0;
    Millis mAskedAt;
  };

  void advance(Millis aNow);
  Millis ttl() const;
  void refillUntil(Millis aUntil);
  double usableBurst(bool aOldBatchesGone) const;
  std::uint32_t grantable() const;
  std::uint32_t shareOf(const wire::TokenAskT& aAsk, Millis aNow);
  Millis nextAskDelay(Millis aNow) const;

  double mRate;
  double mBurst;
  double mLevel = 0;
  std::uint32_t mOutstanding = 0;
  Millis mStartedAt;
  Millis mAdvancedTo;
  std::deque<Batch> mBatches;
  std::map<std::uint64_t, Asker> mAskers;
};

}

#endif
