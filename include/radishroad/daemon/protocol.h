#ifndef RADISHROAD_DAEMON_PROTOCOL_H
#define RADISHROAD_DAEMON_PROTOCOL_H

#include "radishroad/base/error.h"
#include "radishroad/config/operator_state.h"
#include "radishroad/log/rollout_status_store.h"
#include "radishroad/log/state_store.h"
#include "radishroad/request/caller_headers.h"
#include "radishroad/request/request.h"
#include "radishroad/upstream/upstream_protocol.h"
#include "radishroad/upstream/upstream_report.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace radishroad {

struct DaemonSettings;

/// A parsed operator entry.
struct OperatorChange
{
  struct ZoneState
  {
    std::string mZone;
    bool mInService = true;
  };
  /// A request to move a service's traffic to another version.
  struct RolloutRequest
  {
    std::string mService;
    /// Empty if the request was removed.
    std::string mTo;
    Millis mDuration;
    /// Why the request cannot be read; empty if it can. One that cannot leaves
    /// the configuration and earlier requests in force.
    std::string mProblem;
  };
  /// std::monostate for an entry that does not concern the daemon.
  std::
    variant<std::monostate, config::VersionedModel, ZoneState, RolloutRequest>
      mChange;
};

/// How the daemon communicates with callers, its upstream, operators and its
/// state store. The default is its own interface (docs/), in which
/// configuration and state are records of a log. If mParseCallerHeaders is set,
/// the daemon uses the protocol of a platform.
struct DaemonProtocol
{
  /// Parses the headers of a caller's request.
  std::function<CallerHeaders(const CallerRequest&)> mParseCallerHeaders;
  /// Name of the header with the caller's request id.
  std::string mRequestIdHeader;
  UpstreamProtocol mUpstream = defaultUpstreamProtocol();
  OpenStateStoreFn mOpenStore;
  OpenOperatorFeedFn mOpenFeed;
  OpenRolloutStatusFn mOpenRolloutStatus;
  /// Parses an operator entry; the error says what is wrong with it.
  std::function<Result<OperatorChange>(const OperatorEntry&)>
    mParseOperatorEntry;
  /// Parses a report of the upstream; an error if the request is another call.
  std::function<Result<UpstreamReport>(const CallerRequest&)>
    mParseUpstreamReport;
  /// Returns the body of the answer to a report.
  std::function<std::string(const ReportAnswer&)> mWriteReportAnswer;
  /// True if the request asks whether this daemon is ready.
  std::function<bool(const CallerRequest&)> mIsReadinessRequest;

  bool isPlatform() const { return static_cast<bool>(mParseCallerHeaders); }
};

/// Creates the protocol that is selected in the settings.
using MakeProtocolFn = std::function<DaemonProtocol(const DaemonSettings&)>;

}

#endif
