#include "radishroad/state/cell_state.h"
#include "support/fleet.h"
#include "support/http_call.h"
#include "support/ports.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace radishroad::test {

namespace fs = std::filesystem;

const Fleet::Vm&
Fleet::find(const std::string& aVm) const
{
  for (const Vm& vm : mVms) {
    if (vm.mSpec.mName == aVm) {
      return vm;
    }
  }
  throw std::runtime_error("unknown VM " + aVm);
}

Fleet::Vm&
Fleet::find(const std::string& aVm)
{
  return const_cast<Vm&>(std::as_const(*this).find(aVm));
}

std::string
Fleet::ip(const std::string& aVm) const
{
  return mAddresses.ip(find(aVm).mHost);
}

std::string
Fleet::callerAddress(const std::string& aVm) const
{
  return hostAndPort(ip(aVm), kCallerPort);
}

std::string
Fleet::operatorAddress(const std::string& aVm) const
{
  return hostAndPort(ip(aVm), kOperatorPort);
}

std::string
Fleet::logAddress() const
{
  return hostAndPort(mAddresses.ip(kLogHost), kLogPort);
}

std::vector<std::string>
Fleet::callerAddresses(const std::set<std::string>& aExcept) const
{
  std::vector<std::string> addresses;
  for (const Vm& vm : mVms) {
    if (!aExcept.contains(vm.mSpec.mName)) {
      addresses.push_back(callerAddress(vm.mSpec.mName));
    }
  }
  return addresses;
}

std::vector<std::string>
Fleet::vmsOf(const std::string& aService) const
{
  std::vector<std::string> names;
  for (const Vm& vm : mVms) {
    if (vm.mSpec.mService == aService) {
      names.push_back(vm.mSpec.mName);
    }
  }
  return names;
}

nlohmann::json
Fleet::state(const std::string& aVm) const
{
  return getJson("http://" + operatorAddress(aVm) + "/state");
}

bool
Fleet::isReady(const std::string& aVm) const
{
  return get("http://" + operatorAddress(aVm) + "/ready").mStatus == 200;
}

bool
Fleet::knowsAllOwners(const nlohmann::json& aState,
                      const std::string& aService) const
{
  const nlohmann::json cells = aState.value("cells", nlohmann::json::object());
  if (!cells.contains(aService)) {
    return false;
  }
  const nlohmann::json& cell = cells[aService];
  std::set<std::string> active;
  for (const nlohmann::json& member : cell["members"]) {
    if (member.value("status", "") == "active") {
      active.insert(member["incarnation"].get<std::string>());
    }
  }
  std::size_t owned = 0;
  for (const auto& [incarnation, count] : cell["shards"].items()) {
    owned += active.contains(incarnation) ? count.get<std::size_t>() : 0;
  }
  return owned == kShardCount;
}

bool
Fleet::isSettled(const std::set<std::string>& aExcept) const
{
  std::set<std::string> services;
  for (const Vm& vm : mVms) {
    services.insert(vm.mSpec.mService);
  }
  return std::all_of(mVms.begin(), mVms.end(), [&](const Vm& aVm) {
    const std::string& name = aVm.mSpec.mName;
    if (aExcept.contains(name)) {
      return true;
    }
    const nlohmann::json daemonState = state(name);
    return daemonState.is_object() && isReady(name) &&
           std::all_of(
             services.begin(), services.end(), [&](const std::string& aName) {
               return knowsAllOwners(daemonState, aName);
             });
  });
}

std::vector<RequestRun>
Fleet::runs() const
{
  std::vector<RequestRun> allRuns;
  for (const Vm& vm : mVms) {
    const fs::path journal = mFolder / (vm.mSpec.mName + ".journal");
    std::vector<RequestRun> runs = readRuns(journal, vm.mSpec.mService);
    allRuns.insert(allRuns.end(), runs.begin(), runs.end());
  }
  return allRuns;
}

std::vector<nlohmann::json>
Fleet::logJournal() const
{
  return readJournal(mFolder / "log.journal");
}

const fs::path&
Fleet::folder() const
{
  return mFolder;
}

std::vector<VmSpec>
guildVms(int aCatalog, int aLibrary)
{
  const std::vector<std::string> zones = { "nashua",
                                           "worcester",
                                           "burlington" };
  std::vector<VmSpec> vms;
  for (int i = 0; i < aCatalog; ++i) {
    vms.push_back({ "catalog-" + std::to_string(i + 1),
                    zones[static_cast<std::size_t>(i) % zones.size()],
                    "catalog" });
  }
  for (int i = 0; i < aLibrary; ++i) {
    vms.push_back({ "library-" + std::to_string(i + 1),
                    zones[static_cast<std::size_t>(i) % zones.size()],
                    "library" });
  }
  return vms;
}

}
