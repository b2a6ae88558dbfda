#include "radishroad/operator/rollout_status.h"

#include "radishroad/operator/fleet_query.h"

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kPollInterval = 200_ms;

/// Returns the reason why the version is not active on the member; empty if it
/// is active.
std::string
describeLag(const FleetMember& aMember, std::uint64_t aVersion)
{
  if (!aMember.mState) {
    return "does not answer: " + aMember.mState.error().mMessage;
  }
  const auto it = aMember.mState->find("config_version");
  if (it == aMember.mState->end() || !it->is_number_unsigned()) {
    return "does not report its configuration version";
  }
  const std::uint64_t version = it->get<std::uint64_t>();
  return version >= aVersion ? "" : "has version " + std::to_string(version);
}

Result<RolloutStatus>
checkRollout(const CommandContext& aContext, std::uint64_t aVersion)
{
  const Result<FleetSnapshot> fleet = readFleetSnapshot(aContext);
  if (!fleet) {
    return tl::unexpected<Error>(fleet.error());
  }
  std::vector<FleetMember> members = activeMembers(*fleet);
  fetchStates(aContext, members);
  RolloutStatus result;
  result.mLiveMembers = members.size();
  for (const FleetMember& member : members) {
    const std::string problem = describeLag(member, aVersion);
    if (!problem.empty()) {
      result.mLagging.push_back(
        { member.mService, member.mMember.mVm, problem });
    }
  }
  return result;
}

}

Result<RolloutStatus>
waitForRollout(const CommandContext& aContext,
               std::uint64_t aVersion,
               Millis aTimeout)
{
  const Millis deadline = aContext.mNow() + aTimeout;
  Result<RolloutStatus> result = checkRollout(aContext, aVersion);
  while ((!result || !result->mLagging.empty()) && aContext.mNow() < deadline) {
    aContext.mSleep(kPollInterval);
    result = checkRollout(aContext, aVersion);
  }
  return result;
}

}
