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

/// Replays a recorded trace (tests/traces/README.md) through the core code and
/// compares the results with those recorded in the trace. Each check returns
/// one text per mismatch.
class ReplayTrace
{
public:
  using Mismatches = std::vector<std::string>;
  using Lines = std::vector<nlohmann::json>;

  /// Throws std::runtime_error if the file is missing or empty.
  static Lines read(const std::string& aName);
  explicit ReplayTrace(Lines aLines);

  /// Checks that each record has the recorded verdict, owners, members and
  /// configuration version.
  Mismatches checkRecords() const;
  /// Checks that each request ran on the VM that owned the key at that epoch,
  /// after the record that made it the owner, and after the takeover wait if
  /// the previous owner was lost.
  Mismatches checkExecutions() const;
  /// Checks that the holder had its lease whenever it served a request or the
  /// daemon reported the lease as held, and no longer when it was expelled.
  Mismatches checkHolder() const;
  /// Checks that the witnesses were allowed to give each recorded promise and
  /// consent.
  Mismatches checkWitnesses() const;
  /// Checks that configuration versions in force were published before, never
  /// decrease, and end at the newest version.
  Mismatches checkConfig() const;
  /// Runs all checks.
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
  /// State of the cell after each record.
  std::vector<RecordedState> mStates;
  /// The holder's witness sets by version.
  std::map<std::uint32_t, Member> mWitnessSets;
  OwnerHistory mHistory;
  /// Earliest time at which a shard may be served at an epoch.
  std::map<std::pair<Shard, Epoch>, Millis> mServeFrom;
};

}

#endif
