#ifndef RADISHROAD_TESTS_UNIT_OWNERSHIP_MODEL_H
#define RADISHROAD_TESTS_UNIT_OWNERSHIP_MODEL_H

#include "radishroad/ownership/expulsion_controller.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness_set_manager.h"
#include "radishroad/state/fold.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace ownership_model {

using namespace radishroad;

/// A rule of the protocol that is disabled, to check that the model detects the
/// resulting violation.
enum class Mutant
{
  None,
  NoJointQuorum,
  EarlyConsent,
  TtlFromReceipt,
  RevocableConsent,
  PromiseToExpelled,
  AbandonChangeInDoubt,
  CountLatePromises,
  ServeKeyDuringMove,
};

/// What the owners hand off to one another.
enum class HandOffs
{
  Shards,
  ShardsAndKeys,
};

constexpr int kDaemonCount = 7;
constexpr Shard kShards = 14;
constexpr Millis kTick{ 10 };
constexpr Millis kFaultsEnd{ 16'000 };
constexpr Millis kEnd{ 18'500 };

struct Message
{
  enum class Kind
  {
    Renew,
    Promise,
    Withheld,
    ConsentRequest,
    Consent,
  };
  Millis mAt;
  std::uint64_t mSequence = 0;
  int mTo = 0;
  Incarnation mToIncarnation = 0;
  Incarnation mFrom = 0;
  Kind mKind = Kind::Renew;
  LeaseId mLeaseId;
  Millis mSentAt;
  Millis mAckedSentAt;
  Witness::ConsentAnswer mAnswer;
};

struct Append
{
  Millis mAt;
  std::uint64_t mSequence = 0;
  Bytes mData;
};

template<typename Event>
struct IsLater
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mSequence) >
           std::tie(aRight.mAt, aRight.mSequence);
  }
};

template<typename Event>
using Schedule = std::priority_queue<Event, std::vector<Event>, IsLater<Event>>;

/// One daemon that runs the production classes on a drifting clock of its own.
struct Daemon
{
  Daemon(Incarnation aSelf, const CellState& aState)
    : mSelf(aSelf)
    , mState(aState)
    , mHolder(aSelf)
    , mExpulsionController(aSelf)
    , mWitnessSetManager(aSelf)
  {
  }

  Incarnation mSelf;
  CellState mState;
  LeaseHolder mHolder;
  ExpulsionController mExpulsionController;
  WitnessSetManager mWitnessSetManager;
  /// An append of the change in doubt may have taken effect.
  bool mMaybeAppended = false;
  Millis mLogAnsweredAt;
  Millis mNextJoin;
  Millis mNextAssign;
  /// A hand-off whose outcome has not been read back yet; its shard is not
  /// served meanwhile.
  std::optional<wire::RecordT> mRelease;
  Shard mReleasingShard = 0;
  Millis mNextRelease;
};

struct Outcome
{
  bool mViolated = false;
  Millis mViolatedAt;
  /// Time from the end of the faults until every shard was served and stayed so
  /// to the end of the run.
  std::optional<Millis> mRecoveryTime;
  int mExpulsions = 0;
  int mRewitnesses = 0;
  /// Number of keys split out, moved or merged back.
  int mKeyMoves = 0;
  double mServedShare = 0;
};

/// Outcome of a loss of daemons in a cell without other faults.
struct LossOutcome
{
  /// Time from the loss until every shard was served again.
  std::optional<Millis> mUnservedTime;
  std::size_t mAppends = 0;
  /// Number of appends other than expulsions before the last expulsion.
  std::size_t mAppendsBeforeExpulsion = 0;
};

/// Simulates a cell from one seed: network partitions, paused and crashed
/// daemons, delayed, lost and duplicated messages, an unreachable log and
/// appends in doubt until kFaultsEnd, then no more faults.
class Model
{
public:
  Model(std::uint32_t aSeed,
        Mutant aMutant,
        HandOffs aHandOffs = HandOffs::Shards);
  Outcome run();
  /// No other faults: aLost daemons are lost permanently at the same time.
  LossOutcome runLoss(int aLost);
  /// No other faults: one daemon permanently receives no messages from its
  /// peers.
  LossOutcome runReceiveFailure();

private:
  bool chance(double aShare) { return mUniform(mRandom) < aShare; }
  Millis between(std::int64_t aLow, std::int64_t aHigh);
  bool isFaultFree() const { return mAlwaysFaultFree || mNow >= kFaultsEnd; }
  Millis localTime(int aIndex) const;
  bool isPaused(int aIndex) const { return mPausedUntil[aIndex] > mNow; }

  LossOutcome runFault(const std::function<void()>& aFault);
  void setUp();
  void injectFaults();
  void crash(int aIndex);
  void declareLost();
  void send(int aFrom, Incarnation aTo, Message aMessage);
  void deliver();
  void receive(int aIndex, const Message& aMessage);
  void appendAll();
  bool readLog(int aIndex);
  void step(int aIndex);
  void stepJoin(int aIndex);
  void stepWitnessSetManager(int aIndex);
  void stepRandomRewitness(int aIndex);
  void stepRelease(int aIndex);
  std::optional<wire::RecordT> shardRelease(int aIndex);
  std::optional<wire::RecordT> keyRelease(int aIndex);
  bool serves(int aIndex, std::uint64_t aKeyHash) const;
  void stepAssign(int aIndex);
  template<typename Change>
  wire::RecordT recordOf(Change aChange);
  /// Returns false if the record is certainly not appended and the daemon knows
  /// it.
  bool submit(int aIndex, const wire::RecordT& aRecord);
  void submitChange(int aIndex, const wire::RewitnessT& aChange);
  void appendNow(const wire::RecordT& aRecord);
  void tick(Outcome& aOutcome);
  void checkServers(Outcome& aOutcome);

  std::mt19937 mRandom;
  std::uniform_real_distribution<double> mUniform{ 0, 1 };
  Mutant mMutant;
  HandOffs mHandOffs;
  bool mAlwaysFaultFree = false;
  Millis mNow;
  std::uint64_t mSequence = 0;
  std::uint64_t mLastRecord = 0;
  Incarnation mLastIncarnation = 0;
  std::vector<LogRecord> mLog;
  CellState mLogState;
  Schedule<Message> mMessages;
  Schedule<Append> mAppends;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::array<double, kDaemonCount> mClockRate{};
  std::array<Millis, kDaemonCount> mPausedUntil{};
  std::array<bool, kDaemonCount> mLogCut{};
  std::array<std::array<bool, kDaemonCount>, kDaemonCount> mLinkCut{};
  /// Consents that Mutant::EarlyConsent gave too early.
  std::set<std::pair<int, LeaseId>> mEarlyConsents;
  std::uint64_t mServedCount = 0;
  std::uint64_t mCheckedCount = 0;
  std::optional<Millis> mAllServedSince;
  int mExpulsions = 0;
  int mRewitnesses = 0;
  int mKeyMoves = 0;
};

}

#endif
