#include "gate_impl.h"

#include "radishroad/base/json_text.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

std::uint32_t
countOf(const nlohmann::json& aReport, const char* aName)
{
  const auto it = aReport.find(aName);
  const bool given = it != aReport.end() && it->is_number_unsigned();
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return given ? static_cast<std::uint32_t>(
                   std::min(it->get<std::uint64_t>(), kMax))
               : 0;
}

}

bool
Gate::Impl::pacesConnections() const
{
  return !mOptions.mLimitsDisabled && !mOptions.mProtocol.mPushesReports;
}

bool
Gate::Impl::hasConnection(Millis aNow) const
{
  return mExchanges.connections().open() > mExchanges.active() ||
         mPacer.mayOpen(aNow);
}

void
Gate::Impl::recordOpenedConnections(Millis aNow)
{
  const std::uint64_t opened = mExchanges.connections().opened();
  for (; mPacedConnections < opened; ++mPacedConnections) {
    mPacer.onOpened(aNow);
  }
  const std::uint64_t rejected = mExchanges.rejectedConnections();
  for (; mRejectedConnections < rejected; ++mRejectedConnections) {
    mMetrics.count("radishroad_gate_connections_rejected_total");
  }
}

void
Gate::Impl::checkPendingAges(Millis aNow)
{
  if (mOptions.mLimitsDisabled || mOptions.mProtocol.mPushesReports) {
    return;
  }
  const ConcurrencyWindow::Ages ages = mWindow.ages();
  ConcurrencyWindow::Pending pending;
  for (const auto& [id, run] : mRuns) {
    if (!run.mSent) {
      continue;
    }
    const Millis age = aNow - run.mSentAt;
    ++pending.mTotal;
    pending.mLate += age >= ages.mLate ? 1 : 0;
    pending.mCold += age >= ages.mCold ? 1 : 0;
  }
  if (mWindow.onPending(pending, aNow)) {
    mMetrics.count("radishroad_gate_cold_total");
    requeueNewestRuns(aNow);
  }
}

void
Gate::Impl::requeueNewestRuns(Millis aNow)
{
  std::vector<RunId> newest;
  std::size_t left = mRuns.size();
  std::for_each(mRuns.rbegin(), mRuns.rend(), [&](const auto& aEntry) {
    const QueuedRequest& queued = aEntry.second.mQueued;
    const bool mayRequeue = queued.mRequest.idempotent && !queued.mRequeued &&
                            !aEntry.second.mStream &&
                            aNow < latestSendTime(queued);
    if (mayRequeue && left > mWindow.limit()) {
      newest.push_back(aEntry.first);
      --left;
    }
  });
  for (const RunId id : newest) {
    auto node = mRuns.extract(id);
    Run& run = node.mapped();
    mLink.onLost(id, aNow);
    if (mExchanges.abort(run.mExchange)) {
      trackAbandoned(run, aNow);
    }
    run.mQueued.mRequeued = true;
    mMetrics.count("radishroad_gate_taken_back_total");
    mQueue.pushFront(std::move(run.mQueued));
  }
}

void
Gate::Impl::onLoadResponse(const UpstreamResponse& aResponse)
{
  onHealthChange(
    mHealth.onAnswer(aResponse.header(mOptions.mProtocol.mInstanceHeader)));
  const Result<nlohmann::json> report =
    parseJson({ reinterpret_cast<const char*>(aResponse.mBody.data()),
                aResponse.mBody.size() });
  if (aResponse.mStatus != 200 || !report || !report->is_object()) {
    return;
  }
  UpstreamLoadReport reading;
  reading.mInFlight = countOf(*report, "in_flight");
  reading.mSlots = countOf(*report, "slots");
  reading.mQueued = countOf(*report, "queued");
  mWindow.onLoadReport(reading);
}

}
