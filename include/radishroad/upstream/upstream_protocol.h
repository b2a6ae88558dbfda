#ifndef RADISHROAD_UPSTREAM_UPSTREAM_PROTOCOL_H
#define RADISHROAD_UPSTREAM_UPSTREAM_PROTOCOL_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/grant_manager.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/exchange.h"
#include "radishroad/upstream/upstream_notice.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// A request that the daemon itself makes to the upstream, such as a grant.
struct ControlRequest
{
  std::string mMethod;
  std::string mTarget;
  std::vector<std::string> mHeaderLines;
  std::string mBody;
};

/// Load that an upstream reports in a response.
struct UpstreamLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// Factor by which work on its machine is slower than usual now; 1 if it is
  /// not.
  double mSlowness = 1;
};

/// The HTTP protocol between the daemon and its upstream. The default is that
/// of docs/upstream-protocol.md; integrations with other protocols set other
/// hooks.
struct UpstreamProtocol
{
  /// Header lines of a request. aInstance: instance id of the target upstream.
  std::function<std::vector<std::string>(const ForwardRequest& aRequest,
                                         const std::string& aInstance,
                                         Epoch aEpoch,
                                         Millis aTimeLeft)>
    mHeaderLines;
  /// The reason if the response proves that the request was not run.
  std::function<NotRunReason(const UpstreamResponse&)> mReadNotRunReason;
  /// Whether the response is authentic, so that it may be passed on.
  std::function<bool(const UpstreamResponse&)> mIsAuthentic;
  /// Load that a response reports; the hook may be empty.
  std::function<std::optional<UpstreamLoad>(const UpstreamResponse&)> mLoad;
  /// Response headers in which the upstream names its limit and that it leaves.
  NoticeHeaders mNoticeHeaders{ "X-Upstream-Limit", "X-Upstream-Leaving" };
  /// How much longer the upstream stays cold, by its health response; the hook
  /// may be empty.
  std::function<Millis(const UpstreamResponse&)> mColdTimeLeft;
  /// Requests that grant keys to an upstream, or have it release them. Empty if
  /// keys are not granted to upstreams.
  std::function<ControlRequest(const KeyGrant&)> mGrant;
  std::function<ControlRequest(KeyRange, Epoch)> mRelease;
  /// Whether one more row fits into the answer to a report. aSize: size of the
  /// rows so far; increased by that of the row if it fits.
  std::function<bool(const KeyGrant&, std::size_t& aSize)> mFitsAnswer;
  /// Handover token for the next holder, from the response to a release.
  std::function<std::string(const UpstreamResponse&)> mHandover;
  /// Response header with the instance id of the upstream.
  std::string mInstanceHeader = "X-Upstream-Instance";
  /// Response header that repeats the request's id; a response with another id
  /// belongs to another request. Empty if there is no such header.
  std::string mEchoHeader;
  /// Closing the connection cancels a running request; otherwise a cancel
  /// request does.
  bool mCancelsByDisconnect = false;
  /// Accepts a body without a length or chunked encoding, which ends when the
  /// connection is closed, as complete.
  bool mAcceptsUnframedBody = false;
  /// The upstream pushes reports of its health and slots (Gate::onReport).
  /// Instead of periodic probes and a concurrency window, the gate then runs as
  /// many requests as there are slots, in the order of policy/queue_plan.h.
  bool mPushesReports = false;
};

/// The protocol of docs/upstream-protocol.md.
UpstreamProtocol
defaultUpstreamProtocol();

}

#endif
