#include "radishroad/ownership/grant_manager.h"
#include "radishroad/upstream/upstream_report.h"

#include "platform/messages.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr Millis kHoldTime{ 3000 };
constexpr Millis kReportInterval{ 870 };
/// An upstream ignores answers that arrive later.
constexpr Millis kMaxAnswerAge{ 1000 };

std::vector<GrantableShard>
shards(Shard aFirst, Shard aLast, Epoch aEpoch)
{
  std::vector<GrantableShard> grantableShards;
  for (Shard shard = aFirst; shard <= aLast; ++shard) {
    grantableShards.push_back({ shard, aEpoch });
  }
  return grantableShards;
}

GrantManager
makeGrantManager(KeyLayout aLayout)
{
  GrantManager manager;
  manager.setHoldTime(kHoldTime);
  manager.setGrantsInReportAnswers(true);
  manager.setLayout(aLayout);
  return manager;
}

std::vector<KeyGrant>
answerAll(GrantManager& aManager, Millis aNow)
{
  return aManager.answerReport([](const KeyGrant&) { return true; }, aNow);
}

std::vector<ReportedHold>
heldOf(std::span<const KeyGrant> aRows)
{
  std::vector<ReportedHold> held;
  for (const KeyGrant& row : aRows) {
    held.push_back({ row.mKeys, row.mEpoch });
  }
  return held;
}

/// Simulates upstreams, each with a daemon on its VM that answers its reports.
/// Reports and answers are delayed, lost and duplicated; clocks run slow;
/// upstreams and daemons restart; shards move as planned and after the loss of
/// a daemon.
class GrantSimulation
{
public:
  /// The safeguard that is switched off; All: none is.
  enum class Safeguard
  {
    All,
    /// A planned move does not wait until the old holder has released the
    /// shard.
    NoRelease,
    /// A daemon that starts on the VM of a running upstream assumes that the
    /// upstream holds nothing.
    NoAssumption,
    /// An outdated report is answered like a new one.
    NoReportOrder,
    /// A takeover does not wait until the holds of the upstream whose daemon
    /// was lost have expired.
    NoTakeoverWait,
  };

  GrantSimulation(std::uint64_t aSeed, Safeguard aSafeguard)
    : mRandom(aSeed)
    , mSafeguard(aSafeguard)
  {
    for (std::size_t n = 0; n < kUpstreams; ++n) {
      mDaemons.push_back({});
      mDaemons.back().mGrantManager = makeGrantManager(mLayout);
      mUpstreams.push_back({});
      mUpstreams.back().mNextReport = { draw(kReportInterval.mCount) };
      mUpstreams.back().mHasSlowClock = draw(2) == 0;
    }
    for (Shard shard = 0; shard < kShards; ++shard) {
      mShards.push_back({ shard % kUpstreams, 1, {} });
    }
  }

  /// Runs for aLength; false once two upstreams hold the same key.
  bool simulate(Millis aLength)
  {
    for (; mNow < aLength; mNow = mNow + kStep) {
      for (std::size_t n = 0; n < kUpstreams; ++n) {
        tickUpstream(n);
        tickDaemon(n);
      }
      deliver();
      injectFault();
      if (!isExclusive()) {
        return false;
      }
    }
    return true;
  }

  std::size_t moves() const { return mMoves; }

private:
  static constexpr std::size_t kUpstreams = 4;
  static constexpr Shard kShards = 6;
  static constexpr Millis kStep{ 10 };

  struct Hold
  {
    Epoch mEpoch = 0;
    Millis mUntil;
  };
  struct Upstream
  {
    std::uint64_t mIncarnation = 1;
    std::uint64_t mSequence = 0;
    Millis mNextReport;
    bool mHasSlowClock = false;
    /// Of the report whose answer was last accepted.
    std::uint64_t mAcceptedSequence = 0;
    /// By key run.
    std::map<std::uint32_t, Hold> mHolds;
    std::map<std::uint32_t, Epoch> mHighestEpoch;
  };
  struct Daemon
  {
    GrantManager mGrantManager;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    /// When the daemon was lost; nullopt while it runs.
    std::optional<Millis> mLostSince;
    std::set<Shard> mReleasing;
  };
  struct Ownership
  {
    std::size_t mOwner = 0;
    Epoch mEpoch = 1;
    Millis mServeFrom;
  };
  struct Message
  {
    Millis mDeliverAt;
    /// When the report was sent.
    Millis mSentAt;
    std::size_t mNode = 0;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    std::vector<ReportedHold> mHolds;
    /// Set in answers.
    std::optional<std::vector<KeyGrant>> mAnswer;
    bool mIsAnswer = false;
  };

  std::int64_t draw(std::int64_t aBelow)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBelow - 1)(mRandom);
  }

  Millis networkDelay()
  {
    const std::int64_t kind = draw(20);
    return { kind == 0 ? 200 + draw(4000) : kind == 1 ? draw(900) : draw(5) };
  }

  void send(Message aMessage)
  {
    if (draw(20) == 0) {
      return;
    }
    const bool duplicated = draw(20) == 0;
    aMessage.mDeliverAt = mNow + networkDelay();
    if (duplicated) {
      mMessages.push_back(aMessage);
      mMessages.back().mDeliverAt = mNow + networkDelay();
    }
    mMessages.push_back(std::move(aMessage));
  }

  void tickUpstream(std::size_t aNode)
  {
    Upstream& upstream = mUpstreams[aNode];
    std::erase_if(upstream.mHolds, [this](const auto& aEntry) {
      return mNow >= aEntry.second.mUntil;
    });
    if (mNow < upstream.mNextReport) {
      return;
    }
    upstream.mNextReport = mNow + kReportInterval;
    Message report;
    report.mSentAt = mNow;
    report.mNode = aNode;
    report.mIncarnation = upstream.mIncarnation;
    report.mSequence = ++upstream.mSequence;
    for (const auto& [run, hold] : upstream.mHolds) {
      report.mHolds.push_back({ mLayout.rangeOfRun(run), hold.mEpoch });
    }
    send(std::move(report));
  }

  void tickDaemon(std::size_t aNode)
  {
    Daemon& daemon = mDaemons[aNode];
    for (const Shard shard : std::set<Shard>(daemon.mReleasing)) {
      const bool free = daemon.mGrantManager.freeFrom(shard, mNow) <= mNow;
      if (!daemon.mLostSince && (free || mSafeguard == Safeguard::NoRelease)) {
        daemon.mReleasing.erase(shard);
        mShards[shard].mOwner = randomOtherNode(aNode);
        ++mShards[shard].mEpoch;
        mShards[shard].mServeFrom = std::max(mShards[shard].mServeFrom, mNow);
        ++mMoves;
      }
    }
  }

  void deliver()
  {
    std::vector<Message> due;
    std::erase_if(mMessages, [&](const Message& aMessage) {
      if (aMessage.mDeliverAt <= mNow) {
        due.push_back(aMessage);
      }
      return aMessage.mDeliverAt <= mNow;
    });
    for (const Message& message : due) {
      message.mIsAnswer ? onAnswer(message) : onReport(message);
    }
  }

  void onReport(const Message& aReport)
  {
    Daemon& daemon = mDaemons[aReport.mNode];
    const bool newer = aReport.mIncarnation > daemon.mIncarnation ||
                       (aReport.mIncarnation == daemon.mIncarnation &&
                        aReport.mSequence > daemon.mSequence);
    if (daemon.mLostSince ||
        (!newer && mSafeguard != Safeguard::NoReportOrder)) {
      return;
    }
    if (aReport.mIncarnation > daemon.mIncarnation &&
        daemon.mIncarnation != 0) {
      daemon.mGrantManager.clearHolds();
      raiseEpochs(aReport.mNode);
    }
    daemon.mIncarnation = aReport.mIncarnation;
    daemon.mSequence = aReport.mSequence;
    std::vector<GrantableShard> grantableShards;
    for (Shard shard = 0; shard < kShards; ++shard) {
      const Ownership& owned = mShards[shard];
      if (owned.mOwner == aReport.mNode && owned.mServeFrom <= mNow &&
          !daemon.mReleasing.contains(shard)) {
        grantableShards.push_back({ shard, owned.mEpoch });
      }
    }
    daemon.mGrantManager.onReportedHolds(aReport.mHolds, mNow);
    daemon.mGrantManager.setGrantableShards(grantableShards);
    Message answer = aReport;
    answer.mIsAnswer = true;
    answer.mAnswer = answerAll(daemon.mGrantManager, mNow);
    send(std::move(answer));
  }

  void onAnswer(const Message& aAnswer)
  {
    Upstream& upstream = mUpstreams[aAnswer.mNode];
    // Reports are sent more often than an answer is waited for, so an answer
    // may come after the next report was sent.
    const bool accepted = aAnswer.mIncarnation == upstream.mIncarnation &&
                          aAnswer.mSequence > upstream.mAcceptedSequence &&
                          mNow - aAnswer.mSentAt <= kMaxAnswerAge;
    if (!accepted) {
      return;
    }
    upstream.mAcceptedSequence = aAnswer.mSequence;
    std::map<std::uint32_t, Hold> holds;
    const Millis hold =
      upstream.mHasSlowClock ? kHoldTime + kHoldTime / 50 : kHoldTime;
    for (const KeyGrant& row : *aAnswer.mAnswer) {
      const std::uint32_t last = row.mKeys.mLast / mLayout.runKeys();
      for (std::uint32_t run = row.mKeys.mFirst / mLayout.runKeys();
           run <= last;
           ++run) {
        if (row.mEpoch >= upstream.mHighestEpoch[run]) {
          upstream.mHighestEpoch[run] = row.mEpoch;
          holds[run] = { row.mEpoch, aAnswer.mSentAt + hold };
        }
      }
    }
    upstream.mHolds = std::move(holds);
  }

  void injectFault()
  {
    const auto node = static_cast<std::size_t>(draw(kUpstreams));
    Daemon& daemon = mDaemons[node];
    switch (draw(200)) {
      case 0: // A planned move.
        daemon.mReleasing.insert(static_cast<Shard>(draw(kShards)));
        std::erase_if(daemon.mReleasing, [&](Shard aShard) {
          return mShards[aShard].mOwner != node;
        });
        break;
      case 1: // The upstream restarts.
        if (draw(4) == 0) {
          mUpstreams[node].mHolds.clear();
          mUpstreams[node].mHighestEpoch.clear();
          ++mUpstreams[node].mIncarnation;
          mUpstreams[node].mSequence = 0;
          mUpstreams[node].mAcceptedSequence = 0;
        }
        break;
      case 2: // The daemon restarts while its upstream runs.
        if (draw(4) == 0 && !daemon.mLostSince) {
          daemon = Daemon{};
          daemon.mGrantManager = makeGrantManager(mLayout);
          if (mSafeguard != Safeguard::NoAssumption) {
            daemon.mGrantManager.assumeHeld(mNow);
          }
          raiseEpochs(node);
        }
        break;
      case 3: // A daemon is lost, and others take over its shards.
        if (draw(4) == 0) {
          loseDaemon(node);
        }
        break;
      default:
        if (daemon.mLostSince &&
            mNow - *daemon.mLostSince > kReportInterval * 8) {
          daemon = Daemon{};
          daemon.mGrantManager = makeGrantManager(mLayout);
          daemon.mGrantManager.assumeHeld(mNow);
        }
    }
  }

  void loseDaemon(std::size_t aNode)
  {
    Daemon& daemon = mDaemons[aNode];
    if (daemon.mLostSince) {
      return;
    }
    daemon.mLostSince = mNow;
    daemon.mReleasing.clear();
    const Millis wait = mSafeguard == Safeguard::NoTakeoverWait
                          ? Millis{}
                          : GrantManager::longestHold(kHoldTime);
    for (Ownership& owned : mShards) {
      if (owned.mOwner == aNode) {
        owned = { randomOtherNode(aNode), owned.mEpoch + 1, mNow + wait };
      }
    }
  }

  void raiseEpochs(std::size_t aNode)
  {
    for (Ownership& owned : mShards) {
      owned.mEpoch += owned.mOwner == aNode ? 1 : 0;
    }
  }

  std::size_t randomOtherNode(std::size_t aNode)
  {
    return (aNode + 1 + static_cast<std::size_t>(draw(kUpstreams - 1))) %
           kUpstreams;
  }

  bool isExclusive() const
  {
    std::set<std::uint32_t> held;
    for (const Upstream& upstream : mUpstreams) {
      for (const auto& [run, hold] : upstream.mHolds) {
        if (mNow < hold.mUntil && !held.insert(run).second) {
          return false;
        }
      }
    }
    return true;
  }

  std::mt19937_64 mRandom;
  Safeguard mSafeguard;
  KeyLayout mLayout{ kMaxRunKeys };
  Millis mNow;
  std::vector<Upstream> mUpstreams;
  std::vector<Daemon> mDaemons;
  std::vector<Ownership> mShards;
  std::vector<Message> mMessages;
  std::size_t mMoves = 0;
};

std::size_t
countViolations(GrantSimulation::Safeguard aSafeguard, std::uint64_t aSeeds)
{
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    GrantSimulation simulation(seed, aSafeguard);
    violations += simulation.simulate(30_s) ? 0 : 1;
  }
  return violations;
}

}

BOOST_AUTO_TEST_SUITE(report_grant)

BOOST_AUTO_TEST_CASE(an_answer_lists_all_holdings_with_adjacent_runs_merged)
{
  GrantManager manager = makeGrantManager(KeyLayout(256));
  manager.setGrantableShards(shards(0, 63, 4));
  manager.onReportedHolds({}, 0_ms);
  const std::vector<KeyGrant> rows = answerAll(manager, 100_ms);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST((rows[0].mKeys == KeyRange{ 0, 64 * 256 - 1 }));
  const std::uint64_t key = manager.layout().hashOfKeyNumber(7);
  // The key is held from when the upstream has processed the answer.
  BOOST_TEST(!manager.holds(key, 4, 100_ms));
  BOOST_TEST(manager.holds(key, 4, 110_ms));
  // The upstream keeps serving the key at a higher epoch, since no other
  // upstream holds it.
  BOOST_TEST(manager.holds(key, 5, 110_ms));
  BOOST_TEST(!manager.holds(key, 4, 100_ms + kHoldTime));
}

BOOST_AUTO_TEST_CASE(a_shard_left_out_is_free_once_a_report_omits_it)
{
  GrantManager manager = makeGrantManager(KeyLayout(256));
  manager.setGrantableShards(shards(0, 1, 4));
  manager.onReportedHolds({}, 0_ms);
  std::vector<ReportedHold> held = heldOf(answerAll(manager, 0_ms));
  manager.onReportedHolds(held, 870_ms);
  manager.setGrantableShards(shards(0, 0, 4));
  answerAll(manager, 870_ms);
  BOOST_TEST((manager.freeFrom(1, 870_ms) > 870_ms));
  // The upstream still reports keys of the shard, which it is working on.
  manager.onReportedHolds(held, 970_ms);
  answerAll(manager, 970_ms);
  BOOST_TEST((manager.freeFrom(1, 970_ms) > 970_ms));
  held[0].mKeys.mLast = 255;
  manager.onReportedHolds(held, 1070_ms);
  BOOST_TEST((manager.freeFrom(1, 1070_ms) == 1070_ms));
  BOOST_TEST((manager.freeFrom(0, 1070_ms) > 1070_ms));
}

// OWNER: a report that was sent before the answer to the one before it arrived
// ended holds that this answer granted.
BOOST_AUTO_TEST_CASE(a_report_sent_before_an_answer_arrived_ends_no_hold)
{
  GrantManager manager = makeGrantManager(KeyLayout(256));
  manager.setGrantableShards(shards(0, 0, 4));
  manager.onReportedHolds({}, 0_ms);
  answerAll(manager, 0_ms);
  // The shard is handed off before the upstream has received the answer.
  manager.setGrantableShards({});
  manager.onReportedHolds({}, 130_ms);
  answerAll(manager, 130_ms);
  BOOST_TEST((manager.freeFrom(0, 130_ms) >= kHoldTime));
  manager.onReportedHolds({}, 870_ms);
  BOOST_TEST((manager.freeFrom(0, 870_ms) == 870_ms));
}

BOOST_AUTO_TEST_CASE(a_rejection_right_after_an_answer_is_retried_soon)
{
  GrantManager manager = makeGrantManager(KeyLayout(256));
  manager.setGrantableShards(shards(0, 0, 1));
  manager.onReportedHolds({}, 0_ms);
  answerAll(manager, 0_ms);
  manager.onNotHeld(0, 6_ms);
  BOOST_TEST(!manager.holds(0, 1, 7_ms));
  BOOST_TEST(manager.holds(0, 1, 20_ms));
  manager.onNotHeld(0, 500_ms);
  BOOST_TEST(!manager.holds(0, 1, 600_ms));
}

BOOST_AUTO_TEST_CASE(keys_held_before_a_new_layout_may_still_be_held)
{
  GrantManager manager;
  manager.setHoldTime(kHoldTime);
  manager.setGrantsInReportAnswers(true);
  manager.assumeHeld(0_ms);
  manager.setLayout(KeyLayout(128));
  BOOST_TEST((manager.freeFrom(3, 10_ms) > kHoldTime));
}

// Shards move one by one to the same upstream, until it holds many shards at
// different epochs and with handover tokens: the largest possible answer.
BOOST_AUTO_TEST_CASE(an_answer_stays_within_its_size_limit)
{
  for (const std::size_t members : { 1U, 2U, 4U, 13U, 33U, 100U }) {
    const KeyLayout layout = layoutForMembers(members);
    std::mt19937_64 random(members);
    GrantManager manager = makeGrantManager(layout);
    std::map<Shard, Epoch> owned;
    std::vector<KeyGrant> rows;
    for (int round = 0; round < 200; ++round) {
      const Shard shard = random() % kShardCount;
      const Epoch epoch = ++owned[shard];
      if (random() % 2 == 0) {
        manager.onHandover(
          shard,
          epoch - 1,
          std::vector<std::string>(layout.runsPerShard(), "7a21d94b36f85c0e"),
          Millis{ round * 100 });
      }
      std::vector<GrantableShard> grantableShards;
      for (const auto& [each, at] : owned) {
        grantableShards.push_back({ each, at });
      }
      const std::vector<ReportedHold> held = heldOf(rows);
      manager.onReportedHolds(held, Millis{ round * 100 });
      manager.setGrantableShards(grantableShards);
      std::size_t size = 0;
      rows = manager.answerReport(
        [&size](const KeyGrant& aRow) {
          return platform::fitsReportAnswer(aRow, size);
        },
        Millis{ round * 100 });
      const std::string body = platform::writeReportAnswer({ rows, kHoldTime });
      BOOST_REQUIRE(body.size() <= platform::kMaxReportAnswerBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(holdings_of_one_member_fit_one_answer_in_any_cell)
{
  for (const std::size_t members : { 4U, 7U, 13U, 33U, 100U }) {
    const KeyLayout layout = layoutForMembers(members);
    GrantManager manager = makeGrantManager(layout);
    std::vector<GrantableShard> grantableShards;
    for (Shard shard = 0; shard < kShardCount; shard += members) {
      grantableShards.push_back({ shard, 1000 + shard });
    }
    manager.setGrantableShards(grantableShards);
    manager.onReportedHolds({}, 0_ms);
    std::size_t size = 0;
    std::size_t leftOut = 0;
    manager.answerReport(
      [&](const KeyGrant& aRow) {
        const bool fits = platform::fitsReportAnswer(aRow, size);
        leftOut += fits ? 0 : 1;
        return fits;
      },
      0_ms);
    BOOST_TEST(leftOut == 0U);
  }
}

BOOST_AUTO_TEST_CASE(no_two_upstreams_hold_a_key)
{
  BOOST_TEST(countViolations(GrantSimulation::Safeguard::All, 2000) == 0U);
  GrantSimulation simulation(1, GrantSimulation::Safeguard::All);
  simulation.simulate(120_s);
  BOOST_TEST(simulation.moves() > 5U);
}

BOOST_AUTO_TEST_CASE(each_safeguard_is_needed)
{
  using Safeguard = GrantSimulation::Safeguard;
  for (const Safeguard safeguard : { Safeguard::NoRelease,
                                     Safeguard::NoAssumption,
                                     Safeguard::NoReportOrder,
                                     Safeguard::NoTakeoverWait }) {
    BOOST_TEST_CONTEXT("safeguard " << static_cast<int>(safeguard))
    {
      BOOST_TEST(countViolations(safeguard, 300) > 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
