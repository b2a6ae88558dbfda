#include "radishroad/caller/connection.h"

#include "radishroad/caller/server_context.h"

namespace radishroad {

using namespace radishroad::literals;

namespace {

/// After its last answer, a caller has this long to close the connection.
constexpr Millis kLingerTimeout = 2_s;
/// A connection is aborted if its pending response makes no progress for this
/// time.
constexpr Millis kWriteTimeout = 30_s;

}

bool
CallerConnection::hasTimedOut(Millis aNow) const
{
  const CallerServer::Options& options = mContext.mOptions;
  const Millis waited = aNow - mPhaseStartedAt;
  switch (mReader.phase()) {
    case RequestReader::Phase::Head:
      return waited > options.mHeaderTimeout;
    case RequestReader::Phase::Body:
      return waited > options.mBodyTimeout;
    default:
      return false;
  }
}

void
CallerConnection::refuseTimedOutRequest(Millis aNow)
{
  mDiscardInput = true;
  mQueue.push_back(
    { tl::unexpected<Refusal>(Refusal{
        408, "request-timeout", "the request did not arrive in time" }),
      false,
      false,
      {},
      {},
      {} });
  processQueue(aNow);
  updateBusyCount();
}

void
CallerConnection::onTick(Millis aNow)
{
  if (mOutputState == OutputState::Ended) {
    if (aNow - mOutputProgressAt > kLingerTimeout) {
      abort();
    }
    return;
  }
  if (mOutputState == OutputState::Pending) {
    if (aNow - mOutputProgressAt > kWriteTimeout) {
      abort();
    }
    return;
  }
  if (mContext.phase() == ServerContext::Phase::Cancelling) {
    cancelRunningRequests();
  }
  if (isBusy()) {
    if (!mDiscardInput && mQueue.empty() && hasTimedOut(aNow)) {
      refuseTimedOutRequest(aNow);
    }
    return;
  }
  const bool closing = mContext.phase() >= ServerContext::Phase::Closing;
  if (closing || aNow - mPhaseStartedAt > mContext.mOptions.mIdleTimeout) {
    shutDownOutput(aNow);
  }
}

}
