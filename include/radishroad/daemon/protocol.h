#ifndef RADISHROAD_DAEMON_PROTOCOL_H
#define RADISHROAD_DAEMON_PROTOCOL_H

#include "radishroad/base/error.h"
#include "radishroad/config/operator_state.h"
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

/// One entry of operators, read.
struct OperatorChange
{
  struct ZoneState
  {
    std::string mZone;
    bool mInService = true;
  };
  /// Nothing: an entry that does not concern the daemon.
  std::variant<std::monostate, config::VersionedModel, ZoneState> mWhat;
};

/// How the daemon speaks with callers, its upstream, operators and what keeps
/// its state. By default it speaks its own interface (docs/): configuration
/// and state are records of a log. Where mReadHead is set, it is a platform's.
struct DaemonProtocol
{
  /// Reads the head of a caller's request.
  std::function<CallerHeaders(const CallerRequest&)> mReadHead;
  /// Name of the header that holds the caller's request id.
  std::string mRequestIdHeader;
  UpstreamProtocol mUpstream = ownUpstreamProtocol();
  OpenStateStoreFn mOpenStore;
  OpenOperatorFeedFn mOpenFeed;
  /// Reads an operator's entry; the error says what is wrong with it.
  std::function<Result<OperatorChange>(const OperatorEntry&)> mReadEntry;
  /// Reads a report of the upstream; nothing if it is another call.
  std::function<Result<UpstreamReport>(const CallerRequest&)> mReadReport;
  /// Body of the answer to a report.
  std::function<std::string(const ReportAnswer&)> mWriteReportAnswer;
  /// True for the question whether this daemon is ready.
  std::function<bool(const CallerRequest&)> mAsksReadiness;

  bool isPlatform() const { return static_cast<bool>(mReadHead); }
};

/// Makes the protocol that the settings ask for.
using MakeProtocolFn = std::function<DaemonProtocol(const DaemonSettings&)>;

}

#endif
