#ifndef RADISHROAD_POLICY_STOP_SCHEDULE_H
#define RADISHROAD_POLICY_STOP_SCHEDULE_H

#include "radishroad/base/millis.h"

namespace radishroad {

/// The times of a planned stop. All are counted from the request to stop, so
/// that slow hand-offs leave no less time to running requests, and the process
/// is gone before it would be killed. Monotonic times.
struct StopSchedule
{
  /// aRequestedAt: when the stop was requested. aStopTime: time after which the
  /// process is killed.
  static StopSchedule make(Millis aRequestedAt, Millis aStopTime);

  /// Until then new connections are taken while hand-offs go on.
  Millis mHandoffsUntil;
  /// Upstreams may be at work until then.
  Millis mWorkUntil;
  /// Requests without an answer at this time get one whose outcome is unknown.
  Millis mAnswersUntil;
};

}

#endif
