#ifndef RADISHROAD_POLICY_ROLLOUT_PROGRESS_H
#define RADISHROAD_POLICY_ROLLOUT_PROGRESS_H

#include "radishroad/base/millis.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace radishroad {

enum class RolloutState : std::uint8_t
{
  None,
  Running,
  Completed,
  RolledBack,
};

constexpr std::size_t kRolloutTimeBuckets = 12;
constexpr std::uint32_t kFullSharePermille = 1000;

/// Outcomes of one route's requests at members of one version.
struct RolloutOutcomes
{
  /// Identifies the route.
  std::uint32_t mKind = 0;
  bool mIsNew = false;
  std::uint32_t mRequests = 0;
  std::uint32_t mFailures = 0;
  /// Counts of runs by run time; the upper bound of bucket n is 4 ms * 2^n. The
  /// last bucket has no upper bound.
  std::array<std::uint32_t, kRolloutTimeBuckets> mTimes{};
};

/// A rollout request.
struct RolloutOrder
{
  std::uint64_t mId = 0;
  std::string mTo;
  Millis mDuration;

  bool operator==(const RolloutOrder&) const = default;
};

/// How far a rollout has come; kept in the cell's state.
struct RolloutProgress
{
  std::uint64_t mOrderId = 0;
  RolloutState mState = RolloutState::None;
  /// Part of the traffic for the new version.
  std::uint32_t mSharePermille = 0;
  /// Time of the rollout request, by the wall clock.
  Millis mStartedAt;
  /// Requests of the service since the start, those at the new version, and
  /// those that failed there.
  std::uint64_t mRequests = 0;
  std::uint64_t mExposed = 0;
  std::uint64_t mBad = 0;

  bool operator==(const RolloutProgress&) const = default;
};

/// What the coordinator knows when it decides.
struct RolloutObservation
{
  /// nullopt if the operator has removed the rollout request.
  std::optional<RolloutOrder> mOrder;
  Millis mOrderedAt;
  /// Members of the new version that can take requests.
  std::uint32_t mNewMembers = 0;
  /// False while members of the old version still hold keys.
  bool mHasMovedAllKeys = true;
};

}

#endif
