#include "radishroad/operator/in_force.h"

#include "radishroad/operator/fleet_query.h"

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kPollPause = 200_ms;

/// What keeps the version from being in force at the member; empty if
/// nothing does.
std::string
problemOf(const FleetMember& aMember, std::uint64_t aVersion)
{
  if (!aMember.mState) {
    return "does not answer: " + aMember.mState.error().mMessage;
  }
  const auto it = aMember.mState->find("config_version");
  if (it == aMember.mState->end() || !it->is_number_unsigned()) {
    return "does not say which version it has";
  }
  const std::uint64_t version = it->get<std::uint64_t>();
  return version >= aVersion ? "" : "has version " + std::to_string(version);
}

Result<InForce>
checkOnce(const Surroundings& aSurroundings, std::uint64_t aVersion)
{
  const Result<FleetRecords> records = readFleet(aSurroundings);
  if (!records) {
    return tl::unexpected<Error>(records.error());
  }
  std::vector<FleetMember> members = activeMembers(*records);
  fetchStates(aSurroundings, members);
  InForce result;
  result.mLiveMembers = members.size();
  for (const FleetMember& member : members) {
    const std::string problem = problemOf(member, aVersion);
    if (!problem.empty()) {
      result.mLagging.push_back(
        { member.mService, member.mMember.mVm, problem });
    }
  }
  return result;
}

}

Result<InForce>
waitInForce(const Surroundings& aSurroundings,
            std::uint64_t aVersion,
            Millis aTimeout)
{
  const Millis end = aSurroundings.mNow() + aTimeout;
  Result<InForce> result = checkOnce(aSurroundings, aVersion);
  while ((!result || !result->mLagging.empty()) && aSurroundings.mNow() < end) {
    aSurroundings.mSleep(kPollPause);
    result = checkOnce(aSurroundings, aVersion);
  }
  return result;
}

}
