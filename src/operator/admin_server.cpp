#include "radishroad/operator/admin_server.h"

#include "radishroad/base/json_log.h"
#include "radishroad/caller/server.h"
#include "radishroad/request/text_answer.h"

#include <array>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::size_t kMaxRequestBytes = 64U << 10;
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kJsonLines = "application/x-ndjson";
constexpr std::string_view kPrometheusText = "text/plain; version=0.0.4";

Answer
makeJsonAnswer(unsigned aStatus, const nlohmann::json& aJson)
{
  const std::string text =
    aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return makeTextAnswer(aStatus, kJson, text + "\n");
}

std::string
joinLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line;
    text += '\n';
  }
  return text;
}

}

struct AdminServer::Impl
{
  Impl(std::string aListenAddress, Hooks aHooks, const Metrics& aMetrics)
    : mHooks(std::move(aHooks))
    , mExportedMetrics(aMetrics)
    , mServer(
        makeOptions(std::move(aListenAddress)),
        [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
          aAnswer(handle(aRequest));
          return CancelFn();
        },
        mServerMetrics)
  {
  }

  static CallerServer::Options makeOptions(std::string aListenAddress)
  {
    CallerServer::Options options;
    options.mListenAddress = std::move(aListenAddress);
    options.mThreads = 1;
    options.mMaxBodyBytes = kMaxRequestBytes;
    return options;
  }

  Answer handle(const CallerRequest& aRequest) const
  {
    if (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD") {
      return makeJsonAnswer(405, { { "error", "only GET is known" } });
    }
    return handleGet(aRequest.mTarget.substr(0, aRequest.mTarget.find('?')));
  }

  Answer handleGet(std::string_view aPath) const
  {
    if (aPath == "/health") {
      return makeJsonAnswer(200, { { "status", "ok" } });
    }
    if (aPath == "/ready") {
      const bool ready = mHooks.mReady();
      return makeJsonAnswer(ready ? 200 : 503, { { "ready", ready } });
    }
    if (aPath == "/state") {
      return makeJsonAnswer(200, mHooks.mState());
    }
    if (aPath == "/metrics") {
      return makeTextAnswer(
        200, kPrometheusText, mExportedMetrics.toPrometheus());
    }
    if (aPath == "/events") {
      return makeTextAnswer(200, kJsonLines, joinLines(recentEvents()));
    }
    return makeJsonAnswer(
      404, { { "error", "known: /health /ready /state /metrics /events" } });
  }

  const Hooks mHooks;
  const Metrics& mExportedMetrics;
  /// Metrics of this server itself, separate from those of the caller server
  /// and not exported.
  Metrics mServerMetrics;
  CallerServer mServer;
};

AdminServer::AdminServer(std::string aListenAddress,
                         Hooks aHooks,
                         const Metrics& aMetrics)
  : mImpl(std::make_unique<Impl>(std::move(aListenAddress),
                                 std::move(aHooks),
                                 aMetrics))
{
}

AdminServer::~AdminServer() = default;

Result<void>
AdminServer::start()
{
  return mImpl->mServer.start();
}

std::uint16_t
AdminServer::port() const
{
  return mImpl->mServer.port();
}

void
AdminServer::stop()
{
  mImpl->mServer.stop();
}

}
