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
  ++mOpenConnections;
  mMetrics.gauge("radishroad_caller_connections",
                 static_cast<double>(mOpenConnections));
}

void
ServerContext::connectionClosed()
{
  std::lock_guard<std::mutex> lock(mMutex);
  --mOpenConnections;
  mMetrics.gauge("radishroad_caller_connections",
                 static_cast<double>(mOpenConnections));
  mCountsChanged.notify_all();
}

std::uint64_t
ServerContext::connectionBusy()
{
  std::lock_guard<std::mutex> lock(mMutex);
  ++mBusyConnections;
  return mGeneration;
}

void
ServerContext::connectionIdle(std::uint64_t aGeneration)
{
  std::lock_guard<std::mutex> lock(mMutex);
  --mBusyConnections;
  mBusyFromEarlier -= aGeneration < mGeneration ? 1 : 0;
  mCountsChanged.notify_all();
}

bool
ServerContext::waitCurrentServed(Millis aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  ++mGeneration;
  mBusyFromEarlier = mBusyConnections;
  return mCountsChanged.wait_for(lock,
                                 std::chrono::milliseconds(aTimeout.mCount),
                                 [this] { return mBusyFromEarlier == 0; });
}

bool
ServerContext::waitIdle(Millis aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  return mCountsChanged.wait_for(lock,
                                 std::chrono::milliseconds(aTimeout.mCount),
                                 [this] { return mBusyConnections == 0; });
}

bool
ServerContext::waitClosed(Millis aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  return mCountsChanged.wait_for(lock,
                                 std::chrono::milliseconds(aTimeout.mCount),
                                 [this] { return mOpenConnections == 0; });
}

}
