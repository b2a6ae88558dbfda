#include "support/fleet.h"

#include "radishroad/config/folder.h"
#include "radishroad/log/log_client.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/records.h"
#include "support/http_call.h"
#include "support/ports.h"
#include "support/wait.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace radishroad::test {

namespace {

namespace fs = std::filesystem;

constexpr int kFirstVmHost = 2;
/// Last address byte of a VM's relay listeners, relative to that of the VM.
constexpr int kRelayHostOffset = 100;
constexpr int kRelayControlHost = 250;
constexpr Millis kStartTimeout{ 10000 };
constexpr Millis kSettleTimeout{ 20000 };
constexpr Millis kAppendTimeout{ 2000 };
const fs::path kBuildDirectory = RADISHROAD_BUILD_DIR;

std::string
programPath(const std::string& aName)
{
  const bool isMainProgram = aName == "radishroadd" || aName == "radishroad";
  const bool isNaive = aName.starts_with("naive_");
  const fs::path folder = isMainProgram ? "src/main"
                          : isNaive     ? "tests"
                                        : "tools";
  return (kBuildDirectory / folder / aName).string();
}

template<typename Change>
bool
append(std::string_view aStream, Change aChange, const std::string& aLog)
{
  const Bytes bytes =
    encodeRecord(makeRecord(std::move(aChange), makeRandomId(), wallNow()));
  LogClient client(aLog);
  return client.append(aStream, bytes, kAppendTimeout).has_value();
}

}

Fleet::Fleet(Options aOptions)
  : mOptions(std::move(aOptions))
  , mFolder(kBuildDirectory / "test-runs" / mOptions.mName)
{
  fs::remove_all(mFolder);
  fs::create_directories(mFolder);
  int host = kFirstVmHost;
  for (const VmSpec& spec : mOptions.mVms) {
    Vm vm;
    vm.mSpec = spec;
    vm.mHost = host++;
    mVms.push_back(std::move(vm));
  }
}

Fleet::~Fleet()
{
  for (Vm& vm : mVms) {
    vm.mDaemon.reset();
    vm.mUpstream.reset();
  }
}

void
Fleet::bringUp(const fs::path& aConfigFolder)
{
  startLog();
  if (mOptions.mRelays) {
    startRelay();
  }
  for (const Vm& vm : mVms) {
    start(vm.mSpec.mName, Role::Upstream);
    start(vm.mSpec.mName, Role::Daemon);
  }
  if (!publishFolder(aConfigFolder, 0)) {
    throw std::runtime_error("the configuration was not published");
  }
  if (!waitFor([this] { return isSettled(); }, kSettleTimeout)) {
    throw std::runtime_error("the fleet did not settle" + describeExits());
  }
}

std::string
Fleet::describeExits()
{
  std::string text;
  for (Vm& vm : mVms) {
    const std::optional<int> exitCode = vm.mDaemon->waitForExit(Millis{});
    if (exitCode) {
      text +=
        "; " + vm.mSpec.mName + " exited with " + std::to_string(*exitCode);
    }
  }
  return text;
}

void
Fleet::startLog()
{
  std::vector<std::string> command = { programPath("rr-logd"),
                                       "--address",
                                       logAddress(),
                                       "--journal",
                                       mFolder / "log.journal" };
  command.insert(command.end(),
                 mOptions.mLogArguments.begin(),
                 mOptions.mLogArguments.end());
  mLog = std::make_unique<ChildProcess>(command, mFolder / "log.out");
  const std::string url = "http://" + logAddress() + "/v1/streams/config";
  if (!waitFor([&url] { return get(url).mStatus == 200; }, kStartTimeout)) {
    throw std::runtime_error("the log service did not start");
  }
}

void
Fleet::startRelay()
{
  const std::string control =
    hostAndPort(mAddresses.ip(kRelayControlHost), kControlPort);
  std::vector<std::string> command = { programPath("rr-relay"),
                                       "--control",
                                       control };
  for (const Vm& vm : mVms) {
    const std::string relayIp = mAddresses.ip(vm.mHost + kRelayHostOffset);
    const std::string& name = vm.mSpec.mName;
    command.push_back("--link");
    command.push_back("peer-" + name + "=" + hostAndPort(relayIp, kPeerPort) +
                      "," + hostAndPort(mAddresses.ip(vm.mHost), kPeerPort));
    command.push_back("--link");
    command.push_back("log-" + name + "=" + hostAndPort(relayIp, kLogPort) +
                      "," + logAddress());
  }
  mRelay = std::make_unique<ChildProcess>(command, mFolder / "relay.out");
  const std::string url = "http://" + control + "/links";
  if (!waitFor([&url] { return get(url).mStatus == 200; }, kStartTimeout)) {
    throw std::runtime_error("the relay did not start");
  }
}

std::vector<std::string>
Fleet::daemonCommand(const Vm& aVm) const
{
  const std::string ip = mAddresses.ip(aVm.mHost);
  const std::string relayIp = mAddresses.ip(aVm.mHost + kRelayHostOffset);
  std::vector<std::string> command = { programPath(mOptions.mDaemonProgram),
                                       "--vm",
                                       aVm.mSpec.mName,
                                       "--zone",
                                       aVm.mSpec.mZone,
                                       "--service",
                                       aVm.mSpec.mService,
                                       "--caller-address",
                                       hostAndPort(ip, kCallerPort),
                                       "--peer-address",
                                       hostAndPort(ip, kPeerPort),
                                       "--operator-address",
                                       hostAndPort(ip, kOperatorPort),
                                       "--upstream-address",
                                       hostAndPort(ip, kUpstreamPort),
                                       "--log-address",
                                       mOptions.mRelays
                                         ? hostAndPort(relayIp, kLogPort)
                                         : logAddress() };
  if (mOptions.mRelays) {
    command.push_back("--advertise-peer-address");
    command.push_back(hostAndPort(relayIp, kPeerPort));
  }
  command.insert(command.end(),
                 mOptions.mDaemonArguments.begin(),
                 mOptions.mDaemonArguments.end());
  return command;
}

std::vector<std::string>
Fleet::upstreamCommand(const Vm& aVm) const
{
  std::vector<std::string> command = {
    programPath("rr-upstream"),
    "--address",
    hostAndPort(mAddresses.ip(aVm.mHost), kUpstreamPort),
    "--vm",
    aVm.mSpec.mName,
    "--journal",
    mFolder / (aVm.mSpec.mName + ".journal")
  };
  // As configured in examples/guild, the upstreams of catalog check fences.
  if (aVm.mSpec.mService == "catalog") {
    command.emplace_back("--check-fence");
  }
  command.insert(command.end(),
                 mOptions.mUpstreamArguments.begin(),
                 mOptions.mUpstreamArguments.end());
  return command;
}

void
Fleet::start(const std::string& aVm, Role aRole)
{
  Vm& vm = find(aVm);
  if (aRole == Role::Upstream) {
    const fs::path output = mFolder / (aVm + ".upstream.out");
    vm.mUpstream = std::make_unique<ChildProcess>(upstreamCommand(vm), output);
    return;
  }
  const std::string number = std::to_string(++vm.mStartCount);
  const fs::path output = mFolder / (aVm + ".daemon." + number + ".out");
  vm.mDaemon = std::make_unique<ChildProcess>(daemonCommand(vm), output);
}

ChildProcess*
Fleet::process(const std::string& aVm, Role aRole)
{
  Vm& vm = find(aVm);
  return aRole == Role::Daemon ? vm.mDaemon.get() : vm.mUpstream.get();
}

void
Fleet::signal(const std::string& aVm, Role aRole, int aSignal)
{
  process(aVm, aRole)->signal(aSignal);
}

void
Fleet::kill(const std::string& aVm, Role aRole)
{
  process(aVm, aRole)->kill();
}

bool
Fleet::publish(const std::vector<ConfigText>& aFiles,
               std::uint64_t aBaseVersion,
               const std::string& aOperator)
{
  wire::PublishT publication;
  publication.base_version = aBaseVersion;
  publication.operator_name = aOperator;
  for (const ConfigText& text : aFiles) {
    auto file = std::make_unique<wire::ConfigFileT>();
    file->name = text.mName;
    file->text = text.mText;
    publication.files.push_back(std::move(file));
  }
  return append(kConfigStream, std::move(publication), logAddress());
}

bool
Fleet::drain(const std::string& aVm, bool aOn)
{
  wire::DrainT change;
  change.vm = aVm;
  change.on = aOn;
  change.operator_name = "test";
  const std::string stream = cellStream(find(aVm).mSpec.mService);
  return append(stream, std::move(change), logAddress());
}

bool
Fleet::publishFolder(const fs::path& aFolder, std::uint64_t aBaseVersion)
{
  const tl::expected<std::vector<ConfigText>, Findings> files =
    config::readFolder(aFolder);
  return files && publish(*files, aBaseVersion);
}

void
Fleet::setLogFaults(const nlohmann::json& aFaults)
{
  post("http://" + logAddress() + "/control/faults", aFaults.dump());
}

void
Fleet::setUpstreamFaults(const std::string& aVm, const nlohmann::json& aFaults)
{
  post("http://" + hostAndPort(ip(aVm), kUpstreamPort) + "/control/faults",
       aFaults.dump());
}

void
Fleet::setLinkRule(const nlohmann::json& aRule)
{
  post("http://" + hostAndPort(mAddresses.ip(kRelayControlHost), kControlPort) +
         "/links",
       aRule.dump());
}

void
Fleet::isolateFromPeers(const std::string& aVm, bool aOn)
{
  const nlohmann::json hold = { { "hold_forward", aOn }, { "hold_back", aOn } };
  nlohmann::json outgoing = hold;
  outgoing["link"] = "peer-*";
  outgoing["source"] = ip(aVm);
  nlohmann::json incoming = hold;
  incoming["link"] = "peer-" + aVm;
  setLinkRule(outgoing);
  setLinkRule(incoming);
}

void
Fleet::isolateFromLog(const std::string& aVm, bool aOn)
{
  setLinkRule({ { "link", "log-" + aVm },
                { "hold_forward", aOn },
                { "hold_back", aOn } });
}

void
Fleet::isolate(const std::string& aVm, bool aOn)
{
  isolateFromPeers(aVm, aOn);
  isolateFromLog(aVm, aOn);
}

}
