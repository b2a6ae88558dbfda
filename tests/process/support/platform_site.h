#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_PLATFORM_SITE_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_PLATFORM_SITE_H

#include "support/address_block.h"
#include "support/child_process.h"
#include "support/fake_store.h"
#include "support/hold_journal.h"
#include "support/platform_upstream.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishroad::test {

/// Daemons as real processes, started with the command of deploy/system.toml,
/// and in this process a store and the daemons' upstreams. Output of the
/// daemons is in build/test-runs/NAME/.
class PlatformSite
{
public:
  struct Route
  {
    std::string mPrefix;
    std::string mKind;
    int mPriority = 1;
    Millis mObjective{ 400 };
  };

  struct Service
  {
    std::string mName;
    bool mKeyed = false;
    bool mGrantsByReport = false;
    int mVms = 3;
    std::string mTokenPrefix = "t";
    /// Paths of routes beside "/" and "/once/"; those that end in "/once/" are
    /// not idempotent.
    std::vector<std::string> mRoutes = {};
    /// Whole prefixes of further idempotent routes.
    std::vector<std::string> mPrefixes = {};
    /// Paths of routes with large responses.
    std::vector<std::string> mDownloads = {};
    /// Rate of each VM's link; 0 if it is not set.
    int mLinkMbps = 0;
    /// Routes with attributes of their own.
    std::vector<Route> mFurtherRoutes = {};
    /// See config::Service.
    bool mSharesRoom = false;
    bool mAdaptiveConcurrency = false;
    Millis mTimeout{ 2000 };
    int mSlots = 9;
    PlatformUpstream::RunTimeFn mRunTime = {};
    /// See PlatformUpstream::Options.
    bool mEndsWorkWithHold = false;
    /// The first VM's upstream slows down beyond so many runs at a time; 0 for
    /// never.
    int mFirstSlowsBeyond = 0;
  };

  struct Workspace
  {
    std::string mName;
    std::vector<std::string> mKeys;
  };

  /// A daemon with the upstream beside it.
  struct Vm
  {
    std::string mName;
    std::string mZone;
    std::string mService;
    std::uint32_t mIp = 0;
    std::string mIpText;
    int mLinkMbps = 0;
    std::unique_ptr<PlatformUpstream> mUpstream;
    std::unique_ptr<ChildProcess> mDaemon;
  };

  static constexpr std::uint16_t kCallers = 8080;
  static constexpr std::uint16_t kReports = 8407;
  static constexpr int kZones = 3;
  /// Time within which a zone must be out of service.
  static constexpr Millis kZoneOutTime{ 5000 };
  /// Time from SIGTERM until a daemon would be killed.
  static constexpr Millis kGraceTime{ 6000 };

  /// Memory of each VM.
  static constexpr int kMemoryMb = 160;
  /// Time within which a configuration must be in force.
  static constexpr Millis kConfigTime{ 2000 };

  /// Zones are z1 to z3, by turns. All requests to a service have the path
  /// prefix /NAME/; those with /NAME/once/ are not idempotent.
  PlatformSite(const std::string& aName,
               const std::vector<Service>& aServices,
               PlatformUpstream::SendFn aSend = {},
               PlatformUpstream::RefusesFn aRefuses = {});

  /// Starts all daemons and waits until each is ready; false on timeout.
  bool start();
  void startDaemon(Vm& aVm);
  std::vector<Vm>& vms() { return mVms; }
  FakeStore& store() { return mStore; }
  /// What the upstreams of a keyed service hold that is told by calls.
  const HoldJournal& holds(const std::string& aService) const
  {
    return *mHolds.at(aService);
  }
  void setZoneOutOfService(const std::string& aZone, bool aIsOut);
  /// Puts the services' routes into force as version r<aVersion>. Without
  /// workspaces, callers need no key.
  void publish(const std::vector<Service>& aServices,
               int aVersion,
               const std::vector<Workspace>& aWorkspaces = {});
  bool isReady(const Vm& aVm) const;
  /// All runs of all upstreams.
  std::vector<PlatformRun> runs() const;

private:
  std::filesystem::path mFolder;
  AddressBlock mAddresses;
  FakeStore mStore{ FakeStore::LongPolls::Held };
  std::map<std::string, std::shared_ptr<HoldJournal>> mHolds;
  std::vector<Vm> mVms;
};

}

#endif
