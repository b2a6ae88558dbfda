#include "radishroad/policy/duplicate_memory.h"

namespace radishroad {

namespace {

constexpr Millis kMemory{ 120000 };
constexpr std::size_t kMaxEnded = 16384;
constexpr std::size_t kMaxBytes = 32U << 20;
constexpr std::size_t kMaxAnswerBytes = 1U << 20;
/// Copies that wait for one request.
constexpr std::size_t kMaxWaiters = 16;

/// Empty for a request that may run again.
std::string
keyOf(const ForwardRequest& aRequest)
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

DuplicateMemory::Admission
DuplicateMemory::admit(const ForwardRequest& aRequest,
                       std::uint64_t aFingerprint,
                       const AnswerFn& aAnswer,
                       Millis aNow)
{
  dropOld(aNow);
  Admission admission;
  admission.mKey = keyOf(aRequest);
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
  if (entry.mEnded || entry.mWaiters.size() >= kMaxWaiters) {
    admission.mVerdict = Verdict::Replay;
    admission.mAnswer =
      entry.mAnswer ? withId(*entry.mAnswer, id) : makeUnknownAnswer(id);
    return admission;
  }
  admission.mVerdict = Verdict::Joined;
  entry.mWaiters.push_back({ id, aAnswer });
  return admission;
}

std::vector<DuplicateMemory::Waiter>
DuplicateMemory::finish(const std::string& aKey,
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
  entry.mEnded = true;
  entry.mWaiters.clear();
  const std::size_t n = sizeOf(aAnswer);
  if (n <= kMaxAnswerBytes) {
    entry.mAnswer = aAnswer;
    entry.mBytes = n;
    mBytes += n;
  }
  mEnded.push_back({ aKey, aNow });
  dropOld(aNow);
  return waiters;
}

bool
DuplicateMemory::hasWaiters(const std::string& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it != mEntries.end() && !it->second.mWaiters.empty();
}

void
DuplicateMemory::dropOld(Millis aNow)
{
  while (!mEnded.empty()) {
    const bool old = aNow - mEnded.front().mAt > kMemory;
    if (!old && mEnded.size() <= kMaxEnded && mBytes <= kMaxBytes) {
      return;
    }
    const auto it = mEntries.find(mEnded.front().mKey);
    mBytes -= it->second.mBytes;
    mEntries.erase(it);
    mEnded.pop_front();
  }
}

std::size_t
DuplicateMemory::size() const
{
  return mEntries.size();
}

std::size_t
DuplicateMemory::bytes() const
{
  return mBytes;
}

}
