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

/// The owner's memory of requests that must not run a second time: those with
/// an idempotency key, by workspace and key, and those that are not
/// idempotent, by request id. A copy of one in flight joins it; a copy of one
/// that has ended gets its answer again, or "unknown" if the answer is not
/// kept. What was not run is forgotten and may run. Pure.
///
/// The memory is this daemon's: after a change of the owner a copy is not
/// known for one.
class DeduplicationCache
{
public:
  enum class Verdict
  {
    /// Not seen before: run it, then call finish().
    Run,
    /// In flight; the answer function is kept and called by whoever takes
    /// what finish() returns.
    Joined,
    /// Has ended; mAnswer is what to answer.
    Replay,
    /// The idempotency key was used for another request.
    Mismatch,
  };
  struct Admission
  {
    Verdict mVerdict = Verdict::Run;
    /// Pass to finish(); empty if the request is not remembered.
    std::string mKey;
    Answer mAnswer;
  };
  /// A copy that waits for the answer of the first.
  struct Waiter
  {
    RandomId mId;
    AnswerFn mAnswer;
  };

  Admission admit(const ForwardRequest& aRequest,
                  std::uint64_t aFingerprint,
                  const AnswerFn& aAnswer,
                  Millis aNow);
  /// The first copy has ended with this answer. Returns who else gets it.
  std::vector<Waiter> finish(const std::string& aKey,
                             const Answer& aAnswer,
                             Millis aNow);
  bool hasWaiters(const std::string& aKey) const;
  std::size_t size() const;
  /// Bytes of answers kept.
  std::size_t bytes() const;

private:
  struct Entry
  {
    std::uint64_t mFingerprint = 0;
    bool mCompleted = false;
    /// None if it was too large to keep.
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
};

/// The answer under another request's id.
Answer
withId(Answer aAnswer, RandomId aId);

}

#endif
