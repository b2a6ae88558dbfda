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
/// Host number of a VM's relay listeners, above its own.
constexpr int kRelayOffset = 100;
constexpr int kRelayControlHost = 250;
constexpr Millis kStartTime{ 10000 };
constexpr Millis kSettleTime{ 20000 };
constexpr Millis kAppendTime{ 2000 };
const fs::path kBuildFolder = RADISHROAD_BUILD_DIR;

std::string
program(const std::string& aName)
{
  const bool isProduct = aName == "radishroadd" || aName == "radishroad";
  const bool isNaive = aName.starts_with("naive_");
  const fs::path folder = isProduct ? "src/main" : isNaive ? "tests" : "tools";
  return (kBuildFolder / folder / aName).string();
}

template<typename Change>
bool
append(std::string_view aStream, Change aChange, const std::string& aLog)
{
  const Bytes bytes =
    encodeRecord(makeRecord(std::move(aChange), makeRandomId(), wallNow()));
  LogClient client(aLog);
  return client.append(aStream, bytes, kAppendTime).has_value();
}

}

Fleet::Fleet(Options aOptions)
  : mOptions(std::move(aOptions))
  , mFolder(kBuildFolder / "test-runs" / mOptions.mName)
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
  if (!waitFor([this] { return isSettled(); }, kSettleTime)) {
    throw std::runtime_error("the fleet did not settle" + describeExits());
  }
}

std::string
Fleet::describeExits()
{
  std::string text;
  for (Vm& vm : mVms) {
    const std::optional<int> ec = vm.mDaemon->waitForExit(Millis{});
    if (ec) {
      text += "; " + vm.mSpec.mName + " exited with " + std::to_string(*ec);
    }
  }
  return text;
}

void
Fleet::startLog()
{
  std::vector<std::string> command = { program("rr-logd"),
                                       "--address",
                                       logAddress(),
                                       "--journal",
                                       mFolder / "log.journal" };
  command.insert(command.end(),
                 mOptions.mLogArguments.begin(),
                 mOptions.mLogArguments.end());
  mLog = std::make_unique<ChildProcess>(command, mFolder / "log.out");
  const std::string url = "http://" + logAddress() + "/v1/streams/config";
  if (!waitFor([&url] { return get(url).mStatus == 200; }, kStartTime)) {
    throw std::runtime_error("the log service did not start");
  }
}

void
Fleet::startRelay()
{
  const std::string control =
    at(mAddresses.ip(kRelayControlHost), kControlPort);
  std::vector<std::string> command = { program("rr-relay"),
                                       "--control",
                                       control };
  for (const Vm& vm : mVms) {
    const std::string relayIp = mAddresses.ip(vm.mHost + kRelayOffset);
    const std::string& name = vm.mSpec.mName;
    command.push_back("--link");
    command.push_back("peer-" + name + "=" + at(relayIp, kPeerPort) + "," +
                      at(mAddresses.ip(vm.mHost), kPeerPort));
    command.push_back("--link");
    command.push_back("log-" + name + "=" + at(relayIp, kLogPort) + "," +
                      logAddress());
  }
  mRelay = std::make_unique<ChildProcess>(command, mFolder / "relay.out");
  const std::string url = "http://" + control + "/links";
  if (!waitFor([&url] { return get(url).mStatus == 200; }, kStartTime)) {
    throw std::runtime_error("the relay did not start");
  }
}

std::vector<std::string>
Fleet::daemonCommand(const Vm& aVm) const
{
  const std::string ip = mAddresses.ip(aVm.mHost);
  const std::string relayIp = mAddresses.ip(aVm.mHost + kRelayOffset);
  std::vector<std::string> command = { program(mOptions.mDaemonProgram),
                                       "--vm",
                                       aVm.mSpec.mName,
                                       "--zone",
                                       aVm.mSpec.mZone,
                                       "--service",
                                       aVm.mSpec.mService,
                                       "--caller-address",
                                       at(ip, kCallerPort),
                                       "--peer-address",
                                       at(ip, kPeerPort),
                                       "--operator-address",
                                       at(ip, kOperatorPort),
                                       "--upstream-address",
                                       at(ip, kUpstreamPort),
                                       "--log-address",
                                       mOptions.mRelays ? at(relayIp, kLogPort)
                                                        : logAddress() };
  if (mOptions.mRelays) {
    command.push_back("--advertise-peer-address");
    command.push_back(at(relayIp, kPeerPort));
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
    program("rr-upstream"),
    "--address",
    at(mAddresses.ip(aVm.mHost), kUpstreamPort),
    "--vm",
    aVm.mSpec.mName,
    "--journal",
    mFolder / (aVm.mSpec.mName + ".journal")
  };
  // As in examples/guild: catalog's upstreams check fences.
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
  const std::string number = std::to_string(++vm.mStarts);
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
  post("http://" + at(ip(aVm), kUpstreamPort) + "/control/faults",
       aFaults.dump());
}

void
Fleet::setLink(const nlohmann::json& aRule)
{
  post("http://" + at(mAddresses.ip(kRelayControlHost), kControlPort) +
         "/links",
       aRule.dump());
}

void
Fleet::isolateFromPeers(const std::string& aVm, bool aOn)
{
  const nlohmann::json held = { { "hold_forward", aOn }, { "hold_back", aOn } };
  nlohmann::json outgoing = held;
  outgoing["link"] = "peer-*";
  outgoing["source"] = ip(aVm);
  nlohmann::json incoming = held;
  incoming["link"] = "peer-" + aVm;
  setLink(outgoing);
  setLink(incoming);
}

void
Fleet::isolateFromLog(const std::string& aVm, bool aOn)
{
  setLink({ { "link", "log-" + aVm },
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
