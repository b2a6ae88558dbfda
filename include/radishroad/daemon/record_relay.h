#ifndef RADISHROAD_DAEMON_RECORD_RELAY_H
#define RADISHROAD_DAEMON_RECORD_RELAY_H

#include "radishroad/base/millis.h"
#include "radishroad/generated/peer_generated.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/records.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

struct ControlContext;

/// Keeps a daemon current while it is cut off from the log. Peers report their
/// stream positions in each promise, and send the records that this daemon
/// lacks on request. Any peer may send them, since all hold the same records of
/// the log. Control thread only.
class RecordRelay
{
public:
  /// Takes records of a stream as if they had been read from the log.
  using RecordsFn =
    std::function<void(const std::string&, std::span<const LogRecord>)>;

  RecordRelay(ControlContext& aContext, RecordsFn aOnRecords);

  void onPositions(
    Incarnation aFrom,
    const std::vector<std::unique_ptr<wire::StreamPositionT>>& aPositions);
  void onFetch(Incarnation aFrom, const wire::FetchRecordsT& aFetch);
  void onRelayedRecords(const wire::RelayRecordsT& aRecords);

private:
  ControlContext& mContext;
  RecordsFn mOnRecords;
  /// By stream: earliest time of the next fetch.
  std::map<std::string, Millis> mNextFetch;
};

}

#endif
