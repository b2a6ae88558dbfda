#include "radishroad/ownership/expulsion_controller.h"
#include "radishroad/ownership/witness_set_manager.h"
#include "unit/cell_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

using Incarnations = std::vector<Incarnation>;

/// Daemon 1 of a cell of five daemons; its witnesses are 2, 3 and 4.
struct ManagedDaemon
{
  ManagedDaemon()
    : mLog(CellLog::withFourMembers())
  {
    mLog.join(5, "c", { 1, 2, 3 });
    mHolder.adopt(0, Incarnations{ 2, 3, 4 });
  }

  /// Sends renewals at aNow; the witnesses in aAnsweringWitnesses promise at
  /// once.
  void renew(Millis aNow, const Incarnations& aAnsweringWitnesses)
  {
    for (const LeaseHolder::Renewal& renewal : mHolder.renewals(aNow)) {
      if (std::ranges::count(aAnsweringWitnesses, renewal.mWitness) > 0) {
        mHolder.onPromise(renewal.mWitness, renewal.mVersion, aNow, aNow);
      }
    }
  }
  /// Steps every 50 ms from mNow to aUntil, with a log that answers unless
  /// mLogUnavailable is set. Returns the appended records.
  std::vector<wire::RewitnessT> run(Millis aUntil,
                                    const Incarnations& aAnsweringWitnesses)
  {
    std::vector<wire::RewitnessT> changes;
    for (; mNow < aUntil; mNow += 50_ms) {
      renew(mNow, aAnsweringWitnesses);
      const Millis logAt = mLogUnavailable ? 0_ms : mNow;
      const std::optional<wire::RewitnessT> change =
        mManager.step(mLog.mState, mHolder, nullptr, logAt, mNow);
      if (change) {
        changes.push_back(*change);
      }
    }
    return changes;
  }
  void readBack(const wire::RewitnessT& aChange)
  {
    mLog.append(aChange);
    const Member& self = mLog.mState.mMembers.at(1);
    mHolder.adopt(self.mWitnessVersion, self.mWitnesses);
  }

  CellLog mLog;
  LeaseHolder mHolder{ 1 };
  WitnessSetManager mManager{ 1 };
  Millis mNow{ 10'000 };
  bool mLogUnavailable = false;
};

}

BOOST_AUTO_TEST_SUITE(witness_set_manager)

BOOST_AUTO_TEST_CASE(witnesses_that_answer_are_kept)
{
  ManagedDaemon daemon;
  BOOST_TEST(daemon.run(20_s, { 2, 3, 4, 5 }).empty());
}

BOOST_AUTO_TEST_CASE(unresponsive_witness_is_replaced_while_the_lease_is_held)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  std::vector<wire::RewitnessT> changes;
  while (changes.empty() && daemon.mNow < 20_s) {
    changes = daemon.run(daemon.mNow + 50_ms, { 2, 3, 5 });
    BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
  }
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((daemon.mNow >= 11_s + kRewitnessDelay));
  BOOST_TEST(
    (daemon.mNow <= 11_s + kLeaseTtl + kRewitnessDelay + kRewitnessJitter));
  const Incarnations expected{ 2, 3, 5 };
  BOOST_TEST(changes[0].witnesses == expected,
             boost::test_tools::per_element());
  BOOST_TEST(changes[0].base_version == 0U);
  BOOST_TEST(daemon.mHolder.changeInDoubt());
  daemon.readBack(changes[0]);
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
  BOOST_TEST(daemon.run(25_s, { 2, 3, 5 }).empty());
}

BOOST_AUTO_TEST_CASE(
  second_unresponsive_witness_is_replaced_before_the_lease_expires)
{
  ManagedDaemon daemon;
  daemon.mLog.join(6, "d", { 2, 3, 4 });
  daemon.run(11_s, { 2, 3, 4, 5, 6 });
  BOOST_TEST(daemon.run(12_s, { 2, 3, 5, 6 }).empty());
  std::vector<wire::RewitnessT> changes;
  while (changes.empty() && daemon.mNow < 14_s) {
    changes = daemon.run(daemon.mNow + 50_ms, { 2, 5, 6 });
    BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
  }
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((daemon.mNow < 12_s + kLeaseTtl));
  Incarnations witnesses = changes[0].witnesses;
  std::ranges::sort(witnesses);
  const Incarnations expected{ 2, 5, 6 };
  BOOST_TEST(witnesses == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(daemon_that_hears_no_witness_changes_nothing)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  BOOST_TEST(daemon.run(20_s, { 5 }).empty());
}

BOOST_AUTO_TEST_CASE(unresponsive_witness_without_a_replacement_stays)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  // Member 5 does not answer either, so it cannot be a replacement.
  BOOST_TEST(daemon.run(20_s, { 2, 3 }).empty());
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
}

BOOST_AUTO_TEST_CASE(nothing_is_appended_while_the_log_is_unavailable)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  daemon.mLogUnavailable = true;
  BOOST_TEST(daemon.run(20_s, { 2, 3, 5 }).empty());
  BOOST_TEST(!daemon.mHolder.changeInDoubt());
  daemon.mLogUnavailable = false;
  BOOST_TEST(daemon.run(20_s + 100_ms, { 2, 3, 5 }).size() == 1U);
}

BOOST_AUTO_TEST_CASE(change_in_doubt_is_retried_unchanged)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  std::vector<wire::RewitnessT> changes;
  while (changes.empty() && daemon.mNow < 20_s) {
    changes = daemon.run(daemon.mNow + 50_ms, { 2, 3, 5 });
  }
  BOOST_REQUIRE(changes.size() == 1U);
  const std::vector<wire::RewitnessT> repeats =
    daemon.run(daemon.mNow + 1400_ms, { 2, 3, 5 });
  changes.insert(changes.end(), repeats.begin(), repeats.end());
  BOOST_TEST(changes.size() >= 2U);
  BOOST_TEST(changes.size() <= 4U);
  for (const wire::RewitnessT& change : changes) {
    BOOST_TEST(change.base_version == 0U);
    BOOST_TEST((change.witnesses == changes[0].witnesses));
  }
}

BOOST_AUTO_TEST_CASE(expelled_witnesses_are_replaced_even_without_the_lease)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  // Both are lost at once: the lease expires, and they are expelled.
  daemon.mLog.expel(3, 0, { 1, 2 });
  daemon.mLog.expel(4, 0, { 1, 2 });
  daemon.mNow += 2_s;
  BOOST_TEST(!daemon.mHolder.holds(daemon.mNow));
  const std::vector<wire::RewitnessT> changes =
    daemon.run(daemon.mNow + 200_ms, { 2, 5 });
  BOOST_REQUIRE(changes.size() == 1U);
  const Incarnations expected{ 2, 5 };
  BOOST_TEST(changes[0].witnesses == expected,
             boost::test_tools::per_element());
  daemon.readBack(changes[0]);
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
}

BOOST_AUTO_TEST_CASE(changes_are_paced_while_the_lease_is_held)
{
  ManagedDaemon daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  std::vector<Millis> times;
  const std::vector<Incarnations> answering{ { 2, 3, 5 },
                                             { 2, 4, 5 },
                                             { 2, 3, 5 } };
  for (int n = 0; n < 1200; ++n) {
    const Incarnations& now = answering[(n / 200) % answering.size()];
    for (const wire::RewitnessT& change :
         daemon.run(daemon.mNow + 50_ms, now)) {
      times.push_back(daemon.mNow);
      daemon.readBack(change);
    }
  }
  BOOST_TEST(times.size() >= 3U);
  for (std::size_t n = 1; n < times.size(); ++n) {
    BOOST_TEST((times[n] - times[n - 1] >= kMinRewitnessInterval));
  }
}

BOOST_AUTO_TEST_CASE(small_set_grows_with_the_cell)
{
  ManagedDaemon daemon;
  daemon.mLog.rewitness(1, 0, { 2 });
  daemon.mHolder.adopt(1, Incarnations{ 2 });
  const std::vector<wire::RewitnessT> changes =
    daemon.run(11_s, { 2, 3, 4, 5 });
  BOOST_REQUIRE(!changes.empty());
  BOOST_TEST(changes[0].witnesses.size() == kTargetWitnessCount);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(expulsion_controller)

namespace {

/// The controllers of witnesses 2, 3 and 4 of member 1, whose last renewal was
/// sent at 0 ms.
struct WitnessGroup
{
  WitnessGroup()
    : mLog(CellLog::withFourMembers())
  {
    for (const Incarnation self : { 2, 3, 4 }) {
      ExpulsionController& controller =
        mControllers.emplace(self, self).first->second;
      controller.onState(mLog.mState, 0_ms);
      for (const Incarnation other : { 2, 3, 4 }) {
        controller.onRenew({ { other, 0 }, kLater, {} }, kLater);
      }
      controller.onRenew({ { 1, 0 }, 0_ms, {} }, 0_ms);
    }
  }
  /// Steps all controllers, delivers consent requests and answers, and collects
  /// the proposed expulsions.
  void step(Millis aNow, bool aLogAvailable = true)
  {
    for (auto& [self, controller] : mControllers) {
      const ExpulsionController::Actions actions =
        controller.step(mLog.mState, aLogAvailable, aNow);
      for (const ExpulsionController::ConsentRequest& ask :
           actions.mConsentRequests) {
        const Witness::ConsentAnswer answer =
          mControllers.at(ask.mWitness).onConsentAsk(ask.mLeaseId, aNow);
        controller.onConsent(ask.mLeaseId, ask.mWitness, answer, aNow);
      }
      for (const wire::ExpelT& expel : actions.mExpels) {
        mExpels.push_back(expel);
      }
    }
  }
  void readBack(Millis aNow)
  {
    for (auto& [self, controller] : mControllers) {
      controller.onState(mLog.mState, aNow);
    }
  }

  static constexpr Millis kLater{ 60'000 };
  static constexpr Millis kLapse = kLeaseTtl + kClockDriftMargin;
  CellLog mLog;
  std::map<Incarnation, ExpulsionController> mControllers;
  std::vector<wire::ExpelT> mExpels;
};

}

BOOST_AUTO_TEST_CASE(lost_member_is_expelled_by_one_append)
{
  WitnessGroup cell;
  for (Millis now = 0_ms; now < WitnessGroup::kLapse; now += 10_ms) {
    cell.step(now);
  }
  BOOST_TEST(cell.mExpels.empty());
  for (Millis now = WitnessGroup::kLapse; now < 1200_ms; now += 10_ms) {
    cell.step(now);
  }
  BOOST_REQUIRE(cell.mExpels.size() == 1U);
  BOOST_TEST((cell.mLog.append(cell.mExpels[0]) == FoldVerdict::Applied));
  cell.readBack(1200_ms);
  for (Millis now = 1200_ms; now < 5_s; now += 10_ms) {
    cell.step(now);
  }
  BOOST_TEST(cell.mExpels.size() == 1U);
}

BOOST_AUTO_TEST_CASE(next_rank_proposes_when_the_first_proposer_is_lost)
{
  WitnessGroup cell;
  cell.step(WitnessGroup::kLapse);
  cell.step(WitnessGroup::kLapse + 10_ms);
  BOOST_REQUIRE(cell.mExpels.size() == 1U);
  const Incarnation first = cell.mExpels[0].proposer;
  cell.mExpels.clear();
  for (Millis now = WitnessGroup::kLapse; now < 1500_ms; now += 10_ms) {
    cell.step(now);
  }
  BOOST_REQUIRE(!cell.mExpels.empty());
  BOOST_TEST(cell.mExpels[0].proposer != first);
}

BOOST_AUTO_TEST_CASE(nothing_is_proposed_while_the_log_is_unavailable)
{
  WitnessGroup cell;
  for (Millis now = 0_ms; now < 5_s; now += 10_ms) {
    cell.step(now, false);
  }
  BOOST_TEST(cell.mExpels.empty());
  cell.step(5_s);
  BOOST_TEST(!cell.mExpels.empty());
}

BOOST_AUTO_TEST_CASE(expelled_member_gets_no_promise_after_consents_are_removed)
{
  WitnessGroup cell;
  ExpulsionController& witness = cell.mControllers.at(2);
  BOOST_TEST(witness.onConsentAsk({ 1, 0 }, 2_s).mGranted);
  BOOST_TEST(
    (witness.onRenew({ { 1, 0 }, 2_s, {} }, 2_s) == RenewalAnswer::None));
  cell.mLog.expel(1, 0, { 2, 3 });
  cell.readBack(2_s);
  BOOST_TEST(
    (witness.onRenew({ { 1, 0 }, 2_s, {} }, 2_s) == RenewalAnswer::None));
  BOOST_TEST(
    (witness.onRenew({ { 99, 0 }, 2_s, {} }, 2_s) == RenewalAnswer::None));
}

BOOST_AUTO_TEST_CASE(replaced_witness_set_is_no_longer_used_for_expulsion)
{
  WitnessGroup cell;
  cell.mLog.rewitness(1, 0, { 3, 4 });
  cell.readBack(500_ms);
  for (Millis now = 500_ms; now < 1500_ms; now += 10_ms) {
    cell.step(now);
  }
  // The witnesses are bound again from the read-back of the version that names
  // them.
  BOOST_TEST(cell.mExpels.empty());
  for (Millis now = 1500_ms; now < 2_s; now += 10_ms) {
    cell.step(now);
  }
  BOOST_REQUIRE(!cell.mExpels.empty());
  BOOST_TEST(cell.mExpels[0].witness_version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
