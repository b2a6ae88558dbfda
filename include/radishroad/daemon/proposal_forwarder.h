#ifndef RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H
#define RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H

#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"

#include <functional>
#include <map>
#include <vector>

namespace radishroad {

/// Decides who writes a record: the cell's coordinator, which writes those of
/// many daemons at once, or this daemon itself.
///
/// Load pattern: dozens of daemons of a cell start at one moment, or a zone
/// comes back, and each has several records to write. Each writer that races
/// makes all others read and write again, which grows with the square of their
/// number. A coordinator that does not settle a record soon may be cut off from
/// the store; then this daemon writes by itself for a while. Pure: the caller
/// sends and writes.
class ProposalForwarder
{
public:
  /// Writes the record by this daemon's own writer.
  using WriteFn = std::function<void()>;
  /// Sends the record to the coordinator's VM.
  using SendFn = std::function<void()>;

  /// aReachable: a coordinator other than this daemon is there and answers.
  bool usesCoordinator(bool aReachable, Millis aNow) const;
  /// Sends the record to the coordinator, and again while it is not settled: a
  /// process that starts there may not listen yet. aWrite is for the case that
  /// it is not settled in time.
  void send(RandomId aId, SendFn aSend, WriteFn aWrite, Millis aNow);
  /// Sends again what is due.
  void resend(Millis aNow);
  /// The record has been found in the state.
  void onCommitted(RandomId aId);
  /// Records that the coordinator has not settled in time; they are forgotten
  /// here.
  std::vector<WriteFn> takeOverdue(Millis aNow);

private:
  struct Waiting
  {
    SendFn mSend;
    WriteFn mWrite;
    Millis mSentAt;
    Millis mResendAt;
  };

  std::map<RandomId, Waiting> mWaiting;
  Millis mDirectUntil;
};

}

#endif
