#include "replay_trace.h"

#include <boost/test/unit_test.hpp>

namespace radishroad::testing {

namespace {

using nlohmann::json;

void
checkTrace(const std::string& aName)
{
  const ReplayTrace trace(ReplayTrace::read(aName));
  const ReplayTrace::Mismatches mismatches = trace.check();
  BOOST_TEST(mismatches.empty());
  for (const std::string& mismatch : mismatches) {
    BOOST_TEST_MESSAGE(mismatch);
  }
}

/// Returns the trace lines of one kind.
std::vector<json*>
linesOf(ReplayTrace::Lines& aLines, std::string_view aKind)
{
  std::vector<json*> found;
  for (json& line : aLines) {
    if (line.at("kind") == aKind) {
      found.push_back(&line);
    }
  }
  return found;
}

}

BOOST_AUTO_TEST_SUITE(replay)

BOOST_AUTO_TEST_CASE(loss_of_daemon)
{
  checkTrace("loss_of_daemon");
}

BOOST_AUTO_TEST_CASE(one_way_cut)
{
  checkTrace("one_way_cut");
}

BOOST_AUTO_TEST_CASE(log_outage_with_lost_answers)
{
  checkTrace("log_outage_with_lost_answers");
}

BOOST_AUTO_TEST_CASE(racing_operators)
{
  checkTrace("racing_operators");
}

BOOST_AUTO_TEST_CASE(zone_out_and_back)
{
  checkTrace("zone_out_and_back");
}

/// The replay must detect traces that were altered to contain a wrong outcome.
BOOST_AUTO_TEST_CASE(wrong_traces)
{
  const ReplayTrace::Lines original = ReplayTrace::read("one_way_cut");

  ReplayTrace::Lines lines = original;
  std::erase_if(lines, [](const json& aLine) {
    return aLine.contains("changes") && aLine["changes"].contains("members") &&
           aLine["changes"]["members"].contains("library-1") &&
           aLine["changes"]["members"]["library-1"] == "expelled";
  });
  BOOST_TEST(lines.size() < original.size());
  BOOST_TEST(!ReplayTrace(lines).checkRecords().empty());
  BOOST_TEST(!ReplayTrace(lines).checkExecutions().empty());

  lines = original;
  const std::int64_t lapsedAtMs =
    linesOf(lines, "lease_lapsed").at(0)->at("now_ms");
  const std::int64_t offset =
    linesOf(lines, "clock").at(0)->at("wall_minus_monotonic_ms");
  constexpr std::int64_t kLateMs = 100;
  linesOf(lines, "served")
    .at(0)
    ->at("ms")
    .push_back(lapsedAtMs + offset + kLateMs);
  BOOST_TEST(!ReplayTrace(lines).checkHolder().empty());

  lines = original;
  json promise = *linesOf(lines, "promise_sent").at(0);
  const json consent = *linesOf(lines, "consent_sent").at(0);
  promise["withheld"] = false;
  promise["witness"] = consent["witness"];
  promise["version"] = consent["version"];
  promise["now_ms"] = consent["now_ms"];
  lines.push_back(promise);
  BOOST_TEST(!ReplayTrace(lines).checkWitnesses().empty());

  lines = original;
  linesOf(lines, "config_in_force").at(0)->at("version") = 2;
  BOOST_TEST(!ReplayTrace(lines).checkConfig().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
