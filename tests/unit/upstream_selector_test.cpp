#include "radishroad/policy/upstream_selector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::uint32_t kSlots = 9;

/// An upstream with slots and a queue. It computes the end of each request when
/// the request arrives.
class Server
{
public:
  explicit Server(double aSlowness)
    : mSlowness(aSlowness)
    , mSlotFreeAt(kSlots)
  {
  }

  Millis run(double aWorkMs, Millis aNow)
  {
    const auto slot = std::ranges::min_element(mSlotFreeAt);
    const Millis start = std::max(*slot, aNow);
    const double took = aWorkMs * mSlowness;
    *slot = start + Millis{ static_cast<std::int64_t>(took) + 1 };
    mRunMs += 0.1 * (took - mRunMs);
    mStarts.push_back(start);
    return *slot;
  }

  UpstreamStats stats(Millis aNow) const
  {
    UpstreamStats stats;
    stats.mSlots = kSlots;
    stats.mRunMs = mRunMs;
    stats.mRunning = static_cast<std::uint32_t>(std::ranges::count_if(
      mSlotFreeAt, [aNow](Millis aUntil) { return aUntil > aNow; }));
    return stats;
  }

  std::uint32_t queued(Millis aNow) const
  {
    return static_cast<std::uint32_t>(std::ranges::count_if(
      mStarts, [aNow](Millis aStart) { return aStart > aNow; }));
  }

  void setSlowness(double aSlowness) { mSlowness = aSlowness; }

private:
  double mSlowness;
  std::vector<Millis> mSlotFreeAt;
  std::vector<Millis> mStarts;
  double mRunMs = 30;
};

/// Returns the share of requests answered within 100 ms, over ten seconds at
/// 85% of what four upstreams of unequal speed can run; one of them is three
/// times slower for two seconds.
double
shareInTime(bool aUseSelector, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<Server> servers;
  for (const double slowness : { 0.7, 0.7, 1.0, 1.6 }) {
    servers.emplace_back(slowness);
  }
  std::vector<UpstreamSelector::Candidate> candidates;
  for (Incarnation n = 1; n <= servers.size(); ++n) {
    candidates.push_back({ n, n == 1 });
  }
  UpstreamSelector selector;
  std::multimap<Millis, Incarnation> answers;
  std::exponential_distribution<double> work(1 / 25.0);
  std::exponential_distribution<double> interarrival(1.05);
  int answeredInTime = 0;
  int total = 0;
  for (double at = 0; at < 10000; at += interarrival(random)) {
    const Millis now{ static_cast<std::int64_t>(at) + 1 };
    servers[1].setSlowness(at > 4000 && at < 6000 ? 2.1 : 0.7);
    while (!answers.empty() && answers.begin()->first <= now) {
      const Incarnation from = answers.begin()->second;
      selector.onEnded(from, false, now);
      const Server& server = servers[from - 1];
      selector.onStats(from, server.stats(now), server.queued(now), now);
      answers.erase(answers.begin());
    }
    const Incarnation to =
      aUseSelector ? *selector.choose(candidates, random(), now)
                   : 1 + static_cast<Incarnation>(total) % servers.size();
    selector.onSent(to);
    const Millis end = servers[to - 1].run(work(random), now);
    answers.emplace(end, to);
    answeredInTime += end - now <= 100_ms ? 1 : 0;
    ++total;
  }
  return static_cast<double>(answeredInTime) / total;
}

/// Result of a simulation of many daemons and upstreams.
struct FleetResult
{
  double mShareInTime = 0;
  /// Load of the busiest upstream, relative to its speed, divided by the mean.
  double mMaxRelativeLoad = 0;
};

/// Simulates 70 daemons with a seventieth of the load each, so that their
/// statistics of an upstream are mostly outdated, and 28 upstreams of unequal
/// speed at 75% of their capacity, for eight seconds. A request is in time if
/// it is answered within three mean run times.
FleetResult
simulateManyDaemons(bool aUseSelector, std::uint64_t aSeed)
{
  constexpr std::size_t kDaemons = 70;
  constexpr std::size_t kServers = 28;
  constexpr double kWorkMs = 80;
  std::mt19937_64 random(aSeed);
  std::vector<Server> servers;
  std::vector<double> speeds;
  double capacity = 0;
  for (std::size_t n = 0; n < kServers; ++n) {
    const double slowness = n % 3 == 2 ? 1.6 : 0.7;
    servers.emplace_back(slowness);
    speeds.push_back(1 / slowness);
    capacity += kSlots / (kWorkMs * slowness);
  }
  std::vector<UpstreamSelector> selectors(kDaemons);
  struct Ending
  {
    std::size_t mDaemon = 0;
    Incarnation mFrom = 0;
  };
  std::multimap<Millis, Ending> answers;
  std::vector<double> counts(kServers);
  std::exponential_distribution<double> work(1 / kWorkMs);
  std::exponential_distribution<double> interarrival(0.75 * capacity);
  int answeredInTime = 0;
  int total = 0;
  for (double at = 0; at < 8000; at += interarrival(random)) {
    const Millis now{ static_cast<std::int64_t>(at) + 1 };
    while (!answers.empty() && answers.begin()->first <= now) {
      const Ending end = answers.begin()->second;
      UpstreamSelector& selector = selectors[end.mDaemon];
      selector.onEnded(end.mFrom, false, now);
      const Server& server = servers[end.mFrom - 1];
      selector.onStats(end.mFrom, server.stats(now), server.queued(now), now);
      answers.erase(answers.begin());
    }
    const std::size_t daemon = random() % kDaemons;
    std::vector<UpstreamSelector::Candidate> candidates;
    for (Incarnation n = 1; n <= kServers; ++n) {
      candidates.push_back({ n, n % 3 == daemon % 3 });
    }
    const Incarnation to =
      aUseSelector ? *selectors[daemon].choose(candidates, random(), now)
                   : 1 + random() % kServers;
    selectors[daemon].onSent(to);
    const Millis end = servers[to - 1].run(work(random), now);
    answers.emplace(end, Ending{ daemon, to });
    answeredInTime += end - now <= 240_ms ? 1 : 0;
    counts[to - 1] += 1 / speeds[to - 1];
    ++total;
  }
  double sum = 0;
  for (const double count : counts) {
    sum += count;
  }
  return { static_cast<double>(answeredInTime) / total,
           *std::ranges::max_element(counts) * kServers / sum };
}

}

BOOST_AUTO_TEST_SUITE(upstream_selector)

// Guards against herding: daemons with outdated statistics that all select the
// upstream that looks best.
BOOST_AUTO_TEST_CASE(many_daemons_do_not_herd_to_the_fastest_upstream)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const FleetResult chosen = simulateManyDaemons(true, seed);
    const FleetResult random = simulateManyDaemons(false, seed);
    BOOST_TEST_MESSAGE("seed " << seed << ": in time " << chosen.mShareInTime
                               << " against " << random.mShareInTime
                               << ", busiest " << chosen.mMaxRelativeLoad
                               << " against " << random.mMaxRelativeLoad);
    BOOST_TEST(chosen.mShareInTime > random.mShareInTime + 0.1);
    BOOST_TEST(chosen.mMaxRelativeLoad < 1.6);
  }
}

BOOST_AUTO_TEST_CASE(unequal_upstreams_answer_sooner_than_round_robin)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const double chosen = shareInTime(true, seed);
    const double roundRobin = shareInTime(false, seed);
    BOOST_TEST(chosen > roundRobin + 0.1,
               "seed " << seed << ": " << chosen << " against " << roundRobin);
  }
}

BOOST_AUTO_TEST_CASE(own_zone_is_preferred_while_equally_fast)
{
  UpstreamSelector selector;
  const std::vector<UpstreamSelector::Candidate> candidates{ { 1, false },
                                                             { 2, true } };
  UpstreamStats stats;
  stats.mSlots = kSlots;
  stats.mRunMs = 30;
  selector.onStats(1, stats, 0, 1_ms);
  selector.onStats(2, stats, 0, 1_ms);
  BOOST_TEST(*selector.choose(candidates, 3, 2_ms) == 2U);
  selector.onStats(2, stats, 40, 2_ms);
  BOOST_TEST(*selector.choose(candidates, 3, 3_ms) == 1U);
}

BOOST_AUTO_TEST_CASE(failed_upstream_is_avoided_while_another_is_available)
{
  UpstreamSelector selector;
  const std::vector<UpstreamSelector::Candidate> both{ { 1, true },
                                                       { 2, false } };
  selector.onSent(1);
  selector.onEnded(1, true, 10_ms);
  BOOST_TEST(*selector.choose(both, 1, 20_ms) == 2U);
  BOOST_TEST(*selector.choose({ both.data(), 1 }, 1, 20_ms) == 1U);
  BOOST_TEST(*selector.choose(both, 1, 900_ms) == 1U);
}

BOOST_AUTO_TEST_CASE(no_candidates_give_no_choice)
{
  BOOST_TEST(!UpstreamSelector().choose({}, 1, 1_ms).has_value());
}

/// Guards against large requests to an upstream whose link is full.
BOOST_AUTO_TEST_CASE(only_large_requests_avoid_a_member_with_a_full_link)
{
  UpstreamSelector selector;
  const std::vector<UpstreamSelector::Candidate> candidates{ { 1, true },
                                                             { 2, true } };
  UpstreamStats stats;
  stats.mSlots = kSlots;
  stats.mRunMs = 150;
  selector.onStats(2, stats, 0, 1000_ms);
  stats.mLargeWait = 600_ms;
  stats.mRunMs = 100;
  selector.onStats(1, stats, 0, 1000_ms);
  BOOST_TEST(*selector.choose(candidates, 5, 1010_ms, 0, true) == 2U);
  BOOST_TEST(*selector.choose(candidates, 5, 1010_ms, false) == 1U);
  // An old report no longer counts.
  BOOST_TEST(*selector.choose(candidates, 5, 1500_ms, 0, true) == 1U);
}

/// Requests of kind 1 that each of two members gets out of 1000, one a
/// millisecond, after aPrepare.
std::map<Incarnation, int>
sharesAfter(const std::function<void(UpstreamSelector&)>& aPrepare,
            Millis aAt,
            std::uint32_t aKind = 1)
{
  UpstreamSelector selector;
  for (const Incarnation member : { 1, 2 }) {
    UpstreamStats stats;
    stats.mSlots = kSlots;
    stats.mSustainedSlots = kSlots;
    stats.mRunMs = 190;
    selector.onStats(member, stats, 0, 1_ms);
  }
  aPrepare(selector);
  const std::vector<UpstreamSelector::Candidate> both{ { 1, true },
                                                       { 2, true } };
  std::mt19937_64 random(3);
  std::map<Incarnation, int> shares;
  for (int n = 0; n < 1000; ++n) {
    ++shares[*selector.choose(both, random(), aAt, aKind)];
  }
  return shares;
}

BOOST_AUTO_TEST_CASE(sustained_slots_replace_reported_ones_while_fresh)
{
  // Six requests run at an upstream that sustains five of nine.
  const auto prepare = [](UpstreamSelector& aSelector) {
    UpstreamStats stats;
    stats.mSlots = kSlots;
    stats.mSustainedSlots = 5;
    stats.mRunMs = 190;
    stats.mRunning = 6;
    aSelector.onStats(1, stats, 0, 1000_ms);
    stats.mSustainedSlots = kSlots;
    aSelector.onStats(2, stats, 0, 1000_ms);
  };
  BOOST_TEST(sharesAfter(prepare, 1010_ms)[1] < 50);
  BOOST_TEST(sharesAfter(prepare, 8000_ms)[1] > 300);
}

BOOST_AUTO_TEST_CASE(time_of_the_kind_decides)
{
  const auto prepare = [](UpstreamSelector& aSelector) {
    aSelector.onKindTime(1, 1, 400, 1000_ms);
    aSelector.onKindTime(2, 1, 200, 1000_ms);
  };
  BOOST_TEST(sharesAfter(prepare, 1010_ms)[1] < 50);
  BOOST_TEST(sharesAfter(prepare, 1010_ms, 2)[1] > 300);
  BOOST_TEST(sharesAfter(prepare, 20000_ms)[1] > 300);
}

BOOST_AUTO_TEST_CASE(
  partly_failing_member_is_avoided_by_kind_until_failures_fade)
{
  const auto prepare = [](UpstreamSelector& aSelector) {
    for (int n = 0; n < 30; ++n) {
      aSelector.onRun(1, 1, n % 3 == 0, 1000_ms);
      aSelector.onRun(2, 1, false, 1000_ms);
    }
  };
  BOOST_TEST(sharesAfter(prepare, 1010_ms)[1] < 100);
  BOOST_TEST(sharesAfter(prepare, 1010_ms, 2)[1] > 300);
  BOOST_TEST(sharesAfter(prepare, 15000_ms)[1] > 300);
}

BOOST_AUTO_TEST_SUITE_END()
