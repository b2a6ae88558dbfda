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

/// What a test checks: the results that callers received and the runs in the
/// upstreams' journals.
struct Observations
{
  std::vector<tools::LoadResult> mResults;
  std::vector<RequestRun> mRuns;
};

/// A fleet with the configuration of examples/guild, under traffic.
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
    /// Sends a request through each daemon first, so that it holds rate-limit
    /// tokens for the workspace before the traffic starts.
    bool mWarmUp = true;
    std::string mDaemonProgram = "radishroadd";
    std::vector<std::string> mDaemonArguments;
    std::vector<std::string> mUpstreamArguments;
  };

  explicit Scenario(Options aOptions);

  Fleet& fleet();
  /// Sends requests for all keys through all daemons except those in aExcept.
  void startTraffic(const std::set<std::string>& aExcept = {},
                    const std::string& aQuery = "");
  Observations stopTraffic();
  /// Waits for a time between aMin and aMax, drawn from the seed, while the
  /// traffic continues.
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

/// Counts the events of one kind in the journals of the VMs' upstreams.
std::size_t
countEvents(const Fleet& aFleet,
            const std::vector<std::string>& aVms,
            const std::string& aEvent);

/// Paths of idempotent requests (GET) and of non-idempotent ones (POST).
std::vector<std::string>
guildGetPaths();
std::vector<std::string>
guildPostPaths();

/// The configuration of examples/guild with one availability zone out of
/// service.
std::vector<ConfigText>
guildWithoutZone(const std::string& aZone);

/// Fails the test if there are violations, and reports the first few.
void
expectNoViolations(const Violations& aViolations);

/// Checks what must hold under any failure: one owner at a time, epochs that
/// never decrease, at most one run of non-idempotent requests, true "not run"
/// answers, complete answers that match their request, and no caller key
/// forwarded to an upstream.
void
checkInvariants(const Observations& aObservations);

/// Checks that every key was answered again within aMax, counting only
/// requests sent after the last failure had ended.
void
checkRecovered(Observations aObservations,
               std::int64_t aFailuresEndedWallMs,
               Millis aMax);

/// Checks that no key was unanswered for longer than aMax.
void
checkMaxUnavailability(const Observations& aObservations, Millis aMax);

}

#endif
