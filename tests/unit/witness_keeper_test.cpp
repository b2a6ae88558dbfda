#include "radishroad/ownership/expel_driver.h"
#include "radishroad/ownership/witness_keeper.h"
#include "unit/cell_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::CellLog;

namespace {

using Set = std::vector<Incarnation>;

/// Daemon 1 of a cell of five; its witnesses are 2, 3, 4.
struct Keeping
{
  Keeping()
    : mLog(CellLog::withFourMembers())
  {
    mLog.join(5, "c", { 1, 2, 3 });
    mHolder.adopt(0, Set{ 2, 3, 4 });
  }

  /// Renews at aNow; those of aAnswering promise at once.
  void renew(Millis aNow, const Set& aAnswering)
  {
    for (const LeaseHolder::Renewal& renewal : mHolder.renewals(aNow)) {
      if (std::ranges::count(aAnswering, renewal.mWitness) > 0) {
        mHolder.onPromise(renewal.mWitness, renewal.mVersion, aNow, aNow);
      }
    }
  }
  /// Steps every 50 ms from mNow to aUntil with a log that answers; returns
  /// the appends.
  std::vector<wire::RewitnessT> run(Millis aUntil, const Set& aAnswering)
  {
    std::vector<wire::RewitnessT> changes;
    for (; mNow < aUntil; mNow += 50_ms) {
      renew(mNow, aAnswering);
      const Millis logAt = mLogOut ? 0_ms : mNow;
      const std::optional<wire::RewitnessT> change =
        mKeeper.step(mLog.mState, mHolder, nullptr, logAt, mNow);
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
  WitnessKeeper mKeeper{ 1 };
  Millis mNow{ 10'000 };
  bool mLogOut = false;
};

}

BOOST_AUTO_TEST_SUITE(witness_keeper)

BOOST_AUTO_TEST_CASE(witnesses_that_answer_are_kept)
{
  Keeping daemon;
  BOOST_TEST(daemon.run(20_s, { 2, 3, 4, 5 }).empty());
}

BOOST_AUTO_TEST_CASE(silent_witness_is_replaced_without_a_lapse)
{
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  std::vector<wire::RewitnessT> changes;
  while (changes.empty() && daemon.mNow < 20_s) {
    changes = daemon.run(daemon.mNow + 50_ms, { 2, 3, 5 });
    BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
  }
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((daemon.mNow >= 11_s + kRewitnessDelay));
  BOOST_TEST(
    (daemon.mNow <= 11_s + kLeaseTtl + kRewitnessDelay + kRewitnessSpread));
  const Set expected{ 2, 3, 5 };
  BOOST_TEST(changes[0].witnesses == expected,
             boost::test_tools::per_element());
  BOOST_TEST(changes[0].base_version == 0U);
  BOOST_TEST(daemon.mHolder.changeInDoubt());
  daemon.readBack(changes[0]);
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
  BOOST_TEST(daemon.run(25_s, { 2, 3, 5 }).empty());
}

BOOST_AUTO_TEST_CASE(second_silent_witness_is_replaced_before_the_lease_lapses)
{
  Keeping daemon;
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
  Set witnesses = changes[0].witnesses;
  std::ranges::sort(witnesses);
  const Set expected{ 2, 5, 6 };
  BOOST_TEST(witnesses == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(daemon_that_hears_no_witness_changes_nothing)
{
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  BOOST_TEST(daemon.run(20_s, { 5 }).empty());
}

BOOST_AUTO_TEST_CASE(silent_witness_without_a_replacement_stays)
{
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  // 5 does not answer either, so it is no replacement.
  BOOST_TEST(daemon.run(20_s, { 2, 3 }).empty());
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
}

BOOST_AUTO_TEST_CASE(nothing_is_appended_while_the_log_is_out)
{
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  daemon.mLogOut = true;
  BOOST_TEST(daemon.run(20_s, { 2, 3, 5 }).empty());
  BOOST_TEST(!daemon.mHolder.changeInDoubt());
  daemon.mLogOut = false;
  BOOST_TEST(daemon.run(20_s + 100_ms, { 2, 3, 5 }).size() == 1U);
}

BOOST_AUTO_TEST_CASE(change_in_doubt_is_repeated_as_it_was)
{
  Keeping daemon;
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
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  // Both lost at once: the lease lapses, and they are expelled.
  daemon.mLog.expel(3, 0, { 1, 2 });
  daemon.mLog.expel(4, 0, { 1, 2 });
  daemon.mNow += 2_s;
  BOOST_TEST(!daemon.mHolder.holds(daemon.mNow));
  const std::vector<wire::RewitnessT> changes =
    daemon.run(daemon.mNow + 200_ms, { 2, 5 });
  BOOST_REQUIRE(changes.size() == 1U);
  const Set expected{ 2, 5 };
  BOOST_TEST(changes[0].witnesses == expected,
             boost::test_tools::per_element());
  daemon.readBack(changes[0]);
  BOOST_TEST(daemon.mHolder.holds(daemon.mNow));
}

BOOST_AUTO_TEST_CASE(changes_are_paced_while_the_lease_is_held)
{
  Keeping daemon;
  daemon.run(11_s, { 2, 3, 4, 5 });
  std::vector<Millis> times;
  const std::vector<Set> answering{ { 2, 3, 5 }, { 2, 4, 5 }, { 2, 3, 5 } };
  for (int n = 0; n < 1200; ++n) {
    const Set& now = answering[(n / 200) % answering.size()];
    for (const wire::RewitnessT& change :
         daemon.run(daemon.mNow + 50_ms, now)) {
      times.push_back(daemon.mNow);
      daemon.readBack(change);
    }
  }
  BOOST_TEST(times.size() >= 3U);
  for (std::size_t n = 1; n < times.size(); ++n) {
    BOOST_TEST((times[n] - times[n - 1] >= kRewitnessPause));
  }
}

BOOST_AUTO_TEST_CASE(small_set_grows_with_the_cell)
{
  Keeping daemon;
  daemon.mLog.rewitness(1, 0, { 2 });
  daemon.mHolder.adopt(1, Set{ 2 });
  const std::vector<wire::RewitnessT> changes =
    daemon.run(11_s, { 2, 3, 4, 5 });
  BOOST_REQUIRE(!changes.empty());
  BOOST_TEST(changes[0].witnesses.size() == kWantedWitnesses);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(expel_driver)

namespace {

/// The drivers of the witnesses 2, 3, 4 of member 1, who was last heard at 0.
struct Watching
{
  Watching()
    : mLog(CellLog::withFourMembers())
  {
    for (const Incarnation self : { 2, 3, 4 }) {
      ExpelDriver& driver = mDrivers.emplace(self, self).first->second;
      driver.onState(mLog.mState, 0_ms);
      for (const Incarnation other : { 2, 3, 4 }) {
        driver.onRenew({ { other, 0 }, kLater, {} }, kLater);
      }
      driver.onRenew({ { 1, 0 }, 0_ms, {} }, 0_ms);
    }
  }
  /// Steps all drivers, passes on asks and consents, and gathers proposals.
  void step(Millis aNow, bool aMayAppend = true)
  {
    for (auto& [self, driver] : mDrivers) {
      const ExpelDriver::Actions actions =
        driver.step(mLog.mState, aMayAppend, aNow);
      for (const ExpelDriver::Ask& ask : actions.mAsks) {
        const Witness::ConsentAnswer answer =
          mDrivers.at(ask.mWitness).onConsentAsk(ask.mLabel, aNow);
        driver.onConsent(ask.mLabel, ask.mWitness, answer, aNow);
      }
      for (const wire::ExpelT& expel : actions.mExpels) {
        mExpels.push_back(expel);
      }
    }
  }
  void readBack(Millis aNow)
  {
    for (auto& [self, driver] : mDrivers) {
      driver.onState(mLog.mState, aNow);
    }
  }

  static constexpr Millis kLater{ 60'000 };
  static constexpr Millis kLapse = kLeaseTtl + kDriftMargin;
  CellLog mLog;
  std::map<Incarnation, ExpelDriver> mDrivers;
  std::vector<wire::ExpelT> mExpels;
};

}

BOOST_AUTO_TEST_CASE(lost_member_is_expelled_by_one_append)
{
  Watching cell;
  for (Millis now = 0_ms; now < Watching::kLapse; now += 10_ms) {
    cell.step(now);
  }
  BOOST_TEST(cell.mExpels.empty());
  for (Millis now = Watching::kLapse; now < 1200_ms; now += 10_ms) {
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

BOOST_AUTO_TEST_CASE(next_rank_steps_in_when_the_first_proposer_is_lost)
{
  Watching cell;
  cell.step(Watching::kLapse);
  cell.step(Watching::kLapse + 10_ms);
  BOOST_REQUIRE(cell.mExpels.size() == 1U);
  const Incarnation first = cell.mExpels[0].proposer;
  cell.mExpels.clear();
  for (Millis now = Watching::kLapse; now < 1500_ms; now += 10_ms) {
    cell.step(now);
  }
  BOOST_REQUIRE(!cell.mExpels.empty());
  BOOST_TEST(cell.mExpels[0].proposer != first);
}

BOOST_AUTO_TEST_CASE(nothing_is_proposed_while_the_log_is_out)
{
  Watching cell;
  for (Millis now = 0_ms; now < 5_s; now += 10_ms) {
    cell.step(now, false);
  }
  BOOST_TEST(cell.mExpels.empty());
  cell.step(5_s);
  BOOST_TEST(!cell.mExpels.empty());
}

BOOST_AUTO_TEST_CASE(
  expelled_member_gets_no_promise_after_the_consents_are_gone)
{
  Watching cell;
  ExpelDriver& witness = cell.mDrivers.at(2);
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

BOOST_AUTO_TEST_CASE(replaced_set_is_no_longer_pursued)
{
  Watching cell;
  cell.mLog.rewitness(1, 0, { 3, 4 });
  cell.readBack(500_ms);
  for (Millis now = 500_ms; now < 1500_ms; now += 10_ms) {
    cell.step(now);
  }
  // Bound anew from the read-back, for the version that names them.
  BOOST_TEST(cell.mExpels.empty());
  for (Millis now = 1500_ms; now < 2_s; now += 10_ms) {
    cell.step(now);
  }
  BOOST_REQUIRE(!cell.mExpels.empty());
  BOOST_TEST(cell.mExpels[0].witness_version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
