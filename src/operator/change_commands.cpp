#include "radishroad/operator/change_commands.h"

#include "radishroad/operator/change_append.h"
#include "radishroad/operator/config_commands.h"
#include "radishroad/operator/fleet_query.h"
#include "radishroad/operator/publisher.h"
#include "radishroad/operator/zone_edit.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr std::size_t kDrainWords = 3;

/// Services whose cell has an active member on the VM, or has the VM drained.
std::vector<std::string>
servicesOfVm(const FleetRecords& aRecords, const std::string& aVm)
{
  std::vector<std::string> services;
  for (const auto& [service, cell] : aRecords.mCells) {
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
appendToCell(const Surroundings& aSurroundings,
             const std::string& aService,
             Change aChange,
             Millis aTimeout)
{
  return appendChange<CellState>(
    aSurroundings,
    cellStream(aService),
    makeRecord(std::move(aChange), makeRandomId(), wallNow()),
    aTimeout);
}

CommandResult
drainVm(const std::string& aVm,
        bool aOn,
        const Arguments& aArguments,
        const Surroundings& aSurroundings)
{
  const Result<FleetRecords> records = readFleet(aSurroundings);
  if (!records) {
    return makeFailure(records.error());
  }
  const std::vector<std::string> services = servicesOfVm(*records, aVm);
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
    const Result<AppendedChange<CellState>> end = appendToCell(
      aSurroundings, service, std::move(change), aArguments.mTimeout);
    if (!end) {
      return makeFailure(end.error());
    }
    if (end->mVerdict != FoldVerdict::Applied) {
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
          const Surroundings& aSurroundings)
{
  const Result<ConfigState> state =
    readState<ConfigState>(aSurroundings, std::string(kConfigStream));
  if (!state) {
    return makeFailure(state.error());
  }
  Result<std::vector<ConfigText>> files =
    withZoneInService(state->mFiles, aZone, !aOn);
  if (!files) {
    return makeFailure(files.error());
  }
  const Result<PublicationEnd> end = publish(aSurroundings,
                                             { std::move(*files),
                                               aArguments.mOperator,
                                               state->mVersion,
                                               aArguments.mTimeout });
  if (!end) {
    return makeFailure(end.error());
  }
  CommandResult result = reportPublication(*end, aArguments, aSurroundings);
  result.mJson["zone"] = aZone;
  if (end->mKind == PublicationEnd::Kind::Published) {
    result.mText += "the folder it came from still says otherwise: change "
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
drain(const Arguments& aArguments, const Surroundings& aSurroundings)
{
  const std::vector<std::string>& words = aArguments.mWords;
  const bool known = words.size() == kDrainWords &&
                     (words[0] == "vm" || words[0] == "zone") &&
                     (words[2] == "on" || words[2] == "off");
  if (!known) {
    return makeFailure(ExitCode::Usage, "expected: drain vm|zone NAME on|off");
  }
  const bool on = words[2] == "on";
  return words[0] == "vm" ? drainVm(words[1], on, aArguments, aSurroundings)
                          : drainZone(words[1], on, aArguments, aSurroundings);
}

CommandResult
declareLost(const Arguments& aArguments, const Surroundings& aSurroundings)
{
  const std::string& vm = aArguments.mWords.front();
  const Result<FleetRecords> records = readFleet(aSurroundings);
  if (!records) {
    return makeFailure(records.error());
  }
  const std::vector<FleetMember> members = activeMembers(*records);
  const FleetMember* member = findVm(members, vm);
  if (member == nullptr) {
    return makeFailure(ExitCode::Negative, "no cell has a live VM " + vm);
  }
  if (aSurroundings.mFetch(member->mMember.mOperatorAddress, "/health")) {
    return makeFailure(ExitCode::Negative,
                       "VM " + vm + " answers at " +
                         member->mMember.mOperatorAddress +
                         "; it is not destroyed");
  }
  wire::DeclareLostT change;
  change.vm = vm;
  change.incarnation = member->mMember.mIncarnation;
  change.operator_name = aArguments.mOperator;
  const Result<AppendedChange<CellState>> end = appendToCell(
    aSurroundings, member->mService, std::move(change), aArguments.mTimeout);
  if (!end) {
    return makeFailure(end.error());
  }
  if (end->mVerdict != FoldVerdict::Applied) {
    return makeFailure(ExitCode::Negative,
                       "VM " + vm + " has left or started anew meanwhile");
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
