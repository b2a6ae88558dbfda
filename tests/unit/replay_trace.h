#ifndef RADISHROAD_TESTS_REPLAY_TRACE_H
#define RADISHROAD_TESTS_REPLAY_TRACE_H

#include "model/owner_history.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/takeover_guard.h"
#include "radishroad/ownership/witness.h"
#include "radishroad/state/fold.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace radishroad::testing {

/// Replays a recorded trace (tests/traces/README.md) through the core and
/// compares it with the outcomes that the trace states. Each check returns what
/// differs, one text each.
class ReplayTrace
{
public:
  using Mismatches = std::vector<std::string>;
  using Lines = std::vector<nlohmann::json>;

  /// Throws std::runtime_error if the file is no trace.
  static Lines read(const std::string& aName);
  explicit ReplayTrace(Lines aLines);

  /// Each record has the stated verdict, owners, members and version.
  Mismatches checkRecords() const;
  /// Each run was on the VM that owned its key at its epoch, after the record
  /// that made it owner and, after a loss, after the wait.
  Mismatches checkExecutions() const;
  /// The holder held its lease at each run, as the daemon said, and no longer
  /// when it was expelled.
  Mismatches checkHolder() const;
  /// Each promise and consent that was given may be given.
  Mismatches checkWitnesses() const;
  /// Versions in force were published before, never fall, and end with the
  /// newest.
  Mismatches checkConfig() const;
  /// All of them.
  Mismatches check() const;

private:
  struct RecordedState
  {
    Millis mWallTime;
    CellState mState;
  };
  struct Event
  {
    Millis mAt;
    const nlohmann::json* mLine = nullptr;
    const Member* mAdopted = nullptr;
    bool mServed = false;
  };

  static void receivePromise(const nlohmann::json& aLine, LeaseHolder& aHolder);
  Millis toMonotonic(std::int64_t aWallMs) const;
  std::vector<Event> holderEvents() const;
  void checkHolderEvent(const Event& aEvent,
                        LeaseHolder& aHolder,
                        Mismatches& aMismatches) const;
  void prepareNextWitnessSet(LeaseHolder& aHolder,
                             std::uint32_t aVersion) const;
  std::optional<Millis> expelledAt() const;

  Lines mLines;
  std::string mHolderVm;
  Incarnation mHolder = 0;
  Millis mTakeoverWait;
  Millis mWallMinusMonotonic;
  /// States of the cell after each record.
  std::vector<RecordedState> mStates;
  /// The holder's witness sets by version.
  std::map<std::uint32_t, Member> mWitnessSets;
  OwnerHistory mHistory;
  /// Time from which a shard may be served at an epoch.
  std::map<std::pair<Shard, Epoch>, Millis> mServeFrom;
};

}

#endif
