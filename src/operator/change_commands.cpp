#include "radishroad/operator/change_commands.h"

#include "radishroad/operator/change_append.h"
#include "radishroad/operator/config_commands.h"
#include "radishroad/operator/fleet_query.h"
#include "radishroad/operator/publisher.h"
#include "radishroad/operator/zone_edit.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr std::size_t kDrainPositionals = 3;

/// Returns the services whose cell has an active member on the VM or lists the
/// VM as drained.
std::vector<std::string>
servicesOfVm(const FleetSnapshot& aFleet, const std::string& aVm)
{
  std::vector<std::string> services;
  for (const auto& [service, cell] : aFleet.mCells) {
    const bool active = std::any_of(
      cell.mMembers.begin(), cell.mMembers.end(), [&aVm](const auto& aEntry) {
        return aEntry.second.mVm == aVm &&
               aEntry.second.mStatus == MemberStatus::Active;
      });
    if (active || cell.mDrainedVms.contains(aVm)) {
      services.push_back(service);
    }
  }
  return services;
}

template<typename Change>
Result<AppendedChange<CellState>>
appendToCell(const CommandContext& aContext,
             const std::string& aService,
             Change aChange,
             Millis aTimeout)
{
  return appendChange<CellState>(
    aContext,
    cellStream(aService),
    makeRecord(std::move(aChange), makeRandomId(), wallNow()),
    aTimeout);
}

CommandResult
drainVm(const std::string& aVm,
        bool aOn,
        const Arguments& aArguments,
        const CommandContext& aContext)
{
  const Result<FleetSnapshot> fleet = readFleetSnapshot(aContext);
  if (!fleet) {
    return makeFailure(fleet.error());
  }
  const std::vector<std::string> services = servicesOfVm(*fleet, aVm);
  if (services.empty()) {
    return makeFailure(ExitCode::Negative, "no cell has VM " + aVm);
  }
  CommandResult result;
  result.mJson = { { "vm", aVm },
                   { "drained", aOn },
                   { "services", services } };
  for (const std::string& service : services) {
    wire::DrainT change;
    change.vm = aVm;
    change.on = aOn;
    change.operator_name = aArguments.mOperator;
    const Result<AppendedChange<CellState>> appended =
      appendToCell(aContext, service, std::move(change), aArguments.mTimeout);
    if (!appended) {
      return makeFailure(appended.error());
    }
    if (appended->mVerdict != FoldVerdict::Applied) {
      return makeFailure(ExitCode::Negative,
                         "the cell of " + service + " refused the change");
    }
    result.mText.append("VM ").append(aVm).append(" of ").append(service);
    result.mText += aOn ? " is drained\n" : " is back in service\n";
  }
  return result;
}

CommandResult
drainZone(const std::string& aZone,
          bool aOn,
          const Arguments& aArguments,
          const CommandContext& aContext)
{
  const Result<ConfigState> state =
    readState<ConfigState>(aContext, std::string(kConfigStream));
  if (!state) {
    return makeFailure(state.error());
  }
  Result<std::vector<ConfigText>> files =
    withZoneInService(state->mFiles, aZone, !aOn);
  if (!files) {
    return makeFailure(files.error());
  }
  const Result<PublishResult> published = publish(aContext,
                                                  { std::move(*files),
                                                    aArguments.mOperator,
                                                    state->mVersion,
                                                    aArguments.mTimeout });
  if (!published) {
    return makeFailure(published.error());
  }
  CommandResult result = reportPublishResult(*published, aArguments, aContext);
  result.mJson["zone"] = aZone;
  if (published->mOutcome == PublishResult::Outcome::Published) {
    result.mText += "the configuration folder still has the old value: change "
                    "in_service of " +
                    aZone + " there too\n";
  }
  return result;
}

const FleetMember*
findVm(const std::vector<FleetMember>& aMembers, const std::string& aVm)
{
  const auto it = std::find_if(
    aMembers.begin(), aMembers.end(), [&aVm](const FleetMember& aMember) {
      return aMember.mMember.mVm == aVm;
    });
  return it == aMembers.end() ? nullptr : &*it;
}

}

CommandResult
drain(const Arguments& aArguments, const CommandContext& aContext)
{
  const std::vector<std::string>& positionals = aArguments.mPositionals;
  const bool valid = positionals.size() == kDrainPositionals &&
                     (positionals[0] == "vm" || positionals[0] == "zone") &&
                     (positionals[2] == "on" || positionals[2] == "off");
  if (!valid) {
    return makeFailure(ExitCode::Usage, "expected: drain vm|zone NAME on|off");
  }
  const bool on = positionals[2] == "on";
  return positionals[0] == "vm"
           ? drainVm(positionals[1], on, aArguments, aContext)
           : drainZone(positionals[1], on, aArguments, aContext);
}

CommandResult
declareLost(const Arguments& aArguments, const CommandContext& aContext)
{
  const std::string& vm = aArguments.mPositionals.front();
  const Result<FleetSnapshot> fleet = readFleetSnapshot(aContext);
  if (!fleet) {
    return makeFailure(fleet.error());
  }
  const std::vector<FleetMember> members = activeMembers(*fleet);
  const FleetMember* member = findVm(members, vm);
  if (member == nullptr) {
    return makeFailure(ExitCode::Negative,
                       "no cell has an active member on VM " + vm);
  }
  if (aContext.mFetch(member->mMember.mOperatorAddress, "/health")) {
    return makeFailure(ExitCode::Negative,
                       "VM " + vm + " answers at " +
                         member->mMember.mOperatorAddress +
                         "; it is not destroyed");
  }
  wire::DeclareLostT change;
  change.vm = vm;
  change.incarnation = member->mMember.mIncarnation;
  change.operator_name = aArguments.mOperator;
  const Result<AppendedChange<CellState>> appended = appendToCell(
    aContext, member->mService, std::move(change), aArguments.mTimeout);
  if (!appended) {
    return makeFailure(appended.error());
  }
  if (appended->mVerdict != FoldVerdict::Applied) {
    return makeFailure(ExitCode::Negative,
                       "VM " + vm + " left or restarted in the meantime");
  }
  CommandResult result;
  result.mText = "VM " + vm + " of " + member->mService + " is declared lost\n";
  result.mJson = { { "vm", vm },
                   { "service", member->mService },
                   { "incarnation",
                     std::to_string(member->mMember.mIncarnation) } };
  return result;
}

}
