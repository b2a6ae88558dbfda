#include "radishroad/policy/deduplication_cache.h"

namespace radishroad {

namespace {

constexpr Millis kRetention{ 120000 };
constexpr std::size_t kMaxCompletedEntries = 16384;
constexpr std::size_t kMaxAnswerBytes = 1U << 20;
/// Maximum number of copies that wait for the answer to one request.
constexpr std::size_t kMaxWaiters = 16;

/// Returns an empty key for a request that may run more than once.
std::string
deduplicationKey(const ForwardRequest& aRequest)
{
  if (!aRequest.idempotency_key.empty()) {
    return aRequest.workspace + '\n' + aRequest.idempotency_key;
  }
  return aRequest.idempotent ? std::string() : idOf(aRequest).toString();
}

std::size_t
sizeOf(const Answer& aAnswer)
{
  std::size_t n = aAnswer.body.size();
  for (const auto& header : aAnswer.headers) {
    n += header->name.size() + header->value.size();
  }
  return n;
}

}

Answer
withId(Answer aAnswer, RandomId aId)
{
  aAnswer.id_high = aId.mHigh;
  aAnswer.id_low = aId.mLow;
  return aAnswer;
}

DeduplicationCache::DeduplicationCache(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

DeduplicationCache::Admission
DeduplicationCache::admit(const ForwardRequest& aRequest,
                          std::uint64_t aFingerprint,
                          const AnswerFn& aAnswer,
                          Millis aNow)
{
  evictOld(aNow);
  Admission admission;
  admission.mKey = deduplicationKey(aRequest);
  if (admission.mKey.empty()) {
    return admission;
  }
  const auto it = mEntries.find(admission.mKey);
  if (it == mEntries.end()) {
    mEntries[admission.mKey].mFingerprint = aFingerprint;
    return admission;
  }
  Entry& entry = it->second;
  const RandomId id = idOf(aRequest);
  if (entry.mFingerprint != aFingerprint) {
    admission.mVerdict = Verdict::Mismatch;
    return admission;
  }
  if (entry.mCompleted || entry.mWaiters.size() >= kMaxWaiters) {
    admission.mVerdict = Verdict::Replay;
    admission.mAnswer =
      entry.mAnswer ? withId(*entry.mAnswer, id) : makeUnknownAnswer(id);
    return admission;
  }
  admission.mVerdict = Verdict::Joined;
  entry.mWaiters.push_back({ id, aAnswer });
  return admission;
}

std::vector<DeduplicationCache::Waiter>
DeduplicationCache::finish(const std::string& aKey,
                           const Answer& aAnswer,
                           Millis aNow)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return {};
  }
  Entry& entry = it->second;
  std::vector<Waiter> waiters = std::move(entry.mWaiters);
  if (aAnswer.kind == AnswerKind::NotRun) {
    mEntries.erase(it);
    return waiters;
  }
  entry.mCompleted = true;
  entry.mWaiters.clear();
  const std::size_t n = sizeOf(aAnswer);
  if (n <= kMaxAnswerBytes) {
    entry.mAnswer = aAnswer;
    entry.mBytes = n;
    mBytes += n;
  }
  mCompleted.push_back({ aKey, aNow });
  evictOld(aNow);
  return waiters;
}

bool
DeduplicationCache::hasWaiters(const std::string& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it != mEntries.end() && !it->second.mWaiters.empty();
}

void
DeduplicationCache::evictOld(Millis aNow)
{
  while (!mCompleted.empty()) {
    const bool old = aNow - mCompleted.front().mAt > kRetention;
    if (!old && mCompleted.size() <= kMaxCompletedEntries &&
        mBytes <= mMaxBytes) {
      return;
    }
    const auto it = mEntries.find(mCompleted.front().mKey);
    mBytes -= it->second.mBytes;
    mEntries.erase(it);
    mCompleted.pop_front();
  }
}

std::size_t
DeduplicationCache::size() const
{
  return mEntries.size();
}

std::size_t
DeduplicationCache::bytes() const
{
  return mBytes;
}

}
