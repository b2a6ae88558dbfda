#ifndef RADISHROAD_CONFIG_FRESHNESS_H
#define RADISHROAD_CONFIG_FRESHNESS_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <optional>

namespace radishroad::config {

/// Tracks as of when the configuration in force is known to be the newest one
/// that the store has confirmed. Only the store can tell: to this daemon, or to
/// a peer at the same position. That no news has arrived proves nothing. Does
/// no I/O and reads no clock.
class Freshness
{
public:
  /// Operators write again what a restored store lacks within this time. A
  /// process that has just started cannot tell whether the store was restored.
  static constexpr Millis kSettleTime{ 2000 };

  /// All entries below aNext have been applied.
  void onApplied(std::uint64_t aNext);
  /// A read sent at aSentAt and answered before aNow returned all entries that
  /// the store had, those below aNext, which have been applied. aIsRestored:
  /// the store was restored since the last read.
  void onRead(std::uint64_t aNext,
              Millis aSentAt,
              Millis aNow,
              bool aIsRestored);
  /// A peer had applied all entries below aNext, and they were all entries as
  /// of aAsOf.
  void onPeer(std::uint64_t aNext, Millis aAsOf);
  /// Whether the newest configuration could be read and is in force.
  void setReadable(bool aIsReadable) { mIsReadable = aIsReadable; }

  /// nullopt if nothing is known.
  std::optional<Millis> asOf() const;

private:
  void advance(Millis aAsOf);

  std::uint64_t mNext = 0;
  bool mIsReadable = true;
  std::optional<Millis> mAsOf;
  /// Reads sent before this time may be of a copy that lacks entries.
  std::optional<Millis> mSettledAt;
};

/// Whether a request that the configuration does not allow may be refused for
/// good: no configuration that has to be in force for it, aConfigTime after the
/// store has confirmed it, can be missing.
bool
mayRefuseForGood(std::optional<Millis> aAsOf,
                 Millis aReceivedAt,
                 Millis aConfigTime);

/// How long before aAt the configuration was last known to be the newest one,
/// in milliseconds: 0 if that was learned later, -1 if it is not known.
std::int64_t
configAge(std::optional<Millis> aAsOf, Millis aAt);

}

#endif
