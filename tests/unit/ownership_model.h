#ifndef RADISHROAD_TESTS_UNIT_OWNERSHIP_MODEL_H
#define RADISHROAD_TESTS_UNIT_OWNERSHIP_MODEL_H

#include "radishroad/ownership/expel_driver.h"
#include "radishroad/ownership/handoff.h"
#include "radishroad/ownership/lease_holder.h"
#include "radishroad/ownership/witness_keeper.h"
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

/// A rule left out, to see that the model notices.
enum class Mutant
{
  None,
  NoJointMajority,
  EarlyConsent,
  TtlFromReceipt,
  ConsentNotForGood,
  PromiseToExpelled,
  AbandonInDoubt,
  CountLatePromises,
  KeyNotHeldBack,
};

/// What the owners hand off among themselves.
enum class HandOffs
{
  Shards,
  ShardsAndKeys,
};

constexpr int kDaemons = 7;
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
    Ask,
    Consent,
  };
  Millis mAt;
  std::uint64_t mSequence = 0;
  int mTo = 0;
  Incarnation mToIncarnation = 0;
  Incarnation mFrom = 0;
  Kind mKind = Kind::Renew;
  LeaseLabel mLabel;
  Millis mSentAt;
  Millis mHeardSentAt;
  Witness::ConsentAnswer mAnswer;
};

struct Append
{
  Millis mAt;
  std::uint64_t mSequence = 0;
  Bytes mData;
};

template<typename Event>
struct Later
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mSequence) >
           std::tie(aRight.mAt, aRight.mSequence);
  }
};

template<typename Event>
using Schedule = std::priority_queue<Event, std::vector<Event>, Later<Event>>;

/// One daemon with the real classes and a drifting clock of its own.
struct Daemon
{
  Daemon(Incarnation aSelf, const CellState& aState)
    : mSelf(aSelf)
    , mState(aState)
    , mHolder(aSelf)
    , mDriver(aSelf)
    , mKeeper(aSelf)
  {
  }

  Incarnation mSelf;
  CellState mState;
  LeaseHolder mHolder;
  ExpelDriver mDriver;
  WitnessKeeper mKeeper;
  /// An append of the change in doubt may have taken effect.
  bool mMaybeAppended = false;
  Millis mLogAnsweredAt;
  Millis mNextJoin;
  Millis mNextAssign;
  /// A hand-off whose outcome is not read back yet: its shard is not served.
  std::optional<wire::RecordT> mRelease;
  Shard mReleasing = 0;
  Millis mNextRelease;
};

struct Outcome
{
  bool mViolated = false;
  Millis mViolatedAt;
  /// From the end of faults until every shard was served, to the end.
  std::optional<Millis> mRecovery;
  int mExpulsions = 0;
  int mRewitnesses = 0;
  /// Keys split out, moved or returned.
  int mKeyMoves = 0;
  double mServedShare = 0;
};

/// What the loss of daemons in an otherwise calm cell leads to.
struct LossOutcome
{
  /// From the loss until every shard was served again.
  std::optional<Millis> mUnserved;
  std::size_t mAppends = 0;
  /// Appends other than expulsions, up to the last expulsion.
  std::size_t mAheadOfExpulsion = 0;
};

/// Runs one seed: cuts, freezes, crashes, delayed, lost and repeated messages,
/// logs cut off and appends in doubt until kFaultsEnd, then calm.
class Model
{
public:
  Model(std::uint32_t aSeed,
        Mutant aMutant,
        HandOffs aHandOffs = HandOffs::Shards);
  Outcome run();
  /// No faults, but aLost daemons are lost for good at the same moment.
  LossOutcome runLoss(int aLost);
  /// No other fault, but one daemon hears nothing of its peers for good.
  LossOutcome runDeaf();

private:
  bool chance(double aShare) { return mUniform(mRandom) < aShare; }
  Millis between(std::int64_t aLow, std::int64_t aHigh);
  bool calm() const { return mAlwaysCalm || mNow >= kFaultsEnd; }
  Millis localTime(int aIndex) const;
  bool frozen(int aIndex) const { return mFrozenUntil[aIndex] > mNow; }

  LossOutcome runFault(const std::function<void()>& aFault);
  void setUp();
  void drawFaults();
  void crash(int aIndex);
  void declareLost();
  void send(int aFrom, Incarnation aTo, Message aMessage);
  void deliver();
  void receive(int aIndex, const Message& aMessage);
  void appendAll();
  bool readLog(int aIndex);
  void step(int aIndex);
  void stepJoin(int aIndex);
  void stepKeeper(int aIndex);
  void stepShuffle(int aIndex);
  void stepRelease(int aIndex);
  std::optional<wire::RecordT> shardRelease(int aIndex);
  std::optional<wire::RecordT> keyRelease(int aIndex);
  bool serves(int aIndex, std::uint64_t aKeyHash) const;
  void stepAssign(int aIndex);
  template<typename Change>
  wire::RecordT recordOf(Change aChange);
  /// False if the record is certainly not appended, and the daemon knows.
  bool submit(int aIndex, const wire::RecordT& aRecord);
  void submitChange(int aIndex, const wire::RewitnessT& aChange);
  void appendNow(const wire::RecordT& aRecord);
  void tick(Outcome& aOutcome);
  void judge(Outcome& aOutcome);

  std::mt19937 mRandom;
  std::uniform_real_distribution<double> mUniform{ 0, 1 };
  Mutant mMutant;
  HandOffs mHandOffs;
  bool mAlwaysCalm = false;
  Millis mNow;
  std::uint64_t mSequence = 0;
  std::uint64_t mLastRecord = 0;
  Incarnation mLastIncarnation = 0;
  std::vector<LogRecord> mLog;
  CellState mLogState;
  Schedule<Message> mMessages;
  Schedule<Append> mAppends;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::array<double, kDaemons> mRate{};
  std::array<Millis, kDaemons> mFrozenUntil{};
  std::array<bool, kDaemons> mLogCut{};
  std::array<std::array<bool, kDaemons>, kDaemons> mCut{};
  /// Consents given early by the mutant of that name.
  std::set<std::pair<int, LeaseLabel>> mEarly;
  std::uint64_t mServed = 0;
  std::uint64_t mJudged = 0;
  std::optional<Millis> mAllServedSince;
  int mExpulsions = 0;
  int mRewitnesses = 0;
  int mKeyMoves = 0;
};

}

#endif
