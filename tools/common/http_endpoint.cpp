#include "common/http_endpoint.h"

#include <charconv>
#include <chrono>
#include <csignal>
#include <pistache/endpoint.h>

namespace radishroad::tools {

namespace {

constexpr std::size_t kMaxMessageBytes = 64U << 20;
constexpr int kThreads = 2;
constexpr int kBacklog = 1024;

class FunctionHandler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(FunctionHandler)

  explicit FunctionHandler(HttpEndpoint::RequestFn aOnRequest)
    : mOnRequest(std::move(aOnRequest))
  {
  }

  void onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    mOnRequest(aRequest, Reply(std::move(aWriter)));
  }

private:
  HttpEndpoint::RequestFn mOnRequest;
};

sigset_t
stopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}

HttpEndpoint::HttpEndpoint(const std::string& aAddress, RequestFn aOnRequest)
  : mEndpoint(
      std::make_unique<Pistache::Http::Endpoint>(Pistache::Address(aAddress)))
{
  using Pistache::Tcp::Options;
  constexpr std::chrono::seconds kIdleTimeout(600);
  mEndpoint->init(Pistache::Http::Endpoint::options()
                    .threads(kThreads)
                    .backlog(kBacklog)
                    .flags(Pistache::Flags<Options>(Options::ReuseAddr) |
                           Options::NoDelay | Options::CloseOnExec)
                    .maxRequestSize(kMaxMessageBytes)
                    .maxResponseSize(kMaxMessageBytes)
                    .headerTimeout(kIdleTimeout)
                    .bodyTimeout(kIdleTimeout)
                    .keepaliveTimeout(kIdleTimeout));
  mEndpoint->setHandler(
    std::make_shared<FunctionHandler>(std::move(aOnRequest)));
}

HttpEndpoint::~HttpEndpoint() = default;

void
HttpEndpoint::start()
{
  mEndpoint->serveThreaded();
}

void
HttpEndpoint::stop()
{
  mEndpoint->shutdown();
}

std::string
headerValue(const Pistache::Http::Request& aRequest, const std::string& aName)
{
  const std::optional<Pistache::Http::Header::Raw> raw =
    aRequest.headers().tryGetRaw(aName);
  return raw ? raw->value() : std::string();
}

std::int64_t
queryNumber(const Pistache::Http::Request& aRequest,
            const std::string& aName,
            std::int64_t aDefault)
{
  const std::optional<std::string> text = aRequest.query().get(aName);
  std::int64_t value = aDefault;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), value);
  }
  return value;
}

void
blockStopSignals()
{
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
waitForStopSignal()
{
  const sigset_t signals = stopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}
