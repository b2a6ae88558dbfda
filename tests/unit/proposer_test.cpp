#include "radishroad/daemon/proposer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

/// A proposer whose appends end as the test says.
struct Fixture
{
  Fixture()
    : mProposer([this](const std::string&,
                       const wire::RecordT& aRecord,
                       std::function<void(Result<std::uint64_t>)> aResult) {
      mId = { aRecord.id_high, aRecord.id_low };
      mResult = std::move(aResult);
      ++mAppends;
      return true;
    })
  {
  }

  Proposer::DoneFn done()
  {
    return [this](ProposalOutcome aOutcome) { mOutcome = aOutcome; };
  }

  RandomId mId;
  std::function<void(Result<std::uint64_t>)> mResult;
  int mAppends = 0;
  std::optional<ProposalOutcome> mOutcome;
  Proposer mProposer;
};

}

BOOST_AUTO_TEST_SUITE(proposer)

// OWNER: the shards of a hand-off that was called failed were granted again
// while another daemon still had a copy of its record.
BOOST_AUTO_TEST_CASE(record_with_a_copy_elsewhere_does_not_fail)
{
  Fixture fixture;
  fixture.mProposer.proposeForCertain("cell", wire::LeaveT{}, fixture.done());
  fixture.mProposer.onCopySent(fixture.mId);
  fixture.mResult(fail(ErrorCode::Unavailable, "not written"));
  BOOST_TEST(!fixture.mOutcome.has_value());
  const RandomId id = fixture.mId;
  fixture.mProposer.tick(monotonicNow() + 2_s);
  BOOST_TEST(fixture.mAppends == 2);
  BOOST_TEST((fixture.mId == id));
  fixture.mProposer.onRecord(id, FoldVerdict::Applied);
  BOOST_TEST((fixture.mOutcome == ProposalOutcome::Applied));
}

BOOST_AUTO_TEST_CASE(record_without_copies_fails_with_its_append)
{
  Fixture fixture;
  fixture.mProposer.proposeForCertain("cell", wire::LeaveT{}, fixture.done());
  fixture.mResult(fail(ErrorCode::Unavailable, "not written"));
  BOOST_TEST((fixture.mOutcome == ProposalOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(record_that_may_be_proposed_anew_fails_despite_copies)
{
  Fixture fixture;
  fixture.mProposer.propose("cell", wire::LeaveT{}, fixture.done());
  fixture.mProposer.onCopySent(fixture.mId);
  fixture.mResult(fail(ErrorCode::Unavailable, "not written"));
  BOOST_TEST((fixture.mOutcome == ProposalOutcome::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
