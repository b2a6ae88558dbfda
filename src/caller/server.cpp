#include "radishroad/caller/server.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/listen_socket.h"
#include <arpa/inet.h>

#include "radishroad/caller/server_context.h"
#include "radishroad/caller/transport.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <pistache/listener.h>

namespace radishroad {

namespace {

constexpr int kBacklog = 1024;
/// How long a drain waits at its end for idle connections to close.
constexpr Millis kIdleCloseTimeout{ 500 };
/// How long the answers to cancelled requests are waited for. Connections learn
/// of a phase at their next tick.
constexpr Millis kCancelTimeout{ 400 };

}

struct CallerServer::Impl
{
  Impl(Options aOptions, CallerRequestFn aHandler, Metrics& aMetrics)
    : mContext(std::make_shared<ServerContext>(std::move(aOptions),
                                               std::move(aHandler),
                                               aMetrics))
  {
  }

  std::shared_ptr<ServerContext> mContext;
  std::unique_ptr<Pistache::Tcp::Listener> mListener;
};

CallerServer::CallerServer(Options aOptions,
                           CallerRequestFn aHandler,
                           Metrics& aMetrics)
  : mImpl(std::make_unique<Impl>(std::move(aOptions),
                                 std::move(aHandler),
                                 aMetrics))
{
}

CallerServer::~CallerServer()
{
  stop();
}

Result<void>
CallerServer::start()
{
  const std::shared_ptr<ServerContext> context = mImpl->mContext;
  const Options& options = context->mOptions;
  const auto makeTransport = [context] {
    return std::make_shared<CallerTransport>(context);
  };
  try {
    const Pistache::Address address(options.mListenAddress);
    mImpl->mListener = std::make_unique<Pistache::Tcp::Listener>(address);
    mImpl->mListener->init(options.mThreads,
                           Pistache::Flags<Pistache::Tcp::Options>(
                             Pistache::Tcp::Options::NoDelay |
                             Pistache::Tcp::Options::ReuseAddr |
                             Pistache::Tcp::Options::CloseOnExec),
                           "caller",
                           kBacklog);
    mImpl->mListener->setTransportFactory(makeTransport);
    mImpl->mListener->bind();
    mImpl->mListener->runThreaded();
  } catch (const std::exception& error) {
    mImpl->mListener.reset();
    return fail(ErrorCode::Unavailable,
                "cannot listen on " + options.mListenAddress + ": " +
                  error.what());
  }
  return {};
}

std::uint16_t
CallerServer::port() const
{
  return mImpl->mListener
           ? static_cast<std::uint16_t>(mImpl->mListener->getPort())
           : 0;
}

void
CallerServer::waitCurrentServed(Millis aTimeout)
{
  mImpl->mContext->waitCurrentServed(std::max(aTimeout, Millis{ 0 }));
}

void
CallerServer::beginDrain()
{
  ServerContext& context = *mImpl->mContext;
  if (context.phase() != ServerContext::Phase::Serving) {
    return;
  }
  context.setPhase(ServerContext::Phase::Draining);
  const Pistache::Address address(context.mOptions.mListenAddress);
  in_addr ip{};
  if (inet_pton(AF_INET, address.host().c_str(), &ip) == 1) {
    stopListening(ip.s_addr, htons(port()));
  }
}

bool
CallerServer::isIdle()
{
  return mImpl->mContext->waitIdle(Millis{});
}

void
CallerServer::drain(Millis aTimeout)
{
  ServerContext& context = *mImpl->mContext;
  const Millis end = monotonicNow() + aTimeout;
  const Millis grace =
    std::min(context.mOptions.mDrainGracePeriod, aTimeout / 2);
  beginDrain();
  context.waitClosed(grace);
  context.setPhase(ServerContext::Phase::Closing);
  context.waitIdle(std::max(end - monotonicNow(), Millis{ 0 }));
  // Lets idle connections close in an orderly way before the process exits.
  const Millis left = std::max(end - monotonicNow(), Millis{ 0 });
  context.waitClosed(std::min(left, kIdleCloseTimeout));
}

void
CallerServer::finish(Millis aTimeout)
{
  ServerContext& context = *mImpl->mContext;
  if (context.waitIdle(std::max(aTimeout, Millis{ 0 }))) {
    return;
  }
  context.setPhase(ServerContext::Phase::Cancelling);
  if (!context.waitIdle(kCancelTimeout)) {
    logEvent(LogLevel::Warn,
             "caller_requests_unanswered",
             { { "listen_address", context.mOptions.mListenAddress } });
  }
}

void
CallerServer::stop()
{
  mImpl->mListener.reset();
}

}
