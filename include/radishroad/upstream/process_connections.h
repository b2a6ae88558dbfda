#ifndef RADISHROAD_UPSTREAM_PROCESS_CONNECTIONS_H
#define RADISHROAD_UPSTREAM_PROCESS_CONNECTIONS_H

#include "radishroad/base/millis.h"
#include "radishroad/upstream/connection_id.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace radishroad {

/// Tells which connections lead to one process of the upstream. An address and
/// an instance id are not enough: another process may listen at the address,
/// under the same id, before its first report arrives. A connection, however,
/// ends with the process that accepted it.
///
/// The first connection whose response names the instance is confirmed. Another
/// one is confirmed when a confirmed connection responds to a request that was
/// sent after the other was in use, which shows that the process had not ended
/// by then; or when newer reports of the same process have arrived. Performs no
/// I/O.
class ProcessConnections
{
public:
  /// Another process has reported: no connection is confirmed, and responses to
  /// requests that were sent before aNow confirm none.
  void reset(Millis aNow);
  /// A response to a request that was sent at aSentAt. aNamesInstance: it shows
  /// that an upstream with the reported instance id gave it.
  void onResponse(ConnectionId aConnection,
                  bool aNamesInstance,
                  Millis aSentAt,
                  Millis aNow);
  /// A report of the same process as the one before was accepted.
  void onReport(std::uint64_t aSequence);
  /// Forgets the connections for which aIsOpen is false.
  void removeClosed(const std::function<bool(ConnectionId)>& aIsOpen);

  /// A connection has been confirmed since the last reset.
  bool hadConfirmed() const { return mHadConfirmed; }
  bool isConfirmed(ConnectionId aConnection) const;
  /// It leads to an upstream with the reported instance id, which may be
  /// another process.
  bool isUnconfirmed(ConnectionId aConnection) const;
  /// Number of the process that confirmed connections lead to; rises with each
  /// reset.
  std::uint64_t process() const { return mProcess; }

private:
  struct Unconfirmed
  {
    Millis mSince;
    /// Sequence of the newest report at that time.
    std::uint64_t mSequence = 0;
  };

  std::set<ConnectionId> mConfirmed;
  std::map<ConnectionId, Unconfirmed> mUnconfirmed;
  bool mHadConfirmed = false;
  Millis mResetAt;
  std::uint64_t mSequence = 0;
  std::uint64_t mProcess = 0;
};

}

#endif
