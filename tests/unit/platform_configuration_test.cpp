#include "platform/configuration.h"

#include "radishroad/base/hash.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishroad;

namespace {

const std::string kDocument = R"({"Version":"r12",
 "Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutMs",
   "TargetLatencyMs","Priority","Service","MaxAttempts","Public",
   "WeightedClusters"],
  "Rows":[["buy","h.x","/buy/","non_idempotent",1200,400,1,"a",2,false,null],
   ["see","h.x","/see/","idempotent",1000,300,2,null,2,true,
    [{"Service":"a","Weight":90},{"Service":"b","Weight":10}]]]},
 "Services":{"Columns":["Name","HealthPath","MaxConnections","Protocol","Tls",
   "WarmupS","WarmupPerS","Sharded","WarmS","Grants"],
  "Rows":[["a","/healthz",130,"h1",false,3.0,18.0,true,2.0,"call"],
   ["b","/healthz",130,"h1",false,3.0,18.0,null,null,null]]},
 "Limits":{"MaxHeaderBytes":16384},
 "Tenants":{"Columns":["Name","ApiKeys","Priority","RatePerS","Burst"],
  "Rows":[["t",["key-1","key-2"],1,112,224]]}})";

Bytes
toBytes(const std::string& aText)
{
  return { aText.begin(), aText.end() };
}

Result<config::VersionedModel>
readWith(const std::string& aOld, const std::string& aNew)
{
  return platform::readConfiguration(
    toBytes(boost::replace_first_copy(kDocument, aOld, aNew)));
}

}

BOOST_AUTO_TEST_SUITE(platform_configuration)

BOOST_AUTO_TEST_CASE(a_configuration_document_is_converted_to_a_model)
{
  const Result<config::VersionedModel> read =
    platform::readConfiguration(toBytes(kDocument));
  BOOST_REQUIRE(read.has_value());
  const config::Model& model = read->mModel;
  BOOST_TEST(read->mVersion == 12U);
  BOOST_REQUIRE(model.mRoutes.size() == 2U);
  BOOST_TEST(!model.mRoutes[0].mIdempotent);
  BOOST_TEST(model.mRoutes[0].mLatencyObjective.mCount == 400);
  BOOST_TEST(model.mRoutes[0].mMaxAttempts == 2U);
  BOOST_TEST(model.mRoutes[1].mIsPublic);
  BOOST_TEST(model.mRoutes[1].mTargets.size() == 2U);
  BOOST_TEST(model.mServices.at("a").mKeyed);
  BOOST_TEST(model.mServices.at("a").mHoldTime.mCount > 0);
  BOOST_TEST(!model.mServices.at("b").mKeyed);
  BOOST_TEST(model.mServices.at("b").mColdTime.mCount == 3000);
  BOOST_TEST(model.mWorkspaces.at("t").mBurst == 224);
  BOOST_TEST(model.mWorkspaceOfKey.at(sha256Hex("key-2")) == "t");
  // Keys are stored only as hashes.
  BOOST_TEST(!model.mWorkspaceOfKey.contains("key-2"));
}

// Whole configurations were refused over one route's kind, and the fleet served
// nothing.
BOOST_AUTO_TEST_CASE(an_unknown_value_of_a_route_or_service_is_substituted)
{
  const std::vector<std::array<std::string, 3>> cases{
    { "\"non_idempotent\"", "\"maybe\"", "Routes[0].Kind" },
    { "\"non_idempotent\"", "7", "Routes[0].Kind" },
    { "[[\"buy\"", "[[7", "Routes[0].Name" },
    { "\"buy\",\"h.x\"", "\"buy\",[]", "Routes[0].Host" },
    { "\"/buy/\"", "\"buy\"", "Routes[0].Prefix" },
    { "1200", "-1", "Routes[0].TimeoutMs" },
    { "400,1,", "\"x\",1,", "Routes[0].TargetLatencyMs" },
    { "400,1,", "400,900,", "Routes[0].Priority" },
    { "\"a\",2,false", "\"a\",\"2\",false", "Routes[0].MaxAttempts" },
    { "\"a\",2,false", "\"a\",2,\"no\"", "Routes[0].Public" },
    { "400,1,\"a\"", "400,1,null", "Routes[0].Service" },
    { "400,1,\"a\"", "400,1,\"none\"", "buy" },
    { "\"Weight\":90", "\"Weight\":\"x\"", "Routes[1].WeightedClusters" },
    { "[{\"Service\":\"a\"", "[7,{\"Service\":\"a\"", "Routes[1].Weighted" },
    { "\"Rows\":[[\"a\"", "\"Rows\":[[7", "Services[0].Name" },
    { "\"/healthz\",130", "5,130", "Services[0].HealthPath" },
    { "\"/healthz\",130", "\"/healthz\",true", "Services[0].MaxConnections" },
    { "3.0,18.0", "\"3\",18.0", "Services[0].WarmupS" },
    { "3.0,18.0", "3.0,-18", "Services[0].WarmupPerS" },
    { "18.0,true", "18.0,\"by-key\"", "Services[0].Sharded" },
    { "2.0,\"call\"", "2.0,\"push\"", "Services[0].Grants" },
  };
  for (const auto& [oldText, newText, location] : cases) {
    const Result<config::VersionedModel> read = readWith(oldText, newText);
    BOOST_REQUIRE_MESSAGE(read.has_value(), oldText << " -> " << newText);
    const std::vector<std::string>& substitutions = read->mModel.mSubstitutions;
    BOOST_REQUIRE_MESSAGE(!substitutions.empty(), oldText << " -> " << newText);
    BOOST_TEST(substitutions.front().find(location) != std::string::npos,
               substitutions.front());
    BOOST_TEST(read->mModel.mRoutes.size() == 2U);
    BOOST_TEST(read->mModel.mRoutes[1].mIdempotent);
  }
}

// The substitute must not allow more than any value that may have been meant.
BOOST_AUTO_TEST_CASE(a_substitute_is_the_safe_choice)
{
  const config::Model kind =
    readWith("\"non_idempotent\"", "\"maybe\"")->mModel;
  BOOST_TEST(!kind.mRoutes[0].mIdempotent);
  BOOST_TEST(!kind.mHasUnreadableRoutes);
  const config::Model prefix = readWith("\"/buy/\"", "\"buy\"")->mModel;
  BOOST_TEST(prefix.mHasUnreadableRoutes);
  const config::Model attempts =
    readWith("\"a\",2,false", "\"a\",[],{}")->mModel;
  BOOST_TEST(attempts.mRoutes[0].mMaxAttempts == 1U);
  BOOST_TEST(!attempts.mRoutes[0].mIsPublic);
  const config::Model cold = readWith("3.0,18.0", "\"3\",-1")->mModel;
  BOOST_TEST(cold.mServices.at("a").mColdPerSecond == 5);
  BOOST_TEST(cold.mServices.at("a").mColdTime.mCount == 10000);
  const config::Model connections =
    readWith("\"/healthz\",130", "\"/healthz\",-1")->mModel;
  BOOST_TEST(connections.mServices.at("a").mMaxConnections == 16U);
}

BOOST_AUTO_TEST_CASE(a_download_is_idempotent_with_a_large_response)
{
  const Result<config::VersionedModel> read =
    readWith("\"idempotent\"", "\"download\"");
  BOOST_REQUIRE(read.has_value());
  const config::Model& model = read->mModel;
  BOOST_TEST(model.mSubstitutions.empty());
  BOOST_TEST(model.mRoutes[1].mIdempotent);
  BOOST_TEST(model.mRoutes[1].mLargeResponse);
  BOOST_TEST(!model.mRoutes[0].mLargeResponse);
}

// Services that do not ask for them are served as before.
BOOST_AUTO_TEST_CASE(a_service_selects_its_decisions)
{
  const config::Model before =
    platform::readConfiguration(toBytes(kDocument))->mModel;
  BOOST_TEST(!before.mServices.at("a").mAdaptiveConcurrency);
  BOOST_TEST(!before.mServices.at("a").mSharesRoom);
  const config::Model room =
    readWith("\"Protocol\",\"Tls\"", "\"Protocol\",\"SharesRoom\"")->mModel;
  BOOST_TEST(!room.mServices.at("a").mSharesRoom);
  const std::string tls = "\"h1\",false";
  const auto selected = [&tls](const std::string& aName) {
    std::string text = boost::replace_first_copy(kDocument, "\"Tls\"", aName);
    boost::replace_first(text, tls, "\"h1\",true");
    return platform::readConfiguration(toBytes(text))->mModel;
  };
  BOOST_TEST(selected("\"SharesRoom\"").mServices.at("a").mSharesRoom);
  const config::Model adaptive = selected("\"AdaptiveConcurrency\"");
  BOOST_TEST(adaptive.mServices.at("a").mAdaptiveConcurrency);
  BOOST_TEST(!adaptive.mServices.at("b").mAdaptiveConcurrency);
}

// A wrong version or wrong keys would make the whole unsafe.
BOOST_AUTO_TEST_CASE(an_unsafe_document_is_rejected_with_its_location)
{
  const std::vector<std::array<std::string, 3>> cases{
    { "\"r12\"", "\"12\"", "Version" },
    { "\"r12\"", "12", "Version" },
    { "[\"key-1\",\"key-2\"]", "[1]", "Tenants[0].ApiKeys" },
    { "112,224", "\"x\",224", "Tenants[0].RatePerS" },
    { "\"Rows\":[[\"a\"", "\"Rows\":[7,[\"a\"", "Services[0]" },
  };
  for (const auto& [oldText, newText, location] : cases) {
    const Result<config::VersionedModel> read = readWith(oldText, newText);
    BOOST_REQUIRE_MESSAGE(!read.has_value(), oldText << " -> " << newText);
    BOOST_TEST(read.error().mMessage.find(location) != std::string::npos,
               read.error().mMessage);
  }
}

BOOST_AUTO_TEST_CASE(a_truncated_document_is_rejected)
{
  for (std::size_t n = 0; n < kDocument.size(); ++n) {
    BOOST_REQUIRE(!platform::readConfiguration(toBytes(kDocument.substr(0, n)))
                     .has_value());
  }
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_ignored)
{
  BOOST_TEST(
    readWith("\"Limits\"", "\"New\":{\"a\":1},\"Limits\"").has_value());
}

BOOST_AUTO_TEST_CASE(a_zone_is_out_of_service_while_its_entry_exists)
{
  const auto zoneOf = [](const std::string& aValue) {
    const Result<OperatorChange> change =
      platform::readOperatorEntry({ "evacuate/nashua", toBytes(aValue) });
    return std::get<OperatorChange::ZoneState>(change->mChange);
  };
  BOOST_TEST(zoneOf("{}").mZone == "nashua");
  BOOST_TEST(!zoneOf("{}").mInService);
  BOOST_TEST(zoneOf("").mInService);
}

BOOST_AUTO_TEST_CASE(rollout_request_is_read)
{
  const auto read = [](const std::string& aValue) {
    const Result<OperatorChange> change =
      platform::readOperatorEntry({ "rollout/huvo", toBytes(aValue) });
    // An error would make the configuration count as unreadable.
    BOOST_REQUIRE(change.has_value());
    return std::get<OperatorChange::RolloutRequest>(change->mChange);
  };
  const OperatorChange::RolloutRequest request =
    read(R"({"Service":"huvo","To":"v2","DurationS":12.5})");
  BOOST_TEST(request.mService == "huvo");
  BOOST_TEST(request.mTo == "v2");
  BOOST_TEST(request.mDuration.mCount == 12500);
  BOOST_TEST(request.mProblem.empty());
  BOOST_TEST(read("").mTo.empty());
  BOOST_TEST(read("").mProblem.empty());
  for (const char* value :
       { "x",
         "[]",
         R"({"Service":"other","To":"v2","DurationS":12})",
         R"({"Service":"huvo","To":"","DurationS":12})",
         R"({"Service":"huvo","To":2,"DurationS":12})",
         R"({"Service":"huvo","To":"v2"})",
         R"({"Service":"huvo","To":"v2","DurationS":0})",
         R"({"Service":"huvo","To":"v2","DurationS":1e300})" }) {
    BOOST_TEST(!read(value).mProblem.empty(), value);
    BOOST_TEST(read(value).mTo.empty(), value);
  }
}

BOOST_AUTO_TEST_CASE(entries_of_unknown_kinds_are_ignored)
{
  const Result<OperatorChange> change =
    platform::readOperatorEntry({ "something/else", toBytes("x") });
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(std::holds_alternative<std::monostate>(change->mChange));
}

// Overflowed the stack where rows were copied.
BOOST_AUTO_TEST_CASE(a_deeply_nested_entry_is_refused)
{
  constexpr std::size_t kDepth = 200000;
  const std::string nested =
    std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const char* place : { "1200", "130", "\"key-1\"", "16384" }) {
    const Result<config::VersionedModel> read = readWith(place, nested);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().mMessage.find("nested") != std::string::npos,
               read.error().mMessage);
  }
}

// Was converted to an integer that cannot hold it.
BOOST_AUTO_TEST_CASE(a_number_too_large_for_its_field_is_bounded)
{
  const Result<config::VersionedModel> read =
    readWith("\"/healthz\",130", "\"/healthz\",1000000000000000");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mModel.mServices.at("a").mMaxConnections == UINT32_MAX);
}

BOOST_AUTO_TEST_CASE(a_number_out_of_range_is_substituted)
{
  for (const char* field : { "\"/healthz\",130", "3.0", "1200", "400" }) {
    for (const char* number : { "-1", "1e16", "1e400", "\"1\"", "[1]" }) {
      const std::string place(field);
      const std::size_t comma = place.find(',');
      const std::string before =
        comma == std::string::npos ? "" : place.substr(0, comma + 1);
      // 1e400 is no JSON number.
      const Result<config::VersionedModel> read =
        readWith(place, before + number);
      const bool isParsed = std::string_view(number) != "1e400";
      BOOST_REQUIRE_MESSAGE(read.has_value() == isParsed,
                            field << " " << number);
      BOOST_TEST((!read || read->mModel.mSubstitutions.size() == 1U),
                 field << " " << number);
    }
  }
  const std::string version = "\"Version\":\"r12\"";
  for (const char* text :
       { "r18446744073709551616", "r-1", "r1.5", "r", "12", "r 12" }) {
    BOOST_TEST(!readWith(version, std::string("\"Version\":\"") + text + "\"")
                  .has_value(),
               text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
