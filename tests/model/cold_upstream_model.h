#ifndef RADISHROAD_TESTS_COLD_SLOTS_H
#define RADISHROAD_TESTS_COLD_SLOTS_H

#include "radishroad/policy/concurrency_window.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace radishroad {

/// Model of a cold upstream with few slots and a constant service time, in
/// steps of a millisecond. Requests arrive at random and sometimes in bursts;
/// requests beyond the slots wait in the upstream.
class ColdUpstreamModel
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

  /// Returns the maximum number of requests at the upstream at once.
  static std::size_t maxInFlight(const Options& aOptions,
                                 ConcurrencyWindow aWindow)
  {
    std::mt19937_64 random(aOptions.mSeed);
    std::poisson_distribution<int> arrivals(aOptions.mPerSecond / 1000.0);
    std::deque<Job> inFlight;
    std::size_t maxInside = 0;
    int queued = 0;
    aWindow.onCold(Millis{ 0 });
    for (Millis now; now < aOptions.mDuration; now += Millis{ 1 }) {
      queued += arrivals(random);
      finish(inFlight, aOptions, aWindow, now);
      for (; queued > 0 && inFlight.size() < aWindow.limit(); --queued) {
        const auto inFlightAtSend =
          static_cast<std::uint32_t>(inFlight.size()) + 1;
        inFlight.push_back({ now, inFlightAtSend, Millis{ 0 } });
      }
      maxInside = std::max(maxInside, inFlight.size());
    }
    return maxInside;
  }

private:
  struct Job
  {
    Millis mSent;
    std::uint32_t mInFlightAtSend = 0;
    Millis mRunTime;
  };

  /// Runs the oldest requests for one step and answers those that are done.
  static void finish(std::deque<Job>& aInFlight,
                     const Options& aOptions,
                     ConcurrencyWindow& aWindow,
                     Millis aNow)
  {
    const std::size_t running = std::min(aInFlight.size(), aOptions.mSlots);
    for (std::size_t i = 0; i < running; ++i) {
      aInFlight[i].mRunTime += Millis{ 1 };
    }
    std::erase_if(aInFlight, [&](const Job& aJob) {
      const bool done = aJob.mRunTime >= aOptions.mServiceTime;
      if (done) {
        aWindow.onAnswer(aNow - aJob.mSent, aJob.mInFlightAtSend, aNow);
      }
      return done;
    });
  }
};

}

#endif
