#include "radishroad/policy/stop_schedule.h"

namespace radishroad {

namespace {

/// Parts of the stop time, in 24ths. Work that is sent to an upstream ends
/// before the last sixth, which the platform leaves for the end of the process.
constexpr std::int64_t kParts = 24;
constexpr std::int64_t kHandoffParts = 14;
constexpr std::int64_t kWorkParts = 20;
constexpr std::int64_t kAnswerParts = 21;

}

StopSchedule
StopSchedule::make(Millis aRequestedAt, Millis aStopTime)
{
  const auto after = [&](std::int64_t aParts) {
    return aRequestedAt + aStopTime * aParts / kParts;
  };
  return { after(kHandoffParts), after(kWorkParts), after(kAnswerParts) };
}

}
