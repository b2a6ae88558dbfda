#include "radishroad/caller/connection.h"

#include "radishroad/caller/server_context.h"

namespace radishroad {

using namespace radishroad::literals;

namespace {

/// A caller that got its last answer has this long to close.
constexpr Millis kLingerTime = 2_s;
/// An answer that the caller does not take is given up after this time.
constexpr Millis kWriteTimeout = 30_s;

}

bool
CallerConnection::hasTimedOut(Millis aNow) const
{
  const CallerServer::Options& options = mContext.mOptions;
  const Millis waited = aNow - mPhaseSince;
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
CallerConnection::refuseSlowCaller(Millis aNow)
{
  mDiscardInput = true;
  mQueue.push_back(
    { tl::unexpected<Refusal>(Refusal{
        408, "request-timeout", "the request did not arrive in time" }),
      false,
      {},
      {} });
  runNext(aNow);
  noteBusy();
}

void
CallerConnection::onTick(Millis aNow)
{
  if (mOutput == Output::Ended) {
    if (aNow - mOutputSince > kLingerTime) {
      abort();
    }
    return;
  }
  if (mOutput == Output::Pending) {
    if (aNow - mOutputSince > kWriteTimeout) {
      abort();
    }
    return;
  }
  if (isBusy()) {
    if (!mDiscardInput && mQueue.empty() && hasTimedOut(aNow)) {
      refuseSlowCaller(aNow);
    }
    return;
  }
  const bool closing = mContext.phase() == ServerContext::Phase::Closing;
  if (closing || aNow - mPhaseSince > mContext.mOptions.mIdleTimeout) {
    endSending(aNow);
  }
}

}
