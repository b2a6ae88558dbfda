#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_OPTIONS_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_OPTIONS_H

#include "radishroad/base/millis.h"

#include <string>

namespace radishroad::tools {

/// How the load endpoint answers.
enum class LoadReport
{
  True,
  /// Values are at least two seconds old.
  Lag,
  /// Always idle.
  Lie,
};

/// What the upstream stand-in is told on its command line.
struct UpstreamOptions
{
  std::string mAddress;
  std::string mVm;
  std::string mJournal;
  /// Requests that run at once when warm.
  int mSlots = 10;
  /// Requests that wait for a slot; one more is shed.
  int mQueue = 100;
  Millis mServiceTime{ 2 };
  /// Time that a new connection costs; connections are opened one by one.
  Millis mConnectTime{ 0 };
  Millis mProbeTime{ 0 };
  /// Time after a start for which it is cold; then it has mColdSlots slots and
  /// falls over if more than twice as many requests are in it.
  Millis mColdTime{ 0 };
  int mColdSlots = 2;
  /// Falls over by exiting; else by answering 503 for a while.
  bool mExitWhenOverloaded = false;
  bool mChecksFence = false;
  LoadReport mLoadReport = LoadReport::True;
};

}

#endif
