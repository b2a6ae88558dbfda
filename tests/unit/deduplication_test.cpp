#include "radishroad/policy/answered_set.h"
#include "radishroad/policy/deduplication_cache.h"
#include "radishroad/policy/quarantine.h"
#include "radishroad/policy/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Verdict = DeduplicationCache::Verdict;

ForwardRequest
makeCopy(std::uint64_t aId, std::string aKey, bool aIdempotent = false)
{
  ForwardRequest request;
  request.id_low = aId;
  request.workspace = "guild";
  request.idempotency_key = std::move(aKey);
  request.idempotent = aIdempotent;
  return request;
}

Answer
makeAnswered(std::size_t aBytes)
{
  Answer answer;
  answer.kind = AnswerKind::Answered;
  answer.status = 200;
  answer.body.resize(aBytes);
  return answer;
}

wire::CrashReportT
makeReport(std::uint64_t aFingerprint, std::uint64_t aReporter)
{
  wire::CrashReportT report;
  report.fingerprint = aFingerprint;
  report.reporter = aReporter;
  return report;
}

const AnswerFn kIgnoreAnswer = [](Answer) {};

}

BOOST_AUTO_TEST_SUITE(deduplication)

BOOST_AUTO_TEST_CASE(copy_joins_then_gets_the_answer_replayed)
{
  DeduplicationCache cache;
  const auto first = cache.admit(makeCopy(1, "k"), 9, kIgnoreAnswer, 0_ms);
  BOOST_TEST((first.mVerdict == Verdict::Run));
  const auto second = cache.admit(makeCopy(2, "k"), 9, kIgnoreAnswer, 5_ms);
  BOOST_TEST((second.mVerdict == Verdict::Joined));
  BOOST_TEST(cache.hasWaiters(first.mKey));
  const auto waiters = cache.finish(first.mKey, makeAnswered(3), 10_ms);
  BOOST_REQUIRE(waiters.size() == 1U);
  BOOST_TEST(waiters[0].mId.mLow == 2U);
  const auto third = cache.admit(makeCopy(3, "k"), 9, kIgnoreAnswer, 20_ms);
  BOOST_TEST((third.mVerdict == Verdict::Replay));
  BOOST_TEST(third.mAnswer.id_low == 3U);
  BOOST_TEST(third.mAnswer.body.size() == 3U);
  const auto other = cache.admit(makeCopy(4, "k"), 8, kIgnoreAnswer, 20_ms);
  BOOST_TEST((other.mVerdict == Verdict::Mismatch));
}

// The replay of a body without a length must not get one.
BOOST_AUTO_TEST_CASE(copies_get_a_body_without_a_length_as_such)
{
  DeduplicationCache cache;
  const auto first = cache.admit(makeCopy(1, "k"), 9, kIgnoreAnswer, 0_ms);
  Answer answer = makeAnswered(3);
  answer.ends_with_connection = true;
  cache.finish(first.mKey, answer, 10_ms);
  const auto second = cache.admit(makeCopy(2, "k"), 9, kIgnoreAnswer, 20_ms);
  BOOST_TEST((second.mVerdict == Verdict::Replay));
  BOOST_TEST(second.mAnswer.ends_with_connection);
}

BOOST_AUTO_TEST_CASE(not_run_request_may_run_and_unknown_one_may_not)
{
  DeduplicationCache cache;
  const auto first = cache.admit(makeCopy(1, ""), 9, kIgnoreAnswer, 0_ms);
  cache.finish(
    first.mKey, makeNotRunAnswer({ 0, 1 }, NotRunReason::Shed), 1_ms);
  const auto again = cache.admit(makeCopy(1, ""), 9, kIgnoreAnswer, 2_ms);
  BOOST_TEST((again.mVerdict == Verdict::Run));
  cache.finish(again.mKey, makeUnknownAnswer({ 0, 1 }), 3_ms);
  const auto third = cache.admit(makeCopy(1, ""), 9, kIgnoreAnswer, 4_ms);
  BOOST_TEST((third.mVerdict == Verdict::Replay));
  BOOST_TEST((third.mAnswer.kind == AnswerKind::Unknown));
}

BOOST_AUTO_TEST_CASE(idempotent_request_without_a_key_is_not_tracked)
{
  DeduplicationCache cache;
  for (int i = 0; i < 3; ++i) {
    const auto copy =
      cache.admit(makeCopy(1, "", true), 9, kIgnoreAnswer, 0_ms);
    BOOST_TEST((copy.mVerdict == Verdict::Run));
  }
  BOOST_TEST(cache.size() == 0U);
}

BOOST_AUTO_TEST_CASE(cache_is_bounded_in_time_and_bytes)
{
  DeduplicationCache cache;
  for (std::uint64_t i = 0; i < 100; ++i) {
    const auto one = cache.admit(makeCopy(i, ""), 9, kIgnoreAnswer, 0_ms);
    cache.finish(one.mKey, makeAnswered(1U << 20), 0_ms);
  }
  BOOST_TEST(cache.bytes() <= (32U << 20));
  BOOST_TEST(cache.size() <= 32U);
  const auto large = cache.admit(makeCopy(200, ""), 9, kIgnoreAnswer, 0_ms);
  cache.finish(large.mKey, makeAnswered((1U << 20) + 1), 0_ms);
  const auto copy = cache.admit(makeCopy(200, ""), 9, kIgnoreAnswer, 1_ms);
  BOOST_TEST((copy.mVerdict == Verdict::Replay));
  BOOST_TEST((copy.mAnswer.kind == AnswerKind::Unknown));
  cache.admit(makeCopy(300, ""), 9, kIgnoreAnswer, 200_s);
  BOOST_TEST(cache.size() == 1U);
  BOOST_TEST(cache.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(second_crash_quarantines_for_a_time)
{
  Quarantine quarantine;
  quarantine.onReport(makeReport(9, 1), 1000_s);
  // Another copy in flight at the same crash.
  quarantine.onReport(makeReport(9, 1), 1000_s + 1_ms);
  BOOST_TEST(!quarantine.isQuarantined(9, 1001_s));
  quarantine.onReport(makeReport(9, 2), 1001_s);
  BOOST_TEST(quarantine.isQuarantined(9, 1001_s));
  BOOST_TEST(!quarantine.isQuarantined(8, 1001_s));
  BOOST_TEST(!quarantine.isQuarantined(9, 1302_s));
  // Crashes far apart do not add up.
  quarantine.onReport(makeReport(7, 1), 1000_s);
  quarantine.onReport(makeReport(7, 2), 2000_s);
  BOOST_TEST(!quarantine.isQuarantined(7, 2000_s));
}

BOOST_AUTO_TEST_CASE(quarantine_memory_is_bounded)
{
  Quarantine quarantine;
  quarantine.onReport(makeReport(1, 1), 1000_s);
  quarantine.onReport(makeReport(1, 2), 1001_s);
  for (std::uint64_t i = 2; i < 10000; ++i) {
    quarantine.onReport(makeReport(i, 1), 1002_s);
  }
  BOOST_TEST(quarantine.size() <= 8192U);
  BOOST_TEST(quarantine.isQuarantined(1, 1003_s));
}

BOOST_AUTO_TEST_CASE(answered_fingerprints_expire)
{
  AnsweredSet answered;
  answered.add(5, 0_ms);
  BOOST_TEST(answered.contains(5, 10_s));
  BOOST_TEST(!answered.contains(5, 11_s));
  BOOST_TEST(!answered.contains(6, 0_ms));
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_requests)
{
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.onRequest();
    retries += budget.tryRetry(1_s) ? 1 : 0;
  }
  BOOST_TEST(retries <= 1000 + 20);
  BOOST_TEST(retries >= 1000);
  BOOST_TEST(!budget.tryRetry(1_s));
  BOOST_TEST(budget.tryRetry(2_s));
}

BOOST_AUTO_TEST_SUITE_END()
