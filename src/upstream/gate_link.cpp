#include "gate_impl.h"

#include <algorithm>

namespace radishroad {

namespace {

constexpr int kFirstSuccessStatus = 200;
constexpr int kLastSuccessStatus = 299;

}

void
Gate::Impl::observeLink(Millis aNow)
{
  if (!mLink.isEnabled()) {
    return;
  }
  mLink.onSent(mOtherLinkBytes.exchange(0), aNow);
  if (mHooks.mLinkTotals) {
    const LinkTotals totals = mHooks.mLinkTotals();
    mLink.onObserved(totals.mQueued, totals.mWritten, aNow);
  }
}

LinkBudget::Entry
Gate::Impl::makeLinkEntry(const QueuedRequest& aQueued) const
{
  const QueueEntry queueEntry = makeQueueEntry(aQueued);
  const double runMs =
    queueEntry.mRunMs > 0 ? queueEntry.mRunMs : mRunTimes.meanMs();
  LinkBudget::Entry entry;
  entry.mKind = aQueued.mRequest.kind;
  entry.mObjectiveAt = queueEntry.mObjectiveAt;
  entry.mRunTime = Millis{ static_cast<std::int64_t>(runMs) };
  entry.mIsAccepted = aQueued.mQueueId <= mLastPlannedForLink;
  return entry;
}

void
Gate::Impl::planLargeResponses(Millis aNow)
{
  using Action = LinkBudget::Verdict::Action;
  if (!mLink.isEnabled()) {
    return;
  }
  struct Large
  {
    LinkBudget::Entry mEntry;
    std::uint64_t mQueueId = 0;
  };
  std::vector<Large> waiting;
  for (const QueuedRequest* queued : mQueue.list()) {
    if (queued->mRequest.large_response) {
      waiting.push_back({ makeLinkEntry(*queued), queued->mQueueId });
    }
  }
  mLastPlannedForLink = mNextQueueId - 1;
  std::ranges::stable_sort(
    waiting, [](const Large& aLeft, const Large& aRight) {
      return aLeft.mEntry.mObjectiveAt < aRight.mEntry.mObjectiveAt;
    });
  std::vector<LinkBudget::Entry> entries;
  entries.reserve(waiting.size());
  for (const Large& large : waiting) {
    entries.push_back(large.mEntry);
  }
  const std::vector<LinkBudget::Verdict> verdicts = mLink.plan(entries, aNow);
  mHeldForLink.clear();
  for (std::size_t n = 0; n < verdicts.size(); ++n) {
    const LinkBudget::Verdict& verdict = verdicts[n];
    if (verdict.mAction == Action::Hold) {
      mHeldForLink.insert(waiting[n].mQueueId);
    } else if (verdict.mAction == Action::Refuse) {
      std::optional<QueuedRequest> queued = mQueue.take(waiting[n].mQueueId);
      queued->mLinkThrough = verdict.mThrough;
      mMetrics.count("radishroad_link_refusals_total");
      refuse(*queued, NotRunReason::QueueFull, 0, verdict.mRetryAfter);
    }
  }
}

void
Gate::Impl::recordLinkUse(RunId aId,
                          ExchangeOutcome aOutcome,
                          const UpstreamResponse& aResponse)
{
  const Millis now = mHooks.mNow();
  if (aOutcome != ExchangeOutcome::Complete) {
    mLink.onLost(aId, now);
    return;
  }
  // Errors are short and say nothing about the usual size.
  const bool isUsual = aResponse.mStatus >= kFirstSuccessStatus &&
                       aResponse.mStatus <= kLastSuccessStatus;
  mLink.onResponse(aId, aResponse.mTrace.mBodyBytes, isUsual, now);
}

void
Gate::Impl::publishLink(Millis aNow)
{
  if (!mLink.isEnabled()) {
    return;
  }
  mMetrics.gauge("radishroad_link_bytes_per_second", mLink.bytesPerSecond());
  mMetrics.gauge("radishroad_link_backlog_bytes", mLink.backlogBytes(aNow));
  mMetrics.gauge("radishroad_link_reserved_bytes", mLink.reservedBytes());
  mMetrics.gauge("radishroad_link_held_requests",
                 static_cast<double>(mHeldForLink.size()));
}

}
