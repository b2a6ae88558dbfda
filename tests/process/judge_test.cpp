#include "support/judge.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::test {

namespace {

Run
makeRun(const std::string& aVm,
        std::uint64_t aEpoch,
        std::int64_t aStartMs,
        std::int64_t aEndMs)
{
  Run run;
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

BOOST_AUTO_TEST_SUITE(judge)

BOOST_AUTO_TEST_CASE(one_owner)
{
  const std::vector<Run> apart = { makeRun("a", 1, 10, 20),
                                   makeRun("a", 1, 15, 30),
                                   makeRun("b", 2, 30, 40) };
  BOOST_TEST(judgeOneOwner(apart).empty());
  const std::vector<Run> overlapping = { makeRun("a", 1, 10, 31),
                                         makeRun("a", 1, 15, 20),
                                         makeRun("b", 2, 30, 40) };
  BOOST_TEST(judgeOneOwner(overlapping).size() == 1U);
}

BOOST_AUTO_TEST_CASE(epochs)
{
  const std::vector<Run> rising = { makeRun("a", 1, 10, 20),
                                    makeRun("b", 2, 30, 40) };
  BOOST_TEST(judgeEpochs(rising).empty());
  const std::vector<Run> falling = { makeRun("a", 2, 10, 20),
                                     makeRun("b", 1, 30, 40) };
  BOOST_TEST(judgeEpochs(falling).size() == 1U);
  const std::vector<Run> shared = { makeRun("a", 2, 10, 20),
                                    makeRun("b", 2, 30, 40) };
  BOOST_TEST(judgeEpochs(shared).size() == 1U);
}

BOOST_AUTO_TEST_CASE(at_most_once)
{
  std::vector<Run> runs = { makeRun("a", 1, 10, 20), makeRun("b", 2, 30, 40) };
  BOOST_TEST(judgeAtMostOnce(runs).empty());
  // The same request, as an upstream shows its query.
  runs[0].mTarget += "&ms=20";
  runs[1].mTarget = "/catalog/a/purchase?ms=20&n=10";
  BOOST_TEST(judgeAtMostOnce(runs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(not_run_and_answers)
{
  const std::vector<Run> runs = { makeRun("a", 1, 10, 20) };
  tools::LoadResult result = makeResult(10, 25, 503);
  result.mOutcome = "not-run";
  BOOST_TEST(judgeNotRun({ &result, 1 }, runs).size() == 1U);
  BOOST_TEST(judgeNotRun({ &result, 1 }, {}).empty());
  result = makeResult(10, 25, 200);
  BOOST_TEST(judgeAnswers({ &result, 1 }, runs).empty());
  BOOST_TEST(judgeAnswers({ &result, 1 }, {}).size() == 1U);
  result.mTag = "6";
  BOOST_TEST(judgeAnswers({ &result, 1 }, runs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_work_after)
{
  const std::vector<Run> runs = { makeRun("a", 1, 10, 20) };
  BOOST_TEST(judgeNoWorkAfter(runs, { "a" }, 10).empty());
  BOOST_TEST(judgeNoWorkAfter(runs, { "b" }, 9).empty());
  BOOST_TEST(judgeNoWorkAfter(runs, { "a" }, 9).size() == 1U);
}

BOOST_AUTO_TEST_CASE(unavailable_time)
{
  const std::string key = "/catalog/a/purchase";
  std::vector<tools::LoadResult> results = { makeResult(0, 5, 200),
                                             makeResult(10, 110, 503),
                                             makeResult(20, 30, 503),
                                             makeResult(40, 80, 200) };
  BOOST_TEST(unavailableTime(results).at(key) == 70);
  results.push_back(makeResult(90, 95, 503));
  BOOST_TEST(unavailableTime(results).at(key) == kNeverBack);
}

BOOST_AUTO_TEST_SUITE_END()

}
