#include "model/rate_limit_model.h"

#include <boost/test/unit_test.hpp>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr Millis kWarmUp = 2_s;

wire::TokenAskT
makeAsk(std::uint64_t aAsker, std::uint64_t aSequence, std::uint32_t aWanted)
{
  wire::TokenAskT ask;
  ask.asker = aAsker;
  ask.workspace = "guild";
  ask.sequence = aSequence;
  ask.wanted = aWanted;
  return ask;
}

/// Requests at a mean rate, all to one daemon that changes now and then.
RateLimitModel::Arrivals
movingDemand(double aPerSecond, Millis aMoveEvery, std::size_t aDaemons)
{
  return [=](std::size_t aDaemon, Millis aNow, std::mt19937_64& aRandom) {
    const auto turn = static_cast<std::size_t>(aNow.mCount / aMoveEvery.mCount);
    // The bucket starts empty and is given time to fill.
    if (aNow < kWarmUp || turn % aDaemons != aDaemon) {
      return 0;
    }
    std::poisson_distribution<int> count(aPerSecond / 1000.0);
    return count(aRandom);
  };
}

/// Several times the rate at times, in bursts, with all kinds of faults.
RateLimitModel::Options
faultyFleet(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const std::vector<double> rates{ 2, 20, 100, 400 };
  const std::vector<double> burstSeconds{ 0.1, 0.5, 1, 3 };
  RateLimitModel::Options options;
  options.mSeed = aSeed;
  options.mRate = rates[random() % rates.size()];
  options.mBurst =
    std::max(1.0, options.mRate * burstSeconds[random() % burstSeconds.size()]);
  options.mLossPercent = static_cast<int>(random() % 20);
  options.mDuplicatePercent = 20;
  options.mMaxDelay = Millis{ 1 + static_cast<std::int64_t>(random() % 80) };
  // Half of the seeds are for changes of the owner, half for freezes.
  const bool takeovers = aSeed % 2 == 0;
  options.mFreezePerMillion = takeovers ? 500 : 5000;
  options.mTakeoverEvery = Millis{ takeovers ? 700 : 0 };
  options.mMaxClockDrift = 0.02;
  return options;
}

/// Quiet for a while, then far beyond the rate at every daemon.
int
surges(std::size_t, Millis aNow, std::mt19937_64& aRandom)
{
  const bool surge = (aNow.mCount / 400) % 3 == 0;
  std::poisson_distribution<int> count(surge ? 2.0 : 0.01);
  return count(aRandom);
}

double
excessOf(const RateLimitModel::Options& aOptions)
{
  const RateLimitModel::Result result = RateLimitModel(aOptions, surges).run();
  return RateLimitModel::maxExcess(
    result.mSpends, aOptions.mRate, aOptions.mBurst);
}

constexpr std::uint64_t kSeeds = 80;
constexpr double kRounding = 1e-6;

}

BOOST_AUTO_TEST_SUITE(rate)

BOOST_AUTO_TEST_CASE(fleet_never_passes_rate_and_burst)
{
  std::size_t spent = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RateLimitModel::Options options = faultyFleet(seed);
    const RateLimitModel::Result result = RateLimitModel(options, surges).run();
    spent += result.mSpends.size();
    BOOST_TEST(RateLimitModel::maxExcess(
                 result.mSpends, options.mRate, options.mBurst) <= kRounding,
               "seed " << seed);
  }
  BOOST_TEST(spent > 100 * kSeeds);
}

BOOST_AUTO_TEST_CASE(new_owner_with_a_full_bucket_breaks_the_limit)
{
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RateLimitModel::Options options = faultyFleet(seed);
    options.mFullAtTakeover = true;
    broken += excessOf(options) > kRounding ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("seeds broken: " << broken << " of " << kSeeds);
  BOOST_TEST(broken > 0);
}

/// A daemon is frozen between its ask and the grant; another one uses the
/// whole bucket just before it goes on. Returns what is spent beyond the limit.
double
excessAfterFreeze(bool aExpireFromReceipt)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  const Millis sentAt = 10_s;
  const Millis resumedAt = sentAt + 1500_ms;
  TokenCache frozen(1);
  for (int i = 0; i < 60; ++i) {
    frozen.take("guild", sentAt);
  }
  const wire::TokenGrantT late =
    bucket.grant(frozen.asks(sentAt).at(0), sentAt);
  std::vector<Millis> spends(bucket.grant(makeAsk(2, 1, 100), resumedAt).tokens,
                             resumedAt);
  frozen.onGrant(late, aExpireFromReceipt ? resumedAt : sentAt, resumedAt);
  while (frozen.takeHeld("guild", resumedAt) == TakeResult::Taken) {
    spends.push_back(resumedAt);
  }
  return RateLimitModel::maxExcess(spends, 100, 100);
}

BOOST_AUTO_TEST_CASE(expiry_from_receipt_breaks_the_limit)
{
  BOOST_TEST(excessAfterFreeze(true) > kRounding);
  BOOST_TEST(excessAfterFreeze(false) <= kRounding);
}

BOOST_AUTO_TEST_CASE(small_workspace_is_not_refused_inside_its_rate)
{
  RateLimitModel::Options options;
  options.mRate = 2;
  options.mBurst = 4;
  options.mDaemons = 11;
  options.mDuration = 60_s;
  const auto steady = [](std::size_t aDaemon, Millis aNow, std::mt19937_64&) {
    const std::int64_t n = aNow.mCount / 600;
    const bool due = aNow.mCount % 600 == 599;
    return due && static_cast<std::size_t>(n * 7 % 11) == aDaemon ? 1 : 0;
  };
  const RateLimitModel::Result result = RateLimitModel(options, steady).run();
  BOOST_TEST(result.mOffered == 100U);
  BOOST_TEST(result.mRefused == 0U);
}

BOOST_AUTO_TEST_CASE(demand_that_moves_between_daemons_is_served)
{
  RateLimitModel::Options options;
  options.mDaemons = 11;
  options.mRate = 200;
  options.mBurst = 200;
  options.mDuration = 30_s;
  const RateLimitModel::Result result =
    RateLimitModel(options, movingDemand(160, 1_s, 11)).run();
  BOOST_TEST_MESSAGE("refused " << result.mRefused << " of " << result.mOffered
                                << ", messages " << result.mMessages);
  BOOST_TEST(result.mRefused * 1000 <= result.mOffered);
}

BOOST_AUTO_TEST_CASE(overload_uses_the_whole_rate)
{
  RateLimitModel::Options options;
  options.mDaemons = 11;
  options.mRate = 200;
  options.mBurst = 200;
  options.mDuration = 30_s;
  const auto tenfold = [](std::size_t, Millis, std::mt19937_64& aRandom) {
    std::poisson_distribution<int> count(2.0 / 11);
    return count(aRandom);
  };
  const RateLimitModel::Result result = RateLimitModel(options, tenfold).run();
  BOOST_TEST_MESSAGE("spent " << result.mSpends.size() << " of "
                              << result.mOffered << ", messages "
                              << result.mMessages);
  BOOST_TEST(result.mSpends.size() >= 200U * 30 * 9 / 10);
}

BOOST_AUTO_TEST_CASE(repeated_ask_gets_the_same_grant_once)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  const Millis now = 10_s;
  const wire::TokenGrantT first = bucket.grant(makeAsk(1, 5, 10), now);
  BOOST_TEST(first.tokens == 10U);
  const std::uint32_t left = bucket.available(now);
  const wire::TokenGrantT copy = bucket.grant(makeAsk(1, 5, 10), now);
  BOOST_TEST(copy.tokens == 10U);
  BOOST_TEST(bucket.available(now) == left);
  BOOST_TEST(bucket.grant(makeAsk(1, 4, 10), now).tokens == 0U);

  TokenCache wallet(1);
  wallet.take("guild", now);
  const wire::TokenAskT ask = wallet.asks(now).at(0);
  const wire::TokenGrantT grant = bucket.grant(ask, now);
  wallet.onGrant(grant, now, now);
  wallet.onGrant(grant, now, now);
  BOOST_TEST(wallet.availableTokens("guild", now) == grant.tokens);
}

BOOST_AUTO_TEST_CASE(new_owner_starts_empty_and_fills_at_the_rate)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  BOOST_TEST(bucket.available(0_ms) == 0U);
  BOOST_TEST(bucket.available(100_ms) == 10U);
  // The last quarter, while batches of an owner before may live.
  BOOST_TEST(bucket.available(1000_ms) == 25U);
  // Then up to the three quarters that may be out at once.
  BOOST_TEST(bucket.available(10_s) == 75U);
}

BOOST_AUTO_TEST_CASE(lower_rate_and_burst_hold_from_then_on)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  BOOST_TEST(bucket.grant(makeAsk(1, 1, 40), 10_s).tokens == 40U);
  bucket.configure(10, 20, 10_s);
  // 40 unexpired tokens already pass the new burst.
  BOOST_TEST(bucket.available(10_s) == 0U);
  BOOST_TEST(bucket.available(20_s) == 15U);
}

BOOST_AUTO_TEST_CASE(scarce_tokens_are_shared_by_what_is_asked_for)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  const Millis now = 10_s;
  BOOST_TEST(bucket.grant(makeAsk(1, 1, 60), now).tokens == 60U);
  BOOST_TEST(bucket.grant(makeAsk(2, 1, 60), now).tokens <= 15U);
  BOOST_TEST(bucket.grant(makeAsk(3, 1, 1), now).tokens == 1U);
}

BOOST_AUTO_TEST_CASE(beyond_the_rate_few_wait_and_the_rest_is_refused)
{
  TokenCache wallet(1);
  const Millis now = 10_s;
  BOOST_TEST((wallet.take("guild", now) == TakeResult::WaitForGrant));
  wire::TokenGrantT none;
  none.workspace = "guild";
  none.sequence = wallet.asks(now).at(0).sequence;
  none.next_ask_ms = 300;
  wallet.onGrant(none, now, now + 2_ms);
  // A bucket that is new says nothing of the rate yet: 16 may wait in all.
  for (int waiting = 1; waiting < 16; ++waiting) {
    BOOST_TEST((wallet.take("guild", now + 3_ms) == TakeResult::WaitForGrant));
  }
  BOOST_TEST((wallet.take("guild", now + 3_ms) == TakeResult::Refused));
  BOOST_TEST((wallet.retryAfter("guild", now + 3_ms) == 299_ms));
  BOOST_TEST(wallet.asks(now + 200_ms).empty());
  BOOST_TEST(wallet.asks(now + 302_ms).size() == 1U);
}

// All daemons start at once, and for a second no bucket has an owner.
BOOST_AUTO_TEST_CASE(an_ask_without_a_grant_says_nothing_of_the_rate)
{
  TokenCache wallet(7);
  BOOST_TEST((wallet.take("guild", 0_ms) == TakeResult::WaitForGrant));
  BOOST_TEST(wallet.asks(0_ms).size() == 1U);
  BOOST_TEST(wallet.state("guild", 10_ms).mUnanswered);
  const std::vector<wire::TokenAskT> asks = wallet.asks(50_ms);
  BOOST_REQUIRE(asks.size() == 1U);
  BOOST_TEST((wallet.retryAfter("guild", 50_ms) == 250_ms));
  wire::TokenGrantT grant;
  grant.workspace = "guild";
  grant.sequence = asks[0].sequence;
  grant.next_ask_ms = 30;
  wallet.onGrant(grant, 50_ms, 52_ms);
  // The owner granted none: now the workspace is above its rate. Who came back
  // at once would be refused again.
  BOOST_TEST(!wallet.state("guild", 52_ms).mUnanswered);
  BOOST_TEST((wallet.retryAfter("guild", 52_ms) == 100_ms));
}

BOOST_AUTO_TEST_SUITE_END()
