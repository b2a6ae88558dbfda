#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_SCENARIO_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_SCENARIO_H

#include "support/fleet.h"
#include "support/invariants.h"
#include "support/traffic.h"

#include <filesystem>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace radishroad::test {

/// What a test judges.
struct Observations
{
  std::vector<tools::LoadResult> mResults;
  std::vector<RequestRun> mRuns;
};

/// The Guild's fleet with its example configuration, under traffic.
class Scenario
{
public:
  struct Options
  {
    Options(std::string aName, std::uint64_t aSeed)
      : mName(std::move(aName))
      , mSeed(aSeed)
    {
    }

    std::string mName;
    std::uint64_t mSeed;
    int mCatalog = 4;
    int mLibrary = 3;
    bool mRelays = false;
    /// Lets each daemon obtain tokens for the workspace before the traffic.
    bool mWarmUp = true;
    std::string mDaemonProgram = "radishroadd";
    std::vector<std::string> mDaemonArguments;
    std::vector<std::string> mUpstreamArguments;
  };

  explicit Scenario(Options aOptions);

  Fleet& fleet();
  /// Sends requests for all keys through the daemons but those left out.
  void startTraffic(const std::set<std::string>& aExcept = {},
                    const std::string& aQuery = "");
  Observations stopTraffic();
  /// Lets the traffic run for a time drawn from the seed.
  void runTrafficFor(Millis aMin, Millis aMax);
  /// A VM of the service, drawn from the seed.
  std::string drawVm(const std::string& aService);
  std::uint64_t draw();

  static std::filesystem::path guildFolder();

private:
  void warmUp();

  std::uint64_t mSeed;
  std::mt19937_64 mRandom;
  Fleet mFleet;
  std::unique_ptr<Traffic> mTraffic;
};

/// How many events of a kind the journals of the VMs' upstreams hold.
std::size_t
countEvents(const Fleet& aFleet,
            const std::vector<std::string>& aVms,
            const std::string& aEvent);

/// Paths of requests that are idempotent, and of such that are not.
std::vector<std::string>
guildGetPaths();
std::vector<std::string>
guildPostPaths();

/// The Guild's configuration with an availability zone out of service.
std::vector<ConfigText>
guildWithoutZone(const std::string& aZone);

/// Fails the test for each fault, showing the first few.
void
expectNoViolations(const Violations& aViolations);

/// What must hold whatever fails: one owner, rising epochs, at most once, true
/// refusals, whole answers to their own requests, no caller's key passed on.
void
checkInvariants(const Observations& aObservations);

/// Every key was answered again within the time, by requests that were sent
/// after the last failure had ended.
void
checkRecovered(Observations aObservations,
               std::int64_t aFailuresEndedWallMs,
               Millis aMax);

/// Every key was answered again within the time.
void
checkMaxUnavailability(const Observations& aObservations, Millis aMax);

}

#endif
