#ifndef RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H
#define RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H

#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"

#include <functional>
#include <map>
#include <vector>

namespace radishroad {

/// Decides who writes a record: the cell's coordinator, which batches the
/// records of many daemons, or this daemon itself.
///
/// Load pattern: dozens of daemons of a cell start at the same time, or a zone
/// comes back, and each daemon has several records to write. Each concurrent
/// write makes all other writers read and write again, so the cost grows with
/// the square of their number. A coordinator that does not commit a record in
/// time may be cut off from the store; this daemon then writes directly for a
/// while. Performs no I/O: the caller sends and writes.
class ProposalForwarder
{
public:
  /// Writes the record with this daemon's own writer.
  using WriteFn = std::function<void()>;
  /// Sends the record to the coordinator's VM.
  using SendFn = std::function<void()>;

  /// True if records go through the coordinator. aReachable: there is a
  /// coordinator other than this daemon, and it answers.
  bool usesCoordinator(bool aReachable, Millis aNow) const;
  /// Sends the record to the coordinator. resend() repeats this until the
  /// record is committed, since a coordinator that is just starting may not
  /// listen yet. aWrite is kept for a record that is not committed in time.
  void send(RandomId aId, SendFn aSend, WriteFn aWrite, Millis aNow);
  /// Sends the records again that are due.
  void resend(Millis aNow);
  /// The record has been found in the replicated state.
  void onCommitted(RandomId aId);
  /// Removes the records that the coordinator has not committed in time, and
  /// returns their writes.
  std::vector<WriteFn> takeOverdue(Millis aNow);

private:
  struct PendingRecord
  {
    SendFn mSend;
    WriteFn mWrite;
    Millis mSentAt;
    Millis mResendAt;
  };

  std::map<RandomId, PendingRecord> mPendingRecords;
  Millis mDirectUntil;
};

}

#endif
