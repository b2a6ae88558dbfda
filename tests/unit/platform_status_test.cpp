#include "platform/status_store.h"

#include "platform/store.h"
#include "support/fake_store.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using test::FakeStore;

namespace {

std::string
storedStatus(const FakeStore& aStore)
{
  platform::StoreClient client(aStore.address());
  const Result<platform::KeyedRecords> newest =
    client.newest("keyed.status", 2000_ms);
  BOOST_REQUIRE(newest.has_value());
  std::string value;
  for (const platform::KeyedRecord& record : newest->mRecords) {
    if (record.mKey == "rollout/huvo") {
      value.assign(record.mValue.begin(), record.mValue.end());
    }
  }
  return value;
}

}

BOOST_AUTO_TEST_SUITE(platform_status)

BOOST_AUTO_TEST_CASE(status_is_written_once)
{
  FakeStore store;
  const RolloutStatusStore status =
    platform::openRolloutStatus(store.address());
  const auto write = [&status](RolloutState aState) {
    return status.mWrite("huvo", "v2", aState, 2000_ms).has_value();
  };
  BOOST_TEST(write(RolloutState::Running));
  BOOST_TEST(storedStatus(store) == R"({"State":"running","To":"v2"})");
  BOOST_TEST(write(RolloutState::RolledBack));
  BOOST_TEST(storedStatus(store) == R"({"State":"rolled_back","To":"v2"})");
  // Repeated after an answer that was lost.
  store.setFault(FakeStore::Fault::RejectsAppends);
  BOOST_TEST(write(RolloutState::RolledBack));
  BOOST_TEST(!write(RolloutState::Completed));
  BOOST_TEST(storedStatus(store) == R"({"State":"rolled_back","To":"v2"})");
}

BOOST_AUTO_TEST_CASE(status_is_written_again_after_a_restore)
{
  FakeStore store;
  const RolloutStatusStore status =
    platform::openRolloutStatus(store.address());
  BOOST_TEST(
    status.mWrite("huvo", "v2", RolloutState::Running, 2000_ms).has_value());
  store.copy();
  BOOST_TEST(
    status.mWrite("huvo", "v2", RolloutState::Completed, 2000_ms).has_value());
  store.restore();
  BOOST_TEST(storedStatus(store) == R"({"State":"running","To":"v2"})");
  BOOST_TEST(
    status.mWrite("huvo", "v2", RolloutState::Completed, 2000_ms).has_value());
  BOOST_TEST(storedStatus(store) == R"({"State":"completed","To":"v2"})");
}

BOOST_AUTO_TEST_SUITE_END()
