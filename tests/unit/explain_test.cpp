#include "radishroad/operator/event_merge.h"
#include "radishroad/operator/explain.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

const std::string kMembers =
  R"({"ms":1,"event":"start","vm":"a-1","incarnation":"11"})"
  "\n"
  R"({"ms":2,"event":"member","vm":"a-1","member_vm":"b-2","incarnation":"22"})"
  "\n";

Explanation
explainLines(const std::string& aLines)
{
  const std::vector<std::string> sources{ kMembers + aLines };
  return explainRequest(mergeEvents(sources, {}), "r1");
}

bool
contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(explain)

BOOST_AUTO_TEST_CASE(rate_limited_names_the_workspace)
{
  const Explanation explanation = explainLines(
    R"({"ms":9000,"event":"request","vm":"a-1","request_id":"r1","outcome":"not-run","reason":"rate-limited","workspace":"w","sent_to":"0"})");
  BOOST_TEST(
    explanation.mCause ==
    "workspace w exceeded its rate limit; the request was not sent to an "
    "upstream");
  BOOST_TEST(explanation.mMissing.empty());
}

BOOST_AUTO_TEST_CASE(not_run_names_last_state_change_on_owner_vm)
{
  const Explanation explanation = explainLines(
    R"({"ms":1000,"event":"lease_lapsed","vm":"b-2"})"
    "\n"
    R"({"ms":8000,"event":"handoff","vm":"b-2","shards":3})"
    "\n"
    R"({"ms":8500,"event":"lease_lapsed","vm":"c-3"})"
    "\n"
    R"({"ms":9000,"event":"request","vm":"a-1","request_id":"r1","outcome":"not-run","reason":"lease-lapsed","sent_to":"22"})");
  BOOST_TEST(contains(explanation.mCause, "not run (lease-lapsed) by b-2"));
  BOOST_TEST(contains(explanation.mCause,
                      "the last state change on b-2 before was handoff"));
  BOOST_TEST(explanation.mEvents.size() == 2U);
  BOOST_REQUIRE(explanation.mMissing.size() == 1U);
  BOOST_TEST(
    contains(explanation.mMissing[0], "no log line of the daemon next to"));
}

BOOST_AUTO_TEST_CASE(answer_after_objective_names_upstream_load)
{
  const Explanation explanation = explainLines(
    R"({"ms":8990,"event":"run","vm":"b-2","request_id":"r1","outcome":"answered","here_ms":700,"slots":9,"running":9,"run_ms":310.5})"
    "\n"
    R"({"ms":9000,"event":"request","vm":"a-1","request_id":"r1","outcome":"answered","sent_to":"22","took_ms":720,"objective_ms":300})");
  BOOST_TEST(contains(explanation.mCause, "answered after 720 ms"));
  BOOST_TEST(
    contains(explanation.mCause, "was running 9 of 9 concurrent requests"));
  BOOST_TEST(explanation.mMissing.empty());
}

BOOST_AUTO_TEST_CASE(missing_log_lines_are_reported)
{
  const Explanation explanation = explainLines(
    R"({"ms":9000,"event":"request_lines_left_out","vm":"a-1","count":3})");
  BOOST_TEST(explanation.mCause.empty());
  BOOST_TEST(explanation.mMissing.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
