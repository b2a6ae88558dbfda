#include "radishroad/policy/room_allocator.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::uint32_t kSlots = 9;

/// A kind of requests of the page docs/design/hard-load.md.
struct Kind
{
  std::uint32_t mId = 0;
  std::uint8_t mRank = 0;
  double mPerSecond = 0;
  Millis mRun;
  Millis mObjective;
  Millis mDeadline;
  bool mIsCall = false;
  std::uint64_t mWorkspace = 1;
};

const Kind kOrder{ 1, 1, 0, 250_ms, 800_ms, 2000_ms };
const Kind kLookup{ 2, 2, 0, 190_ms, 600_ms, 1500_ms };
const Kind kHistory{ 3, 3, 0, 750_ms, 2500_ms, 6000_ms };
const Kind kCall{ 4, 2, 0, 55_ms, 200_ms, 600_ms, true };

Kind
at(Kind aKind, double aPerSecond)
{
  aKind.mPerSecond = aPerSecond;
  return aKind;
}

struct Counts
{
  int mOffered = 0;
  int mServed = 0;
  int mInTime = 0;
  int mRefused = 0;
  Millis mLongestRefusedWait;
  std::vector<Millis> mReturns;

  double share() const { return static_cast<double>(mServed) / mOffered; }
};

/// One upstream with the allocator, in steps of 1 ms.
class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Runs until aEnd with requests of all kinds at their rates.
  void run(const std::vector<Kind>& aKinds, Millis aEnd)
  {
    for (; mNow < aEnd; mNow += 1_ms) {
      for (const Kind& kind : aKinds) {
        std::bernoulli_distribution arrives(kind.mPerSecond / 1000);
        if (arrives(mRandom)) {
          arrive(kind, mNextRequest++);
        }
      }
      step();
    }
  }

  void arrive(const Kind& aKind, std::uint64_t aRequestHash)
  {
    Job job;
    job.mKind = aKind;
    job.mRoom.mEntry = { mNow + aKind.mObjective,
                         mNow + aKind.mDeadline,
                         mNow,
                         aKind.mRank,
                         static_cast<double>(aKind.mRun.mCount) };
    job.mRoom.mQueueId = ++mLastQueueId;
    job.mRoom.mKind = aKind.mId;
    job.mRoom.mRequestHash = aRequestHash;
    job.mRoom.mWorkspaceHash = aKind.mWorkspace;
    // Outer callers enter at VMs of all services.
    job.mRoom.mIsFromOtherService = aKind.mIsCall || mRandom() % 10 != 0;
    ++mCounts[{ aKind.mId, aKind.mWorkspace }].mOffered;
    mWaiting.push_back(job);
  }

  void step()
  {
    std::erase_if(mRunning, [this](Millis aEnd) { return aEnd <= mNow; });
    UpstreamStats stats;
    stats.mSlots = kSlots;
    stats.mRunning = static_cast<std::uint32_t>(mRunning.size());
    stats.mRunMs = mRunMs;
    std::vector<RoomRequest> rooms;
    std::vector<QueueEntry> entries;
    for (const Job& job : mWaiting) {
      rooms.push_back(job.mRoom);
      entries.push_back(job.mRoom.mEntry);
    }
    const QueuePlan plan =
      planQueue(entries, stats, mNow, mAllocator.decide(rooms, stats, mNow));
    std::vector<std::uint64_t> done;
    for (const QueuePlan::Refusal& refusal : plan.mRefused) {
      const Job job = mWaiting[refusal.mIndex];
      Counts& counts = countsOf(job);
      ++counts.mRefused;
      counts.mLongestRefusedWait =
        std::max(counts.mLongestRefusedWait, mNow - job.mRoom.mEntry.mQueuedAt);
      counts.mReturns.push_back(mNow + refusal.mRetryAfter);
      done.push_back(job.mRoom.mQueueId);
      if (mOnRefused) {
        mOnRefused(job.mKind, job.mRoom.mRequestHash, refusal.mRetryAfter);
      }
    }
    for (const std::size_t n : plan.mOrder) {
      if (mRunning.size() < kSlots) {
        start(mWaiting[n]);
        done.push_back(mWaiting[n].mRoom.mQueueId);
      }
    }
    std::erase_if(mWaiting, [&done](const Job& aJob) {
      return std::ranges::find(done, aJob.mRoom.mQueueId) != done.end();
    });
  }

  Counts& operator[](const Kind& aKind)
  {
    return mCounts[{ aKind.mId, aKind.mWorkspace }];
  }
  Millis now() const { return mNow; }
  void forgetCounts() { mCounts.clear(); }

  std::function<void(const Kind&, std::uint64_t, Millis)> mOnRefused;

private:
  struct Job
  {
    RoomRequest mRoom;
    Kind mKind;
  };

  Counts& countsOf(const Job& aJob)
  {
    return mCounts[{ aJob.mKind.mId, aJob.mKind.mWorkspace }];
  }

  void start(const Job& aJob)
  {
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    const auto run = static_cast<std::int64_t>(
      static_cast<double>(aJob.mKind.mRun.mCount) * factor(mRandom));
    const Millis end = mNow + Millis{ run };
    mRunning.push_back(end);
    mRunMs += 0.03 * (static_cast<double>(run) - mRunMs);
    ++countsOf(aJob).mServed;
    countsOf(aJob).mInTime += end <= aJob.mRoom.mEntry.mObjectiveAt ? 1 : 0;
    mAllocator.onStarted(aJob.mRoom, mNow);
  }

  std::mt19937_64 mRandom;
  RoomAllocator mAllocator;
  Millis mNow{ 1000 };
  std::vector<Job> mWaiting;
  std::vector<Millis> mRunning;
  double mRunMs = 100;
  std::uint64_t mLastQueueId = 0;
  std::uint64_t mNextRequest = 1;
  std::map<std::pair<std::uint32_t, std::uint64_t>, Counts> mCounts;
};

}

BOOST_AUTO_TEST_SUITE(room_allocator)

// Nine slots sustain 36 orders or 47 lookups a second.
BOOST_AUTO_TEST_CASE(a_burst_of_four_times_the_capacity_spares_urgent_kinds)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Simulation simulation(seed);
    const Kind call = at(kCall, 20);
    simulation.run({ at(kOrder, 15), at(kLookup, 10), call }, 8000_ms);
    simulation.forgetCounts();
    simulation.run({ at(kOrder, 72), at(kLookup, 95), call }, 16000_ms);
    const Counts orders = simulation[kOrder];
    const Counts lookups = simulation[kLookup];
    const Counts calls = simulation[kCall];
    BOOST_TEST_MESSAGE("orders " << orders.share() << " lookups "
                                 << lookups.share() << " calls "
                                 << calls.share());
    BOOST_TEST(orders.share() >= lookups.share() - 0.05, "seed " << seed);
    BOOST_TEST(calls.share() >= 0.9, "seed " << seed);
    const double mean = (orders.share() + lookups.share() + calls.share()) / 3;
    BOOST_TEST(lookups.share() >= mean / 4, "seed " << seed);
    const int served = orders.mServed + lookups.mServed + calls.mServed;
    const int inTime = orders.mInTime + lookups.mInTime + calls.mInTime;
    BOOST_TEST(inTime * 100 >= served * 85, "seed " << seed);
    // Slots are not left free: 8 s of 9 slots.
    const double busy =
      orders.mServed * 250 + lookups.mServed * 190 + calls.mServed * 55;
    BOOST_TEST(busy >= 0.9 * 8000 * kSlots, "seed " << seed);
    for (const Counts& counts : { orders, lookups, calls }) {
      BOOST_TEST(counts.mLongestRefusedWait.mCount <= 1, "seed " << seed);
    }
  }
}

// The refused share falls on the least urgent kind while it alone exceeds what
// the upstream sustains.
BOOST_AUTO_TEST_CASE(the_least_urgent_kind_yields_first)
{
  Simulation simulation(11);
  simulation.run({ at(kOrder, 20), at(kHistory, 24) }, 5000_ms);
  simulation.forgetCounts();
  simulation.run({ at(kOrder, 20), at(kHistory, 24) }, 21000_ms);
  const double orders = simulation[kOrder].share();
  const double history = simulation[kHistory].share();
  BOOST_TEST_MESSAGE("orders " << orders << " history " << history);
  // A slot is held by the history for up to 1.1 s, so that some orders find
  // none in time.
  BOOST_TEST(1 - orders <= (1 - history) / 5);
}

// Orders alone exceed the capacity, so that the order by rank would starve the
// history.
BOOST_AUTO_TEST_CASE(no_kind_is_starved)
{
  Simulation simulation(12);
  simulation.run({ at(kOrder, 80), at(kHistory, 8) }, 21000_ms);
  const double orders = simulation[kOrder].share();
  const double history = simulation[kHistory].share();
  BOOST_TEST_MESSAGE("orders " << orders << " history " << history);
  BOOST_TEST(history >= (orders + history) / 2 / 4);
  BOOST_TEST(orders >= history - 0.05);
}

// Requests refused in one burst return one after the other, at no higher rate
// than the upstream starts requests.
BOOST_AUTO_TEST_CASE(refused_callers_do_not_return_as_a_wave)
{
  Simulation simulation(13);
  simulation.run({ at(kOrder, 10) }, 3000_ms);
  simulation.forgetCounts();
  for (std::uint64_t n = 0; n < 120; ++n) {
    simulation.arrive(kOrder, 100000 + n);
  }
  simulation.step();
  std::vector<Millis> returns = simulation[kOrder].mReturns;
  std::ranges::sort(returns);
  BOOST_REQUIRE_GT(returns.size(), 80U);
  // Not before those who wait have started.
  BOOST_TEST((returns.front() - simulation.now()).mCount >= 300);
  for (std::size_t n = 0; n + 18 < returns.size(); ++n) {
    BOOST_TEST((returns[n + 18] - returns[n]).mCount >= 400);
  }
}

// Callers of one workspace repeat each refused request after 10 ms, those of
// the other wait as told.
BOOST_AUTO_TEST_CASE(callers_that_repeat_at_once_do_not_crowd_out_others)
{
  Simulation simulation(14);
  Kind patient = at(kOrder, 30);
  Kind hasty = at(kOrder, 30);
  hasty.mWorkspace = 2;
  std::multimap<Millis, std::pair<Kind, std::uint64_t>> due;
  std::map<std::uint64_t, int> repeats;
  simulation.mOnRefused =
    [&](const Kind& aKind, std::uint64_t aRequest, Millis aRetryAfter) {
      const bool isHasty = aKind.mWorkspace == 2;
      if (++repeats[aRequest] <= (isHasty ? 40 : 2)) {
        due.emplace(simulation.now() + (isHasty ? 10_ms : aRetryAfter),
                    std::pair(aKind, aRequest));
      }
    };
  while (simulation.now() < 21000_ms) {
    simulation.run({ patient, hasty }, simulation.now() + 1_ms);
    while (!due.empty() && due.begin()->first <= simulation.now()) {
      simulation.arrive(due.begin()->second.first, due.begin()->second.second);
      due.erase(due.begin());
    }
  }
  BOOST_TEST_MESSAGE("patient " << simulation[patient].mServed << " hasty "
                                << simulation[hasty].mServed);
  BOOST_TEST(simulation[patient].mServed >=
             simulation[hasty].mServed * 95 / 100);
}

// A kind that also comes from the upstream's own service consists of new runs.
BOOST_AUTO_TEST_CASE(kinds_of_outer_callers_are_not_taken_for_calls_of_runs)
{
  Simulation simulation(15);
  simulation.run({ at(kOrder, 80), at(kLookup, 80) }, 11000_ms);
  BOOST_TEST(simulation[kOrder].share() >= simulation[kLookup].share() - 0.05);
}

BOOST_AUTO_TEST_SUITE_END()
