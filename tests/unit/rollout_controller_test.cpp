#include "radishroad/policy/rollout_controller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr double kShare = 0.1;
constexpr std::uint32_t kSlack = 50;
constexpr Millis kStep{ 100 };
constexpr Millis kReportInterval{ 500 };
/// Members do not report at the same moment.
constexpr Millis kNewReportOffset{ 300 };

/// How a version serves one route at one moment.
struct Quality
{
  double mFailures = 0.005;
  double mSlowdown = 1;
  /// Part of the responses that mSlowdown applies to.
  double mSlowPart = 1;
};

struct Moment
{
  Millis mNow;
  std::uint32_t mKind = 0;
  double mSharePermille = 0;
};

using QualityFn = std::function<Quality(const Moment&)>;

/// Replays the traffic of a service with two routes against the controller, and
/// stores what it decides.
class Replay
{
public:
  Replay() { order(1); }

  void order(std::uint64_t aId)
  {
    mObservation.mOrder = RolloutOrder{ aId, "v2", 12000_ms };
    mObservation.mOrderedAt = mNow;
    mObservation.mNewMembers = 4;
  }

  void replaceController()
  {
    mController = RolloutController(kShare, kSlack);
    mPendingOld.clear();
    mPendingNew.clear();
  }

  void run(Millis aUntil)
  {
    for (; mNow < aUntil; mNow += kStep) {
      serve();
      report(mPendingOld, Millis{});
      report(mPendingNew, kNewReportOffset);
      const RolloutState before = mProgress.mState;
      const RolloutProgress next =
        mController.decide(mProgress, mObservation, mNow);
      if (mIsStoreReachable) {
        mProgress = next;
      }
      if (before == RolloutState::Running && mProgress.mState != before) {
        mEndedAt = mNow;
      }
      mMaxShare = std::max(mMaxShare, mProgress.mSharePermille);
    }
  }

  bool isWithinLimit() const { return mExposed <= kShare * mRequests + kSlack; }

  QualityFn mOld = [](const Moment&) { return Quality{}; };
  QualityFn mNew = mOld;
  std::array<double, 2> mRates = { 400, 60 };
  bool mHasReports = true;
  bool mIsStoreReachable = true;
  RolloutObservation mObservation;
  RolloutProgress mProgress;
  Millis mNow;
  Millis mEndedAt;
  std::uint32_t mMaxShare = 0;
  double mRequests = 0;
  double mExposed = 0;
  RolloutController mController{ kShare, kSlack };

private:
  void report(std::vector<RolloutOutcomes>& aPending, Millis aOffset)
  {
    if ((mNow - aOffset).mCount % kReportInterval.mCount != 0) {
      return;
    }
    if (mHasReports) {
      mController.addOutcomes(aPending, mNow);
    }
    aPending.clear();
  }

  void serve()
  {
    for (std::uint32_t kind = 0; kind < mRates.size(); ++kind) {
      RolloutOutcomes oldOnes{ kind, false };
      RolloutOutcomes newOnes{ kind, true };
      std::poisson_distribution<int> count(
        mRates[kind] * static_cast<double>(kStep.mCount) / 1000);
      const int requests = count(mRandom);
      for (int n = 0; n < requests; ++n) {
        const double share = mProgress.mSharePermille;
        const bool isNew = mUnit(mRandom) * kFullSharePermille < share;
        const Quality quality =
          (isNew ? mNew : mOld)(Moment{ mNow, kind, share });
        addRun(isNew ? newOnes : oldOnes, quality);
        ++mRequests;
        mExposed += isNew ? 1 : 0;
      }
      mPendingOld.push_back(oldOnes);
      mPendingNew.push_back(newOnes);
    }
  }

  void addRun(RolloutOutcomes& aOutcomes, const Quality& aQuality)
  {
    ++aOutcomes.mRequests;
    if (mUnit(mRandom) < aQuality.mFailures) {
      ++aOutcomes.mFailures;
    }
    // Upstreams of one service differ up to threefold in speed.
    const double usual = aOutcomes.mKind == 0 ? 190 : 750;
    double time = usual * (0.6 + mUnit(mRandom));
    if (mUnit(mRandom) < aQuality.mSlowPart) {
      time *= aQuality.mSlowdown;
    }
    const double bucket = std::ceil(std::log2(time / 4));
    const auto index = static_cast<std::size_t>(std::max(bucket, 0.0));
    ++aOutcomes.mTimes.at(std::min(index, kRolloutTimeBuckets - 1));
  }

  std::mt19937 mRandom{ 20 };
  std::uniform_real_distribution<double> mUnit{ 0, 1 };
  std::vector<RolloutOutcomes> mPendingOld;
  std::vector<RolloutOutcomes> mPendingNew;
};

void
checkRolledBack(Replay& aReplay)
{
  aReplay.run(14000_ms);
  BOOST_TEST((aReplay.mProgress.mState == RolloutState::RolledBack));
  BOOST_TEST(aReplay.isWithinLimit(),
             aReplay.mExposed << " of " << aReplay.mRequests);
  BOOST_TEST(aReplay.mProgress.mSharePermille == 0U);
}

void
checkCompleted(const Replay& aReplay)
{
  BOOST_TEST((aReplay.mProgress.mState == RolloutState::Completed),
             aReplay.mController.reason());
  BOOST_TEST(aReplay.mEndedAt.mCount < 11700);
}

}

BOOST_AUTO_TEST_SUITE(rollout_controller)

BOOST_AUTO_TEST_CASE(good_version_is_completed_before_the_deadline)
{
  // The second pair is a service with little traffic.
  for (const std::array<double, 2> rates :
       { std::array<double, 2>{ 400, 60 }, { 1000, 150 }, { 8, 2 } }) {
    Replay replay;
    replay.mRates = rates;
    replay.run(12000_ms);
    checkCompleted(replay);
    // It could still turn bad after the completion.
    BOOST_TEST(replay.isWithinLimit(),
               replay.mExposed << " of " << replay.mRequests);
  }
}

BOOST_AUTO_TEST_CASE(version_that_fails_at_once_is_rolled_back)
{
  Replay replay;
  replay.mNew = [](const Moment&) { return Quality{ 0.3 }; };
  checkRolledBack(replay);
  BOOST_TEST(replay.mEndedAt.mCount < 5000);
}

BOOST_AUTO_TEST_CASE(version_that_turns_bad_late_stays_within_the_limit)
{
  for (const Millis from : { 8000_ms, 9500_ms, 10500_ms }) {
    Replay replay;
    replay.mNew = [from](const Moment& aMoment) {
      return aMoment.mNow < from ? Quality{} : Quality{ 0.4 };
    };
    checkRolledBack(replay);
  }
}

BOOST_AUTO_TEST_CASE(version_that_fails_under_load_only_is_rolled_back)
{
  Replay replay;
  replay.mNew = [](const Moment& aMoment) {
    return aMoment.mSharePermille < 50 ? Quality{} : Quality{ 0.4 };
  };
  checkRolledBack(replay);
}

BOOST_AUTO_TEST_CASE(version_that_fails_on_one_route_only_is_rolled_back)
{
  Replay replay;
  replay.mRates = { 1000, 100 };
  replay.mNew = [](const Moment& aMoment) {
    return aMoment.mKind == 0 ? Quality{} : Quality{ 0.4 };
  };
  checkRolledBack(replay);
}

BOOST_AUTO_TEST_CASE(version_with_some_slow_responses_is_rolled_back)
{
  Replay replay;
  replay.mNew = [](const Moment&) { return Quality{ 0.005, 5, 0.3 }; };
  checkRolledBack(replay);
}

BOOST_AUTO_TEST_CASE(moment_that_is_bad_for_both_versions_does_not_count)
{
  // It begins when the share is raised, so that the new version has a larger
  // part of its requests in it than the old one.
  Replay replay;
  replay.mOld = [](const Moment& aMoment) {
    const bool isBad = aMoment.mNow >= 9500_ms && aMoment.mNow < 11000_ms;
    return isBad ? Quality{ 0.3, 8 } : Quality{};
  };
  replay.mNew = replay.mOld;
  replay.run(12000_ms);
  checkCompleted(replay);
}

BOOST_AUTO_TEST_CASE(slower_upstreams_of_a_good_version_are_no_reason)
{
  Replay replay;
  replay.mNew = [](const Moment&) { return Quality{ 0.005, 1.6 }; };
  replay.run(12000_ms);
  checkCompleted(replay);
}

BOOST_AUTO_TEST_CASE(share_is_not_raised_on_stale_reports)
{
  Replay replay;
  replay.run(8000_ms);
  const std::uint32_t held = replay.mProgress.mSharePermille;
  BOOST_TEST(held > 0U);
  replay.mHasReports = false;
  replay.run(13000_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::Running));
  BOOST_TEST(replay.mProgress.mSharePermille <= held);
  // A rollout cannot stay undecided for ever.
  replay.run(19000_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::RolledBack));
}

BOOST_AUTO_TEST_CASE(successor_continues_from_the_stored_progress)
{
  Replay replay;
  replay.run(9000_ms);
  const RolloutProgress stored = replay.mProgress;
  replay.replaceController();
  replay.run(9600_ms);
  BOOST_TEST(replay.mProgress.mSharePermille <= stored.mSharePermille);
  BOOST_TEST(replay.mProgress.mRequests >= stored.mRequests);
  replay.run(12000_ms);
  checkCompleted(replay);
  BOOST_TEST(replay.isWithinLimit());
}

BOOST_AUTO_TEST_CASE(counters_survive_a_store_that_is_away)
{
  Replay replay;
  replay.run(3000_ms);
  replay.mIsStoreReachable = false;
  replay.run(6000_ms);
  replay.mIsStoreReachable = true;
  replay.run(6200_ms);
  // Outcomes that were decided on while nothing could be written count once.
  const auto counted = static_cast<double>(replay.mProgress.mRequests);
  BOOST_TEST(std::abs(counted - replay.mRequests) < 300);
}

BOOST_AUTO_TEST_CASE(replaced_and_removed_requests)
{
  Replay replay;
  replay.mNew = [](const Moment&) { return Quality{ 0.5 }; };
  replay.run(4000_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::RolledBack));
  replay.mNew = replay.mOld;
  replay.order(2);
  replay.run(4100_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::Running));
  BOOST_TEST(replay.mProgress.mOrderId == 2U);
  BOOST_TEST(replay.mProgress.mExposed == 0U);
  replay.mObservation.mOrder.reset();
  replay.run(4300_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::RolledBack));
}

BOOST_AUTO_TEST_CASE(keys_move_before_the_rollout_is_completed)
{
  Replay replay;
  replay.mObservation.mHasMovedAllKeys = false;
  replay.run(11600_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::Running));
  BOOST_TEST(replay.mProgress.mSharePermille == kFullSharePermille);
  replay.mObservation.mHasMovedAllKeys = true;
  replay.run(11700_ms);
  BOOST_TEST((replay.mProgress.mState == RolloutState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
