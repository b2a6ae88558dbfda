#ifndef RADISHROAD_UPSTREAM_UPSTREAM_PROTOCOL_H
#define RADISHROAD_UPSTREAM_UPSTREAM_PROTOCOL_H

#include "radishroad/base/millis.h"
#include "radishroad/ownership/grant_keeper.h"
#include "radishroad/request/request.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/upstream/exchange.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace radishroad {

/// A call to the upstream that is no caller's request.
struct UpstreamCall
{
  std::string mMethod;
  std::string mTarget;
  std::vector<std::string> mHeaderLines;
  std::string mBody;
};

/// What an upstream tells of its load along with a response.
struct UpstreamLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// How long work takes on its machine at this moment, 1 as usual.
  double mSlowness = 1;
};

/// How the daemon speaks with its upstream. The default is the protocol of
/// docs/upstream-protocol.md; what speaks another one sets other hooks.
struct UpstreamProtocol
{
  /// Header lines of a request. aInstance: the upstream that it is meant for.
  std::function<std::vector<std::string>(const ForwardRequest& aRequest,
                                         const std::string& aInstance,
                                         Epoch aEpoch,
                                         Millis aTimeLeft)>
    mHeaderLines;
  /// The reason if the response proves that the request was not run.
  std::function<NotRunReason(const UpstreamResponse&)> mProvenNotRun;
  /// Whether the response may be passed on as the upstream's answer.
  std::function<bool(const UpstreamResponse&)> mIsGenuine;
  /// Load that a response tells of; may be empty.
  std::function<std::optional<UpstreamLoad>(const UpstreamResponse&)> mLoad;
  /// How much longer a health response says that the upstream is cold.
  std::function<Millis(const UpstreamResponse&)> mColdLeft;
  /// Orders that let an upstream hold keys, and give them back. Empty if
  /// upstreams take none.
  std::function<UpstreamCall(const KeyGrant&)> mGrant;
  std::function<UpstreamCall(KeyRange, Epoch)> mRelease;
  /// Does an answer to a report that holds these rows have room for one more?
  /// aSize: of the rows so far; raised by the row's if there is room.
  std::function<bool(const KeyGrant&, std::size_t& aSize)> mFitsAnswer;
  /// What a release's response holds for the next holder.
  std::function<std::string(const UpstreamResponse&)> mHandover;
  /// Header that names the upstream in responses.
  std::string mInstanceHeader = "X-Upstream-Instance";
  /// Header that repeats the request's id in a response; a response with
  /// another id belongs to another request. Empty if none does.
  std::string mEchoHeader;
  /// Closing the connection ends the run; otherwise a call does.
  bool mClosingCancels = false;
  /// A response without a length ends whole with its connection.
  bool mTakesUnframed = false;
  /// The upstream reports its health and its slots by itself (Gate::onReport):
  /// it is not probed on end, and as many requests run as it has slots, in the
  /// order of policy/work_order.h.
  bool mReports = false;
};

/// The protocol of docs/upstream-protocol.md.
UpstreamProtocol
ownUpstreamProtocol();

}

#endif
