#include "radishroad/base/hash.h"
#include "radishroad/operator/command_table.h"
#include "radishroad/operator/event_merge.h"
#include "radishroad/operator/zone_edit.h"
#include "radishroad/state/cell_state.h"
#include "support/fake_platform.h"
#include "support/temp_folder.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace radishroad;
using radishroad::test::FakePlatform;
using radishroad::test::TempFolder;

namespace {

using Words = std::vector<std::string>;

const std::string kExampleFolder = RADISHROAD_SOURCE_DIR "/examples/guild";

class Fixture
{
public:
  CommandOutput run(Words aWords)
  {
    const GetEnvFn getEnv =
      [](const std::string& aName) -> std::optional<std::string> {
      if (aName == "RADISHROAD_LOG_ADDRESS") {
        return "127.0.0.1:9500";
      }
      return aName == "USER" ? std::optional<std::string>("tester")
                             : std::nullopt;
    };
    return runCommandLine(aWords, getEnv, [this](const std::string&) {
      return mPlatform.commandContext();
    });
  }

  ExitCode exitCodeOf(Words aWords) { return run(std::move(aWords)).mCode; }

  nlohmann::json json(Words aWords)
  {
    aWords.emplace_back("--json");
    return nlohmann::json::parse(run(std::move(aWords)).mOut);
  }

  /// Publishes a configuration on top of version aBase as another operator.
  void publishAsOtherOperator(std::uint64_t aBase)
  {
    wire::PublishT change;
    change.base_version = aBase;
    change.operator_name = "other";
    std::unique_ptr<wire::ConfigFileT> file =
      std::make_unique<wire::ConfigFileT>();
    file->name = "a.yaml";
    file->text = "zones: {z: {in_service: true}}\n";
    change.files.push_back(std::move(file));
    mPlatform.put(std::string(kConfigStream), std::move(change));
  }

  FakePlatform mPlatform;
};

bool
contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_FIXTURE_TEST_CASE(command_line_parsing_and_help, Fixture)
{
  BOOST_TEST((exitCodeOf({}) == ExitCode::Usage));
  BOOST_TEST((exitCodeOf({ "frobnicate" }) == ExitCode::Usage));
  BOOST_TEST((exitCodeOf({ "--help" }) == ExitCode::Ok));
  BOOST_TEST((exitCodeOf({ "config", "--help" }) == ExitCode::Ok));
  BOOST_TEST((exitCodeOf({ "config", "check" }) == ExitCode::Usage));
  BOOST_TEST((exitCodeOf({ "config", "check", "a", "b" }) == ExitCode::Usage));
  BOOST_TEST(
    (exitCodeOf({ "config", "check", "--wait", "a" }) == ExitCode::Usage));
  BOOST_TEST(
    (exitCodeOf({ "publish", "--timeout", "5", "a" }) == ExitCode::Usage));
  BOOST_TEST(
    (exitCodeOf({ "publish", "--base", "x", "a" }) == ExitCode::Usage));
  BOOST_TEST(
    (exitCodeOf({ "owners", "--log-address", "here" }) == ExitCode::Usage));
  for (const Command& command : allCommands()) {
    Words words;
    const std::string name(command.mName);
    const std::size_t space = name.find(' ');
    words.push_back(name.substr(0, space));
    if (space != std::string::npos) {
      words.push_back(name.substr(space + 1));
    }
    words.emplace_back("--help");
    const CommandOutput help = run(words);
    BOOST_TEST((help.mCode == ExitCode::Ok), name);
    BOOST_TEST(contains(help.mOut, "Usage: radishroad " + name), help.mOut);
    BOOST_TEST(contains(help.mOut, "--json"), help.mOut);
    BOOST_TEST(contains(help.mOut, "Exit codes"), help.mOut);
  }
}

BOOST_FIXTURE_TEST_CASE(check_reports_all_findings, Fixture)
{
  BOOST_TEST(
    (exitCodeOf({ "config", "check", kExampleFolder }) == ExitCode::Ok));
  TempFolder folder;
  folder.write("a.yaml", "zones:\n  z: {in_service: 1}\n  y: {a: b}\n");
  const Words words{ "check", folder.path().string() };
  BOOST_TEST((exitCodeOf(words) == ExitCode::Negative));
  const nlohmann::json findings = json(words).at("findings");
  BOOST_REQUIRE(findings.size() == 2U);
  BOOST_TEST(findings[0].at("file") == "a.yaml");
  BOOST_TEST(findings[0].at("line") == 2);
  BOOST_TEST(findings[0].at("expected") == "true or false");
}

BOOST_FIXTURE_TEST_CASE(invalid_configuration_is_never_published, Fixture)
{
  TempFolder folder;
  folder.write("a.yaml", "zones: {z: {in_service: 1}}\n");
  BOOST_TEST(
    (exitCodeOf({ "publish", folder.path().string() }) == ExitCode::Negative));
  BOOST_TEST(mPlatform.recordCount("config") == 0U);
}

BOOST_FIXTURE_TEST_CASE(publish_show_and_diff, Fixture)
{
  BOOST_TEST((exitCodeOf({ "config", "show" }) == ExitCode::Negative));
  nlohmann::json result = json({ "config", "publish", kExampleFolder });
  BOOST_TEST(result.at("outcome") == "published");
  BOOST_TEST(result.at("version") == 1);
  result = json({ "publish", kExampleFolder });
  BOOST_TEST(result.at("outcome") == "unchanged");
  BOOST_TEST(mPlatform.recordCount("config") == 1U);
  const nlohmann::json shown = json({ "config", "show" });
  BOOST_TEST(shown.at("operator") == "tester");
  BOOST_TEST(shown.at("files").size() == 4U);
  BOOST_TEST(
    (exitCodeOf({ "config", "diff", kExampleFolder }) == ExitCode::Ok));
  TempFolder folder;
  folder.write("a.yaml", "zones: {nashua: {in_service: false}}\n");
  const CommandOutput diff = run({ "diff", folder.path().string() });
  BOOST_TEST((diff.mCode == ExitCode::Negative));
  BOOST_TEST(
    contains(diff.mOut, "replace /zones/nashua/in_service true -> false\n"),
    diff.mOut);
}

BOOST_FIXTURE_TEST_CASE(lost_publish_race_names_the_winner, Fixture)
{
  mPlatform.mBeforeAppend = [this] { publishAsOtherOperator(0); };
  const CommandOutput lost = run({ "publish", kExampleFolder });
  BOOST_TEST((lost.mCode == ExitCode::Negative));
  BOOST_TEST(
    contains(lost.mError, "lost the publish race to other: version 1"));
  BOOST_TEST(json({ "config", "show" }).at("operator") == "other");
  // An outdated base version is rejected even without a concurrent publish.
  publishAsOtherOperator(1);
  const nlohmann::json late =
    json({ "publish", "--base", "0", kExampleFolder });
  BOOST_TEST(late.at("outcome") == "lost");
  BOOST_TEST(late.at("version") == 2);
  BOOST_TEST((exitCodeOf({ "publish", "--base", "7", kExampleFolder }) ==
              ExitCode::Negative));
  BOOST_TEST(json({ "publish", "--base", "2", kExampleFolder }).at("version") ==
             3);
}

BOOST_FIXTURE_TEST_CASE(lost_append_response_is_resolved_by_reading_back,
                        Fixture)
{
  mPlatform.mLoseAnswers = 1;
  const nlohmann::json result = json({ "publish", kExampleFolder });
  BOOST_TEST(result.at("outcome") == "published");
  BOOST_TEST(mPlatform.recordCount("config") == 1U);
}

BOOST_FIXTURE_TEST_CASE(failed_append_is_retried, Fixture)
{
  mPlatform.mAppendsFail = true;
  mPlatform.mOnSleep = [this] { mPlatform.mAppendsFail = false; };
  BOOST_TEST(json({ "publish", kExampleFolder }).at("outcome") == "published");
}

BOOST_FIXTURE_TEST_CASE(failed_append_and_unknown_outcome_are_distinguished,
                        Fixture)
{
  mPlatform.mAppendsFail = true;
  CommandOutput result = run({ "publish", "--timeout", "2s", kExampleFolder });
  BOOST_TEST((result.mCode == ExitCode::Unavailable));
  BOOST_TEST(contains(result.mError, "was not appended"), result.mError);
  mPlatform.mAppendsFail = false;
  mPlatform.mLoseAnswers = 1;
  mPlatform.mBeforeAppend = [this] { mPlatform.mReadsFail = true; };
  result = run({ "publish", "--timeout", "2s", kExampleFolder });
  BOOST_TEST((result.mCode == ExitCode::Unavailable));
  BOOST_TEST(contains(result.mError, "not known"), result.mError);
  BOOST_TEST((exitCodeOf({ "owners" }) == ExitCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(wait_lists_lagging_daemons, Fixture)
{
  mPlatform.putMember("catalog", "n1", 11);
  mPlatform.putMember("catalog", "n2", 12);
  mPlatform.putMember("library", "n3", 13);
  mPlatform.setState("n1", 1);
  mPlatform.setState("n2", 0);
  const Words words{ "publish", "--wait", "--timeout", "2s", kExampleFolder };
  const CommandOutput lagging = run(words);
  BOOST_TEST((lagging.mCode == ExitCode::Negative));
  BOOST_TEST(contains(lagging.mOut, "n2 (catalog): has version 0"));
  BOOST_TEST(contains(lagging.mOut, "n3 (library): does not answer"));
  BOOST_TEST(!contains(lagging.mOut, "n1"));
  mPlatform.mOnSleep = [this] {
    mPlatform.setState("n2", 1);
    mPlatform.setState("n3", 1);
  };
  const nlohmann::json result = json(words);
  BOOST_TEST(result.at("live_daemons") == 3);
  BOOST_TEST(result.at("not_in_force_at").empty());
}

BOOST_FIXTURE_TEST_CASE(status_and_owners, Fixture)
{
  run({ "publish", kExampleFolder });
  mPlatform.putMember("catalog", "n1", 11);
  mPlatform.setState("n1", 1);
  wire::AssignT assign;
  assign.proposer = 11;
  const std::uint64_t hash = hash64("k");
  assign.grants.emplace_back(shardOf(hash), 0, 11);
  mPlatform.put(cellStream("catalog"), std::move(assign));
  const nlohmann::json statusJson = json({ "status" });
  BOOST_TEST((exitCodeOf({ "status" }) == ExitCode::Ok));
  BOOST_REQUIRE(statusJson.at("members").size() == 1U);
  BOOST_TEST(statusJson.at("members")[0].at("holds_lease") == true);
  mPlatform.mHttpResponses.clear();
  BOOST_TEST((exitCodeOf({ "status" }) == ExitCode::Negative));
  const nlohmann::json key =
    json({ "owners", "--service", "catalog", "--key", "k" });
  const nlohmann::json& owner = key.at("services").at("catalog");
  BOOST_TEST(owner.at("owner") == "n1");
  BOOST_TEST(owner.at("epoch") == 1);
  BOOST_TEST(owner.at("shard") == shardOf(hash));
  BOOST_TEST(
    (exitCodeOf({ "owners", "--service", "x" }) == ExitCode::Negative));
}

BOOST_FIXTURE_TEST_CASE(split_keys_are_shown_by_their_hash, Fixture)
{
  run({ "publish", kExampleFolder });
  mPlatform.putMember("catalog", "n1", 11);
  mPlatform.putMember("catalog", "n2", 12);
  const std::uint64_t hash = hash64("k");
  wire::AssignT assign;
  assign.proposer = 11;
  assign.grants.emplace_back(shardOf(hash), 0, 11);
  mPlatform.put(cellStream("catalog"), std::move(assign));
  wire::SplitKeyT split;
  split.incarnation = 11;
  split.key_hash = hash;
  split.shard = shardOf(hash);
  split.base_epoch = 1;
  split.to = 12;
  mPlatform.put(cellStream("catalog"), split);
  const nlohmann::json ownersJson = json({ "owners", "--service", "catalog" });
  const nlohmann::json& keys =
    ownersJson.at("services").at("catalog").at("split_keys");
  BOOST_REQUIRE(keys.size() == 1U);
  BOOST_TEST(keys[0].at("key_hash") == std::to_string(hash));
  BOOST_TEST(keys[0].at("owner") == "n2");
  BOOST_TEST(keys[0].at("epoch") == 2);
  const std::string row =
    std::to_string(shardOf(hash)) + " key " + std::to_string(hash);
  BOOST_TEST(contains(run({ "owners", "--shards" }).mOut, row));
  BOOST_TEST(contains(run({ "owners" }).mOut, "split keys"));
}

BOOST_FIXTURE_TEST_CASE(status_falls_back_to_one_daemon_if_the_log_is_down,
                        Fixture)
{
  mPlatform.mReadsFail = true;
  mPlatform.setState("n1", 4);
  mPlatform.mHttpResponses["127.0.0.1:90/state"] =
    R"({"cells":{"catalog":{"members":[
        {"vm":"n1","status":"active","operator_address":"n1:1"},
        {"vm":"n0","status":"left","operator_address":"n0:1"}]}}})";
  const Words words{ "status", "--daemon", "127.0.0.1:90" };
  BOOST_TEST((exitCodeOf(words) == ExitCode::Ok));
  const nlohmann::json statusJson = json(words);
  BOOST_TEST(statusJson.at("log_answers") == false);
  BOOST_REQUIRE(statusJson.at("members").size() == 1U);
  BOOST_TEST(statusJson.at("members")[0].at("config_version") == 4);
  BOOST_TEST((exitCodeOf({ "status" }) == ExitCode::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(drain_vm, Fixture)
{
  run({ "publish", kExampleFolder });
  mPlatform.putMember("library", "n1", 11);
  BOOST_TEST((exitCodeOf({ "drain", "vm", "n9", "on" }) == ExitCode::Negative));
  BOOST_TEST((exitCodeOf({ "drain", "vm", "n1", "maybe" }) == ExitCode::Usage));
  BOOST_TEST((exitCodeOf({ "drain", "n1", "on" }) == ExitCode::Usage));
  const nlohmann::json result = json({ "drain", "vm", "n1", "on" });
  BOOST_TEST(result.at("services") == nlohmann::json::array({ "library" }));
  BOOST_TEST(mPlatform.recordCount(cellStream("library")) == 2U);
  BOOST_TEST(mPlatform.recordCount(cellStream("catalog")) == 0U);
  BOOST_TEST((exitCodeOf({ "drain", "vm", "n1", "off" }) == ExitCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(drain_zone_publishes_a_version, Fixture)
{
  run({ "publish", kExampleFolder });
  const nlohmann::json result = json({ "drain", "zone", "nashua", "on" });
  BOOST_TEST(result.at("version") == 2);
  const CommandOutput diff = run({ "diff", kExampleFolder });
  BOOST_TEST(diff.mOut == "replace /zones/nashua/in_service false -> true\n");
  BOOST_TEST(
    (exitCodeOf({ "drain", "zone", "x", "on" }) == ExitCode::Negative));
  BOOST_TEST(json({ "drain", "zone", "nashua", "on" }).at("outcome") ==
             "unchanged");
}

BOOST_AUTO_TEST_CASE(zone_edit_changes_only_in_service)
{
  const std::vector<ConfigText> files{
    { "a.yaml",
      "# é\nzones: {y: {in_service: true}, z: {in_service: true}}\n" },
    { "b.yaml", "zones:\n  x: {}\n" }
  };
  const auto edited = withZoneInService(files, "z", false);
  BOOST_REQUIRE(edited.has_value());
  BOOST_TEST((*edited)[0].mText ==
             "# é\nzones: {y: {in_service: true}, z: {in_service: false}}\n");
  BOOST_TEST(((*edited)[1] == files[1]));
  const auto unstated = withZoneInService(files, "x", false);
  BOOST_REQUIRE(!unstated.has_value());
  BOOST_TEST((unstated.error().mCode == ErrorCode::InvalidArgument));
  const auto missing = withZoneInService(files, "w", false);
  BOOST_REQUIRE(!missing.has_value());
  BOOST_TEST((missing.error().mCode == ErrorCode::NotFound));
}

BOOST_FIXTURE_TEST_CASE(declare_lost, Fixture)
{
  run({ "publish", kExampleFolder });
  mPlatform.putMember("catalog", "n1", 11);
  mPlatform.mHttpResponses["n1:1/health"] = "{}";
  const CommandOutput alive = run({ "declare-lost", "n1" });
  BOOST_TEST((alive.mCode == ExitCode::Negative));
  BOOST_TEST(contains(alive.mError, "not destroyed"));
  mPlatform.mHttpResponses.clear();
  BOOST_TEST(json({ "declare-lost", "n1" }).at("incarnation") == "11");
  BOOST_TEST((exitCodeOf({ "declare-lost", "n1" }) == ExitCode::Negative));
}

BOOST_FIXTURE_TEST_CASE(key_hash, Fixture)
{
  BOOST_TEST(run({ "key", "hash", "abc" }).mOut == sha256Hex("abc") + "\n");
  BOOST_TEST(json({ "key", "hash", "abc" }).at("hash") == sha256Hex("abc"));
}

BOOST_AUTO_TEST_CASE(events_are_merged_in_order)
{
  const std::vector<std::string> sources{
    "{\"ms\":5,\"event\":\"b\",\"vm\":\"n1\",\"key\":\"k\"}\n"
    "{\"ms\":5,\"event\":\"c\",\"vm\":\"n1\"}\n"
    "not json\n{\"ms\":\"x\",\"event\":\"bad\"}\n[1]\n",
    "{\"ms\":9,\"event\":\"d\",\"vm\":\"n2\",\"request_id\":\"r\"}\n"
    "{\"ms\":1,\"event\":\"a\",\"vm\":\"n2\"}",
    "{\"ms\":5,\"event\":\"c\",\"vm\":\"n1\"}\n",
  };
  const auto namesOf = [&sources](const EventFilter& aFilter) {
    std::string names;
    for (const auto& event : mergeEvents(sources, aFilter)) {
      names += event.at("event").get<std::string>();
    }
    return names;
  };
  BOOST_TEST(namesOf({}) == "abcd");
  BOOST_TEST(namesOf({ "n1", "", "", "" }) == "bc");
  BOOST_TEST(namesOf({ "", "d", "", "" }) == "d");
  BOOST_TEST(namesOf({ "", "", "r", "" }) == "d");
  BOOST_TEST(namesOf({ "", "", "", "k" }) == "b");
  const auto events = mergeEvents(sources, {});
  BOOST_TEST(eventToText(events[1]) == "1970-01-01T00:00:00.005Z n1 b key=k");
}

BOOST_FIXTURE_TEST_CASE(timeline_of_files_and_daemons, Fixture)
{
  TempFolder folder;
  folder.write("n9.log", "{\"ms\":1,\"event\":\"old\",\"vm\":\"n9\"}\n");
  run({ "publish", kExampleFolder });
  mPlatform.putMember("catalog", "n1", 11);
  mPlatform.mHttpResponses["n1:1/events"] =
    "{\"ms\":2,\"event\":\"new\",\"vm\":\"n1\"}\n";
  const std::string file = (folder.path() / "n9.log").string();
  const nlohmann::json events = json({ "timeline", file });
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(events[0].at("event") == "old");
  BOOST_TEST((exitCodeOf({ "timeline", file }) == ExitCode::Ok));
  const CommandOutput partial = run({ "timeline", file, "/no/such/file" });
  BOOST_TEST((partial.mCode == ExitCode::Negative));
  BOOST_TEST(contains(partial.mError, "cannot read /no/such/file"));
}

BOOST_FIXTURE_TEST_CASE(explain_reads_files_and_reports_the_cause, Fixture)
{
  TempFolder folder;
  folder.write("a.log",
               R"({"ms":1,"event":"request","vm":"a","request_id":"r",)"
               R"("outcome":"not-run","reason":"no-route","sent_to":"0",)"
               R"("config_version":7})"
               "\n");
  const std::string file = (folder.path() / "a.log").string();
  const nlohmann::json explanation = json({ "explain", "r", file });
  BOOST_TEST(explanation.at("cause") ==
             "refused by configuration version 7: no-route");
  folder.write("b.log",
               R"({"ms":1,"event":"request","vm":"a","request_id":"r",)"
               R"("outcome":"not-run","reason":"no-route","sent_to":"0",)"
               R"("config_version":7,"config_age_ms":900})"
               "\n");
  const std::string withAge = (folder.path() / "b.log").string();
  BOOST_TEST(json({ "explain", "r", withAge }).at("cause") ==
             "refused by configuration version 7: no-route, 900 ms after it "
             "was known to be the newest");
  BOOST_TEST((exitCodeOf({ "explain", "r", file }) == ExitCode::Ok));
  BOOST_TEST((exitCodeOf({ "explain", "other", file }) == ExitCode::Negative));
  BOOST_TEST((exitCodeOf({ "explain", "r" }) == ExitCode::Usage));
  BOOST_TEST(
    (exitCodeOf({ "explain", "r", "/no/such/file" }) == ExitCode::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
