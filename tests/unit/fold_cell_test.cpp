#include "cell_log.h"

#include "radishroad/state/limits.h"
#include "radishroad/state/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace radishroad;
using radishroad::testing::CellLog;

namespace {

constexpr FoldVerdict kApplied = FoldVerdict::Applied;
constexpr FoldVerdict kRefused = FoldVerdict::Refused;

}

BOOST_AUTO_TEST_SUITE(fold_cell)

BOOST_AUTO_TEST_CASE(join_refuses_invalid_and_known_incarnations)
{
  CellLog log;
  BOOST_CHECK(log.join(1, "a") == kApplied);
  BOOST_CHECK(log.join(1, "a") == kRefused);
  BOOST_CHECK(log.join(0, "a") == kRefused);
  BOOST_CHECK(log.join(2, "a", { 2 }) == kRefused);
  BOOST_CHECK(log.join(2, "a", { 1, 1 }) == kRefused);
  BOOST_CHECK(log.join(2, "") == kRefused);
  BOOST_CHECK(log.leave(1) == kApplied);
  BOOST_CHECK(log.join(1, "a") == kRefused);
  BOOST_TEST(coordinatorOf(log.mState) == 0U);
}

BOOST_AUTO_TEST_CASE(a_superseded_member_keeps_its_shards_and_receives_no_more)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(0, 0, 1);
  wire::JoinT again;
  again.vm = "vm-1";
  again.zone = "a";
  again.incarnation = 9;
  BOOST_CHECK(log.append(again) == kApplied);
  BOOST_CHECK(log.mState.mMembers[1].mStatus == MemberStatus::Active);
  BOOST_TEST(log.mState.mShards[0].mOwner == 1U);
  BOOST_CHECK(log.assign(1, 0, 1) == kRefused);
  BOOST_CHECK(log.assign(1, 0, 9) == kApplied);
  BOOST_TEST(coordinatorOf(log.mState) == 2U);
  BOOST_CHECK(log.release(1, { { 0, 1, 9 } }) == kApplied);
}

BOOST_AUTO_TEST_CASE(rewitness_requires_the_current_version)
{
  CellLog log = CellLog::withFourMembers();
  BOOST_CHECK(log.rewitness(1, 0, { 2, 3 }) == kApplied);
  BOOST_CHECK(log.rewitness(1, 0, { 2, 4 }) == kRefused);
  BOOST_CHECK(log.rewitness(1, 1, { 1, 2, 3 }) == kRefused);
  BOOST_CHECK(log.rewitness(8, 0, { 2, 3 }) == kRefused);
  BOOST_TEST(log.mState.mMembers[1].mWitnessVersion == 1U);
}

BOOST_AUTO_TEST_CASE(expel_requires_a_majority_of_the_current_witnesses)
{
  CellLog log = CellLog::withFourMembers();
  BOOST_CHECK(log.expel(1, 0, { 2 }) == kRefused);
  BOOST_CHECK(log.expel(1, 0, { 2, 2 }) == kRefused);
  BOOST_CHECK(log.expel(1, 0, { 2, 1 }) == kRefused);
  BOOST_CHECK(log.expel(1, 0, { 2, 3, 9 }) == kRefused);
  BOOST_CHECK(log.expel(1, 1, { 2, 3 }) == kRefused);
  BOOST_CHECK(log.rewitness(1, 0, { 2, 3, 4 }) == kApplied);
  BOOST_CHECK(log.expel(1, 0, { 2, 3 }) == kRefused);
  BOOST_CHECK(log.expel(1, 1, { 2, 3 }) == kApplied);
  BOOST_CHECK(log.expel(1, 1, { 2, 3 }) == kRefused);
  BOOST_CHECK(log.join(5, "a") == kApplied);
  BOOST_CHECK(log.expel(5, 0, {}) == kRefused);
}

BOOST_AUTO_TEST_CASE(expel_requires_an_active_proposer)
{
  CellLog log = CellLog::withFourMembers();
  BOOST_CHECK(log.join(5, "a", { 1, 2, 3 }) == kApplied);
  BOOST_CHECK(log.expel(1, 0, { 2, 3 }, 9) == kRefused);
  BOOST_CHECK(log.expel(1, 0, { 2, 3 }, 2) == kApplied);
  BOOST_CHECK(log.expel(2, 0, { 3, 4 }, 1) == kRefused);
  BOOST_CHECK(log.leave(4) == kApplied);
  BOOST_CHECK(log.expel(2, 0, { 3, 4 }, 4) == kRefused);
  BOOST_CHECK(log.expel(2, 0, { 3, 4 }, 3) == kApplied);
  // Old records without a proposer remain valid.
  BOOST_CHECK(log.expel(5, 0, { 1, 2 }) == kApplied);
}

BOOST_AUTO_TEST_CASE(expel_distributes_shards_and_split_keys_evenly)
{
  CellLog log = CellLog::withFourMembers();
  for (Shard shard = 0; shard < 9; ++shard) {
    log.assign(shard, 0, 1);
  }
  BOOST_CHECK(log.split(1, 3, 1, 1) == kApplied);
  BOOST_CHECK(log.expel(1, 0, { 2, 3 }) == kApplied);
  std::map<Incarnation, int> counts;
  for (Shard shard = 0; shard < 9; ++shard) {
    // Shard 3 and its split key go to the same owner, so both get the epoch of
    // the second of the two changes.
    const Epoch epoch = shard == 3 ? 4 : 2;
    BOOST_TEST(log.mState.mShards[shard].mEpoch == epoch);
    ++counts[log.mState.mShards[shard].mOwner];
  }
  for (const Incarnation owner : { 2, 3, 4 }) {
    BOOST_TEST(counts[owner] == 3);
  }
  const Ownership split = ownerOf(log.mState, 3);
  BOOST_TEST(split.mEpoch == 4U);
  BOOST_TEST((split.mOwner >= 2 && split.mOwner <= 4));
}

BOOST_AUTO_TEST_CASE(
  shards_and_split_keys_have_no_owner_until_a_member_is_eligible)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(3, 0, 1);
  log.split(1, 3, 1, 1);
  for (const char* vm : { "vm-2", "vm-3", "vm-4" }) {
    BOOST_CHECK(log.drain(vm, true) == kApplied);
  }
  BOOST_CHECK(log.expel(1, 0, { 2, 3 }) == kApplied);
  BOOST_CHECK((log.mState.mShards[3] == Ownership{ 0, 4 }));
  BOOST_CHECK((ownerOf(log.mState, 3) == Ownership{ 0, 4 }));
  BOOST_CHECK(log.drain("vm-2", false) == kApplied);
  BOOST_CHECK((log.mState.mShards[3] == Ownership{ 0, 4 }));
  BOOST_CHECK((ownerOf(log.mState, 3) == Ownership{ 2, 5 }));
  BOOST_CHECK(log.assign(3, 3, 2) == kRefused);
  BOOST_CHECK(log.assign(3, 4, 2) == kApplied);
  BOOST_CHECK((log.mState.mShards[3] == Ownership{ 2, 6 }));
  BOOST_CHECK((ownerOf(log.mState, 3) == Ownership{ 2, 6 }));
}

BOOST_AUTO_TEST_CASE(declare_lost_requires_matching_vm_and_incarnation)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(0, 0, 1);
  wire::DeclareLostT change;
  change.vm = "vm-2";
  change.incarnation = 1;
  BOOST_CHECK(log.append(change) == kRefused);
  change.vm = "vm-1";
  BOOST_CHECK(log.append(change) == kApplied);
  BOOST_CHECK(log.append(change) == kRefused);
  BOOST_CHECK(log.mState.mMembers[1].mStatus == MemberStatus::Expelled);
  BOOST_TEST(log.mState.mShards[0].mOwner != 1U);
}

BOOST_AUTO_TEST_CASE(leave_requires_that_nothing_is_owned)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(3, 0, 1);
  BOOST_CHECK(log.leave(1) == kRefused);
  log.split(1, 3, 1, 1);
  BOOST_CHECK(log.release(1, { { 3, 1, 2 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 3, 2, 2 } }) == kApplied);
  BOOST_CHECK(log.leave(1) == kRefused);
  BOOST_CHECK(log.split(1, 3, 2, 2) == kApplied);
  BOOST_CHECK(log.leave(1) == kApplied);
  BOOST_CHECK(log.leave(1) == kRefused);
}

BOOST_AUTO_TEST_CASE(grants_are_applied_all_or_none)
{
  CellLog log = CellLog::withFourMembers();
  wire::AssignT both;
  both.grants.emplace_back(0, 0, 1);
  both.grants.emplace_back(1, 5, 1);
  BOOST_CHECK(log.append(both) == kRefused);
  BOOST_TEST(log.mState.mShards[0].mOwner == 0U);
  BOOST_CHECK(log.assign(0, 0, 1) == kApplied);
  BOOST_CHECK(log.assign(0, 1, 2) == kRefused);
  BOOST_CHECK(log.assign(kShardCount, 0, 1) == kRefused);
  BOOST_CHECK(log.assign(1, 0, 9) == kRefused);
  BOOST_CHECK(log.append(wire::AssignT{}) == kRefused);
  BOOST_CHECK(log.assign(1, 0, 1) == kApplied);
  BOOST_CHECK(log.release(2, { { 0, 1, 3 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 0, 3 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 0, 1 } }) == kRefused);
  BOOST_CHECK(log.release(2, { { 0, 1, 2 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 1 }, { 0, 1, 1 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 1 }, { 1, 0, 3 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 3 }, { 0, 1, 2 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 3 }, { 1, 0, 3 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 3 }, { 1, 1, 2 } }) == kApplied);
  BOOST_CHECK(log.release(1, { { 0, 1, 3 } }) == kRefused);
  BOOST_CHECK((log.mState.mShards[0] == Ownership{ 3, 2 }));
}

// OWNER: a hand-off that was refused while its next owner could own nothing was
// applied by a late copy, after its owner had granted the keys again.
BOOST_AUTO_TEST_CASE(no_late_copy_hands_off_a_shard_that_its_owner_keeps)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(0, 0, 1);
  log.mState.mMembers.at(1).mUpstreamDown = true;
  log.mState.mMembers.at(3).mUpstreamDown = true;
  BOOST_CHECK(log.release(1, { { 0, 1, 3 } }) == kRefused);
  BOOST_CHECK(log.release(1, { { 0, 1, 1 } }) == kApplied);
  BOOST_CHECK((log.mState.mShards[0] == Ownership{ 1, 2 }));
  log.mState.mMembers.at(3).mUpstreamDown = false;
  BOOST_CHECK(log.release(1, { { 0, 1, 3 } }) == kRefused);
  BOOST_CHECK((log.mState.mShards[0] == Ownership{ 1, 2 }));
}

BOOST_AUTO_TEST_CASE(merging_a_split_key_raises_the_epoch_of_its_shard)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(3, 0, 1);
  BOOST_CHECK(log.split(1, 3, 1, 0) == kRefused);
  log.split(1, 3, 1, 2);
  log.split(2, 3, 2, 4);
  BOOST_CHECK(log.split(2, 3, 3, 0) == kRefused);
  BOOST_CHECK(log.split(4, 3, 2, 0) == kRefused);
  BOOST_CHECK(log.split(4, 3, 3, 0) == kApplied);
  BOOST_TEST(log.mState.mSplitKeys.empty());
  BOOST_TEST(log.mState.mShards[3].mOwner == 1U);
  BOOST_TEST(log.mState.mShards[3].mEpoch == 4U);
}

BOOST_AUTO_TEST_CASE(split_key_is_not_merged_into_the_shard_of_a_drained_owner)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(3, 0, 1);
  log.split(1, 3, 1, 2);
  log.drain("vm-1", true);
  BOOST_CHECK(log.split(2, 3, 2, 0) == kRefused);
  log.drain("vm-1", false);
  BOOST_CHECK(log.split(2, 3, 2, 0) == kApplied);
}

BOOST_AUTO_TEST_CASE(split_key_moves_independently_of_its_shard)
{
  CellLog log = CellLog::withFourMembers();
  log.assign(3, 0, 1);
  BOOST_CHECK(log.split(2, 3, 1, 2) == kRefused);
  BOOST_CHECK(log.split(1, 3, 0, 2) == kRefused);
  BOOST_CHECK(log.split(1, 3, 1, 2) == kApplied);
  BOOST_CHECK(log.split(1, 3, 1, 3) == kRefused);
  BOOST_CHECK(log.split(2, 3, 2, 2) == kRefused);
  BOOST_CHECK(log.release(1, { { 3, 1, 4 } }) == kApplied);
  BOOST_CHECK((ownerOf(log.mState, 3) == Ownership{ 2, 2 }));
  BOOST_CHECK(log.split(2, 3, 2, 3) == kApplied);
  BOOST_CHECK((ownerOf(log.mState, 3) == Ownership{ 3, 4 }));
  BOOST_CHECK((ownerOf(log.mState, 3 + kShardCount) == Ownership{ 4, 3 }));
}

BOOST_AUTO_TEST_CASE(members_in_drained_vms_and_zones_receive_no_shards)
{
  CellLog log = CellLog::withFourMembers();
  log.drain("vm-2", true);
  BOOST_CHECK(log.assign(0, 0, 2) == kRefused);
  log.drain("vm-2", false);
  BOOST_CHECK(log.assign(0, 0, 2) == kApplied);
  BOOST_CHECK(log.zonesOut(4, { "b" }) == kApplied);
  BOOST_CHECK(log.zonesOut(4, {}) == kRefused);
  BOOST_CHECK(log.assign(1, 0, 3) == kRefused);
  BOOST_TEST(selectNewOwner(log.mState, 0, 2) == 1U);
  BOOST_CHECK(log.zonesOut(5, {}) == kApplied);
  BOOST_CHECK(log.assign(1, 0, 3) == kApplied);
}

BOOST_AUTO_TEST_CASE(duplicates_are_dropped_even_of_a_refused_record)
{
  CellLog log = CellLog::withFourMembers();
  wire::DrainT drain;
  drain.vm = "vm-1";
  drain.on = true;
  const Bytes on = encodeRecord(makeRecord(drain, { 1, 1 }, Millis{}));
  BOOST_CHECK(log.appendBytes(on) == kApplied);
  log.drain("vm-1", false);
  BOOST_CHECK(log.appendBytes(on) == FoldVerdict::Duplicate);
  BOOST_TEST(log.mState.mDrainedVms.empty());
  wire::LeaveT leave;
  leave.incarnation = 8;
  const Bytes refused = encodeRecord(makeRecord(leave, { 1, 2 }, Millis{}));
  BOOST_CHECK(log.appendBytes(refused) == kRefused);
  log.join(8, "a");
  BOOST_CHECK(log.appendBytes(refused) == FoldVerdict::Duplicate);
}

BOOST_AUTO_TEST_CASE(only_the_record_at_the_next_offset_is_folded)
{
  CellLog log = CellLog::withFourMembers();
  const CellState before = log.mState;
  LogRecord record = log.mRecords.back();
  BOOST_CHECK(fold(log.mState, record) == FoldVerdict::Ignored);
  record.mOffset += 2;
  BOOST_CHECK(fold(log.mState, record) == FoldVerdict::Ignored);
  BOOST_CHECK((log.mState == before));
}

BOOST_AUTO_TEST_CASE(invalid_records_change_only_the_next_offset)
{
  CellLog log = CellLog::withFourMembers();
  CellState expected = log.mState;
  Bytes unknownKind = log.mRecords[0].mData;
  const std::vector<Bytes> invalidRecords{ {},
                                           { 1, 2, 3 },
                                           Bytes(200, 0xff),
                                           Bytes(unknownKind.begin(),
                                                 unknownKind.end() - 9) };
  for (const Bytes& data : invalidRecords) {
    BOOST_CHECK(log.appendBytes(data) == FoldVerdict::Corrupt);
    ++expected.mNextOffset;
    BOOST_CHECK((log.mState == expected));
  }
  wire::RecordT withoutChange;
  BOOST_CHECK(log.appendBytes(encodeRecord(withoutChange)) ==
              FoldVerdict::Corrupt);
  BOOST_CHECK(log.append(wire::PublishT{}) == FoldVerdict::Ignored);
}

BOOST_AUTO_TEST_CASE(
  retired_members_are_limited_and_referenced_witnesses_are_retained)
{
  CellLog log;
  log.join(1, "a", { 2 });
  for (Incarnation it = 2; it < 2 + 2 * kMaxRetiredMembers; ++it) {
    log.join(it, "a");
    BOOST_CHECK(log.leave(it) == kApplied);
  }
  BOOST_TEST(log.mState.mMembers.size() == kMaxRetiredMembers + 2);
  BOOST_TEST(log.mState.mMembers.contains(2));
  BOOST_TEST(!log.mState.mMembers.contains(3));
}

BOOST_AUTO_TEST_CASE(witnesses_are_preferably_in_other_zones)
{
  std::vector<Member> members;
  for (const auto& [incarnation, member] :
       CellLog::withFourMembers().mState.mMembers) {
    members.push_back(member);
  }
  const std::vector<Incarnation> chosen = chooseWitnesses(members, 1, "a", 3);
  BOOST_TEST(chosen.size() == 3U);
  BOOST_TEST((chosen[0] >= 3 && chosen[1] >= 3));
  BOOST_TEST(chosen[2] == 2U);
  BOOST_TEST(chooseWitnesses(members, 1, "a", 9).size() == 3U);
}

BOOST_AUTO_TEST_CASE(publish_requires_the_current_version)
{
  ConfigState state;
  std::uint64_t offset = 0;
  const auto publish = [&](std::uint64_t aBase, std::uint64_t aId) {
    wire::PublishT change;
    change.base_version = aBase;
    change.operator_name = std::to_string(aId);
    return fold(
      state,
      { offset++, {}, encodeRecord(makeRecord(change, { 0, aId }, Millis{})) });
  };
  BOOST_CHECK(publish(0, 1) == kApplied);
  BOOST_CHECK(publish(0, 2) == kRefused);
  BOOST_CHECK(publish(0, 1) == FoldVerdict::Duplicate);
  BOOST_CHECK(publish(1, 3) == kApplied);
  BOOST_TEST(state.mVersion == 2U);
  BOOST_TEST(state.mOperator == "3");
}

BOOST_AUTO_TEST_SUITE_END()
