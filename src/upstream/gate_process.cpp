#include "gate_impl.h"

#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr Millis kHealthTimeout{ 300 };
constexpr Millis kMaxIdle{ 30000 };
constexpr std::size_t kMaxHealthResponseBytes = 4096;
/// Interval between attempts to open a connection for grants and releases.
constexpr Millis kOpenInterval{ 100 };
/// Interval between probes that may confirm a connection.
constexpr Millis kConfirmInterval{ 500 };

}

UpstreamRequest
Gate::Impl::makeHealthRequest() const
{
  UpstreamRequest request;
  request.mUpstream = mOptions.mUpstream;
  request.mPurpose = "probe";
  request.mMethod = "GET";
  request.mTarget =
    mService.mHealthPath.empty() ? mOptions.mHealthPath : mService.mHealthPath;
  request.mTimeout = kHealthTimeout;
  request.mMaxIdle = kMaxIdle;
  request.mMaxBodyBytes = kMaxHealthResponseBytes;
  if (mOptions.mProtocol.mPushesReports) {
    // A response with an id belongs to a request of a caller.
    request.mEchoHeader = mOptions.mProtocol.mEchoHeader;
    request.mIsPossibleResponse = [this](const UpstreamResponse& aResponse) {
      return namesInstance(aResponse);
    };
  }
  return request;
}

bool
Gate::Impl::isFromReportedInstance(const UpstreamResponse& aResponse) const
{
  // The request named the instance, and another one refuses it.
  return aResponse.mStatus >= kFirstSuccess &&
         aResponse.mStatus <= kLastSuccess &&
         mOptions.mProtocol.mIsAuthentic(aResponse) &&
         !isFromOtherInstance(aResponse);
}

void
Gate::Impl::recordProcess(const UpstreamResponse& aResponse,
                          bool aNamesInstance,
                          Millis aSentAt)
{
  if (grantsKeys() && !grantsByReport()) {
    mProcessConnections.onResponse(
      aResponse.mConnection, aNamesInstance, aSentAt, mHooks.mNow());
  }
}

std::size_t
Gate::Impl::keyConnections(Millis aNow)
{
  mProcessConnections.removeClosed([this](ConnectionId aConnection) {
    return mExchanges.isOpen(aConnection);
  });
  std::size_t confirmed = 0;
  bool hasUnconfirmed = false;
  for (const ConnectionId connection : mExchanges.idleConnections()) {
    confirmed += mProcessConnections.isConfirmed(connection) ? 1 : 0;
    hasUnconfirmed =
      hasUnconfirmed || mProcessConnections.isUnconfirmed(connection);
  }
  const std::size_t taken = mExchanges.unconnected();
  if (confirmed > taken) {
    return confirmed - taken;
  }
  const bool isFreeSoon =
    std::ranges::any_of(mKeyOperations, [aNow](const auto& aEntry) {
      return aNow < aEntry.second.mSentAt + kOpenInterval;
    });
  if (!mHealth.healthy()) {
    return 0;
  }
  if (!mProcessConnections.hadConfirmed() || hasUnconfirmed) {
    requestConfirmation(aNow);
  } else if (!isFreeSoon) {
    openKeyConnection(aNow);
  }
  return 0;
}

void
Gate::Impl::requestConfirmation(Millis aNow)
{
  if (aNow >= mNextConfirmation) {
    mNextConfirmation = aNow + kConfirmInterval;
    mHealth.requestProbe(aNow);
  }
}

void
Gate::Impl::openKeyConnection(Millis aNow)
{
  if (mOpensKeyConnection || aNow < mNextKeyConnection) {
    return;
  }
  const Millis startedAt = mHooks.mNow();
  mOpensKeyConnection = true;
  mNextKeyConnection = aNow + kOpenInterval;
  mMetrics.count("radishroad_gate_key_connections_total");
  mExchanges.start(
    makeHealthRequest(),
    [] { return true; },
    [this, startedAt](
      ExchangeOutcome aOutcome, CURLcode, const UpstreamResponse& aResponse) {
      onKeyConnection(aOutcome, aResponse, startedAt);
    });
}

void
Gate::Impl::onKeyConnection(ExchangeOutcome aOutcome,
                            const UpstreamResponse& aResponse,
                            Millis aSentAt)
{
  mOpensKeyConnection = false;
  if (aOutcome == ExchangeOutcome::ConnectionRefused) {
    onProcessEnded(LostCause::ConnectionRefused, aSentAt);
    return;
  }
  if (aOutcome != ExchangeOutcome::Complete) {
    return;
  }
  if (isFromOtherInstance(aResponse)) {
    logEvent(LogLevel::Info,
             "key_connection_refused",
             { { "instance", mAppliedReport.mInstance },
               { "response_instance",
                 aResponse.header(mOptions.mProtocol.mInstanceHeader) } });
    mHealth.requestProbe(mHooks.mNow());
    return;
  }
  recordProcess(aResponse, true, aSentAt);
  mNextConfirmation = {};
}

}
