#include "radishroad/ownership/grant_keeper.h"
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

constexpr Millis kHold{ 3000 };
constexpr Millis kInterval{ 870 };
/// An upstream takes no later answer.
constexpr Millis kAnswerLimit{ 1000 };

std::vector<Holding>
shards(Shard aFirst, Shard aLast, Epoch aEpoch)
{
  std::vector<Holding> holdings;
  for (Shard shard = aFirst; shard <= aLast; ++shard) {
    holdings.push_back({ shard, aEpoch });
  }
  return holdings;
}

GrantKeeper
keeperBy(KeyLayout aLayout)
{
  GrantKeeper keeper;
  keeper.setHoldTime(kHold);
  keeper.setByReport(true);
  keeper.setLayout(aLayout);
  return keeper;
}

std::vector<GrantOrder>
answerAll(GrantKeeper& aKeeper, Millis aNow)
{
  return aKeeper.answerReport([](const GrantOrder&) { return true; }, aNow);
}

std::vector<ReportedHold>
heldOf(std::span<const GrantOrder> aRows)
{
  std::vector<ReportedHold> held;
  for (const GrantOrder& row : aRows) {
    held.push_back({ row.mKeys, row.mEpoch });
  }
  return held;
}

/// A fleet of upstreams, each with a daemon beside it that answers its reports.
/// Reports and answers are late, lost and doubled; clocks run slow; upstreams
/// and daemons start anew; shards move as planned and after losses.
class ReportFleet
{
public:
  enum class Safeguard
  {
    All,
    /// A planned move does not wait until the old holder has given back.
    NoRelease,
    /// A daemon that starts beside a running upstream takes it to hold nothing.
    NoAssumption,
    /// A report of before is answered like a newer one.
    NoOrder,
    /// A takeover does not wait until the lost upstream's holds have ended.
    NoTakeoverWait,
  };

  ReportFleet(std::uint64_t aSeed, Safeguard aSafeguard)
    : mRandom(aSeed)
    , mSafeguard(aSafeguard)
  {
    for (std::size_t n = 0; n < kUpstreams; ++n) {
      mDaemons.push_back({});
      mDaemons.back().mKeeper = keeperBy(mLayout);
      mUpstreams.push_back({});
      mUpstreams.back().mNextReport = { draw(kInterval.mCount) };
      mUpstreams.back().mSlowClock = draw(2) == 0;
    }
    for (Shard shard = 0; shard < kShards; ++shard) {
      mShards.push_back({ shard % kUpstreams, 1, {} });
    }
  }

  /// Plays for so long; true if at no time two upstreams held one key.
  bool play(Millis aLength)
  {
    for (; mNow < aLength; mNow = mNow + kStep) {
      for (std::size_t n = 0; n < kUpstreams; ++n) {
        tickUpstream(n);
        tickDaemon(n);
      }
      deliver();
      makeTrouble();
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
    std::uint64_t mLife = 1;
    std::uint64_t mSequence = 0;
    Millis mNextReport;
    Millis mSentAt;
    bool mSlowClock = false;
    /// By run.
    std::map<std::uint32_t, Hold> mHolds;
    std::map<std::uint32_t, Epoch> mSeen;
  };
  struct Daemon
  {
    GrantKeeper mKeeper;
    std::uint64_t mLife = 0;
    std::uint64_t mSequence = 0;
    /// Holds its lease until then; for good if it is not lost.
    std::optional<Millis> mLostSince;
    std::set<Shard> mReleasing;
  };
  struct Owned
  {
    std::size_t mOwner = 0;
    Epoch mEpoch = 1;
    Millis mServeFrom;
  };
  struct Message
  {
    Millis mAt;
    std::size_t mNode = 0;
    std::uint64_t mLife = 0;
    std::uint64_t mSequence = 0;
    std::vector<ReportedHold> mHolds;
    /// Set in answers.
    std::optional<std::vector<GrantOrder>> mAnswer;
    bool mIsAnswer = false;
  };

  std::int64_t draw(std::int64_t aBelow)
  {
    return std::uniform_int_distribution<std::int64_t>(0, aBelow - 1)(mRandom);
  }

  Millis travelTime()
  {
    const std::int64_t kind = draw(20);
    return { kind == 0 ? 200 + draw(4000) : kind == 1 ? draw(900) : draw(5) };
  }

  void send(Message aMessage)
  {
    if (draw(20) == 0) {
      return;
    }
    const bool doubled = draw(20) == 0;
    aMessage.mAt = mNow + travelTime();
    if (doubled) {
      mMessages.push_back(aMessage);
      mMessages.back().mAt = mNow + travelTime();
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
    upstream.mNextReport = mNow + kInterval;
    upstream.mSentAt = mNow;
    Message report;
    report.mNode = aNode;
    report.mLife = upstream.mLife;
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
      const bool free = daemon.mKeeper.freeFrom(shard, mNow) <= mNow;
      if (!daemon.mLostSince && (free || mSafeguard == Safeguard::NoRelease)) {
        daemon.mReleasing.erase(shard);
        mShards[shard].mOwner = other(aNode);
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
      if (aMessage.mAt <= mNow) {
        due.push_back(aMessage);
      }
      return aMessage.mAt <= mNow;
    });
    for (const Message& message : due) {
      message.mIsAnswer ? onAnswer(message) : onReport(message);
    }
  }

  void onReport(const Message& aReport)
  {
    Daemon& daemon = mDaemons[aReport.mNode];
    const bool newer =
      aReport.mLife > daemon.mLife ||
      (aReport.mLife == daemon.mLife && aReport.mSequence > daemon.mSequence);
    if (daemon.mLostSince || (!newer && mSafeguard != Safeguard::NoOrder)) {
      return;
    }
    if (aReport.mLife > daemon.mLife && daemon.mLife != 0) {
      daemon.mKeeper.forget();
      raiseEpochs(aReport.mNode);
    }
    daemon.mLife = aReport.mLife;
    daemon.mSequence = aReport.mSequence;
    std::vector<Holding> holdings;
    for (Shard shard = 0; shard < kShards; ++shard) {
      const Owned& owned = mShards[shard];
      if (owned.mOwner == aReport.mNode && owned.mServeFrom <= mNow &&
          !daemon.mReleasing.contains(shard)) {
        holdings.push_back({ shard, owned.mEpoch });
      }
    }
    daemon.mKeeper.onReportedHolds(aReport.mHolds);
    daemon.mKeeper.setHoldings(holdings);
    Message answer = aReport;
    answer.mIsAnswer = true;
    answer.mAnswer = answerAll(daemon.mKeeper, mNow);
    send(std::move(answer));
  }

  void onAnswer(const Message& aAnswer)
  {
    Upstream& upstream = mUpstreams[aAnswer.mNode];
    const bool taken = aAnswer.mLife == upstream.mLife &&
                       aAnswer.mSequence == upstream.mSequence &&
                       mNow - upstream.mSentAt <= kAnswerLimit;
    if (!taken) {
      return;
    }
    std::map<std::uint32_t, Hold> holds;
    const Millis hold = upstream.mSlowClock ? kHold + kHold / 50 : kHold;
    for (const GrantOrder& row : *aAnswer.mAnswer) {
      const std::uint32_t last = row.mKeys.mLast / mLayout.runKeys();
      for (std::uint32_t run = row.mKeys.mFirst / mLayout.runKeys();
           run <= last;
           ++run) {
        if (row.mEpoch >= upstream.mSeen[run]) {
          upstream.mSeen[run] = row.mEpoch;
          holds[run] = { row.mEpoch, upstream.mSentAt + hold };
        }
      }
    }
    upstream.mHolds = std::move(holds);
  }

  void makeTrouble()
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
      case 1: // The upstream starts anew.
        if (draw(4) == 0) {
          mUpstreams[node].mHolds.clear();
          mUpstreams[node].mSeen.clear();
          ++mUpstreams[node].mLife;
          mUpstreams[node].mSequence = 0;
        }
        break;
      case 2: // The daemon starts anew beside its upstream.
        if (draw(4) == 0 && !daemon.mLostSince) {
          daemon = Daemon{};
          daemon.mKeeper = keeperBy(mLayout);
          if (mSafeguard != Safeguard::NoAssumption) {
            daemon.mKeeper.assumeHeld(mNow);
          }
          raiseEpochs(node);
        }
        break;
      case 3: // A daemon is lost, and its shards go to others.
        if (draw(4) == 0) {
          lose(node);
        }
        break;
      default:
        if (daemon.mLostSince && mNow - *daemon.mLostSince > kInterval * 8) {
          daemon = Daemon{};
          daemon.mKeeper = keeperBy(mLayout);
          daemon.mKeeper.assumeHeld(mNow);
        }
    }
  }

  void lose(std::size_t aNode)
  {
    Daemon& daemon = mDaemons[aNode];
    if (daemon.mLostSince) {
      return;
    }
    daemon.mLostSince = mNow;
    daemon.mReleasing.clear();
    const Millis wait = mSafeguard == Safeguard::NoTakeoverWait
                          ? Millis{}
                          : GrantKeeper::longestHold(kHold);
    for (Owned& owned : mShards) {
      if (owned.mOwner == aNode) {
        owned = { other(aNode), owned.mEpoch + 1, mNow + wait };
      }
    }
  }

  void raiseEpochs(std::size_t aNode)
  {
    for (Owned& owned : mShards) {
      owned.mEpoch += owned.mOwner == aNode ? 1 : 0;
    }
  }

  std::size_t other(std::size_t aNode)
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
  std::vector<Owned> mShards;
  std::vector<Message> mMessages;
  std::size_t mMoves = 0;
};

std::size_t
brokenHistories(ReportFleet::Safeguard aSafeguard, std::uint64_t aSeeds)
{
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    ReportFleet fleet(seed, aSafeguard);
    broken += fleet.play(30_s) ? 0 : 1;
  }
  return broken;
}

}

BOOST_AUTO_TEST_SUITE(report_grant)

BOOST_AUTO_TEST_CASE(an_answer_tells_all_that_is_held_neighbours_as_one_row)
{
  GrantKeeper keeper = keeperBy(KeyLayout(256));
  keeper.setHoldings(shards(0, 63, 4));
  keeper.onReportedHolds({});
  const std::vector<GrantOrder> rows = answerAll(keeper, 100_ms);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST((rows[0].mKeys == KeyRange{ 0, 64 * 256 - 1 }));
  const std::uint64_t key = keeper.layout().hashOfNumber(7);
  // Once the upstream has taken in the answer.
  BOOST_TEST(!keeper.holds(key, 4, 100_ms));
  BOOST_TEST(keeper.holds(key, 4, 110_ms));
  // It serves on while the epoch rises: no other holds the key.
  BOOST_TEST(keeper.holds(key, 5, 110_ms));
  BOOST_TEST(!keeper.holds(key, 4, 100_ms + kHold));
}

BOOST_AUTO_TEST_CASE(what_is_left_out_is_free_once_a_report_does_not_name_it)
{
  GrantKeeper keeper = keeperBy(KeyLayout(256));
  keeper.setHoldings(shards(0, 1, 4));
  keeper.onReportedHolds({});
  std::vector<ReportedHold> held = heldOf(answerAll(keeper, 0_ms));
  keeper.onReportedHolds(held);
  keeper.setHoldings(shards(0, 0, 4));
  answerAll(keeper, 870_ms);
  BOOST_TEST((keeper.freeFrom(1, 870_ms) > 870_ms));
  // It is still at work on keys of the shard.
  keeper.onReportedHolds(held);
  answerAll(keeper, 970_ms);
  BOOST_TEST((keeper.freeFrom(1, 970_ms) > 970_ms));
  held[0].mKeys.mLast = 255;
  keeper.onReportedHolds(held);
  BOOST_TEST((keeper.freeFrom(1, 1070_ms) == 1070_ms));
  BOOST_TEST((keeper.freeFrom(0, 1070_ms) > 1070_ms));
}

BOOST_AUTO_TEST_CASE(a_refusal_right_after_an_answer_is_tried_again_soon)
{
  GrantKeeper keeper = keeperBy(KeyLayout(256));
  keeper.setHoldings(shards(0, 0, 1));
  keeper.onReportedHolds({});
  answerAll(keeper, 0_ms);
  keeper.onNotHeld(0, 6_ms);
  BOOST_TEST(!keeper.holds(0, 1, 7_ms));
  BOOST_TEST(keeper.holds(0, 1, 20_ms));
  keeper.onNotHeld(0, 500_ms);
  BOOST_TEST(!keeper.holds(0, 1, 600_ms));
}

BOOST_AUTO_TEST_CASE(keys_held_before_a_new_layout_stay_in_doubt)
{
  GrantKeeper keeper;
  keeper.setHoldTime(kHold);
  keeper.setByReport(true);
  keeper.assumeHeld(0_ms);
  keeper.setLayout(KeyLayout(128));
  BOOST_TEST((keeper.freeFrom(3, 10_ms) > kHold));
}

// Upstreams are lost and shards move one by one, until few upstreams hold
// everything at many epochs, with tokens: the worst that an answer can hold.
BOOST_AUTO_TEST_CASE(an_answer_stays_within_its_bound_and_keeps_what_is_held)
{
  for (const std::size_t members : { 1U, 2U, 4U, 13U, 33U, 100U }) {
    const KeyLayout layout = layoutForMembers(members);
    std::mt19937_64 random(members);
    GrantKeeper keeper = keeperBy(layout);
    std::map<Shard, Epoch> owned;
    std::vector<GrantOrder> rows;
    for (int round = 0; round < 200; ++round) {
      const Shard shard = random() % kShardCount;
      const Epoch epoch = ++owned[shard];
      if (random() % 2 == 0) {
        keeper.onHandover(
          shard,
          epoch - 1,
          std::vector<std::string>(layout.runsPerShard(), "7a21d94b36f85c0e"),
          Millis{ round * 100 });
      }
      std::vector<Holding> holdings;
      for (const auto& [each, at] : owned) {
        holdings.push_back({ each, at });
      }
      const std::vector<ReportedHold> held = heldOf(rows);
      keeper.onReportedHolds(held);
      keeper.setHoldings(holdings);
      std::size_t size = 0;
      rows = keeper.answerReport(
        [&size](const GrantOrder& aRow) {
          return platform::fitsReportAnswer(aRow, size);
        },
        Millis{ round * 100 });
      const std::string body = platform::writeReportAnswer({ rows, kHold });
      BOOST_REQUIRE(body.size() <= platform::kMaxReportAnswer);
    }
  }
}

BOOST_AUTO_TEST_CASE(each_member_of_a_small_or_large_cell_fits_one_answer)
{
  for (const std::size_t members : { 4U, 7U, 13U, 33U, 100U }) {
    const KeyLayout layout = layoutForMembers(members);
    GrantKeeper keeper = keeperBy(layout);
    std::vector<Holding> holdings;
    for (Shard shard = 0; shard < kShardCount; shard += members) {
      holdings.push_back({ shard, 1000 + shard });
    }
    keeper.setHoldings(holdings);
    keeper.onReportedHolds({});
    std::size_t size = 0;
    std::size_t leftOut = 0;
    keeper.answerReport(
      [&](const GrantOrder& aRow) {
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
  BOOST_TEST(brokenHistories(ReportFleet::Safeguard::All, 2000) == 0U);
  ReportFleet fleet(1, ReportFleet::Safeguard::All);
  fleet.play(120_s);
  BOOST_TEST(fleet.moves() > 5U);
}

BOOST_AUTO_TEST_CASE(each_safeguard_is_needed)
{
  using Safeguard = ReportFleet::Safeguard;
  for (const Safeguard safeguard : { Safeguard::NoRelease,
                                     Safeguard::NoAssumption,
                                     Safeguard::NoOrder,
                                     Safeguard::NoTakeoverWait }) {
    BOOST_TEST_CONTEXT("safeguard " << static_cast<int>(safeguard))
    {
      BOOST_TEST(brokenHistories(safeguard, 300) > 0U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
