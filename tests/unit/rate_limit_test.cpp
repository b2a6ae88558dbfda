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

/// Requests at a mean rate, all to one daemon, which changes every aMoveEvery.
RateLimitModel::Arrivals
movingDemand(double aPerSecond, Millis aMoveEvery, std::size_t aDaemons)
{
  return [=](std::size_t aDaemon, Millis aNow, std::mt19937_64& aRandom) {
    const auto turn = static_cast<std::size_t>(aNow.mCount / aMoveEvery.mCount);
    // The bucket starts empty and needs time to fill.
    if (aNow < kWarmUp || turn % aDaemons != aDaemon) {
      return 0;
    }
    std::poisson_distribution<int> count(aPerSecond / 1000.0);
    return count(aRandom);
  };
}

/// Options with all kinds of faults.
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
  // Even seeds test changes of the owner, odd seeds test freezes.
  const bool takeovers = aSeed % 2 == 0;
  options.mFreezePerMillion = takeovers ? 500 : 5000;
  options.mTakeoverEvery = Millis{ takeovers ? 700 : 0 };
  options.mMaxClockDrift = 0.02;
  return options;
}

/// Demand that is low at first and then far above the rate at every daemon.
int
surgingDemand(std::size_t, Millis aNow, std::mt19937_64& aRandom)
{
  const bool surge = (aNow.mCount / 400) % 3 == 0;
  std::poisson_distribution<int> count(surge ? 2.0 : 0.01);
  return count(aRandom);
}

double
maxExcessOf(const RateLimitModel::Options& aOptions)
{
  const RateLimitModel::Result result =
    RateLimitModel(aOptions, surgingDemand).run();
  return RateLimitModel::maxExcess(
    result.mSpends, aOptions.mRate, aOptions.mBurst);
}

constexpr std::uint64_t kSeeds = 80;
constexpr double kRounding = 1e-6;

}

BOOST_AUTO_TEST_SUITE(rate_limit)

BOOST_AUTO_TEST_CASE(fleet_never_exceeds_rate_and_burst)
{
  std::size_t spent = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RateLimitModel::Options options = faultyFleet(seed);
    const RateLimitModel::Result result =
      RateLimitModel(options, surgingDemand).run();
    spent += result.mSpends.size();
    BOOST_TEST(RateLimitModel::maxExcess(
                 result.mSpends, options.mRate, options.mBurst) <= kRounding,
               "seed " << seed);
  }
  BOOST_TEST(spent > 100 * kSeeds);
}

BOOST_AUTO_TEST_CASE(new_owner_with_a_full_bucket_breaks_the_limit)
{
  int exceeded = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RateLimitModel::Options options = faultyFleet(seed);
    options.mFullAtTakeover = true;
    exceeded += maxExcessOf(options) > kRounding ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("seeds broken: " << exceeded << " of " << kSeeds);
  BOOST_TEST(exceeded > 0);
}

/// A daemon freezes between its ask and the grant, and another daemon uses the
/// whole bucket just before it resumes. Returns the tokens spent beyond the
/// limit.
double
maxExcessAfterFreeze(bool aExpireFromReceipt)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  const Millis sentAt = 10_s;
  const Millis resumedAt = sentAt + 1500_ms;
  TokenCache frozen(1);
  for (int i = 0; i < 60; ++i) {
    frozen.take("guild", sentAt);
  }
  const wire::TokenGrantT lateGrant =
    bucket.grant(frozen.asks(sentAt).at(0), sentAt);
  std::vector<Millis> spends(bucket.grant(makeAsk(2, 1, 100), resumedAt).tokens,
                             resumedAt);
  frozen.onGrant(lateGrant, aExpireFromReceipt ? resumedAt : sentAt, resumedAt);
  while (frozen.takeForWaiting("guild", resumedAt) == TakeResult::Taken) {
    spends.push_back(resumedAt);
  }
  return RateLimitModel::maxExcess(spends, 100, 100);
}

BOOST_AUTO_TEST_CASE(expiry_from_receipt_breaks_the_limit)
{
  BOOST_TEST(maxExcessAfterFreeze(true) > kRounding);
  BOOST_TEST(maxExcessAfterFreeze(false) <= kRounding);
}

BOOST_AUTO_TEST_CASE(small_workspace_is_not_refused_within_its_rate)
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
  const auto tenfoldLoad = [](std::size_t, Millis, std::mt19937_64& aRandom) {
    std::poisson_distribution<int> count(2.0 / 11);
    return count(aRandom);
  };
  const RateLimitModel::Result result =
    RateLimitModel(options, tenfoldLoad).run();
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

  TokenCache cache(1);
  cache.take("guild", now);
  const wire::TokenAskT ask = cache.asks(now).at(0);
  const wire::TokenGrantT grant = bucket.grant(ask, now);
  cache.onGrant(grant, now, now);
  cache.onGrant(grant, now, now);
  BOOST_TEST(cache.availableTokens("guild", now) == grant.tokens);
}

BOOST_AUTO_TEST_CASE(new_owner_starts_empty_and_fills_at_the_rate)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  BOOST_TEST(bucket.available(0_ms) == 0U);
  BOOST_TEST(bucket.available(100_ms) == 10U);
  // The last quarter, while batches of the previous owner may be valid.
  BOOST_TEST(bucket.available(1000_ms) == 25U);
  // Then up to the three quarters that may be outstanding at once.
  BOOST_TEST(bucket.available(10_s) == 75U);
}

BOOST_AUTO_TEST_CASE(lowered_rate_and_burst_apply_at_once)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  BOOST_TEST(bucket.grant(makeAsk(1, 1, 40), 10_s).tokens == 40U);
  bucket.configure(10, 20, 10_s);
  // 40 unexpired tokens already exceed the new burst.
  BOOST_TEST(bucket.available(10_s) == 0U);
  BOOST_TEST(bucket.available(20_s) == 15U);
}

BOOST_AUTO_TEST_CASE(scarce_tokens_are_shared_by_demand)
{
  WorkspaceBucket bucket(100, 100, 0_ms);
  const Millis now = 10_s;
  BOOST_TEST(bucket.grant(makeAsk(1, 1, 60), now).tokens == 60U);
  BOOST_TEST(bucket.grant(makeAsk(2, 1, 60), now).tokens <= 15U);
  BOOST_TEST(bucket.grant(makeAsk(3, 1, 1), now).tokens == 1U);
}

BOOST_AUTO_TEST_CASE(above_the_rate_few_wait_and_the_rest_is_refused)
{
  TokenCache cache(1);
  const Millis now = 10_s;
  BOOST_TEST((cache.take("guild", now) == TakeResult::WaitForGrant));
  wire::TokenGrantT none;
  none.workspace = "guild";
  none.sequence = cache.asks(now).at(0).sequence;
  none.next_ask_ms = 300;
  cache.onGrant(none, now, now + 2_ms);
  // An empty new bucket does not mean that the workspace exceeds its rate, so
  // 16 requests may wait in total.
  for (int waiting = 1; waiting < 16; ++waiting) {
    BOOST_TEST((cache.take("guild", now + 3_ms) == TakeResult::WaitForGrant));
  }
  BOOST_TEST((cache.take("guild", now + 3_ms) == TakeResult::Refused));
  BOOST_TEST((cache.retryAfter("guild", now + 3_ms) == 299_ms));
  BOOST_TEST(cache.asks(now + 200_ms).empty());
  BOOST_TEST(cache.asks(now + 302_ms).size() == 1U);
}

// Guards against treating an unanswered ask as a refusal: when all daemons
// start at once, no bucket has an owner for a second.
BOOST_AUTO_TEST_CASE(unanswered_ask_does_not_mean_rate_exceeded)
{
  TokenCache cache(7);
  BOOST_TEST((cache.take("guild", 0_ms) == TakeResult::WaitForGrant));
  BOOST_TEST(cache.asks(0_ms).size() == 1U);
  BOOST_TEST(cache.state("guild", 10_ms).mLastAskUnanswered);
  const std::vector<wire::TokenAskT> asks = cache.asks(50_ms);
  BOOST_REQUIRE(asks.size() == 1U);
  BOOST_TEST((cache.retryAfter("guild", 50_ms) == 250_ms));
  wire::TokenGrantT grant;
  grant.workspace = "guild";
  grant.sequence = asks[0].sequence;
  grant.next_ask_ms = 30;
  cache.onGrant(grant, 50_ms, 52_ms);
  // The owner granted no tokens, so the workspace exceeds its rate. A caller
  // that retried at once would be refused again.
  BOOST_TEST(!cache.state("guild", 52_ms).mLastAskUnanswered);
  BOOST_TEST((cache.retryAfter("guild", 52_ms) == 100_ms));
}

BOOST_AUTO_TEST_SUITE_END()
