#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_OPTIONS_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_OPTIONS_H

#include "radishroad/base/millis.h"

#include <string>

namespace radishroad::tools {

/// What the load endpoint reports.
enum class LoadReportMode
{
  Accurate,
  /// Values that are at least two seconds old.
  Delayed,
  /// No load, whatever the actual load is.
  AlwaysIdle,
};

/// Command-line options of the simulated upstream.
struct UpstreamOptions
{
  std::string mAddress;
  std::string mVm;
  std::string mJournal;
  /// Number of requests that run in parallel when warm.
  int mSlots = 10;
  /// Maximum number of requests that wait for a slot; further ones are shed.
  int mQueue = 100;
  Millis mServiceTime{ 2 };
  /// Time to establish a connection; connections are established sequentially.
  Millis mConnectTime{ 0 };
  Millis mProbeTime{ 0 };
  /// Time after the start during which the upstream is cold: it has only
  /// mColdSlots slots, and is overloaded by a further request when twice as
  /// many are running or waiting.
  Millis mColdTime{ 0 };
  int mColdSlots = 2;
  /// Overload when cold ends the process; otherwise the upstream answers 503
  /// for one second.
  bool mExitWhenOverloaded = false;
  bool mChecksFence = false;
  LoadReportMode mLoadReport = LoadReportMode::Accurate;
};

}

#endif
