#ifndef RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H
#define RADISHROAD_DAEMON_PROPOSAL_FORWARDER_H

#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"
#include "radishroad/state/cell_state.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace radishroad {

/// Decides who writes a record: the cell's coordinator, which batches the
/// records of many daemons, the next member in its succession, or this daemon
/// itself.
///
/// Load pattern: a hundred daemons of a cell start at the same time, or the
/// coordinator is cut off from the store, and each daemon has several records
/// to write. Each concurrent write makes all other writers read and write
/// again, so the cost grows with the square of their number. A member that does
/// not commit a record in time is therefore passed over for a while, by all in
/// the same order. Only when several members have failed does this daemon write
/// by itself, at a time that spreads the writers. Performs no I/O: the caller
/// sends and writes.
class ProposalForwarder
{
public:
  /// Writes the record with this daemon's own writer.
  using WriteFn = std::function<void()>;
  /// Sends the record to a member.
  using SendFn = std::function<void(Incarnation aWriter)>;

  /// The first of aSuccession that has not failed recently; nullopt if this
  /// daemon is to write by itself. aSuccession: members that may write, in the
  /// order that all daemons share.
  std::optional<Incarnation> writerFor(std::span<const Incarnation> aSuccession,
                                       Millis aNow) const;
  /// Sends the record to aWriter. resend() repeats this until the record is
  /// committed, since a writer that is just starting may not listen yet.
  /// aWrite is kept for a record that no member commits in time.
  void send(RandomId aId,
            Incarnation aWriter,
            SendFn aSend,
            WriteFn aWrite,
            Millis aNow);
  /// Sends the records again that are due.
  void resend(Millis aNow);
  /// The record has been found in the replicated state.
  void onCommitted(RandomId aId);
  /// Passes over writers that have not committed a record in time, and sends
  /// their records to the next. Returns the writes of records that this daemon
  /// is to write now.
  std::vector<WriteFn> takeOverdue(std::span<const Incarnation> aSuccession,
                                   Millis aNow);
  /// Whether no record waits to be committed.
  bool idle() const { return mPendingRecords.empty(); }
  /// Members that were passed over so far.
  std::uint64_t passedOver() const { return mPassedOver; }

private:
  struct PendingRecord
  {
    SendFn mSend;
    WriteFn mWrite;
    /// 0 if this daemon writes the record at mWriteAt.
    Incarnation mWriter = 0;
    Millis mSentAt;
    Millis mResendAt;
    Millis mWriteAt;
    int mWritersTried = 1;
  };

  void passOver(Incarnation aWriter, Millis aNow);
  void sendToNext(RandomId aId,
                  PendingRecord& aRecord,
                  std::span<const Incarnation> aSuccession,
                  Millis aNow);

  std::map<RandomId, PendingRecord> mPendingRecords;
  std::map<Incarnation, Millis> mPassedOverUntil;
  std::uint64_t mPassedOver = 0;
};

}

#endif
