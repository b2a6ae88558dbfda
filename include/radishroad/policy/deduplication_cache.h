#ifndef RADISHROAD_POLICY_DEDUPLICATION_CACHE_H
#define RADISHROAD_POLICY_DEDUPLICATION_CACHE_H

#include "radishroad/base/millis.h"
#include "radishroad/request/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Keeps the owner of a key from running a request twice. It tracks requests
/// with an idempotency key, by workspace and key, and non-idempotent requests,
/// by request id. A copy of a request in flight joins it. A copy of a completed
/// request gets the same answer, or "unknown" if the answer was not kept. A
/// request that was not run is dropped, so that a copy may run. Does no I/O and
/// reads no clock.
///
/// The cache is local to this daemon: after a change of owner, copies of
/// earlier requests are not recognized.
class DeduplicationCache
{
public:
  enum class Verdict
  {
    /// First copy: run it, then call finish().
    Run,
    /// A copy is in flight. The answer function is kept and returned by
    /// finish().
    Joined,
    /// A copy has completed; send mAnswer.
    Replay,
    /// The idempotency key was used for a request with another fingerprint.
    Mismatch,
  };
  struct Admission
  {
    Verdict mVerdict = Verdict::Run;
    /// Pass to finish(); empty if the request is not tracked.
    std::string mKey;
    Answer mAnswer;
  };
  /// A copy that waits for the answer to the first one.
  struct Waiter
  {
    RandomId mId;
    AnswerFn mAnswer;
  };

  static constexpr std::size_t kMaxBytes = 32U << 20;

  /// aMaxBytes: of stored answers; beyond it the oldest requests are forgotten.
  explicit DeduplicationCache(std::size_t aMaxBytes = kMaxBytes);

  Admission admit(const ForwardRequest& aRequest,
                  std::uint64_t aFingerprint,
                  const AnswerFn& aAnswer,
                  Millis aNow);
  /// Completes the first copy with this answer. Returns the copies that get it
  /// too.
  std::vector<Waiter> finish(const std::string& aKey,
                             const Answer& aAnswer,
                             Millis aNow);
  bool hasWaiters(const std::string& aKey) const;
  std::size_t size() const;
  /// Bytes of stored answers.
  std::size_t bytes() const;

private:
  struct Entry
  {
    std::uint64_t mFingerprint = 0;
    bool mCompleted = false;
    /// Empty if the answer was too large to store.
    std::optional<Answer> mAnswer;
    std::size_t mBytes = 0;
    std::vector<Waiter> mWaiters;
  };
  struct CompletedEntry
  {
    std::string mKey;
    Millis mAt;
  };
  void evictOld(Millis aNow);

  std::unordered_map<std::string, Entry> mEntries;
  /// Oldest first.
  std::deque<CompletedEntry> mCompleted;
  std::size_t mBytes = 0;
  const std::size_t mMaxBytes;
};

/// Returns the answer with another request's id.
Answer
withId(Answer aAnswer, RandomId aId);

}

#endif
