#ifndef RADISHROAD_STATE_RESTORED_STATE_GUARD_H
#define RADISHROAD_STATE_RESTORED_STATE_GUARD_H

#include "radishroad/base/millis.h"
#include "radishroad/state/cell_state.h"

#include <cstdint>
#include <optional>

namespace radishroad {

/// Decides on which state the next write is based when a store has come back
/// from an older copy. What daemons that went on have in memory is newer than
/// the copy, and one of them writes it again. A daemon that has just started
/// knows only the copy, and must not build on it before they had time to do so.
/// Does no I/O and reads no clock.
class RestoredStateGuard
{
public:
  /// Time in which daemons that know a newer state write it again.
  static constexpr Millis kRewriteTime{ 1500 };

  enum class Base
  {
    /// The stored state is the newest.
    Stored,
    /// The known state is newer than the stored one and replaces it.
    Known,
    /// The stored state is a copy, and a newer one may be written soon.
    Undecided,
  };

  /// aStored: the stored state, empty if there is none. aGeneration: the
  /// store's generation. aKnown: the newest state in this daemon's memory,
  /// empty if it has none.
  Base choose(const CellState& aStored,
              std::uint64_t aGeneration,
              const CellState& aKnown,
              Millis aNow);

private:
  /// Generation whose copy is awaited, and since when.
  std::uint64_t mGeneration = 0;
  std::optional<Millis> mSeenAt;
};

}

#endif
