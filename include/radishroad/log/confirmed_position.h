#ifndef RADISHROAD_LOG_CONFIRMED_POSITION_H
#define RADISHROAD_LOG_CONFIRMED_POSITION_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>

namespace radishroad {

/// Tracks until when the operators' entries that this daemon has applied are
/// known to have been all. Whatever it learns next was written after that. Does
/// no I/O and reads no clock.
class ConfirmedPosition
{
public:
  /// A read sent at aSentAt returned all entries that the store had, those
  /// below aNext, which have been applied.
  void onRead(std::uint64_t aNext, Millis aSentAt);
  /// All entries below aNext have been applied, as a peer sent them.
  void onRelayed(std::uint64_t aNext);
  /// A peer has applied all entries below aNext, and a read of the store has
  /// shown that they were all as of aAsOf.
  void onPeer(std::uint64_t aNext, Millis aAsOf);

  std::uint64_t next() const { return mNext; }
  /// nullopt for a process without any evidence, such as before its first read.
  std::optional<Millis> confirmedAt() const { return mConfirmedAt; }

private:
  void confirm(Millis aAt);

  std::uint64_t mNext = 0;
  /// Highest position that a peer has reported.
  std::uint64_t mHighestReported = 0;
  std::optional<Millis> mConfirmedAt;
};

}

#endif
