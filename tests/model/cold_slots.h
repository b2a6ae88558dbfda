#ifndef RADISHROAD_TESTS_COLD_SLOTS_H
#define RADISHROAD_TESTS_COLD_SLOTS_H

#include "radishroad/policy/window.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace radishroad {

/// A model of a cold upstream with few slots and a constant service time, in
/// steps of a millisecond. Requests arrive at random, in bursts now and then,
/// and one beyond the slots waits in the upstream.
class ColdSlots
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    std::size_t mSlots = 2;
    Millis mServiceTime{ 10 };
    double mPerSecond = 67;
    Millis mDuration{ 4000 };
  };

  /// The most requests that the upstream held at once.
  static std::size_t mostInside(const Options& aOptions,
                                ConcurrencyWindow aWindow)
  {
    std::mt19937_64 random(aOptions.mSeed);
    std::poisson_distribution<int> arrivals(aOptions.mPerSecond / 1000.0);
    std::deque<Job> inside;
    std::size_t most = 0;
    int queued = 0;
    aWindow.onCold(Millis{ 0 });
    for (Millis now; now < aOptions.mDuration; now += Millis{ 1 }) {
      queued += arrivals(random);
      finish(inside, aOptions, aWindow, now);
      for (; queued > 0 && inside.size() < aWindow.limit(); --queued) {
        const auto rank = static_cast<std::uint32_t>(inside.size()) + 1;
        inside.push_back({ now, rank, Millis{ 0 } });
      }
      most = std::max(most, inside.size());
    }
    return most;
  }

private:
  struct Job
  {
    Millis mSent;
    std::uint32_t mRank = 0;
    Millis mRan;
  };

  /// Runs the oldest ones for a step; answers those that are done.
  static void finish(std::deque<Job>& aInside,
                     const Options& aOptions,
                     ConcurrencyWindow& aWindow,
                     Millis aNow)
  {
    const std::size_t running = std::min(aInside.size(), aOptions.mSlots);
    for (std::size_t i = 0; i < running; ++i) {
      aInside[i].mRan += Millis{ 1 };
    }
    std::erase_if(aInside, [&](const Job& aJob) {
      const bool done = aJob.mRan >= aOptions.mServiceTime;
      if (done) {
        aWindow.onAnswer(aNow - aJob.mSent, aJob.mRank, aNow);
      }
      return done;
    });
  }
};

}

#endif
