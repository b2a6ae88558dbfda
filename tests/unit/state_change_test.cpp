#include "radishroad/state/state_change.h"

#include "cell_log.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using radishroad::testing::CellLog;

namespace {

Bytes
joinRecord(Incarnation aIncarnation, std::uint64_t aId)
{
  wire::JoinT change;
  change.vm = "vm-" + std::to_string(aIncarnation);
  change.zone = "z";
  change.incarnation = aIncarnation;
  return encodeRecord(makeRecord(std::move(change), { 1, aId }, {}));
}

wire::JoinT
joinAt(Incarnation aIncarnation, const std::string& aAddress)
{
  wire::JoinT join;
  join.vm = "vm";
  join.zone = "z";
  join.incarnation = aIncarnation;
  join.peer_address = aAddress;
  join.awaits_upstream = true;
  return join;
}

wire::UpstreamChangeT
upstreamChange(Incarnation aIncarnation,
               bool aUp,
               std::uint64_t aUpstreamIncarnation)
{
  wire::UpstreamChangeT change;
  change.incarnation = aIncarnation;
  change.up = aUp;
  change.life = aUpstreamIncarnation;
  return change;
}

}

BOOST_AUTO_TEST_SUITE(state_change)

BOOST_AUTO_TEST_CASE(only_applied_records_change_the_state)
{
  const std::vector<Bytes> records{ joinRecord(1, 1),
                                    joinRecord(1, 2),
                                    joinRecord(2, 3) };
  const StateChange change = applyRecords({}, records);
  BOOST_TEST(change.mChanged);
  BOOST_TEST(
    (change.mVerdicts == std::vector<FoldVerdict>{ FoldVerdict::Applied,
                                                   FoldVerdict::Refused,
                                                   FoldVerdict::Applied }));
  BOOST_TEST(change.mState.mMembers.size() == 2U);
  BOOST_TEST(change.mState.mNextOffset == 2U);
  // A writer whose answer was lost can detect that its record was applied.
  const StateChange again = applyRecords(change.mState, { { records[0] } });
  BOOST_TEST((again.mVerdicts[0] == FoldVerdict::Duplicate));
  BOOST_TEST(!again.mChanged);
}

BOOST_AUTO_TEST_CASE(stored_state_retains_only_the_newest_record_ids)
{
  std::vector<Bytes> records;
  for (std::uint64_t n = 1; n <= 200; ++n) {
    records.push_back(joinRecord(n, n));
  }
  const StateChange change = applyRecords({}, records);
  BOOST_TEST(change.mState.mSeenIds.size() == 64U);
}

BOOST_AUTO_TEST_CASE(
  restarted_process_at_the_same_address_takes_over_immediately)
{
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  log.append(upstreamChange(1, true, 77));
  log.assign(5, 0, 1);
  wire::JoinT next = joinAt(2, "10.0.0.1:7");
  next.succeeds = 1;
  BOOST_TEST((log.append(std::move(next)) == FoldVerdict::Applied));
  const CellState& state = log.mState;
  BOOST_TEST(state.mShards[5].mOwner == 2U);
  BOOST_TEST(state.mShards[5].mEpoch == 2U);
  BOOST_TEST((state.mMembers.at(1).mStatus == MemberStatus::Left));
  BOOST_TEST(!state.mMembers.at(2).mUpstreamDown);
  BOOST_TEST(state.mMembers.at(2).mUpstreamIncarnation == 77U);
}

BOOST_AUTO_TEST_CASE(process_at_another_address_does_not_take_over)
{
  // The previous process may still be running, partitioned from the cell.
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  log.append(upstreamChange(1, true, 77));
  log.assign(5, 0, 1);
  wire::JoinT next = joinAt(2, "10.0.0.2:7");
  next.succeeds = 1;
  BOOST_TEST((log.append(std::move(next)) == FoldVerdict::Applied));
  BOOST_TEST(log.mState.mShards[5].mOwner == 1U);
}

BOOST_AUTO_TEST_CASE(member_without_upstream_receives_no_shards)
{
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  BOOST_TEST((log.assign(5, 0, 1) == FoldVerdict::Refused));
  log.append(upstreamChange(1, true, 77));
  BOOST_TEST((log.assign(5, 0, 1) == FoldVerdict::Applied));
  BOOST_TEST((log.append(upstreamChange(1, true, 77)) == FoldVerdict::Refused));
  BOOST_TEST(
    (log.append(upstreamChange(1, false, 77)) == FoldVerdict::Applied));
  BOOST_TEST((log.assign(6, 0, 1) == FoldVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(upstream_restart_raises_epochs)
{
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  log.append(upstreamChange(1, true, 77));
  log.assign(5, 0, 1);
  const Epoch before = log.mState.mShards[5].mEpoch;
  log.append(upstreamChange(1, true, 78));
  BOOST_TEST(log.mState.mShards[5].mOwner == 1U);
  BOOST_TEST(log.mState.mShards[5].mEpoch > before);
}

BOOST_AUTO_TEST_CASE(version_is_recorded_and_passed_to_a_restarted_daemon)
{
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  log.append(upstreamChange(1, true, 77));
  log.assign(5, 0, 1);
  const Epoch before = log.mState.mShards[5].mEpoch;
  wire::UpstreamChangeT change = upstreamChange(1, true, 77);
  change.version = "v2";
  BOOST_TEST((log.append(change) == FoldVerdict::Applied));
  BOOST_TEST((log.append(change) == FoldVerdict::Refused));
  // The upstream process is the same, so that its keys need no new epoch.
  BOOST_TEST(log.mState.mShards[5].mEpoch == before);
  wire::JoinT next = joinAt(2, "10.0.0.1:7");
  next.succeeds = 1;
  log.append(std::move(next));
  BOOST_TEST(log.mState.mMembers.at(2).mVersion == "v2");
}

BOOST_AUTO_TEST_CASE(rollout_steps_follow_each_other)
{
  CellLog log;
  log.append(joinAt(1, "10.0.0.1:7"));
  wire::RolloutStepT step;
  step.proposer = 1;
  step.order_id = 8;
  step.to = "v2";
  step.state = static_cast<std::uint8_t>(RolloutState::Running);
  step.share_permille = 30;
  BOOST_TEST((log.append(step) == FoldVerdict::Applied));
  // A coordinator that was replaced knows an earlier step only.
  BOOST_TEST((log.append(step) == FoldVerdict::Refused));
  step.base_step = 1;
  step.state = static_cast<std::uint8_t>(RolloutState::RolledBack);
  wire::RolloutStepT invalid = step;
  invalid.share_permille = 1001;
  BOOST_TEST((log.append(invalid) == FoldVerdict::Refused));
  invalid = step;
  invalid.state = 9;
  BOOST_TEST((log.append(invalid) == FoldVerdict::Refused));
  invalid = step;
  invalid.proposer = 2;
  BOOST_TEST((log.append(invalid) == FoldVerdict::Refused));
  BOOST_TEST((log.append(step) == FoldVerdict::Applied));
  // A version that was rolled back must not receive requests again.
  step.base_step = 2;
  step.state = static_cast<std::uint8_t>(RolloutState::Running);
  BOOST_TEST((log.append(step) == FoldVerdict::Refused));
  step.order_id = 9;
  BOOST_TEST((log.append(step) == FoldVerdict::Applied));
  BOOST_TEST(log.mState.mRollout.mStep == 3U);
  BOOST_TEST(log.mState.mRollout.mProgress.mOrderId == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
