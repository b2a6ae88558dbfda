#include "radishroad/ownership/grant_keeper.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Grants are renewed this often within one hold time, so that one lost answer
/// does not let a hold run out.
constexpr std::int64_t kRenewPart = 3;
/// Pause before an order that failed is sent again.
constexpr Millis kRetryPause{ 100 };
/// Tokens that no grant has taken up for so long are of no use any more.
constexpr Millis kTokenMemory{ 20000 };
/// Time in which the upstream takes in an answer to its report.
constexpr Millis kAnswerPause{ 5 };

/// Makes one order of two if the second goes on where the first ends.
bool
join(GrantOrder& aFirst, const GrantOrder& aNext)
{
  const bool joins = aFirst.mKeys.mLast + 1 == aNext.mKeys.mFirst &&
                     aFirst.mEpoch == aNext.mEpoch &&
                     aFirst.mHandover.empty() && aNext.mHandover.empty();
  if (joins) {
    aFirst.mKeys.mLast = aNext.mKeys.mLast;
  }
  return joins;
}

}

Millis
GrantKeeper::longestHold(Millis aHoldTime)
{
  return aHoldTime + aHoldTime / kSlowClockPart + kTravelTime + kEndMargin;
}

template<typename Visit>
void
GrantKeeper::forRuns(const KeyRange& aKeys, Visit aVisit)
{
  const std::uint32_t last = aKeys.mLast / mLayout.runKeys();
  for (std::uint32_t run = aKeys.mFirst / mLayout.runKeys(); run <= last;
       ++run) {
    aVisit(mRuns.at(run));
  }
}

void
GrantKeeper::setLayout(KeyLayout aLayout)
{
  if (aLayout == mLayout) {
    return;
  }
  // What was held by the runs of before may be held by any of these.
  Run unknown;
  for (const Run& run : mRuns) {
    unknown.mMayBeHeldUntil =
      std::max(unknown.mMayBeHeldUntil, run.mMayBeHeldUntil);
  }
  unknown.mDoubtUntil = unknown.mMayBeHeldUntil;
  mLayout = aLayout;
  mRuns.assign(mLayout.runCount(), unknown);
  mTokens.clear();
}

void
GrantKeeper::setHoldings(std::span<const Holding> aHoldings)
{
  std::array<Epoch, kShardCount> wanted{};
  for (const Holding& holding : aHoldings) {
    wanted.at(holding.mShard) = holding.mEpoch;
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    const Epoch epoch = wanted[KeyLayout::shardOfRun(n)];
    if (run.mWanted != epoch) {
      run.mWanted = epoch;
      run.mNextOrder = {};
    }
  }
}

void
GrantKeeper::assumeHeld(Millis aNow)
{
  for (Run& run : mRuns) {
    run.mDoubtUntil = aNow + longestHold(mHoldTime);
    run.mMayBeHeldUntil = run.mDoubtUntil;
  }
}

void
GrantKeeper::onHandover(Shard aShard,
                        Epoch aEpoch,
                        std::span<const std::string> aTokens,
                        Millis aNow)
{
  if (aShard < kShardCount && aTokens.size() == mLayout.runsPerShard()) {
    mTokens[aShard] = { aEpoch, { aTokens.begin(), aTokens.end() }, aNow };
  }
}

std::string
GrantKeeper::tokenOf(std::uint32_t aRun, Millis aNow) const
{
  const auto it = mTokens.find(KeyLayout::shardOfRun(aRun));
  if (it == mTokens.end() || it->second.mEpoch >= mRuns.at(aRun).mWanted ||
      aNow - it->second.mAt > kTokenMemory) {
    return {};
  }
  return it->second.mTokens.at(KeyLayout::placeOfRun(aRun));
}

bool
GrantKeeper::isDue(const Run& aRun, Millis aNow) const
{
  return aRun.mWanted != 0 && !aRun.mUnderWay && aNow >= aRun.mNextOrder;
}

GrantOrder
GrantKeeper::orderOf(std::uint32_t aRun, Millis aNow) const
{
  const Run& run = mRuns.at(aRun);
  std::string token =
    run.mGranted == run.mWanted ? std::string() : tokenOf(aRun, aNow);
  return { mLayout.rangeOfRun(aRun), run.mWanted, mHoldTime, std::move(token) };
}

std::vector<GrantOrder>
GrantKeeper::due(std::size_t aMost, Millis aNow)
{
  std::vector<GrantOrder> orders;
  if (mByReport) {
    return orders;
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    if (!isDue(run, aNow)) {
      continue;
    }
    GrantOrder order = orderOf(n, aNow);
    const bool joined = !orders.empty() && join(orders.back(), order);
    if (!joined && orders.size() == aMost) {
      break;
    }
    if (!joined) {
      orders.push_back(std::move(order));
    }
    run.mUnderWay = true;
    run.mMayBeHeldUntil =
      std::max(run.mMayBeHeldUntil, aNow + longestHold(mHoldTime));
  }
  return orders;
}

void
GrantKeeper::onGranted(const GrantOrder& aOrder, Millis aSentAt, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mGranted = aOrder.mEpoch;
    // The hold began at the earliest as the order was sent.
    aRun.mHeldUntil = aSentAt + aOrder.mHoldTime;
    aRun.mMayBeHeldUntil =
      std::max(aRun.mMayBeHeldUntil, aNow + longestHold(aOrder.mHoldTime));
    aRun.mNextOrder = aSentAt + aOrder.mHoldTime / kRenewPart;
    if (aRun.mWanted != aOrder.mEpoch) {
      aRun.mNextOrder = aNow;
    }
  });
}

void
GrantKeeper::onRefused(const GrantOrder& aOrder, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mHeldUntil = {};
    aRun.mNextOrder = aNow + kRetryPause;
  });
}

void
GrantKeeper::onUnanswered(const GrantOrder& aOrder, Millis aNow)
{
  forRuns(aOrder.mKeys, [&](Run& aRun) {
    aRun.mUnderWay = false;
    aRun.mDoubtUntil = aNow + longestHold(aOrder.mHoldTime);
    aRun.mNextOrder = aNow + kRetryPause;
  });
}

void
GrantKeeper::onReleased(std::uint32_t aRun)
{
  Run& run = mRuns.at(aRun);
  run.mHeldUntil = {};
  run.mGranted = 0;
  // An order in doubt may be carried out after the release.
  if (!run.mUnderWay) {
    run.mMayBeHeldUntil = run.mDoubtUntil;
  }
}

void
GrantKeeper::onNotHeld(std::uint64_t aKeyHash, Millis aNow)
{
  Run& run = mRuns.at(mLayout.runOfHash(aKeyHash));
  if (mByReport && aNow < mAnsweredAt + kTravelTime) {
    // The answer that grants it is still on its way.
    run.mHeldFrom = aNow + kAnswerPause;
    return;
  }
  run.mHeldUntil = {};
  run.mNextOrder = std::min(run.mNextOrder, aNow);
}

void
GrantKeeper::onReportedHolds(std::span<const ReportedHold> aHolds)
{
  std::vector<Epoch> epochs(mRuns.size());
  std::vector<std::uint32_t> keys(mRuns.size());
  for (const ReportedHold& hold : aHolds) {
    const std::uint32_t last = hold.mKeys.mLast / mLayout.runKeys();
    for (std::uint32_t n = hold.mKeys.mFirst / mLayout.runKeys(); n <= last;
         ++n) {
      const KeyRange range = mLayout.rangeOfRun(n);
      keys.at(n) += std::min(range.mLast, hold.mKeys.mLast) -
                    std::max(range.mFirst, hold.mKeys.mFirst) + 1;
      epochs[n] = std::max(epochs[n], hold.mEpoch);
    }
  }
  for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
    Run& run = mRuns[n];
    run.mGranted = epochs[n];
    if (keys[n] == 0) {
      // The first report that a fresh process sees may be a late one.
      run.mMayBeHeldUntil = run.mDoubtUntil;
    }
    if (keys[n] < mLayout.runKeys()) {
      run.mHeldUntil = {};
    }
  }
}

std::vector<GrantOrder>
GrantKeeper::answerReport(const FitsFn& aFits, Millis aNow)
{
  std::vector<GrantOrder> rows;
  std::vector<std::uint32_t> told;
  const auto tell = [&](bool aHeld) {
    std::vector<GrantOrder> joined;
    std::vector<std::vector<std::uint32_t>> runs;
    for (std::uint32_t n = 0; n < mRuns.size(); ++n) {
      const Run& run = mRuns[n];
      if (run.mWanted == 0 || (run.mGranted != 0) != aHeld) {
        continue;
      }
      GrantOrder order = orderOf(n, aNow);
      if (joined.empty() || !join(joined.back(), order)) {
        joined.push_back(std::move(order));
        runs.emplace_back();
      }
      runs.back().push_back(n);
    }
    for (std::size_t n = 0; n < joined.size(); ++n) {
      if (aFits(joined[n])) {
        rows.push_back(std::move(joined[n]));
        told.insert(told.end(), runs[n].begin(), runs[n].end());
      }
    }
  };
  tell(true);
  tell(false);
  mAnsweredAt = aNow;
  for (const std::uint32_t n : told) {
    Run& run = mRuns[n];
    run.mHeldFrom = run.mGranted != 0 ? run.mHeldFrom : aNow + kAnswerPause;
    run.mGranted = run.mWanted;
    run.mHeldUntil = aNow + mHoldTime;
    run.mMayBeHeldUntil =
      std::max(run.mMayBeHeldUntil, aNow + longestHold(mHoldTime));
  }
  return rows;
}

void
GrantKeeper::forget()
{
  for (Run& run : mRuns) {
    const Epoch wanted = run.mWanted;
    run = Run{};
    run.mWanted = wanted;
  }
}

bool
GrantKeeper::holds(std::uint64_t aKeyHash, Epoch aEpoch, Millis aNow) const
{
  const Run& run = mRuns.at(mLayout.runOfHash(aKeyHash));
  // What the upstream itself says to hold, no other holds.
  return (mByReport || run.mGranted == aEpoch) && aNow >= run.mHeldFrom &&
         aNow < run.mHeldUntil;
}

Millis
GrantKeeper::freeFrom(Shard aShard, Millis aNow) const
{
  Millis free = aNow;
  for (std::uint32_t n = aShard; n < mRuns.size(); n += kShardCount) {
    free = std::max(free, mRuns[n].mMayBeHeldUntil);
  }
  return free;
}

bool
GrantKeeper::underWay(Shard aShard) const
{
  for (std::uint32_t n = aShard; n < mRuns.size(); n += kShardCount) {
    if (mRuns[n].mUnderWay) {
      return true;
    }
  }
  return false;
}

std::optional<Millis>
GrantKeeper::nextDue(Millis aNow) const
{
  std::optional<Millis> next;
  for (const Run& run : mRuns) {
    if (run.mWanted != 0 && !run.mUnderWay) {
      const Millis at = std::max(aNow, run.mNextOrder);
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

}
