#ifndef RADISHROAD_POLICY_RUN_TIME_ESTIMATOR_H
#define RADISHROAD_POLICY_RUN_TIME_ESTIMATOR_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace radishroad {

/// Estimates the run times at one upstream by kind of request.
///
/// Load pattern: lookups of 20 ms with an objective of 100 ms run beside reads
/// of 200 ms. With a common mean, a lookup that waits at all would count as
/// late before it starts. The current slowness of the upstream's machine is
/// divided out, so that estimates from a slow moment do not persist. Does no
/// I/O and reads no clock.
class RunTimeEstimator
{
public:
  /// Adds the time of a run. aSlowness: slowness of the upstream's machine
  /// during the run; 1 is normal.
  void addRun(std::uint32_t aKind, Millis aTook, double aSlowness);
  /// Typical run time of the kind, in ms; the typical time of all runs if the
  /// kind is unknown, 0 without any run.
  double typicalMs(std::uint32_t aKind) const;
  /// Typical run time over all kinds, in ms.
  double typicalMs() const { return mTypicalMs; }
  /// Mean of the measured run times, slow moments included, in ms.
  double meanMs() const { return mMeanMs; }

private:
  std::map<std::uint32_t, double> mTypicalMsByKind;
  double mTypicalMs = 0;
  double mMeanMs = 0;
};

}

#endif
