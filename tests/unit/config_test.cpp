#include "radishroad/base/hash.h"
#include "radishroad/config/folder.h"
#include "radishroad/config/path_pattern.h"
#include "radishroad/config/text_check.h"
#include "radishroad/config/units.h"
#include "support/temp_folder.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::config;
using radishroad::test::TempFolder;

namespace {

const std::string kHash(64, 'a');

Findings
findingsOf(std::vector<ConfigText> aFiles)
{
  const tl::expected<Model, Findings> model = parse(aFiles);
  return model ? Findings{} : model.error();
}

Findings
findingsOf(const std::string& aText)
{
  return findingsOf(std::vector<ConfigText>{ { "a.yaml", aText } });
}

/// Checks that a text has exactly one finding, on this line, that contains the
/// expected text.
void
checkSingleFinding(const std::string& aText,
                   int aLine,
                   const std::string& aExpectedText)
{
  const Findings findings = findingsOf(aText);
  BOOST_REQUIRE_MESSAGE(findings.size() == 1,
                        aText << " has " << findings.size() << " findings");
  const std::string shown = findings.front().toString();
  BOOST_TEST(findings.front().mLine == aLine, shown);
  BOOST_TEST(shown.find(aExpectedText) != std::string::npos, shown);
  BOOST_TEST(!findings.front().mExpected.empty(), shown);
}

std::string
workspaceWith(const std::string& aFields)
{
  return "workspaces:\n  w:\n" + aFields;
}

std::string
routeWith(const std::string& aFields)
{
  return "services: {s: {}}\nroutes:\n  r:\n" + aFields;
}

}

BOOST_AUTO_TEST_SUITE(config)

BOOST_AUTO_TEST_CASE(units)
{
  BOOST_TEST(parseRate("200/s").value() == 200);
  BOOST_TEST(parseRate("120/min").value() == 2);
  BOOST_TEST(parseRate("1.5/s").value() == 1.5);
  BOOST_TEST(!parseRate("200"));
  BOOST_TEST(!parseRate("200/d"));
  BOOST_TEST(!parseRate("inf/s"));
  BOOST_TEST(!parseRate("nan/s"));
  BOOST_TEST(parseDuration("800ms")->mCount == 800);
  BOOST_TEST(parseDuration("2s")->mCount == 2000);
  BOOST_TEST(parseDuration("1min")->mCount == 60000);
  BOOST_TEST(!parseDuration("800"));
  BOOST_TEST(!parseDuration("ms"));
  BOOST_TEST(!parseDuration("99999999999999999999s"));
}

BOOST_AUTO_TEST_CASE(guild_example_is_valid)
{
  const auto files = readFolder(RADISHROAD_SOURCE_DIR "/examples/guild");
  BOOST_REQUIRE(files.has_value());
  const auto model = parse(*files);
  BOOST_REQUIRE(model.has_value());
  BOOST_TEST(model->mWorkspaces.size() == 8U);
  BOOST_TEST(model->mZones.size() == 3U);
  BOOST_TEST(model->mServices.at("catalog").mChecksFence);
  BOOST_TEST(!model->mServices.at("library").mChecksFence);
  BOOST_TEST(model->mWorkspaceOfKey.at(sha256Hex("guild-key-1")) == "granite");
  BOOST_TEST(model->mWorkspaceOfKey.at(sha256Hex("guild-key-8")) == "lantern");
}

BOOST_AUTO_TEST_CASE(fields_are_copied_to_the_model)
{
  const std::vector<ConfigText> files{
    { "a.yaml",
      "services: {s: {deadline: 2s, max_in_flight: 7, probe_cost: 6ms}}\n"
      "zones: {z: {in_service: false}}\n" },
    { "b.yaml",
      "workspaces: {w: {rate: 60/min, burst: 5, keys: [" + kHash +
        "]}}\n"
        "routes: {r: {path: /p, key: query id, service: s, open: true}}\n" },
  };
  const auto model = parse(files);
  BOOST_REQUIRE(model.has_value());
  const Service& service = model->mServices.at("s");
  BOOST_TEST(service.mDeadline.mCount == 2000);
  BOOST_TEST(service.mMaxInFlight == 7U);
  BOOST_TEST(service.mProbeCost.mCount == 6);
  BOOST_TEST(!model->mZones.at("z").mInService);
  BOOST_TEST(model->mWorkspaces.at("w").mRatePerSecond == 1);
  BOOST_TEST(model->mWorkspaces.at("w").mBurst == 5);
  BOOST_REQUIRE(model->mRoutes.size() == 1U);
  BOOST_TEST((model->mRoutes[0].mKeySource == KeySource::Query));
  BOOST_TEST(model->mRoutes[0].mKeyName == "id");
  BOOST_TEST(model->mRoutes[0].mIsPublic);
  BOOST_TEST(!model->mRoutes[0].mIdempotent);
}

BOOST_AUTO_TEST_CASE(invalid_workspaces)
{
  const std::string burst = "    burst: 5\n";
  checkSingleFinding(
    workspaceWith("    rate: 0/s\n" + burst), 3, "rate is \"0/s\"");
  checkSingleFinding(
    workspaceWith("    rate: -4/s\n" + burst), 3, "rate is \"-4/s\"");
  checkSingleFinding(workspaceWith("    rate: 200\n" + burst), 3, "unit");
  checkSingleFinding(workspaceWith("    rate: 200ms\n" + burst), 3, "rate");
  checkSingleFinding(
    workspaceWith("    rate: [1/s]\n" + burst), 3, "wrong type");
  checkSingleFinding(workspaceWith("    rate:\n" + burst), 3, "wrong type");
  checkSingleFinding(workspaceWith(burst), 3, "rate is missing");
  checkSingleFinding(
    workspaceWith("    rate: 1/s\n    burst: 0\n"), 4, "burst");
  checkSingleFinding(
    workspaceWith("    rate: 1/s\n    burst: many\n"), 4, "burst");
  checkSingleFinding(
    workspaceWith("    rate: 1/s\n    burst: 5\n    rat: 2\n"), 5, "rat");
  checkSingleFinding(workspaceWith("    rate: 1/s\n    rate: 2/s\n" + burst),
                     4,
                     "repeats field rate");
  checkSingleFinding("workspaces: [w]\n", 1, "wrong type");
  checkSingleFinding("workspaces:\n  w: 5\n", 2, "not a mapping");
  checkSingleFinding(
    "workspaces:\n  W!: {rate: 1/s, burst: 1}\n", 2, "not a valid name");
}

BOOST_AUTO_TEST_CASE(invalid_key_hashes)
{
  const std::string base = "    rate: 1/s\n    burst: 5\n    keys:\n";
  checkSingleFinding(
    workspaceWith(base + "      - guild-key-1\n"), 6, "not a key hash");
  checkSingleFinding(
    workspaceWith(base + "      - " + std::string(64, 'A') + "\n"),
    6,
    "lower-case");
  checkSingleFinding(
    workspaceWith(base + "      - " + std::string(63, 'a') + "\n"), 6, "64");
  checkSingleFinding(
    workspaceWith("    rate: 1/s\n    burst: 5\n    keys: " + kHash),
    5,
    "wrong type");
  checkSingleFinding(
    workspaceWith(base + "      - " + kHash + "\n      - " + kHash),
    7,
    "already in workspace w");
  checkSingleFinding(workspaceWith(base + "      - " + kHash + "\n  v:\n" +
                                   base + "      - " + kHash + "\n"),
                     11,
                     "already in workspace w");
}

BOOST_AUTO_TEST_CASE(findings_do_not_contain_plain_text_keys)
{
  const Findings findings = findingsOf(
    "workspaces: {w: {rate: 1/s, burst: 1, keys: [secret-caller-key]}}");
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].toString().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_services_and_zones)
{
  checkSingleFinding("services:\n  s:\n    deadline: 800\n", 3, "deadline");
  checkSingleFinding("services:\n  s:\n    deadline: 0ms\n", 3, "deadline");
  checkSingleFinding("services:\n  s:\n    deadline: 2h\n", 3, "unit");
  checkSingleFinding(
    "services:\n  s:\n    checks_fence: maybe\n", 3, "true or false");
  checkSingleFinding(
    "services:\n  s:\n    max_in_flight: 0\n", 3, "max_in_flight");
  checkSingleFinding(
    "services:\n  s:\n    max_in_flight: 1.5\n", 3, "whole number");
  checkSingleFinding(
    "services:\n  s:\n    slots: 3\n", 3, "unknown field slots");
  checkSingleFinding("zones:\n  z:\n    in_service: 2\n", 3, "in_service");
  checkSingleFinding("zones:\n  z: {}\n  z: {}\n", 3, "zone z is repeated");
  checkSingleFinding("zone:\n  z: {}\n", 1, "unknown field zone");
}

BOOST_AUTO_TEST_CASE(invalid_routes)
{
  const std::string service = "    service: s\n";
  checkSingleFinding(
    routeWith("    path: /a/{key}\n    service: t\n"), 3, "service t");
  checkSingleFinding(
    routeWith("    path: /a/{key}\n"), 4, "service is missing");
  checkSingleFinding(
    routeWith("    path: a/{key}\n" + service), 4, "begin with /");
  checkSingleFinding(routeWith("    path: /a\n" + service), 4, "no {key}");
  checkSingleFinding(
    routeWith("    path: /{key}/{key}\n" + service), 4, "more than");
  checkSingleFinding(
    routeWith("    path: /*/{key}\n" + service), 4, "before its last");
  checkSingleFinding(
    routeWith("    path: /../{key}\n" + service), 4, "not allowed");
  checkSingleFinding(
    routeWith("    path: /a//{key}\n" + service), 4, "empty segment");
  checkSingleFinding(
    routeWith("    path: /{key}\n    method: get\n" + service), 5, "method");
  checkSingleFinding(
    routeWith("    path: /a\n    key: cookie x\n" + service), 5, "key");
  checkSingleFinding(
    routeWith("    path: /a\n    key: query\n" + service), 5, "key");
  checkSingleFinding(
    routeWith("    path: /a\n    key: header Authorization\n" + service),
    5,
    "not Authorization");
  checkSingleFinding(
    routeWith("    path: /{key}\n    key: query k\n" + service),
    4,
    "read elsewhere");
}

BOOST_AUTO_TEST_CASE(conflicting_routes)
{
  const std::string first =
    "services: {s: {}}\nroutes:\n"
    "  a: {method: GET, path: '/c/{key}', service: s}\n";
  checkSingleFinding(first +
                       "  b: {method: GET, path: '/{key}/d', service: s}\n",
                     4,
                     "conflicts with route a");
  checkSingleFinding(
    first + "  b: {path: '/{key}/*', service: s}\n", 4, "conflicts");
  BOOST_TEST(findingsOf(first + "  b: {method: POST, path: '/c/{key}', "
                                "service: s}\n")
               .empty());
  BOOST_TEST(patternsOverlap("/a/*", "/a"));
  BOOST_TEST(patternsOverlap("/a/b/{key}", "/a/*"));
  BOOST_TEST(!patternsOverlap("/a/b/{key}", "/a/c/{key}"));
  BOOST_TEST(!patternsOverlap("/a", "/a/b"));
  BOOST_TEST(!patternsOverlap("/", "/a"));
}

BOOST_AUTO_TEST_CASE(repeated_definitions_are_found_across_files)
{
  const Findings findings =
    findingsOf({ { "a.yaml", "zones: {z: {}}\n" },
                 { "b.yaml", "\nzones:\n  z: {in_service: false}\n" } });
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].mSource == "b.yaml");
  BOOST_TEST(findings[0].mLine == 3);
  BOOST_TEST(findings[0].mExpected.find("a.yaml:1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_yaml_and_structure)
{
  checkSingleFinding("zones:\n  z: {in_service: [}\n", 2, "invalid YAML");
  checkSingleFinding("zones: {\n", 2, "invalid YAML");
  checkSingleFinding("just text\n", 1, "not a mapping");
  checkSingleFinding("- a\n", 1, "not a mapping");
  checkSingleFinding("zones: {z: {}}\n---\nzones: {y: {}}\n", 2, "several");
  // YAML::LoadAll does not terminate on this text.
  checkSingleFinding(",zones: {}\n", 1, "text outside");
  checkSingleFinding("zones:\n  ? [a]\n  : {}\n", 2, "not a valid name");
  checkSingleFinding("", 0, "defines nothing");
  checkSingleFinding(std::string("zones: {}\n\0", 11), 2, "not text");
  checkSingleFinding("zones: {}\n# \xC3\x28\n", 2, "not text");
  checkSingleFinding(std::string(kMaxFileBytes + 1, '#'), 0, "larger");
}

BOOST_AUTO_TEST_CASE(deep_nesting_and_alias_expansion_are_cheap)
{
  BOOST_TEST(!findingsOf(std::string(100000, '[')).empty());
  std::string text = "zones: &a0 {z: {}}\n";
  for (int it = 1; it < 40; ++it) {
    const std::string last = std::to_string(it - 1);
    text += "x" + std::to_string(it) + ": &a" + std::to_string(it) + " [*a" +
            last + ", *a" + last + "]\n";
  }
  BOOST_TEST(findingsOf(text).size() == 39U);
}

BOOST_AUTO_TEST_CASE(all_errors_are_found_in_one_pass)
{
  const Findings findings =
    findingsOf("workspaces:\n"
               "  w: {rate: -1/s, burst: x, keys: [k], extra: 1}\n"
               "services:\n"
               "  s: {deadline: 1}\n"
               "routes:\n"
               "  r: {path: /p, service: t}\n"
               "zones:\n"
               "  z: {in_service: 1}\n");
  BOOST_TEST(findings.size() == 8U);
}

BOOST_AUTO_TEST_CASE(text_check)
{
  BOOST_TEST(firstNonTextLine("plain\nÁrbol €\n\xF0\x9F\x8C\xB1") == 0);
  BOOST_TEST(firstNonTextLine("a\n\xC0\x80") == 2);
  BOOST_TEST(firstNonTextLine("\xED\xA0\x80") == 1);
  BOOST_TEST(firstNonTextLine("\xF4\x90\x80\x80") == 1);
  BOOST_TEST(firstNonTextLine("\xE2\x82") == 1);
}

BOOST_AUTO_TEST_CASE(folder_is_read_in_name_order)
{
  TempFolder folder;
  folder.write("20.yaml", "zones: {b: {}}\n");
  folder.write("10.yaml", "zones: {a: {}}\n");
  folder.write("README.md", "not read");
  const auto files = readFolder(folder.path());
  BOOST_REQUIRE(files.has_value());
  BOOST_REQUIRE(files->size() == 2U);
  BOOST_TEST((*files)[0].mName == "10.yaml");
  BOOST_TEST((*files)[1].mText == "zones: {b: {}}\n");
}

BOOST_AUTO_TEST_CASE(invalid_folders)
{
  TempFolder folder;
  BOOST_TEST(!readFolder(folder.path()).has_value());
  BOOST_TEST(!readFolder(folder.path() / "missing").has_value());
  folder.write("big.yaml", std::string(10U << 20, '#'));
  folder.write("nul.yaml", std::string("zones: {}\0", 10));
  folder.write("other.yml", "zones: {}\n");
  folder.write("wrong.yaml", "zones: {z: {in_service: 1}}\n");
  folder.makeSubfolder("sub.yaml");
  const auto files = readFolder(folder.path());
  BOOST_REQUIRE(!files.has_value());
  for (const Finding& finding : files.error()) {
    BOOST_TEST_MESSAGE(finding.toString());
  }
  BOOST_TEST(files.error().size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
