#ifndef RADISHROAD_DAEMON_PROPOSER_H
#define RADISHROAD_DAEMON_PROPOSER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/base/random_id.h"
#include "radishroad/generated/records_generated.h"
#include "radishroad/state/fold.h"

#include <functional>
#include <map>
#include <string>

namespace radishroad {

/// Outcome of a proposed change.
enum class ProposalOutcome
{
  Applied,
  Refused,
  /// Not appended by this daemon, and not sent again. A copy that another
  /// process has received may still take effect, except for
  /// proposeForCertain().
  Failed,
};

/// For logs.
const char*
proposalOutcomeName(ProposalOutcome aOutcome);

/// Proposes changes by appending records, and determines by reading the log
/// back whether they took effect. A successful answer to an append is never
/// taken as the outcome. A record whose append is in doubt is sent again with
/// the same id until it has been read back. Control thread only.
class Proposer
{
public:
  using DoneFn = std::function<void(ProposalOutcome)>;
  /// Sends one append; aResult is called on the control thread. Returns false
  /// if the append queue is full.
  using SubmitFn =
    std::function<bool(const std::string& aStream,
                       const wire::RecordT& aRecord,
                       std::function<void(Result<std::uint64_t>)> aResult)>;

  explicit Proposer(SubmitFn aSubmit);

  template<typename Change>
  void propose(const std::string& aStream, Change aChange, DoneFn aDone)
  {
    wire::RecordT record;
    record.change.Set(std::move(aChange));
    start(aStream, std::move(record), std::move(aDone), false);
  }

  /// Ends as Failed only if no copy can take effect any more. A record of which
  /// another process has a copy is sent again until it has been read back.
  template<typename Change>
  void proposeForCertain(const std::string& aStream,
                         Change aChange,
                         DoneFn aDone)
  {
    wire::RecordT record;
    record.change.Set(std::move(aChange));
    start(aStream, std::move(record), std::move(aDone), true);
  }

  /// To be called when a copy of the record is sent to another process.
  void onCopySent(RandomId aId);

  /// To be called with the verdict on each record of the streams, also on those
  /// of other daemons.
  void onRecord(RandomId aId, FoldVerdict aVerdict);
  /// Sends the records again whose read-back is overdue.
  void tick(Millis aNow);
  std::size_t pending() const { return mPending.size(); }

private:
  struct Pending
  {
    std::string mStream;
    wire::RecordT mRecord;
    DoneFn mDone;
    bool mInDoubt = false;
    bool mNeedsCertainty = false;
    bool mWaitingForResult = false;
    Millis mSentAt;
  };

  void start(const std::string& aStream,
             wire::RecordT aRecord,
             DoneFn aDone,
             bool aNeedsCertainty);
  void send(RandomId aId);
  void onResult(RandomId aId, const Result<std::uint64_t>& aResult);
  void end(RandomId aId, ProposalOutcome aOutcome);

  SubmitFn mSubmit;
  std::map<RandomId, Pending> mPending;
};

}

#endif
