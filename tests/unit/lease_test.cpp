#include "radishroad/ownership/expulsion_proposer.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Incarnations = std::vector<Incarnation>;

LeaseHolder
holderOf(const Incarnations& aWitnesses)
{
  LeaseHolder holder(1);
  holder.adopt(0, aWitnesses);
  return holder;
}

}

BOOST_AUTO_TEST_SUITE(lease_holder)

BOOST_AUTO_TEST_CASE(lease_is_not_held_before_the_join_is_read)
{
  LeaseHolder holder(1);
  holder.onPromise(2, 0, 100_ms, 100_ms);
  BOOST_TEST(!holder.holds(100_ms));
  BOOST_TEST(holder.renewals(100_ms).empty());
}

BOOST_AUTO_TEST_CASE(lease_needs_a_majority_and_expires_by_send_times)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.onPromise(2, 0, 100_ms, 100_ms);
  BOOST_TEST(!holder.holds(110_ms));
  holder.onPromise(3, 0, 150_ms, 150_ms);
  BOOST_TEST(holder.holds(160_ms));
  BOOST_TEST((holder.heldUntil(160_ms) == 1100_ms));
  BOOST_TEST(holder.holds(1099_ms));
  BOOST_TEST(!holder.holds(1100_ms));
  holder.onPromise(4, 0, 600_ms, 600_ms);
  BOOST_TEST((holder.heldUntil(1100_ms) == 1150_ms));
}

BOOST_AUTO_TEST_CASE(an_older_promise_never_shortens_the_lease)
{
  LeaseHolder holder = holderOf({ 2 });
  holder.onPromise(2, 0, 500_ms, 500_ms);
  holder.onPromise(2, 0, 100_ms, 100_ms);
  BOOST_TEST((holder.heldUntil(600_ms) == 1500_ms));
}

BOOST_AUTO_TEST_CASE(promises_of_non_witnesses_and_of_itself_do_not_count)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.onPromise(9, 0, 100_ms, 100_ms);
  holder.onPromise(8, 0, 100_ms, 100_ms);
  holder.onPromise(2, 5, 100_ms, 100_ms);
  holder.onPromise(3, 5, 100_ms, 100_ms);
  BOOST_TEST(!holder.holds(110_ms));
  LeaseHolder own = holderOf({ 1 });
  own.onPromise(1, 0, 100_ms, 100_ms);
  BOOST_TEST(!own.holds(110_ms));
}

BOOST_AUTO_TEST_CASE(even_set_needs_half_since_an_expulsion_needs_more)
{
  LeaseHolder holder = holderOf({ 2, 3 });
  holder.onPromise(3, 0, 100_ms, 100_ms);
  BOOST_TEST(holder.holds(110_ms));
  LeaseHolder four = holderOf({ 2, 3, 4, 5 });
  four.onPromise(2, 0, 100_ms, 100_ms);
  BOOST_TEST(!four.holds(110_ms));
  four.onPromise(5, 0, 100_ms, 100_ms);
  BOOST_TEST(four.holds(110_ms));
}

BOOST_AUTO_TEST_CASE(empty_set_always_holds_the_lease)
{
  const LeaseHolder holder = holderOf({});
  BOOST_TEST(holder.holds(1_ms));
  BOOST_TEST(holder.holds(100000_s));
}

BOOST_AUTO_TEST_CASE(change_in_doubt_needs_both_sets)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.onPromise(2, 0, 100_ms, 100_ms);
  holder.onPromise(3, 0, 100_ms, 100_ms);
  holder.beginChange(Incarnations{ 3, 5, 6 });
  BOOST_TEST(holder.changeInDoubt());
  BOOST_TEST(!holder.holds(110_ms));
  holder.onPromise(5, 1, 120_ms, 120_ms);
  BOOST_TEST(!holder.holds(130_ms));
  holder.onPromise(3, 1, 120_ms, 120_ms);
  BOOST_TEST(holder.holds(130_ms));
  BOOST_TEST((holder.heldUntil(130_ms) == 1100_ms));
}

BOOST_AUTO_TEST_CASE(own_change_that_took_effect_keeps_its_promises)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.beginChange(Incarnations{ 3, 5, 6 });
  holder.onPromise(5, 1, 120_ms, 120_ms);
  holder.onPromise(6, 1, 120_ms, 120_ms);
  holder.adopt(1, Incarnations{ 3, 5, 6 });
  BOOST_TEST(!holder.changeInDoubt());
  BOOST_TEST(holder.holds(130_ms));
}

BOOST_AUTO_TEST_CASE(
  other_change_ends_the_doubt_and_drops_promises_of_non_members)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.beginChange(Incarnations{ 3, 5, 6 });
  holder.onPromise(5, 1, 120_ms, 120_ms);
  holder.onPromise(6, 1, 120_ms, 120_ms);
  holder.adopt(1, Incarnations{ 7, 8, 9 });
  BOOST_TEST(!holder.changeInDoubt());
  BOOST_TEST(!holder.holds(130_ms));
}

BOOST_AUTO_TEST_CASE(reading_the_old_set_again_does_not_end_the_doubt)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.beginChange(Incarnations{ 3, 5, 6 });
  holder.adopt(0, Incarnations{ 2, 3, 4 });
  BOOST_TEST(holder.changeInDoubt());
  // The set sent first may still take effect, so another set cannot replace it.
  holder.beginChange(Incarnations{ 7, 8, 9 });
  BOOST_TEST((holder.proposed()[0] == 3U));
}

BOOST_AUTO_TEST_CASE(abandoned_change_has_no_effect)
{
  LeaseHolder holder = holderOf({ 2, 3, 4 });
  holder.onPromise(2, 0, 100_ms, 100_ms);
  holder.onPromise(3, 0, 100_ms, 100_ms);
  holder.beginChange(Incarnations{ 5, 6, 7 });
  BOOST_TEST(!holder.holds(110_ms));
  holder.abandonChange();
  BOOST_TEST(!holder.changeInDoubt());
  BOOST_TEST(holder.holds(110_ms));
}

BOOST_AUTO_TEST_CASE(renewals_are_paced_and_go_to_both_sets)
{
  LeaseHolder holder = holderOf({ 2, 3 });
  BOOST_TEST(holder.renewals(100_ms).size() == 2U);
  BOOST_TEST(holder.renewals(349_ms).empty());
  BOOST_TEST(holder.renewals(350_ms).size() == 2U);
  holder.beginChange(Incarnations{ 3, 4, 5 });
  const std::vector<LeaseHolder::Renewal> both = holder.renewals(360_ms);
  BOOST_TEST(both.size() == 5U);
  BOOST_TEST(std::count_if(both.begin(), both.end(), [](const auto& aRenewal) {
               return aRenewal.mVersion == 1;
             }) == 3);
}

BOOST_AUTO_TEST_CASE(witnesses_never_asked_are_not_unresponsive)
{
  LeaseHolder holder = holderOf({ 2, 3 });
  BOOST_TEST(holder.unresponsiveWitnesses(5000_ms, 600_ms).empty());
  holder.renewals(5000_ms);
  BOOST_TEST(holder.unresponsiveWitnesses(5500_ms, 600_ms).empty());
  holder.onPromise(2, 0, 5500_ms, 5500_ms);
  const std::vector<Incarnation> unresponsive =
    holder.unresponsiveWitnesses(5700_ms, 600_ms);
  BOOST_TEST(unresponsive == Incarnations{ 3 },
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(late_promises_do_not_count)
{
  LeaseHolder holder = holderOf({ 2 });
  holder.onPromise(2, 0, 100_ms, 100_ms + kMaxPromiseAge + 1_ms);
  BOOST_TEST(!holder.holds(600_ms));
  holder.onPromise(2, 0, 200_ms, 200_ms + kMaxPromiseAge);
  BOOST_TEST(holder.holds(700_ms));
}

BOOST_AUTO_TEST_CASE(renewals_acknowledge_the_newest_promise_that_counts)
{
  LeaseHolder holder = holderOf({ 2, 3 });
  holder.onPromise(2, 0, 100_ms, 110_ms);
  holder.onPromise(3, 0, 100_ms, 900_ms);
  const std::vector<LeaseHolder::Renewal> renewals = holder.renewals(900_ms);
  BOOST_REQUIRE(renewals.size() == 2U);
  BOOST_TEST(renewals[0].mAckedSentAt.mCount == 100);
  BOOST_TEST(renewals[1].mAckedSentAt.mCount == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(witness)

BOOST_AUTO_TEST_CASE(promises_that_can_never_count_do_not_bind)
{
  Witness witness;
  const LeaseId leaseId{ 1, 0 };
  witness.onRenew({ leaseId, 100_ms, {} }, 1100_ms);
  witness.onRenew({ leaseId, 350_ms, 100_ms }, 1350_ms);
  witness.onRenew({ leaseId, 600_ms, 100_ms }, 1600_ms);
  const Millis lapse = 1100_ms + kLeaseTtl + kClockDriftMargin;
  // The promise for the renewal sent at 600 ms may still arrive in time.
  witness.onAcknowledgement({ leaseId, 850_ms, 100_ms });
  BOOST_TEST(!witness.onConsentAsk(leaseId, lapse).mGranted);
  witness.onAcknowledgement({ leaseId, 600_ms + kMaxPromiseAge, 100_ms });
  BOOST_TEST(!witness.onConsentAsk(leaseId, lapse).mGranted);
  witness.onAcknowledgement({ leaseId, 601_ms + kMaxPromiseAge, 100_ms });
  BOOST_TEST(!witness.onConsentAsk(leaseId, lapse - 1_ms).mGranted);
  BOOST_TEST(witness.onConsentAsk(leaseId, lapse).mGranted);
}

BOOST_AUTO_TEST_CASE(no_late_promise_outlives_a_consent)
{
  constexpr Millis kStep = kRenewInterval;
  const LeaseId leaseId{ 1, 0 };
  Witness witness;
  LeaseHolder holder(1);
  holder.adopt(0, std::vector<Incarnation>{ 2 });
  // All answers but the first are still in flight when the witness consents.
  witness.onRenew({ leaseId, 100_ms, {} }, 100_ms);
  holder.onPromise(2, 0, 100_ms, 100_ms);
  witness.onRenew({ leaseId, 100_ms + kStep, 100_ms }, 100_ms + kStep);
  witness.onAcknowledgement({ leaseId, 100_ms + kStep * 4, 100_ms });
  const Millis lapse = 100_ms + kLeaseTtl + kClockDriftMargin;
  BOOST_REQUIRE(witness.onConsentAsk(leaseId, lapse).mGranted);
  LeaseHolder withoutAgeLimit = holder;
  withoutAgeLimit.onPromise(2, 0, 100_ms + kStep, 100_ms + kStep);
  BOOST_TEST(withoutAgeLimit.holds(lapse));
  holder.onPromise(2, 0, 100_ms + kStep, lapse);
  BOOST_TEST(!holder.holds(lapse));
}

BOOST_AUTO_TEST_CASE(acknowledged_promise_binds_until_it_expires)
{
  Witness witness;
  const LeaseId leaseId{ 1, 0 };
  witness.onRenew({ leaseId, 100_ms, {} }, 1100_ms);
  witness.onRenew({ leaseId, 350_ms, {} }, 1350_ms);
  witness.onAcknowledgement({ leaseId, 600_ms, 350_ms });
  witness.onAcknowledgement({ leaseId, 5000_ms, 350_ms });
  const Millis lapse = 1350_ms + kLeaseTtl + kClockDriftMargin;
  BOOST_TEST(!witness.onConsentAsk(leaseId, lapse - 1_ms).mGranted);
  BOOST_TEST(witness.onConsentAsk(leaseId, lapse).mGranted);
}

BOOST_AUTO_TEST_CASE(no_consent_before_the_promise_has_expired)
{
  Witness witness;
  BOOST_TEST(witness.onRenew({ { 1, 0 }, 100_ms, {} }, 100_ms));
  const Millis lapse = 100_ms + kLeaseTtl + kClockDriftMargin;
  const Witness::ConsentAnswer early =
    witness.onConsentAsk({ 1, 0 }, lapse - 1_ms);
  BOOST_TEST(!early.mGranted);
  BOOST_TEST((early.mWait == 1_ms));
  BOOST_TEST(witness.onRenew({ { 1, 0 }, lapse - 1_ms, {} }, lapse - 1_ms));
  BOOST_TEST(!witness.onConsentAsk({ 1, 0 }, lapse).mGranted);
}

BOOST_AUTO_TEST_CASE(consent_is_final)
{
  Witness witness;
  witness.onRenew({ { 1, 0 }, 100_ms, {} }, 100_ms);
  BOOST_TEST(witness.onConsentAsk({ 1, 0 }, 2000_ms).mGranted);
  BOOST_TEST(!witness.onRenew({ { 1, 0 }, 2001_ms, {} }, 2001_ms));
  BOOST_TEST(witness.onConsentAsk({ 1, 0 }, 2002_ms).mGranted);
  BOOST_TEST(witness.onRenew({ { 1, 1 }, 2003_ms, {} }, 2003_ms));
}

BOOST_AUTO_TEST_CASE(consent_without_a_promise_refuses_later_renewals)
{
  Witness witness;
  BOOST_TEST(witness.onConsentAsk({ 1, 3 }, 0_ms).mGranted);
  BOOST_TEST(!witness.onRenew({ { 1, 3 }, 1_ms, {} }, 1_ms));
}

BOOST_AUTO_TEST_CASE(lapsed_returns_only_leases_without_consent)
{
  Witness witness;
  witness.onRenew({ { 1, 0 }, 0_ms, {} }, 0_ms);
  witness.onRenew({ { 2, 0 }, 500_ms, {} }, 500_ms);
  witness.onRenew({ { 3, 0 }, 0_ms, {} }, 0_ms);
  witness.onConsentAsk({ 3, 0 }, 1100_ms);
  const std::vector<LeaseId> lapsed = witness.lapsed(1100_ms);
  BOOST_REQUIRE(lapsed.size() == 1U);
  BOOST_TEST(lapsed[0].mIncarnation == 1U);
  witness.remove({ 1, 0 });
  BOOST_TEST(witness.size() == 2U);
}

BOOST_AUTO_TEST_CASE(member_that_never_renewed_expires_too)
{
  Witness witness;
  witness.expectRenewal({ 1, 0 }, 100_ms);
  witness.expectRenewal({ 1, 0 }, 900_ms);
  BOOST_TEST(witness.lapsed(1149_ms).empty());
  BOOST_TEST(!witness.onConsentAsk({ 1, 0 }, 1149_ms).mGranted);
  BOOST_TEST(witness.lapsed(1150_ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(expect_renewal_does_not_undo_a_consent)
{
  Witness witness;
  witness.onConsentAsk({ 1, 0 }, 0_ms);
  witness.expectRenewal({ 1, 0 }, 1_ms);
  BOOST_TEST(!witness.onRenew({ { 1, 0 }, 2_ms, {} }, 2_ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(expulsion_proposer)

namespace {

Member
memberOf(Incarnation aIncarnation,
         std::uint32_t aVersion,
         Incarnations aWitnesses)
{
  Member member;
  member.mIncarnation = aIncarnation;
  member.mWitnessVersion = aVersion;
  member.mWitnesses = std::move(aWitnesses);
  return member;
}

}

BOOST_AUTO_TEST_CASE(consent_requests_are_paced_and_skip_consenting_witnesses)
{
  ExpulsionProposer proposer(2);
  const Member lost = memberOf(1, 0, { 2, 3, 4 });
  BOOST_TEST(proposer.attemptExpulsion(lost, 1000_ms).size() == 3U);
  BOOST_TEST(
    proposer.attemptExpulsion(lost, 1000_ms + kConsentRequestInterval / 2)
      .empty());
  proposer.onConsent({ 1, 0 }, 3);
  const Incarnations next =
    proposer.attemptExpulsion(lost, 1000_ms + kConsentRequestInterval);
  const Incarnations expected{ 2, 4 };
  BOOST_TEST(next == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(proposal_needs_a_majority_of_the_set)
{
  ExpulsionProposer proposer(2);
  const Member lost = memberOf(1, 4, { 2, 3, 4 });
  proposer.attemptExpulsion(lost, 0_ms);
  proposer.onConsent({ 1, 4 }, 2);
  proposer.onConsent({ 1, 4 }, 2);
  proposer.onConsent({ 1, 4 }, 9);
  proposer.onConsent({ 1, 3 }, 3);
  BOOST_TEST(!proposer.proposal(lost, 0_ms).has_value());
  proposer.onConsent({ 1, 4 }, 4);
  const std::optional<wire::ExpelT> expel = proposer.proposal(lost, 0_ms);
  BOOST_REQUIRE(expel.has_value());
  BOOST_TEST(expel->incarnation == 1U);
  BOOST_TEST(expel->witness_version == 4U);
  BOOST_TEST(expel->proposer == 2U);
  const Incarnations expected{ 2, 4 };
  BOOST_TEST(expel->consents == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(half_of_an_even_set_is_not_enough)
{
  ExpulsionProposer proposer(2);
  const Member lost = memberOf(1, 0, { 2, 3 });
  proposer.attemptExpulsion(lost, 0_ms);
  proposer.onConsent({ 1, 0 }, 2);
  BOOST_TEST(!proposer.proposal(lost, 0_ms).has_value());
  proposer.onConsent({ 1, 0 }, 3);
  BOOST_TEST(proposer.proposal(lost, 0_ms).has_value());
}

BOOST_AUTO_TEST_CASE(proposal_is_repeated_only_after_a_pause)
{
  ExpulsionProposer proposer(2);
  const Member lost = memberOf(1, 0, { 2 });
  proposer.attemptExpulsion(lost, 0_ms);
  proposer.onConsent({ 1, 0 }, 2);
  BOOST_TEST(proposer.proposal(lost, 0_ms).has_value());
  BOOST_TEST(
    !proposer.proposal(lost, kProposalRetryInterval - 1_ms).has_value());
  BOOST_TEST(proposer.proposal(lost, kProposalRetryInterval).has_value());
  proposer.remove({ 1, 0 });
  BOOST_TEST(!proposer.proposal(lost, 10_s).has_value());
}

BOOST_AUTO_TEST_CASE(member_with_empty_set_is_never_expelled)
{
  ExpulsionProposer proposer(2);
  const Member member = memberOf(1, 0, {});
  BOOST_TEST(proposer.attemptExpulsion(member, 0_ms).empty());
  BOOST_TEST(!proposer.proposal(member, 0_ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
