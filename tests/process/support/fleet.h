#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_FLEET_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_FLEET_H

#include "radishroad/base/millis.h"
#include "radishroad/state/config_state.h"
#include "support/address_block.h"
#include "support/child_process.h"
#include "support/request_run.h"

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace radishroad::test {

/// A VM of a test's fleet: one upstream with one daemon beside it.
struct VmSpec
{
  std::string mName;
  std::string mZone;
  std::string mService;
};

enum class Role
{
  Daemon,
  Upstream,
};

/// Starts a log service, upstreams and daemons as processes of their own, and
/// ends them with this object. Output and journals are in
/// build/test-runs/NAME/.
class Fleet
{
public:
  struct Options
  {
    std::string mName;
    std::vector<VmSpec> mVms;
    std::vector<std::string> mLogArguments;
    std::vector<std::string> mUpstreamArguments;
    /// Program that each daemon runs.
    std::string mDaemonProgram = "radishroadd";
    std::vector<std::string> mDaemonArguments;
    /// Puts a relay in front of each daemon's peer port and of the log.
    bool mRelays = false;
  };

  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all, publishes a configuration and waits until every shard has an
  /// owner and every daemon serves. Throws std::runtime_error if it fails.
  void bringUp(const std::filesystem::path& aConfigFolder);
  /// Appends a whole configuration that builds on the given version.
  bool publish(const std::vector<ConfigText>& aFiles,
               std::uint64_t aBaseVersion,
               const std::string& aOperator = "test");
  bool publishFolder(const std::filesystem::path& aFolder,
                     std::uint64_t aBaseVersion);

  /// Appends a drain of a VM, or takes one back.
  bool drain(const std::string& aVm, bool aOn);

  void start(const std::string& aVm, Role aRole);
  void signal(const std::string& aVm, Role aRole, int aSignal);
  void kill(const std::string& aVm, Role aRole);
  ChildProcess* process(const std::string& aVm, Role aRole);
  /// Sets faults of the log stand-in (see docs/log-service.md).
  void setLogFaults(const nlohmann::json& aFaults);
  void setUpstreamFaults(const std::string& aVm, const nlohmann::json& aFaults);
  /// Rules a relayed link. Links: "peer-VM" and "log-VM"; see rr-relay.
  void setLinkRule(const nlohmann::json& aRule);
  /// Holds back, or lets go, all bytes between a daemon and its peers.
  void isolateFromPeers(const std::string& aVm, bool aOn);
  /// Holds back, or lets go, all bytes between a daemon and the log.
  void isolateFromLog(const std::string& aVm, bool aOn);
  /// Both; callers still reach the daemon.
  void isolate(const std::string& aVm, bool aOn);

  std::string callerAddress(const std::string& aVm) const;
  std::string operatorAddress(const std::string& aVm) const;
  std::string logAddress() const;
  /// IP address that a VM's daemon binds its connections to.
  std::string ip(const std::string& aVm) const;
  std::vector<std::string> callerAddresses(
    const std::set<std::string>& aExcept = {}) const;
  std::vector<std::string> vmsOf(const std::string& aService) const;
  /// The daemon's state; null if it does not answer.
  nlohmann::json state(const std::string& aVm) const;
  bool isReady(const std::string& aVm) const;
  /// Every daemon but those left out serves and knows an owner, among the
  /// members that it knows as active, for each shard.
  bool isSettled(const std::set<std::string>& aExcept = {}) const;

  std::vector<RequestRun> runs() const;
  std::vector<nlohmann::json> logJournal() const;
  const std::filesystem::path& folder() const;

private:
  struct Vm
  {
    VmSpec mSpec;
    int mHost = 0;
    int mStartCount = 0;
    std::unique_ptr<ChildProcess> mDaemon;
    std::unique_ptr<ChildProcess> mUpstream;
  };

  const Vm& find(const std::string& aVm) const;
  Vm& find(const std::string& aVm);
  /// Daemons that have ended, and how.
  std::string describeExits();
  void startLog();
  void startRelay();
  std::vector<std::string> daemonCommand(const Vm& aVm) const;
  std::vector<std::string> upstreamCommand(const Vm& aVm) const;
  bool knowsAllOwners(const nlohmann::json& aState,
                      const std::string& aService) const;

  Options mOptions;
  AddressBlock mAddresses;
  std::filesystem::path mFolder;
  std::vector<Vm> mVms;
  std::unique_ptr<ChildProcess> mLog;
  std::unique_ptr<ChildProcess> mRelay;
};

/// Three availability zones with the Guild's two services: aCatalog VMs of
/// catalog and aLibrary of library, spread over the zones.
std::vector<VmSpec>
guildVms(int aCatalog, int aLibrary);

}

#endif
