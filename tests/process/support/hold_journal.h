#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_HOLD_JOURNAL_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_HOLD_JOURNAL_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace radishroad::test {

/// Which upstream of a service held which keys when, as the upstreams took the
/// orders. Thread-safe.
class HoldJournal
{
public:
  /// Orders are recorded for runs of this many neighbouring keys.
  static constexpr std::uint32_t kRunKeys = 32;
  static constexpr std::uint32_t kRuns = 65536 / kRunKeys;

  struct Hold
  {
    std::string mVm;
    std::uint32_t mFirstKey = 0;
    std::uint64_t mEpoch = 0;
    Millis mFrom;
    Millis mTo;

    std::string describe(Millis aStart) const;
  };
  /// Two holds of the same keys by different upstreams.
  using Pair = std::pair<Hold, Hold>;

  void onGranted(const std::string& aVm,
                 std::uint32_t aFirst,
                 std::uint32_t aLast,
                 std::uint64_t aEpoch,
                 Millis aUntil);
  void onReleased(const std::string& aVm,
                  std::uint32_t aFirst,
                  std::uint32_t aLast);
  /// The upstream's process has ended.
  void onEnded(const std::string& aVm);

  /// All holds of a run of keys, also past ones.
  std::vector<Hold> holds(std::uint32_t aFirstKey) const;
  /// Number of runs of keys that the upstream holds now; of any if empty.
  std::size_t heldRuns(const std::string& aVm = {}) const;
  /// Holds that overlap in time.
  std::vector<Pair> overlaps() const;
  /// Holds whose epoch is not above that of an earlier hold by another
  /// upstream.
  std::vector<Pair> repeatedEpochs() const;
  /// Checks that keys never had two holders nor an epoch twice.
  void check(Millis aStart) const;

private:
  /// Pairs of holds of a run by different upstreams, the earlier one first, for
  /// which aIsPair returns true.
  std::vector<Pair> findPairs(
    const std::function<bool(const Hold&, const Hold&)>& aIsPair) const;

  mutable std::mutex mMutex;
  /// By run.
  std::map<std::uint32_t, std::vector<Hold>> mHolds;
};

}

#endif
