#include "support/notice_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace radishroad::test {

namespace {

constexpr std::int64_t kNoticeTimeMs = 3000;
constexpr std::int64_t kPassedOnMs = 500;
constexpr std::int64_t kWindowMs = 4000;
constexpr std::int64_t kDrainMs = 2000;
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;

/// A request that reached an upstream.
struct Arrival
{
  std::int64_t mAtMs = 0;
  std::int64_t mSentMs = 0;
  std::string mEntryVm;
};

/// A time in which an upstream says the same about itself.
struct NoticePeriod
{
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = INT64_MAX;
  std::optional<double> mLimitPerSecond;
  bool mLeaving = false;
};

struct UpstreamHistory
{
  std::vector<NoticePeriod> mPeriods;
  std::vector<Arrival> mArrivals;
  /// Ends of answered requests by identity.
  std::map<std::string, std::int64_t> mRunEnds;
};

std::string
entryVmOf(const Fleet& aFleet, const tools::LoadRequest& aRequest)
{
  for (const std::string service : { "catalog", "library" }) {
    for (const std::string& vm : aFleet.vmsOf(service)) {
      if (aRequest.mUrl.starts_with("http://" + aFleet.callerAddress(vm))) {
        return vm;
      }
    }
  }
  return {};
}

std::int64_t
sentMs(const tools::LoadResult& aResult)
{
  return aResult.mEndedWallMs - static_cast<std::int64_t>(aResult.mLatencyMs);
}

using ResultsByIdentity = std::map<std::string, const tools::LoadResult*>;

UpstreamHistory
readHistory(const Fleet& aFleet,
            const std::string& aVm,
            const ResultsByIdentity& aResults)
{
  UpstreamHistory history;
  for (const nlohmann::json& event :
       readJournal(aFleet.folder() / (aVm + ".journal"))) {
    const std::string kind = event.at("event");
    const std::int64_t at = event.at("ms");
    if (kind == "notice" || kind == "start") {
      if (!history.mPeriods.empty()) {
        history.mPeriods.back().mToMs =
          std::min(history.mPeriods.back().mToMs, at);
      }
      const std::string limit = event.value("limit_per_second", "");
      NoticePeriod period;
      period.mFromMs = at;
      period.mLimitPerSecond =
        limit.empty() ? std::nullopt : std::optional<double>(std::stod(limit));
      period.mLeaving = event.value("leaving", false);
      history.mPeriods.push_back(period);
      continue;
    }
    if (!event.contains("id")) {
      continue;
    }
    const std::string identity =
      requestIdentity(event.at("method"), event.at("target"));
    if (kind == "run_end") {
      history.mRunEnds[identity] = at;
      continue;
    }
    const auto it = aResults.find(identity);
    if (it != aResults.end()) {
      history.mArrivals.push_back(
        { at, sentMs(*it->second), entryVmOf(aFleet, it->second->mRequest) });
    }
  }
  std::ranges::sort(history.mArrivals, {}, &Arrival::mAtMs);
  return history;
}

/// Times at which each VM returned a response of this upstream from the period.
std::map<std::string, std::vector<std::int64_t>>
passedOnBy(const Fleet& aFleet,
           const std::string& aUpstreamVm,
           const UpstreamHistory& aHistory,
           const NoticePeriod& aPeriod,
           const Observations& aObservations)
{
  std::map<std::string, std::vector<std::int64_t>> times;
  for (const tools::LoadResult& result : aObservations.mResults) {
    const auto end = aHistory.mRunEnds.find(requestIdentity(result.mRequest));
    const bool isFromPeriod =
      result.mStatus == 200 && result.mUpstreamVm == aUpstreamVm &&
      end != aHistory.mRunEnds.end() && end->second > aPeriod.mFromMs &&
      end->second < aPeriod.mToMs;
    if (isFromPeriod) {
      times[entryVmOf(aFleet, result.mRequest)].push_back(result.mEndedWallMs);
    }
  }
  return times;
}

/// Whether one of the times is aMinAgeMs or more before aAtMs with no
/// disturbance of the VM in between.
bool
isBound(const std::string& aVm,
        std::span<const std::int64_t> aTimes,
        std::int64_t aAtMs,
        std::int64_t aMinAgeMs,
        std::span<const Disturbance> aDisturbances)
{
  return std::ranges::any_of(aTimes, [&](std::int64_t aTime) {
    return aTime + aMinAgeMs <= aAtMs &&
           std::ranges::none_of(aDisturbances,
                                [&](const Disturbance& aDisturbance) {
                                  return aDisturbance.mVm == aVm &&
                                         aDisturbance.mFromMs <= aAtMs &&
                                         aDisturbance.mToMs >= aTime;
                                });
  });
}

using CheckPeriodFn =
  std::function<void(const std::string& aUpstreamVm,
                     const UpstreamHistory&,
                     const NoticePeriod&,
                     const std::map<std::string, std::vector<std::int64_t>>&)>;

void
forEachPeriod(const Fleet& aFleet,
              const Observations& aObservations,
              const CheckPeriodFn& aCheck)
{
  ResultsByIdentity results;
  for (const tools::LoadResult& result : aObservations.mResults) {
    results[requestIdentity(result.mRequest)] = &result;
  }
  for (const std::string service : { "catalog", "library" }) {
    for (const std::string& vm : aFleet.vmsOf(service)) {
      const UpstreamHistory history = readHistory(aFleet, vm, results);
      for (const NoticePeriod& period : history.mPeriods) {
        if (period.mLimitPerSecond || period.mLeaving) {
          aCheck(vm,
                 history,
                 period,
                 passedOnBy(aFleet, vm, history, period, aObservations));
        }
      }
    }
  }
}

}

Violations
findLimitExcesses(const Fleet& aFleet,
                  const Observations& aObservations,
                  std::span<const Disturbance> aDisturbances)
{
  Violations violations;
  forEachPeriod(
    aFleet,
    aObservations,
    [&](const std::string& aUpstreamVm,
        const UpstreamHistory& aHistory,
        const NoticePeriod& aPeriod,
        const std::map<std::string, std::vector<std::int64_t>>& aPassedOn) {
      if (!aPeriod.mLimitPerSecond) {
        return;
      }
      const double allowed = *aPeriod.mLimitPerSecond * kOverage *
                               (static_cast<double>(kWindowMs) / 1000) +
                             kSlack;
      std::vector<std::int64_t> counted;
      for (const Arrival& arrival : aHistory.mArrivals) {
        const auto times = aPassedOn.find(arrival.mEntryVm);
        const bool isCounted =
          arrival.mAtMs >= aPeriod.mFromMs + kNoticeTimeMs &&
          arrival.mAtMs < aPeriod.mToMs && times != aPassedOn.end() &&
          isBound(arrival.mEntryVm,
                  times->second,
                  arrival.mAtMs,
                  kPassedOnMs,
                  aDisturbances);
        if (isCounted) {
          counted.push_back(arrival.mAtMs);
        }
      }
      for (auto from = counted.begin(); from != counted.end(); ++from) {
        const auto n =
          std::lower_bound(from, counted.end(), *from + kWindowMs) - from;
        if (static_cast<double>(n) > allowed) {
          violations.push_back(aUpstreamVm + " named a limit of " +
                               std::to_string(*aPeriod.mLimitPerSecond) +
                               " a second and got " + std::to_string(n) +
                               " requests in 4 s from " +
                               std::to_string(*from));
          return;
        }
      }
    });
  return violations;
}

Violations
findRequestsToLeavingUpstreams(const Fleet& aFleet,
                               const Observations& aObservations,
                               std::span<const Disturbance> aDisturbances)
{
  Violations violations;
  forEachPeriod(
    aFleet,
    aObservations,
    [&](const std::string& aUpstreamVm,
        const UpstreamHistory& aHistory,
        const NoticePeriod& aPeriod,
        const std::map<std::string, std::vector<std::int64_t>>& aPassedOn) {
      if (!aPeriod.mLeaving) {
        return;
      }
      for (const Arrival& arrival : aHistory.mArrivals) {
        const auto times = aPassedOn.find(arrival.mEntryVm);
        const bool isLate = arrival.mAtMs < aPeriod.mToMs &&
                            times != aPassedOn.end() &&
                            isBound(arrival.mEntryVm,
                                    times->second,
                                    arrival.mSentMs,
                                    kDrainMs,
                                    aDisturbances);
        if (isLate) {
          violations.push_back(
            aUpstreamVm + " is leaving and got a request at " +
            std::to_string(arrival.mAtMs) + " from " + arrival.mEntryVm);
        }
      }
    });
  return violations;
}

}
