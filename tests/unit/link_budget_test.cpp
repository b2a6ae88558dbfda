#include "radishroad/policy/link_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

using Action = LinkBudget::Verdict::Action;

constexpr double kLinkRate = 14e6 / 8;
constexpr double kLargeBytes = 90'000;
constexpr double kSmallBytes = 2'000;
constexpr std::uint32_t kLargeKind = 7;
constexpr Millis kObjective{ 800 };
constexpr Millis kSmallObjective{ 200 };

struct Counts
{
  int mOffered = 0;
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
  /// Refused more than 50 ms after they came.
  int mRefusedLate = 0;
  int mSmall = 0;
  int mSmallLate = 0;
};

/// One upstream and its link. The link sends in order of arrival, or small
/// responses ahead of large ones that have not been begun.
class Site
{
public:
  Site(bool aUsesBudget, double aLinkRate, bool aSmallFirst)
    : mBudget(aUsesBudget ? kLinkRate : 0)
    , mLinkRate(aLinkRate)
    , mSmallFirst(aSmallFirst)
  {
  }

  void offerLarge(Millis aNow) { mQueue.push_back(aNow); }
  void offerSmall(Millis aNow, Millis aRun) { run(0, aNow, aNow + aRun); }

  void step(Millis aNow, std::mt19937_64& aRandom, Counts& aCounts)
  {
    endRuns(aNow);
    sendBytes(aNow, aCounts);
    mBudget.onObserved(mQueuedTotal, mWrittenTotal, aNow);
    startRuns(aNow, aRandom, aCounts);
  }

  LinkBudget& budget() { return mBudget; }

private:
  struct Response
  {
    std::uint64_t mRun = 0;
    Millis mOfferedAt;
    Millis mEndsAt;
    double mLeft = 0;
  };

  void run(std::uint64_t aRun, Millis aOfferedAt, Millis aEndsAt)
  {
    mRunning.push_back(
      { aRun, aOfferedAt, aEndsAt, aRun == 0 ? kSmallBytes : kLargeBytes });
  }

  void endRuns(Millis aNow)
  {
    std::erase_if(mRunning, [&](const Response& aRun) {
      if (aRun.mEndsAt > aNow) {
        return false;
      }
      mBudget.onResponse(
        aRun.mRun, static_cast<std::size_t>(aRun.mLeft), true, aNow);
      mQueuedTotal += static_cast<std::uint64_t>(aRun.mLeft);
      const auto isLarge = [](const Response& aSent) {
        return aSent.mRun != 0;
      };
      const bool goesFirst = mSmallFirst && !isLarge(aRun) && !mLink.empty();
      mLink.insert(goesFirst
                     ? std::find_if(mLink.begin() + 1, mLink.end(), isLarge)
                     : mLink.end(),
                   aRun);
      return true;
    });
  }

  void sendBytes(Millis aNow, Counts& aCounts)
  {
    double room = mLinkRate / 1000;
    while (!mLink.empty() && room > 0) {
      Response& first = mLink.front();
      const double sent = std::min(room, first.mLeft);
      room -= sent;
      first.mLeft -= sent;
      mWrittenTotal += static_cast<std::uint64_t>(sent);
      if (first.mLeft > 0) {
        continue;
      }
      const Millis took = aNow - first.mOfferedAt;
      if (first.mRun == 0) {
        ++aCounts.mSmall;
        aCounts.mSmallLate += took > kSmallObjective ? 1 : 0;
      } else {
        ++(took > kObjective ? aCounts.mLate : aCounts.mInTime);
      }
      mLink.pop_front();
    }
  }

  void startRuns(Millis aNow, std::mt19937_64& aRandom, Counts& aCounts)
  {
    std::vector<LinkBudget::Entry> entries;
    for (const Millis offeredAt : mQueue) {
      entries.push_back(
        { kLargeKind, offeredAt + kObjective, 150_ms, offeredAt < aNow });
    }
    std::vector<LinkBudget::Verdict> verdicts(entries.size());
    if (mBudget.isEnabled()) {
      verdicts = mBudget.plan(entries, aNow);
    }
    std::deque<Millis> held;
    std::size_t n = 0;
    for (const Millis offeredAt : mQueue) {
      const LinkBudget::Verdict& verdict = verdicts[n];
      if (verdict.mAction == Action::Refuse) {
        ++aCounts.mRefused;
        aCounts.mRefusedLate += aNow - offeredAt > 50_ms ? 1 : 0;
      } else if (verdict.mAction == Action::Hold) {
        held.push_back(offeredAt);
      } else {
        const Millis took{ static_cast<std::int64_t>(100 + aRandom() % 100) };
        mBudget.onStart(++mLastRun, entries[n], aNow);
        run(mLastRun, offeredAt, aNow + took);
      }
      ++n;
    }
    mQueue.swap(held);
  }

  LinkBudget mBudget;
  double mLinkRate;
  bool mSmallFirst;
  std::deque<Millis> mQueue;
  std::vector<Response> mRunning;
  std::deque<Response> mLink;
  std::uint64_t mLastRun = 0;
  std::uint64_t mQueuedTotal = 0;
  std::uint64_t mWrittenTotal = 0;
};

/// Ten seconds of 147 large and 300 small requests per second on five sites.
Counts
replay(bool aUsesBudget, double aLinkRate = kLinkRate, bool aSmallFirst = false)
{
  std::mt19937_64 random(3);
  std::vector<Site> sites(5, Site(aUsesBudget, aLinkRate, aSmallFirst));
  Counts counts;
  for (Millis now = 1_ms; now < 10_s; now += 1_ms) {
    if (random() % 1000 < 147) {
      ++counts.mOffered;
      sites[random() % sites.size()].offerLarge(now);
    }
    if (random() % 1000 < 300) {
      sites[random() % sites.size()].offerSmall(now, 55_ms);
    }
    for (Site& site : sites) {
      site.step(now, random, counts);
    }
  }
  BOOST_TEST_MESSAGE(
    "offered " << counts.mOffered << " in time " << counts.mInTime << " late "
               << counts.mLate << " refused " << counts.mRefused
               << " (later than 50 ms " << counts.mRefusedLate << ") small "
               << counts.mSmall << " late " << counts.mSmallLate);
  return counts;
}

LinkBudget::Entry
entryAt(Millis aObjectiveAt)
{
  return { kLargeKind, aObjectiveAt, 150_ms, false };
}

}

BOOST_AUTO_TEST_SUITE(link_budget)

/// Guards against late responses for all when the link cannot carry the load.
BOOST_AUTO_TEST_CASE(large_requests_beyond_the_link_are_refused_early)
{
  const Counts without = replay(false);
  const Counts with = replay(true);
  BOOST_TEST(without.mInTime < with.mInTime / 2);
  BOOST_TEST(without.mSmallLate > without.mSmall / 2);
  // The five links carry 97 large responses a second, less the small ones.
  BOOST_TEST(with.mInTime > 97 * 10 * 85 / 100);
  BOOST_TEST(with.mLate <= with.mInTime / 100);
  BOOST_TEST(with.mRefusedLate <= with.mRefused / 20);
  BOOST_TEST(with.mSmallLate <= with.mSmall / 100);
}

/// Guards against a backlog when the link carries less than configured.
BOOST_AUTO_TEST_CASE(the_rate_of_a_slower_link_is_learned)
{
  const Counts slow = replay(true, kLinkRate / 2, true);
  BOOST_TEST(slow.mInTime > 97 * 5 * 75 / 100);
  BOOST_TEST(slow.mLate < slow.mInTime / 10);
  BOOST_TEST(slow.mSmallLate < slow.mSmall / 20);
}

/// Guards against bytes that stay accounted after a run has ended.
BOOST_AUTO_TEST_CASE(a_lost_run_gives_its_bytes_back)
{
  LinkBudget budget(kLinkRate);
  const auto startsNow = [&budget] {
    const std::vector<LinkBudget::Entry> entry{ entryAt(1_s) };
    return budget.plan(entry, 10_ms).front().mAction == Action::Start;
  };
  std::uint64_t run = 0;
  while (startsNow()) {
    budget.onStart(++run, entryAt(1_s), 10_ms);
    BOOST_REQUIRE(run < 100U);
  }
  for (; run > 0; --run) {
    budget.onLost(run, 10_ms);
  }
  budget.onLost(99, 10_ms);
  BOOST_TEST(budget.reservedBytes() == 0);
  BOOST_TEST(startsNow());
}

/// Guards against refused callers that return at the same moment.
BOOST_AUTO_TEST_CASE(refused_callers_get_different_times)
{
  LinkBudget budget(kLinkRate);
  budget.onSent(2'000'000, 10_ms);
  const std::vector<LinkBudget::Entry> entries(10, entryAt(800_ms));
  std::set<Millis> times;
  for (const LinkBudget::Verdict& verdict : budget.plan(entries, 10_ms)) {
    BOOST_TEST((verdict.mAction == Action::Refuse));
    BOOST_TEST((verdict.mRetryAfter >= 100_ms));
    times.insert(verdict.mRetryAfter);
  }
  BOOST_TEST(times.size() == entries.size());
}

BOOST_AUTO_TEST_SUITE_END()
