#include "radishroad/daemon/settings.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace radishroad;

namespace {

using Environment = std::map<std::string, std::string>;

tl::expected<DaemonCommand, Findings>
read(std::vector<const char*> aArguments, const Environment& aEnvironment)
{
  aArguments.insert(aArguments.begin(), "radishroadd");
  const int count = static_cast<int>(aArguments.size());
  aArguments.push_back(nullptr);
  return readSettings(count, aArguments.data(), [&](const std::string& aName) {
    const auto it = aEnvironment.find(aName);
    return it == aEnvironment.end() ? std::nullopt
                                    : std::optional<std::string>(it->second);
  });
}

const Environment kWhole{
  { "RADISHROAD_VM", "vm-1" },
  { "RADISHROAD_ZONE", "nashua" },
  { "RADISHROAD_SERVICE", "catalog" },
  { "RADISHROAD_CALLER_ADDRESS", "127.0.0.1:8080" },
  { "RADISHROAD_PEER_ADDRESS", "127.0.0.1:7400" },
  { "RADISHROAD_OPERATOR_ADDRESS", "127.0.0.1:8090" },
  { "RADISHROAD_UPSTREAM_ADDRESS", "127.0.0.1:9000" },
  { "RADISHROAD_LOG_ADDRESS", "127.0.0.1:9500" },
};

}

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(flag_goes_before_environment)
{
  const auto command = read({ "--vm", "vm-2", "--check" }, kWhole);
  BOOST_REQUIRE(command.has_value());
  BOOST_TEST(command->mSettings.mVm == "vm-2");
  BOOST_TEST(command->mSettings.mZone == "nashua");
  BOOST_TEST(command->mSettings.mAdvertisePeerAddress == "127.0.0.1:7400");
  BOOST_TEST(command->mCheckOnly);
}

BOOST_AUTO_TEST_CASE(the_platform_needs_two_more_addresses)
{
  const auto bare = read({ "--protocol", "platform" }, kWhole);
  BOOST_REQUIRE(!bare.has_value());
  BOOST_TEST(bare.error().size() == 2U);
  BOOST_TEST(bare.error()[0].mSource == "--ready-address");
  const auto whole = read({ "--protocol",
                            "platform",
                            "--ready-address",
                            "127.0.0.1:1",
                            "--report-address",
                            "127.0.0.1:2",
                            "--drain-time-ms",
                            "1500" },
                          kWhole);
  BOOST_REQUIRE(whole.has_value());
  BOOST_TEST(whole->mSettings.isPlatform());
  BOOST_TEST(whole->mSettings.drainTime().mCount == 1500);
}

BOOST_AUTO_TEST_CASE(durations_and_protocols_are_checked)
{
  const auto wrong =
    read({ "--protocol", "other", "--stop-time-ms", "6s" }, kWhole);
  BOOST_REQUIRE(!wrong.has_value());
  BOOST_TEST(wrong.error().size() == 2U);
  BOOST_TEST(wrong.error()[0].mExpected == "own or platform");
  BOOST_TEST(!read({ "--drain-time-ms", "0" }, kWhole).has_value());
}

BOOST_AUTO_TEST_CASE(all_mistakes_are_reported_together)
{
  Environment environment = kWhole;
  environment.erase("RADISHROAD_ZONE");
  environment["RADISHROAD_PEER_ADDRESS"] = "localhost:7400";
  const auto command = read({ "--log-level",
                              "loud",
                              "--caller-threads",
                              "0",
                              "--caller-address",
                              "127.0.0.1:70000" },
                            environment);
  BOOST_REQUIRE(!command.has_value());
  BOOST_TEST(command.error().size() == 5U);
}

BOOST_AUTO_TEST_CASE(unknown_flag_and_argument_are_refused)
{
  BOOST_TEST(!read({ "--colour", "red" }, kWhole).has_value());
  BOOST_TEST(!read({ "extra" }, kWhole).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
