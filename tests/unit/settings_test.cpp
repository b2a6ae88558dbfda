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

const Environment kCompleteEnvironment{
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

BOOST_AUTO_TEST_CASE(flag_overrides_environment)
{
  const auto command =
    read({ "--vm", "vm-2", "--check" }, kCompleteEnvironment);
  BOOST_REQUIRE(command.has_value());
  BOOST_TEST(command->mSettings.mVm == "vm-2");
  BOOST_TEST(command->mSettings.mZone == "nashua");
  BOOST_TEST(command->mSettings.mAdvertisePeerAddress == "127.0.0.1:7400");
  BOOST_TEST(command->mCheckOnly);
}

BOOST_AUTO_TEST_CASE(platform_protocol_requires_two_more_addresses)
{
  const auto incomplete =
    read({ "--protocol", "platform" }, kCompleteEnvironment);
  BOOST_REQUIRE(!incomplete.has_value());
  BOOST_TEST(incomplete.error().size() == 2U);
  BOOST_TEST(incomplete.error()[0].mSource == "--ready-address");
  const auto complete = read({ "--protocol",
                               "platform",
                               "--ready-address",
                               "127.0.0.1:1",
                               "--report-address",
                               "127.0.0.1:2",
                               "--drain-time-ms",
                               "1500" },
                             kCompleteEnvironment);
  BOOST_REQUIRE(complete.has_value());
  BOOST_TEST(complete->mSettings.isPlatform());
  BOOST_TEST(complete->mSettings.drainTime().mCount == 1500);
}

BOOST_AUTO_TEST_CASE(invalid_durations_and_protocols_are_rejected)
{
  const auto rejected = read({ "--protocol", "other", "--stop-time-ms", "6s" },
                             kCompleteEnvironment);
  BOOST_REQUIRE(!rejected.has_value());
  BOOST_TEST(rejected.error().size() == 2U);
  BOOST_TEST(rejected.error()[0].mExpected == "own or platform");
  BOOST_TEST(
    !read({ "--drain-time-ms", "0" }, kCompleteEnvironment).has_value());
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together)
{
  Environment environment = kCompleteEnvironment;
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

BOOST_AUTO_TEST_CASE(unknown_flag_and_argument_are_rejected)
{
  BOOST_TEST(!read({ "--colour", "red" }, kCompleteEnvironment).has_value());
  BOOST_TEST(!read({ "extra" }, kCompleteEnvironment).has_value());
}

BOOST_AUTO_TEST_CASE(memory_for_bodies_is_a_part_of_the_memory)
{
  const auto standard = read({}, kCompleteEnvironment);
  BOOST_REQUIRE(standard.has_value());
  BOOST_TEST(standard->mSettings.bodyMemoryBytes() == (56U << 20));
  const auto given =
    read({ "--memory-mb", "512", "--body-memory-percent", "50" },
         kCompleteEnvironment);
  BOOST_REQUIRE(given.has_value());
  BOOST_TEST(given->mSettings.bodyMemoryBytes() == (256U << 20));
  const auto rejected =
    read({ "--memory-mb", "63", "--body-memory-percent", "51" },
         kCompleteEnvironment);
  BOOST_REQUIRE(!rejected.has_value());
  BOOST_TEST(rejected.error().size() == 2U);
  BOOST_TEST(rejected.error()[0].mSource == "--memory-mb");
}

BOOST_AUTO_TEST_SUITE_END()
