#include "radishroad/state/fold_rules.h"

#include "radishroad/state/limits.h"
#include "radishroad/state/placement.h"

#include <algorithm>
#include <set>
#include <span>

namespace radishroad::rules {

namespace {

bool
isValidName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

bool
areDistinct(std::span<const Incarnation> aList)
{
  const std::set<Incarnation> set(aList.begin(), aList.end());
  return set.size() == aList.size();
}

bool
isValidWitnessSet(std::span<const Incarnation> aWitnesses, Incarnation aSelf)
{
  return aWitnesses.size() <= kMaxWitnesses && areDistinct(aWitnesses) &&
         std::ranges::find(aWitnesses, aSelf) == aWitnesses.end() &&
         std::ranges::find(aWitnesses, Incarnation{ 0 }) == aWitnesses.end();
}

Member*
findActive(CellState& aState, Incarnation aIncarnation)
{
  const auto it = aState.mMembers.find(aIncarnation);
  if (it == aState.mMembers.end() ||
      it->second.mStatus != MemberStatus::Active) {
    return nullptr;
  }
  return &it->second;
}

std::size_t
countActive(const CellState& aState)
{
  return std::ranges::count_if(aState.mMembers, [](const auto& aEntry) {
    return aEntry.second.mStatus == MemberStatus::Active;
  });
}

/// True if all consents come from distinct witnesses of the set and form more
/// than half of it. Never true for an empty set.
bool
isMajority(std::span<const Incarnation> aConsents,
           std::span<const Incarnation> aWitnesses)
{
  const bool allAreWitnesses =
    std::ranges::all_of(aConsents, [&](Incarnation aConsent) {
      return std::ranges::find(aWitnesses, aConsent) != aWitnesses.end();
    });
  return allAreWitnesses && areDistinct(aConsents) &&
         aConsents.size() * 2 > aWitnesses.size();
}

std::set<Incarnation>
referencedWitnesses(const CellState& aState)
{
  std::set<Incarnation> named;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (member.mStatus == MemberStatus::Active) {
      named.insert(member.mWitnesses.begin(), member.mWitnesses.end());
    }
  }
  return named;
}

/// Removes the members that left or were expelled longest ago, beyond
/// kMaxRetiredMembers. Members in the witness set of an active member are kept.
void
pruneRetired(CellState& aState)
{
  const std::set<Incarnation> named = referencedWitnesses(aState);
  std::vector<std::pair<std::uint64_t, Incarnation>> retired;
  for (const auto& [incarnation, member] : aState.mMembers) {
    if (member.mStatus != MemberStatus::Active &&
        !named.contains(incarnation)) {
      retired.emplace_back(member.mEndOffset, incarnation);
    }
  }
  if (retired.size() <= kMaxRetiredMembers) {
    return;
  }
  std::ranges::sort(retired);
  retired.resize(retired.size() - kMaxRetiredMembers);
  for (const auto& [offset, incarnation] : retired) {
    aState.mMembers.erase(incarnation);
  }
}

void
supersede(CellState& aState, const std::string& aVm)
{
  for (auto& [incarnation, member] : aState.mMembers) {
    if (member.mVm == aVm) {
      member.mSuperseded = true;
    }
  }
}

void
retire(CellState& aState,
       Member& aMember,
       MemberStatus aStatus,
       std::uint64_t aOffset)
{
  aMember.mStatus = aStatus;
  aMember.mEndOffset = aOffset;
  redistributeOwnership(aState, aMember.mIncarnation);
  pruneRetired(aState);
}

/// Returns the member that the joining process replaces. Its process must have
/// ended, because the joining process runs on the same VM and listens on the
/// same address. 0 if there is no such member.
Incarnation
findPredecessor(const CellState& aState, const wire::JoinT& aChange)
{
  const auto it = aState.mMembers.find(aChange.succeeds);
  const bool isSameEndpoint = it != aState.mMembers.end() &&
                              it->second.mStatus == MemberStatus::Active &&
                              it->second.mVm == aChange.vm &&
                              it->second.mPeerAddress == aChange.peer_address;
  return isSameEndpoint ? aChange.succeeds : 0;
}

}

bool
apply(CellState& aState, const wire::JoinT& aChange, std::uint64_t aOffset)
{
  const bool valid = aChange.incarnation != 0 && isValidName(aChange.vm) &&
                     isValidName(aChange.zone) &&
                     aChange.peer_address.size() <= kMaxNameBytes &&
                     aChange.caller_address.size() <= kMaxNameBytes &&
                     aChange.operator_address.size() <= kMaxNameBytes &&
                     isValidWitnessSet(aChange.witnesses, aChange.incarnation);
  if (!valid || aState.mMembers.contains(aChange.incarnation) ||
      countActive(aState) >= kMaxActiveMembers) {
    return false;
  }
  Member member;
  member.mIncarnation = aChange.incarnation;
  member.mVm = aChange.vm;
  member.mZone = aChange.zone;
  member.mPeerAddress = aChange.peer_address;
  member.mCallerAddress = aChange.caller_address;
  member.mOperatorAddress = aChange.operator_address;
  member.mWitnesses = aChange.witnesses;
  member.mJoinOffset = aOffset;
  member.mUpstreamDown = aChange.awaits_upstream;
  const Incarnation predecessor = findPredecessor(aState, aChange);
  if (predecessor != 0) {
    member.mUpstreamDown = aState.mMembers.at(predecessor).mUpstreamDown;
    member.mUpstreamIncarnation =
      aState.mMembers.at(predecessor).mUpstreamIncarnation;
    member.mVersion = aState.mMembers.at(predecessor).mVersion;
  }
  supersede(aState, aChange.vm);
  aState.mMembers.emplace(aChange.incarnation, std::move(member));
  if (predecessor != 0) {
    transferOwnership(aState, predecessor, aChange.incarnation);
    retire(
      aState, aState.mMembers.at(predecessor), MemberStatus::Left, aOffset);
  }
  assignOwnerlessSplitKeys(aState);
  return true;
}

bool
apply(CellState& aState, const wire::UpstreamChangeT& aChange)
{
  Member* member = findActive(aState, aChange.incarnation);
  if (member == nullptr || aChange.version.size() > kMaxNameBytes) {
    return false;
  }
  const bool upstreamRestarted = aChange.life != member->mUpstreamIncarnation;
  if (member->mUpstreamDown == !aChange.up && !upstreamRestarted &&
      aChange.version == member->mVersion) {
    return false;
  }
  member->mUpstreamDown = !aChange.up;
  member->mUpstreamIncarnation = aChange.life;
  member->mVersion = aChange.version;
  if (upstreamRestarted) {
    transferOwnership(aState, aChange.incarnation, aChange.incarnation);
  }
  assignOwnerlessSplitKeys(aState);
  return true;
}

bool
apply(CellState& aState, const wire::RewitnessT& aChange)
{
  Member* member = findActive(aState, aChange.incarnation);
  if (member == nullptr || member->mWitnessVersion != aChange.base_version ||
      !isValidWitnessSet(aChange.witnesses, aChange.incarnation)) {
    return false;
  }
  member->mWitnesses = aChange.witnesses;
  ++member->mWitnessVersion;
  return true;
}

bool
apply(CellState& aState, const wire::ExpelT& aChange, std::uint64_t aOffset)
{
  Member* member = findActive(aState, aChange.incarnation);
  // A proposer that was itself expelled may be partitioned from the others: if
  // two members propose to expel each other, only the first record takes
  // effect. Old records name no proposer.
  const bool mayPropose =
    aChange.proposer == 0 || findActive(aState, aChange.proposer) != nullptr;
  if (member == nullptr || !mayPropose ||
      member->mWitnessVersion != aChange.witness_version ||
      !isMajority(aChange.consents, member->mWitnesses)) {
    return false;
  }
  retire(aState, *member, MemberStatus::Expelled, aOffset);
  return true;
}

bool
apply(CellState& aState, const wire::BeginLeaveT& aChange)
{
  Member* member = findActive(aState, aChange.incarnation);
  if (member == nullptr || member->mLeaving) {
    return false;
  }
  member->mLeaving = true;
  return true;
}

bool
apply(CellState& aState, const wire::LeaveT& aChange, std::uint64_t aOffset)
{
  Member* member = findActive(aState, aChange.incarnation);
  if (member == nullptr || ownsAny(aState, aChange.incarnation)) {
    return false;
  }
  retire(aState, *member, MemberStatus::Left, aOffset);
  return true;
}

bool
apply(CellState& aState,
      const wire::DeclareLostT& aChange,
      std::uint64_t aOffset)
{
  Member* member = findActive(aState, aChange.incarnation);
  if (member == nullptr || member->mVm != aChange.vm) {
    return false;
  }
  retire(aState, *member, MemberStatus::Expelled, aOffset);
  return true;
}

bool
apply(CellState& aState, const wire::DrainT& aChange)
{
  if (!isValidName(aChange.vm)) {
    return false;
  }
  if (!aChange.on) {
    aState.mDrainedVms.erase(aChange.vm);
    assignOwnerlessSplitKeys(aState);
    return true;
  }
  if (aState.mDrainedVms.size() >= kMaxDrainedVms) {
    return aState.mDrainedVms.contains(aChange.vm);
  }
  aState.mDrainedVms.insert(aChange.vm);
  return true;
}

bool
apply(CellState& aState, const wire::ZonesOutT& aChange)
{
  if (aChange.config_version <= aState.mZonesVersion ||
      aChange.zones.size() > kMaxDrainedZones ||
      !std::ranges::all_of(aChange.zones, isValidName)) {
    return false;
  }
  aState.mZonesVersion = aChange.config_version;
  aState.mDrainedZones = { aChange.zones.begin(), aChange.zones.end() };
  assignOwnerlessSplitKeys(aState);
  return true;
}

}
