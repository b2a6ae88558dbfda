#include "support/invariants.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

namespace {

RequestRun
makeRun(const std::string& aVm,
        std::uint64_t aEpoch,
        std::int64_t aStartMs,
        std::int64_t aEndMs)
{
  RequestRun run;
  run.mVm = aVm;
  run.mService = "catalog";
  run.mKey = "7";
  run.mMethod = "POST";
  run.mTarget = "/catalog/a/purchase?n=" + std::to_string(aStartMs);
  run.mEpoch = aEpoch;
  run.mStartMs = aStartMs;
  run.mEndMs = aEndMs;
  return run;
}

tools::LoadResult
makeResult(std::int64_t aSentMs, std::int64_t aEndedMs, int aStatus)
{
  tools::LoadResult result;
  result.mRequest.mMethod = "POST";
  result.mRequest.mUrl =
    "http://127.0.0.1:1/catalog/a/purchase?n=" + std::to_string(aSentMs);
  result.mRequest.mTag = 5;
  result.mTag = "5";
  result.mEndedWallMs = aEndedMs;
  result.mLatencyMs = static_cast<double>(aEndedMs - aSentMs);
  result.mStatus = aStatus;
  return result;
}

}

BOOST_AUTO_TEST_SUITE(invariants)

BOOST_AUTO_TEST_CASE(one_owner)
{
  const std::vector<RequestRun> disjoint = { makeRun("a", 1, 10, 20),
                                             makeRun("a", 1, 15, 30),
                                             makeRun("b", 2, 30, 40) };
  BOOST_TEST(findOwnerOverlaps(disjoint).empty());
  const std::vector<RequestRun> overlapping = { makeRun("a", 1, 10, 31),
                                                makeRun("a", 1, 15, 20),
                                                makeRun("b", 2, 30, 40) };
  BOOST_TEST(findOwnerOverlaps(overlapping).size() == 1U);
}

BOOST_AUTO_TEST_CASE(epochs)
{
  const std::vector<RequestRun> rising = { makeRun("a", 1, 10, 20),
                                           makeRun("b", 2, 30, 40) };
  BOOST_TEST(findEpochRegressions(rising).empty());
  const std::vector<RequestRun> falling = { makeRun("a", 2, 10, 20),
                                            makeRun("b", 1, 30, 40) };
  BOOST_TEST(findEpochRegressions(falling).size() == 1U);
  const std::vector<RequestRun> shared = { makeRun("a", 2, 10, 20),
                                           makeRun("b", 2, 30, 40) };
  BOOST_TEST(findEpochRegressions(shared).size() == 1U);
}

BOOST_AUTO_TEST_CASE(at_most_once)
{
  std::vector<RequestRun> runs = { makeRun("a", 1, 10, 20),
                                   makeRun("b", 2, 30, 40) };
  BOOST_TEST(findRepeatedRuns(runs).empty());
  // The same request, with the query as an upstream may log it.
  runs[0].mTarget += "&ms=20";
  runs[1].mTarget = "/catalog/a/purchase?ms=20&n=10";
  BOOST_TEST(findRepeatedRuns(runs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(not_run_and_answers)
{
  const std::vector<RequestRun> runs = { makeRun("a", 1, 10, 20) };
  tools::LoadResult result = makeResult(10, 25, 503);
  result.mOutcome = "not-run";
  BOOST_TEST(findRunsReportedNotRun({ &result, 1 }, runs).size() == 1U);
  BOOST_TEST(findRunsReportedNotRun({ &result, 1 }, {}).empty());
  result = makeResult(10, 25, 200);
  BOOST_TEST(findMismatchedAnswers({ &result, 1 }, runs).empty());
  BOOST_TEST(findMismatchedAnswers({ &result, 1 }, {}).size() == 1U);
  result.mTag = "6";
  BOOST_TEST(findMismatchedAnswers({ &result, 1 }, runs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(runs_after_time)
{
  const std::vector<RequestRun> runs = { makeRun("a", 1, 10, 20) };
  BOOST_TEST(findRunsAfter(runs, { "a" }, 10).empty());
  BOOST_TEST(findRunsAfter(runs, { "b" }, 9).empty());
  BOOST_TEST(findRunsAfter(runs, { "a" }, 9).size() == 1U);
}

BOOST_AUTO_TEST_CASE(unavailability)
{
  const std::string key = "/catalog/a/purchase";
  std::vector<tools::LoadResult> results = { makeResult(0, 5, 200),
                                             makeResult(10, 110, 503),
                                             makeResult(20, 30, 503),
                                             makeResult(40, 80, 200) };
  BOOST_TEST(unavailabilityByKey(results).at(key) == 70);
  results.push_back(makeResult(90, 95, 503));
  BOOST_TEST(unavailabilityByKey(results).at(key) == kNeverRecovered);
}

BOOST_AUTO_TEST_SUITE_END()

}
