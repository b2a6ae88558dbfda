#include "unit/ownership_model.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace ownership_model;

namespace {

constexpr std::uint32_t kSeeds = 300;
constexpr std::uint32_t kMutantSeeds = 300;
constexpr Millis kRecoveryLimit{ 2000 };
/// The recovery limit without the wait of a new owner whose upstream does not
/// check fencing epochs.
constexpr Millis kUnfencedRecoveryLimit{ 1500 };

/// RADISHROAD_MODEL_SEEDS sets the number of seeds for longer manual runs.
std::uint32_t
seedCount()
{
  const char* asked = std::getenv("RADISHROAD_MODEL_SEEDS");
  return asked == nullptr
           ? kSeeds
           : static_cast<std::uint32_t>(std::strtoul(asked, nullptr, 10));
}

/// Returns the first seed on which the disabled rule lets two daemons serve at
/// the same time; 0 if there is none.
std::uint32_t
firstViolation(Mutant aMutant, HandOffs aHandOffs = HandOffs::Shards)
{
  for (std::uint32_t seed = 1; seed <= kMutantSeeds; ++seed) {
    const Outcome outcome = Model(seed, aMutant, aHandOffs).run();
    if (outcome.mViolated) {
      BOOST_TEST_MESSAGE("violated by seed " << seed << " at "
                                             << outcome.mViolatedAt.mCount
                                             << " ms");
      return seed;
    }
  }
  return 0;
}

}

BOOST_AUTO_TEST_SUITE(ownership_model_runs)

BOOST_AUTO_TEST_CASE(shards_have_one_server_and_recover_soon)
{
  int expulsions = 0;
  int rewitnesses = 0;
  double share = 0;
  std::vector<Millis> recoveries;
  const std::uint32_t seeds = seedCount();
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome = Model(seed, Mutant::None).run();
    BOOST_TEST(!outcome.mViolated,
               "seed " << seed << ": two servers at "
                       << outcome.mViolatedAt.mCount);
    const Millis recovery = outcome.mRecoveryTime.value_or(kEnd);
    BOOST_TEST((recovery <= kRecoveryLimit),
               "seed " << seed << ": recovery took " << recovery.mCount);
    recoveries.push_back(recovery);
    expulsions += outcome.mExpulsions;
    rewitnesses += outcome.mRewitnesses;
    share += outcome.mServedShare;
  }
  std::ranges::sort(recoveries);
  BOOST_TEST_MESSAGE(seeds << " seeds, " << expulsions << " expulsions, "
                           << rewitnesses << " witness set changes, served "
                           << share / seeds << "; recovery median "
                           << recoveries[seeds / 2].mCount << " ms, worst "
                           << recoveries.back().mCount << " ms");
  // Runs without expulsions and witness changes would prove nothing.
  BOOST_TEST(expulsions > static_cast<int>(seeds));
  BOOST_TEST(rewitnesses > static_cast<int>(seeds));
  BOOST_TEST(share / seeds > 0.3);
}

BOOST_AUTO_TEST_CASE(split_keys_have_one_server_and_recover_soon)
{
  int expulsions = 0;
  int keyMoves = 0;
  std::vector<Millis> recoveries;
  const std::uint32_t seeds = seedCount();
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome =
      Model(seed, Mutant::None, HandOffs::ShardsAndKeys).run();
    BOOST_TEST(!outcome.mViolated,
               "seed " << seed << ": two servers at "
                       << outcome.mViolatedAt.mCount);
    const Millis recovery = outcome.mRecoveryTime.value_or(kEnd);
    BOOST_TEST((recovery <= kRecoveryLimit),
               "seed " << seed << ": recovery took " << recovery.mCount);
    recoveries.push_back(recovery);
    expulsions += outcome.mExpulsions;
    keyMoves += outcome.mKeyMoves;
  }
  std::ranges::sort(recoveries);
  BOOST_TEST_MESSAGE(seeds << " seeds, " << expulsions << " expulsions, "
                           << keyMoves << " key moves; recovery median "
                           << recoveries[seeds / 2].mCount << " ms, worst "
                           << recoveries.back().mCount << " ms");
  BOOST_TEST(expulsions > static_cast<int>(seeds));
  BOOST_TEST(keyMoves > 3 * static_cast<int>(seeds));
}

BOOST_AUTO_TEST_CASE(serving_a_key_during_its_move_is_a_violation)
{
  BOOST_TEST(
    firstViolation(Mutant::ServeKeyDuringMove, HandOffs::ShardsAndKeys) != 0U);
}

BOOST_AUTO_TEST_CASE(lost_daemons_shards_are_served_again_within_two_seconds)
{
  constexpr std::uint32_t kLossSeeds = 200;
  for (const int lost : { 1, 2 }) {
    std::vector<Millis> unserved;
    std::size_t appends = 0;
    std::size_t appendsBeforeExpulsion = 0;
    for (std::uint32_t seed = 1; seed <= kLossSeeds; ++seed) {
      const LossOutcome outcome = Model(seed, Mutant::None).runLoss(lost);
      BOOST_TEST(outcome.mUnservedTime.has_value(), "seed " << seed);
      unserved.push_back(outcome.mUnservedTime.value_or(kEnd));
      appends += outcome.mAppends;
      appendsBeforeExpulsion += outcome.mAppendsBeforeExpulsion;
    }
    std::ranges::sort(unserved);
    BOOST_TEST_MESSAGE(
      lost << " lost: unserved median " << unserved[kLossSeeds / 2].mCount
           << " ms, worst " << unserved.back().mCount << " ms, appends "
           << static_cast<double>(appends) / kLossSeeds
           << ", before the expulsions "
           << static_cast<double>(appendsBeforeExpulsion) / kLossSeeds);
    BOOST_TEST((unserved.back() <= kRecoveryLimit));
    // A single lost daemon is expelled before its duties as a witness are
    // reassigned.
    BOOST_TEST((lost > 1 || appendsBeforeExpulsion == 0));
  }
}

BOOST_AUTO_TEST_CASE(shards_of_a_daemon_that_cannot_receive_are_served_again)
{
  constexpr std::uint32_t kReceiveFailureSeeds = 200;
  std::vector<Millis> unserved;
  for (std::uint32_t seed = 1; seed <= kReceiveFailureSeeds; ++seed) {
    const LossOutcome outcome = Model(seed, Mutant::None).runReceiveFailure();
    BOOST_TEST(outcome.mUnservedTime.has_value(), "seed " << seed);
    unserved.push_back(outcome.mUnservedTime.value_or(kEnd));
  }
  std::ranges::sort(unserved);
  BOOST_TEST_MESSAGE("daemon cannot receive: unserved median "
                     << unserved[kReceiveFailureSeeds / 2].mCount
                     << " ms, worst " << unserved.back().mCount << " ms");
  BOOST_TEST((unserved.back() <= kUnfencedRecoveryLimit));
}

BOOST_AUTO_TEST_CASE(counting_late_promises_is_a_violation)
{
  // The first seed that shows the violation.
  constexpr std::uint32_t kSeed = 1300;
  BOOST_TEST(Model(kSeed, Mutant::CountLatePromises).run().mViolated);
  BOOST_TEST(!Model(kSeed, Mutant::None).run().mViolated);
}

BOOST_AUTO_TEST_CASE(omitting_the_joint_quorum_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::NoJointQuorum) != 0U);
}

BOOST_AUTO_TEST_CASE(consenting_before_expiry_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::EarlyConsent) != 0U);
}

BOOST_AUTO_TEST_CASE(counting_the_ttl_from_receipt_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::TtlFromReceipt) != 0U);
}

BOOST_AUTO_TEST_CASE(promising_after_consent_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::RevocableConsent) != 0U);
}

BOOST_AUTO_TEST_CASE(abandoning_a_change_in_doubt_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::AbandonChangeInDoubt) != 0U);
}

BOOST_AUTO_TEST_CASE(promising_to_expelled_members_is_a_violation)
{
  BOOST_TEST(firstViolation(Mutant::PromiseToExpelled) != 0U);
}

BOOST_AUTO_TEST_SUITE_END()
