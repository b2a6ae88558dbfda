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

/// One VM of a test's fleet: an upstream and the daemon beside it.
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

/// Runs a log service, upstreams and daemons as separate processes and ends
/// them on destruction. Output and journals are in build/test-runs/NAME/.
class Fleet
{
public:
  struct Options
  {
    std::string mName;
    std::vector<VmSpec> mVms;
    std::vector<std::string> mLogArguments;
    std::vector<std::string> mUpstreamArguments;
    /// Name of the program to run as the daemon.
    std::string mDaemonProgram = "radishroadd";
    std::vector<std::string> mDaemonArguments;
    /// Puts a relay in front of each daemon's peer port and on each daemon's
    /// connection to the log.
    bool mRelays = false;
  };

  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all processes, publishes a configuration and waits until every
  /// shard has an owner and every daemon is ready. Throws std::runtime_error
  /// on failure.
  void bringUp(const std::filesystem::path& aConfigFolder);
  /// Publishes a complete configuration that is based on the given version.
  bool publish(const std::vector<ConfigText>& aFiles,
               std::uint64_t aBaseVersion,
               const std::string& aOperator = "test");
  bool publishFolder(const std::filesystem::path& aFolder,
                     std::uint64_t aBaseVersion);

  /// Starts or cancels the drain of a VM.
  bool drain(const std::string& aVm, bool aOn);

  void start(const std::string& aVm, Role aRole);
  void signal(const std::string& aVm, Role aRole, int aSignal);
  void kill(const std::string& aVm, Role aRole);
  ChildProcess* process(const std::string& aVm, Role aRole);
  /// Sets faults of rr-logd (see docs/log-service.md).
  void setLogFaults(const nlohmann::json& aFaults);
  void setUpstreamFaults(const std::string& aVm, const nlohmann::json& aFaults);
  /// Sets the rule of relayed links, "peer-VM" and "log-VM"; see rr-relay.
  void setLinkRule(const nlohmann::json& aRule);
  /// Holds back, or releases, all bytes between a daemon and its peers.
  void isolateFromPeers(const std::string& aVm, bool aOn);
  /// Holds back, or releases, all bytes between a daemon and the log.
  void isolateFromLog(const std::string& aVm, bool aOn);
  /// Isolates a daemon from its peers and from the log; callers still reach
  /// it.
  void isolate(const std::string& aVm, bool aOn);

  std::string callerAddress(const std::string& aVm) const;
  std::string operatorAddress(const std::string& aVm) const;
  std::string logAddress() const;
  /// IP address to which a VM's daemon binds its connections.
  std::string ip(const std::string& aVm) const;
  std::vector<std::string> callerAddresses(
    const std::set<std::string>& aExcept = {}) const;
  std::vector<std::string> vmsOf(const std::string& aService) const;
  /// Returns the daemon's /state document; null if the daemon does not answer.
  nlohmann::json state(const std::string& aVm) const;
  bool isReady(const std::string& aVm) const;
  /// True if every daemon, except those in aExcept, is ready and knows for
  /// each shard an owner that it lists as an active member.
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
  /// Lists the daemons that have exited and their exit codes.
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

/// VMs of the example guild: aCatalog VMs of service catalog and aLibrary of
/// library, spread over three availability zones.
std::vector<VmSpec>
guildVms(int aCatalog, int aLibrary);

}

#endif
