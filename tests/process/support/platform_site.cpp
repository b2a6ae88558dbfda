#include "support/platform_site.h"

#include "support/raw_client.h"
#include "support/wait.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace radishroad::test {

namespace fs = std::filesystem;

namespace {

constexpr int kPeers = 8401;
constexpr std::uint16_t kReadiness = 8406;
constexpr int kOperators = 7660;
constexpr int kFirstHost = 10;
constexpr Millis kStartTimeout{ 20000 };

std::string
withPort(const std::string& aIp, int aPort)
{
  return aIp + ":" + std::to_string(aPort);
}

/// Folder of an earlier version that is tested instead, built as its deploy
/// file says; empty for the present one.
fs::path
earlierVersion()
{
  const char* folder = std::getenv("RADISHROAD_TEST_VERSION");
  return folder == nullptr ? fs::path() : fs::path(folder);
}

/// The words of the deploy file's command for a daemon.
std::vector<std::string>
daemonCommand(const std::map<std::string, std::string>& aValues)
{
  const fs::path earlier = earlierVersion();
  const fs::path source =
    earlier.empty() ? fs::path(RADISHROAD_SOURCE_DIR) : earlier;
  std::ifstream file(source / "deploy/system.toml");
  std::string line;
  while (std::getline(file, line) && !line.starts_with("run = \"")) {
  }
  for (const auto& [name, value] : aValues) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t at = line.find(mark); at != std::string::npos;
         at = line.find(mark)) {
      line.replace(at, mark.size(), value);
    }
  }
  std::istringstream words(line.substr(line.find('"') + 1));
  std::vector<std::string> command;
  for (std::string word; words >> word;) {
    command.push_back(word);
  }
  command.back().pop_back();
  command.front() =
    earlier.empty()
      ? (fs::path(RADISHROAD_BUILD_DIR) / "src/main/radishroadd").string()
      : (earlier / command.front()).string();
  return command;
}

nlohmann::json
table(std::vector<std::string> aColumns, nlohmann::json aRows)
{
  return { { "Columns", std::move(aColumns) }, { "Rows", std::move(aRows) } };
}

}

PlatformSite::PlatformSite(const std::string& aName,
                           const std::vector<Service>& aServices,
                           PlatformUpstream::SendFn aSend,
                           PlatformUpstream::RefusesFn aRefuses)
  : mFolder(fs::path(RADISHROAD_BUILD_DIR) / "test-runs" / aName)
{
  fs::remove_all(mFolder);
  publish(aServices, 1);
  for (const Service& service : aServices) {
    mHolds[service.mName] = std::make_shared<HoldJournal>();
    for (int n = 1; n <= service.mVms; ++n) {
      Vm vm;
      vm.mName = service.mName + "-" + std::to_string(n);
      vm.mZone = "z" + std::to_string(1 + (n - 1) % kZones);
      vm.mService = service.mName;
      vm.mLinkMbps = service.mLinkMbps;
      vm.mIpText = mAddresses.ip(kFirstHost + static_cast<int>(mVms.size()));
      vm.mIp = ntohl(::inet_addr(vm.mIpText.c_str()));
      PlatformUpstream::Options options;
      options.mVm = vm.mName;
      options.mZone = vm.mZone;
      options.mService = vm.mService;
      options.mKeyed = service.mKeyed;
      options.mGrantsByReport = service.mGrantsByReport;
      options.mReportIp = vm.mIp;
      options.mReportPort = kReports;
      options.mSend = aSend;
      options.mTokenPrefix = service.mTokenPrefix;
      options.mRefuses = aRefuses;
      options.mSlots = service.mSlots;
      options.mRunTime = service.mRunTime;
      options.mEndsWorkWithHold = service.mEndsWorkWithHold;
      options.mSlowsBeyond = n == 1 ? service.mFirstSlowsBeyond : 0;
      options.mHolds = mHolds[service.mName];
      vm.mUpstream = std::make_unique<PlatformUpstream>(std::move(options));
      mVms.push_back(std::move(vm));
    }
  }
}

void
PlatformSite::publish(const std::vector<Service>& aServices,
                      int aVersion,
                      const std::vector<Workspace>& aWorkspaces)
{
  nlohmann::json routes = nlohmann::json::array();
  nlohmann::json services = nlohmann::json::array();
  const auto addRoute = [&](const Service& aService,
                            const std::string& aPrefix,
                            const std::string& aKind,
                            int aPriority = 1,
                            Millis aObjective = Millis{ 400 }) {
    routes.push_back({ aPrefix.substr(1),
                       "shop.example",
                       aPrefix,
                       aKind,
                       aService.mTimeout.mCount,
                       aObjective.mCount,
                       aPriority,
                       aService.mName,
                       2 });
  };
  for (const Service& service : aServices) {
    const std::string root = "/" + service.mName;
    addRoute(service, root + "/", "idempotent");
    addRoute(service, root + "/once/", "non_idempotent");
    for (const std::string& path : service.mRoutes) {
      addRoute(service,
               root + path,
               path.ends_with("/once/") ? "non_idempotent" : "idempotent");
    }
    for (const std::string& path : service.mDownloads) {
      addRoute(service, root + path, "download");
    }
    for (const std::string& prefix : service.mPrefixes) {
      addRoute(service, prefix, "idempotent");
    }
    for (const Route& route : service.mFurtherRoutes) {
      addRoute(
        service, route.mPrefix, route.mKind, route.mPriority, route.mObjective);
    }
    const char* grants = service.mGrantsByReport ? "heartbeat" : "call";
    services.push_back({ service.mName,
                         "/healthz",
                         130,
                         3.0,
                         1000.0,
                         service.mKeyed,
                         grants,
                         service.mSharesRoom,
                         service.mAdaptiveConcurrency });
  }
  nlohmann::json configuration = { { "Version",
                                     "r" + std::to_string(aVersion) },
                                   { "Routes",
                                     table({ "Name",
                                             "Host",
                                             "Prefix",
                                             "Kind",
                                             "TimeoutMs",
                                             "TargetLatencyMs",
                                             "Priority",
                                             "Service",
                                             "MaxAttempts" },
                                           routes) },
                                   { "Services",
                                     table({ "Name",
                                             "HealthPath",
                                             "MaxConnections",
                                             "WarmupS",
                                             "WarmupPerS",
                                             "Sharded",
                                             "Grants",
                                             "SharesRoom",
                                             "AdaptiveConcurrency" },
                                           services) } };
  nlohmann::json workspaces = nlohmann::json::array();
  for (const Workspace& workspace : aWorkspaces) {
    workspaces.push_back({ workspace.mName, workspace.mKeys });
  }
  if (!aWorkspaces.empty()) {
    configuration["Tenants"] = table({ "Name", "ApiKeys" }, workspaces);
  }
  mStore.put("keyed.op", "config", configuration.dump());
}

void
PlatformSite::startDaemon(Vm& aVm)
{
  const auto at = [&aVm](int aPort) { return withPort(aVm.mIpText, aPort); };
  std::vector<std::string> command = daemonCommand({
    { "Node", aVm.mName },
    { "Zone", aVm.mZone },
    { "Service", aVm.mService },
    { "Listen.Outbound", at(kCallers) },
    { "Listen.Inbound", at(kPeers) },
    { "Listen.Readiness", at(kReadiness) },
    { "Listen.Admin", at(kReports) },
    { "Ip", aVm.mIpText },
    { "InternalPorts.0", std::to_string(kOperators) },
    { "LocalApp", aVm.mUpstream->address() },
    { "Platform.Address", mStore.address() },
    { "Bounds.GraceS", std::to_string(kGraceTime.mCount / 1000) },
    { "Bounds.DrainMs", "2000" },
    { "Bounds.HoldMaxMs", "10000" },
    { "Bounds.ConfigApplyMs", std::to_string(kConfigTime.mCount) },
    { "Bounds.EvacuateMs", std::to_string(kZoneOutTime.mCount) },
    { "Limits.MemoryMb", std::to_string(kMemoryMb) },
  });
  if (aVm.mLinkMbps > 0) {
    command.insert(command.begin(),
                   { "/usr/bin/env",
                     "RADISHROAD_LINK_MBPS=" + std::to_string(aVm.mLinkMbps) });
  }
  aVm.mDaemon =
    std::make_unique<ChildProcess>(command, mFolder / (aVm.mName + ".log"));
}

bool
PlatformSite::start()
{
  for (Vm& vm : mVms) {
    startDaemon(vm);
  }
  return waitFor(
    [this] {
      return std::ranges::all_of(
        mVms, [this](const Vm& aVm) { return isReady(aVm); });
    },
    kStartTimeout);
}

bool
PlatformSite::isReady(const Vm& aVm) const
{
  try {
    RawClient client(kReadiness, aVm.mIp);
    client.send("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::optional<RawResponse> answer = client.receive();
    return answer && answer->mStatus == 200;
  } catch (const std::runtime_error&) {
    return false;
  }
}

void
PlatformSite::setZoneOutOfService(const std::string& aZone, bool aIsOut)
{
  mStore.put("keyed.op", "evacuate/" + aZone, aIsOut ? "{}" : "");
}

std::vector<PlatformRun>
PlatformSite::runs() const
{
  std::vector<PlatformRun> all;
  for (const Vm& vm : mVms) {
    std::ranges::copy(vm.mUpstream->runs(), std::back_inserter(all));
  }
  return all;
}

}
