#include "radishroad/caller/server_context.h"

#include <chrono>

namespace radishroad {

ServerContext::ServerContext(CallerServer::Options aOptions,
                             CallerRequestFn aHandler,
                             Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mMetrics(aMetrics)
{
}

void
ServerContext::connectionOpened()
{
  std::lock_guard<std::mutex> lock(mMutex);
  ++mOpen;
  mMetrics.gauge("radishroad_caller_connections", static_cast<double>(mOpen));
}

void
ServerContext::connectionClosed()
{
  std::lock_guard<std::mutex> lock(mMutex);
  --mOpen;
  mMetrics.gauge("radishroad_caller_connections", static_cast<double>(mOpen));
  mChanged.notify_all();
}

void
ServerContext::connectionBusy()
{
  std::lock_guard<std::mutex> lock(mMutex);
  ++mBusy;
}

void
ServerContext::connectionIdle()
{
  std::lock_guard<std::mutex> lock(mMutex);
  --mBusy;
  mChanged.notify_all();
}

bool
ServerContext::waitIdle(Millis aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  return mChanged.wait_for(lock,
                           std::chrono::milliseconds(aTimeout.mCount),
                           [this] { return mBusy == 0; });
}

bool
ServerContext::waitClosed(Millis aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  return mChanged.wait_for(lock,
                           std::chrono::milliseconds(aTimeout.mCount),
                           [this] { return mOpen == 0; });
}

}
