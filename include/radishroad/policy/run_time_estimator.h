#ifndef RADISHROAD_POLICY_RUN_TIME_ESTIMATOR_H
#define RADISHROAD_POLICY_RUN_TIME_ESTIMATOR_H

#include "radishroad/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace radishroad {

/// How long runs take at one upstream, by kind of request.
///
/// Load pattern: lookups of 20 ms with an objective of 100 ms run beside reads
/// of 200 ms. By one mean of both, a lookup that waits at all counts as late
/// before it starts. The momentary slowness of the upstream's machine is taken
/// out, so that what was learned in a slow moment does not outlive it. Pure.
class RunTimeEstimator
{
public:
  /// aSlowness: of the upstream's machine during the run, 1 as usual.
  void addRun(std::uint32_t aKind, Millis aTook, double aSlowness);
  /// Usual time of a run of the kind, ms; of all runs if the kind is not known,
  /// 0 if nothing is.
  double typicalMs(std::uint32_t aKind) const;
  /// Usual time of a run over all kinds, ms.
  double typicalMs() const { return mTypicalMs; }
  /// Mean time that runs took, slow moments included, ms.
  double meanMs() const { return mMeanMs; }

private:
  std::map<std::uint32_t, double> mTypicalMsByKind;
  double mTypicalMs = 0;
  double mMeanMs = 0;
};

}

#endif
