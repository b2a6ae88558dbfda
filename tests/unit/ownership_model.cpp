#include "unit/ownership_model.h"

#include "radishroad/state/placement.h"

#include <algorithm>

namespace ownership_model {

namespace {

constexpr Millis kRetry{ 500 };

std::string
zoneOf(int aIndex)
{
  return std::string(1, static_cast<char>('a' + aIndex % 3));
}

/// The one key of a shard that is split out; the shard's number itself is the
/// hash of one that never is.
std::uint64_t
splitKeyOf(Shard aShard)
{
  return aShard + std::uint64_t{ kShardCount };
}

std::vector<Member>
membersOf(const CellState& aState)
{
  std::vector<Member> members;
  for (const auto& [incarnation, member] : aState.mMembers) {
    members.push_back(member);
  }
  return members;
}

/// What is under way arrives soon once faults have ended.
template<typename Event>
void
hasten(Schedule<Event>& aSchedule, Millis aLatest)
{
  Schedule<Event> hastened;
  for (; !aSchedule.empty(); aSchedule.pop()) {
    Event event = aSchedule.top();
    event.mAt = std::min(event.mAt, aLatest);
    hastened.push(std::move(event));
  }
  aSchedule = std::move(hastened);
}

bool
isActive(const CellState& aState, Incarnation aIncarnation)
{
  const auto it = aState.mMembers.find(aIncarnation);
  return it != aState.mMembers.end() &&
         it->second.mStatus == MemberStatus::Active;
}

}

Model::Model(std::uint32_t aSeed, Mutant aMutant, HandOffs aHandOffs)
  : mRandom(aSeed)
  , mMutant(aMutant)
  , mHandOffs(aHandOffs)
{
  setUp();
}

Millis
Model::between(std::int64_t aLow, std::int64_t aHigh)
{
  return { std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom) };
}

Millis
Model::localTime(int aIndex) const
{
  const double t = static_cast<double>(mNow.mCount) * mRate[aIndex];
  return { 100'000 * (aIndex + 1) + static_cast<std::int64_t>(t) };
}

void
Model::setUp()
{
  std::vector<Member> members;
  for (int n = 0; n < kDaemons; ++n) {
    mRate[n] = 0.98 + 0.04 * mUniform(mRandom);
    members.emplace_back();
    members.back().mIncarnation = ++mLastIncarnation;
    members.back().mZone = zoneOf(n);
  }
  for (int n = 0; n < kDaemons; ++n) {
    wire::JoinT join;
    join.vm = "vm" + std::to_string(n);
    join.zone = zoneOf(n);
    join.incarnation = members[n].mIncarnation;
    join.witnesses =
      chooseWitnesses(members, join.incarnation, join.zone, kWantedWitnesses);
    appendNow(recordOf(std::move(join)));
  }
  wire::AssignT assign;
  for (Shard shard = 0; shard < kShards; ++shard) {
    assign.grants.emplace_back(shard, 0, shard % kDaemons + 1);
  }
  appendNow(recordOf(std::move(assign)));
  for (int n = 0; n < kDaemons; ++n) {
    mDaemons.push_back(std::make_unique<Daemon>(n + 1, CellState()));
  }
}

template<typename Change>
wire::RecordT
Model::recordOf(Change aChange)
{
  return makeRecord(std::move(aChange), { 1, ++mLastRecord }, mNow);
}

void
Model::appendNow(const wire::RecordT& aRecord)
{
  mLog.push_back({ mLog.size(), mNow, encodeRecord(aRecord) });
  if (fold(mLogState, mLog.back()) != FoldVerdict::Applied) {
    return;
  }
  mExpulsions += aRecord.change.type == wire::Change::Expel ? 1 : 0;
  mRewitnesses += aRecord.change.type == wire::Change::Rewitness ? 1 : 0;
  mKeyMoves += aRecord.change.type == wire::Change::SplitKey ? 1 : 0;
}

/// What the daemon sees of an append is only what it reads back.
bool
Model::submit(int aIndex, const wire::RecordT& aRecord)
{
  if (mLogCut[aIndex]) {
    return false;
  }
  if (!calm() && chance(0.1)) {
    return true;
  }
  const bool late = !calm() && chance(0.15);
  const Millis delay = late ? between(30, 1500) : between(1, 30);
  mAppends.push({ mNow + delay, ++mSequence, encodeRecord(aRecord) });
  return true;
}

void
Model::submitChange(int aIndex, const wire::RewitnessT& aChange)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (submit(aIndex, recordOf(aChange))) {
    daemon.mMaybeAppended = true;
  } else if (!daemon.mMaybeAppended || mMutant == Mutant::AbandonInDoubt) {
    daemon.mHolder.abandonChange();
  }
}

void
Model::appendAll()
{
  while (!mAppends.empty() && mAppends.top().mAt <= mNow) {
    const auto record = decodeRecord(mAppends.top().mData);
    mAppends.pop();
    appendNow(**record);
  }
}

void
Model::drawFaults()
{
  if (calm()) {
    mFrozenUntil.fill({});
    mLogCut.fill(false);
    mCut = {};
    hasten(mMessages, mNow + Millis{ 40 });
    hasten(mAppends, mNow + Millis{ 40 });
    return;
  }
  const bool split = chance(0.15);
  std::array<bool, kDaemons> side{};
  for (int n = 0; n < kDaemons; ++n) {
    side[n] = chance(0.5);
    mLogCut[n] = split ? side[n] : chance(0.2);
    if (chance(0.07)) {
      mFrozenUntil[n] = mNow + between(200, 4000);
    }
    if (mNow < kFaultsEnd - Millis{ 3000 } && chance(0.02)) {
      crash(n);
    }
  }
  for (int n = 0; n < kDaemons; ++n) {
    for (int to = 0; to < kDaemons; ++to) {
      mCut[n][to] = split ? side[n] != side[to] : chance(0.12);
    }
  }
}

/// The process is lost with all it knew; another starts on its VM.
void
Model::crash(int aIndex)
{
  mDaemons[aIndex] = std::make_unique<Daemon>(++mLastIncarnation, mLogState);
  mDaemons[aIndex]->mLogAnsweredAt = localTime(aIndex);
  mDaemons[aIndex]->mDriver.onState(mLogState, localTime(aIndex));
}

/// The operator's part: names lost members that lack witnesses to expel them.
void
Model::declareLost()
{
  std::set<Incarnation> alive;
  for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
    alive.insert(daemon->mSelf);
  }
  std::vector<wire::DeclareLostT> lost;
  for (const auto& [incarnation, member] : mLogState.mMembers) {
    const std::ptrdiff_t witnesses =
      std::ranges::count_if(member.mWitnesses, [&](Incarnation aOne) {
        return alive.contains(aOne);
      });
    const bool expellable =
      2 * static_cast<std::size_t>(witnesses) > member.mWitnesses.size();
    if (isActive(mLogState, incarnation) && !alive.contains(incarnation) &&
        !expellable) {
      lost.emplace_back();
      lost.back().vm = member.mVm;
      lost.back().incarnation = incarnation;
    }
  }
  for (wire::DeclareLostT& change : lost) {
    appendNow(recordOf(std::move(change)));
  }
}

void
Model::send(int aFrom, Incarnation aTo, Message aMessage)
{
  aMessage.mFrom = mDaemons[aFrom]->mSelf;
  aMessage.mToIncarnation = aTo;
  for (int to = 0; to < kDaemons; ++to) {
    if (mDaemons[to]->mSelf != aTo || mCut[aFrom][to] ||
        (!calm() && chance(0.05))) {
      continue;
    }
    aMessage.mTo = to;
    const int copies = !calm() && chance(0.05) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const bool late = !calm() && chance(0.1);
      aMessage.mAt = mNow + (late ? between(40, 1800) : between(1, 40));
      aMessage.mSequence = ++mSequence;
      mMessages.push(aMessage);
    }
  }
}

void
Model::deliver()
{
  while (!mMessages.empty() && mMessages.top().mAt <= mNow) {
    Message message = mMessages.top();
    mMessages.pop();
    if (frozen(message.mTo)) {
      message.mAt = mFrozenUntil[message.mTo] + kTick;
      mMessages.push(message);
    } else if (mDaemons[message.mTo]->mSelf == message.mToIncarnation) {
      receive(message.mTo, message);
    }
  }
}

void
Model::receive(int aIndex, const Message& aMessage)
{
  Daemon& daemon = *mDaemons[aIndex];
  const Millis now = localTime(aIndex);
  Message reply = aMessage;
  switch (aMessage.mKind) {
    case Message::Kind::Renew: {
      const bool early = mEarly.contains({ aIndex, aMessage.mLabel });
      const RenewalAnswer answer = daemon.mDriver.onRenew(
        { aMessage.mLabel, aMessage.mSentAt, aMessage.mHeardSentAt }, now);
      const bool careless =
        mMutant == Mutant::ConsentNotForGood ||
        (mMutant == Mutant::PromiseToExpelled &&
         !isActive(daemon.mState, aMessage.mLabel.mIncarnation));
      if (answer == RenewalAnswer::Withheld && !careless) {
        reply.mKind = Message::Kind::Withheld;
        send(aIndex, aMessage.mFrom, reply);
      } else if ((answer == RenewalAnswer::Promised && !early) || careless) {
        reply.mKind = Message::Kind::Promise;
        send(aIndex, aMessage.mFrom, reply);
      }
      return;
    }
    case Message::Kind::Promise: {
      const Millis sentAt =
        mMutant == Mutant::TtlFromReceipt ? now : aMessage.mSentAt;
      daemon.mHolder.onPromise(aMessage.mFrom,
                               aMessage.mLabel.mVersion,
                               sentAt,
                               mMutant == Mutant::CountLatePromises ? sentAt
                                                                    : now);
      return;
    }
    case Message::Kind::Withheld:
      daemon.mHolder.onWithheld(
        aMessage.mFrom, aMessage.mLabel.mVersion, aMessage.mSentAt);
      return;
    case Message::Kind::Ask:
      reply.mKind = Message::Kind::Consent;
      reply.mAnswer = daemon.mDriver.onConsentAsk(aMessage.mLabel, now);
      if (mMutant == Mutant::EarlyConsent) {
        mEarly.insert({ aIndex, aMessage.mLabel });
        reply.mAnswer.mGranted = true;
      }
      send(aIndex, aMessage.mFrom, reply);
      return;
    case Message::Kind::Consent:
      daemon.mDriver.onConsent(
        aMessage.mLabel, aMessage.mFrom, aMessage.mAnswer, now);
      return;
  }
}

/// True if something was folded.
bool
Model::readLog(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (mLogCut[aIndex] || !chance(calm() ? 1.0 : 0.4)) {
    return false;
  }
  daemon.mLogAnsweredAt = localTime(aIndex);
  const std::uint64_t before = daemon.mState.mNextOffset;
  std::uint64_t end = mLog.size();
  end -= !calm() && end > before && chance(0.3) ? 1 : 0;
  while (daemon.mState.mNextOffset < end) {
    const LogRecord& record = mLog[daemon.mState.mNextOffset];
    fold(daemon.mState, record);
    // Applied or not, it cannot take effect any more.
    if (daemon.mRelease &&
        (*decodeRecord(record.mData))->id_low == daemon.mRelease->id_low) {
      daemon.mRelease.reset();
    }
  }
  return daemon.mState.mNextOffset != before;
}

void
Model::step(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  const Millis now = localTime(aIndex);
  if (readLog(aIndex)) {
    daemon.mDriver.onState(daemon.mState, now);
    const auto it = daemon.mState.mMembers.find(daemon.mSelf);
    if (it != daemon.mState.mMembers.end()) {
      if (it->second.mStatus != MemberStatus::Active) {
        crash(aIndex);
        return;
      }
      daemon.mHolder.adopt(it->second.mWitnessVersion, it->second.mWitnesses);
      daemon.mMaybeAppended &= daemon.mHolder.changeInDoubt();
    }
  }
  if (!isActive(daemon.mState, daemon.mSelf)) {
    stepJoin(aIndex);
    return;
  }
  stepKeeper(aIndex);
  stepShuffle(aIndex);
  for (const LeaseHolder::Renewal& renewal : daemon.mHolder.renewals(now)) {
    Message message;
    message.mLabel = { daemon.mSelf, renewal.mVersion };
    message.mSentAt = now;
    message.mHeardSentAt = renewal.mHeardSentAt;
    send(aIndex, renewal.mWitness, message);
  }
  const bool logAnswers = now - daemon.mLogAnsweredAt < kLogSilence;
  const ExpelDriver::Actions actions =
    daemon.mDriver.step(daemon.mState, logAnswers, now);
  for (const ExpelDriver::Ask& ask : actions.mAsks) {
    Message message;
    message.mKind = Message::Kind::Ask;
    message.mLabel = ask.mLabel;
    send(aIndex, ask.mWitness, message);
  }
  for (const wire::ExpelT& expel : actions.mExpels) {
    submit(aIndex, recordOf(expel));
  }
  stepRelease(aIndex);
  stepAssign(aIndex);
}

void
Model::stepJoin(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (mNow < daemon.mNextJoin) {
    return;
  }
  daemon.mNextJoin = mNow + kRetry;
  wire::JoinT join;
  join.vm = "vm" + std::to_string(aIndex);
  join.zone = zoneOf(aIndex);
  join.incarnation = daemon.mSelf;
  join.witnesses = chooseWitnesses(
    membersOf(daemon.mState), daemon.mSelf, join.zone, kWantedWitnesses);
  submit(aIndex, recordOf(std::move(join)));
}

void
Model::stepKeeper(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  const Millis now = localTime(aIndex);
  const std::set<Incarnation> suspects = daemon.mDriver.suspects(now);
  const WitnessKeeper::SuspectFn isSuspect = [&suspects](Incarnation aOne) {
    return suspects.contains(aOne);
  };
  LeaseHolder unaware = daemon.mHolder;
  const bool joint = mMutant != Mutant::NoJointMajority;
  const std::optional<wire::RewitnessT> change =
    daemon.mKeeper.step(daemon.mState,
                        joint ? daemon.mHolder : unaware,
                        isSuspect,
                        daemon.mLogAnsweredAt,
                        now);
  if (!joint && !change) {
    daemon.mHolder = unaware;
  }
  if (change) {
    submitChange(aIndex, *change);
  }
}

/// A change to any set, as no rule would choose it.
void
Model::stepShuffle(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (calm() || daemon.mHolder.changeInDoubt() || !chance(0.003)) {
    return;
  }
  wire::RewitnessT change;
  change.incarnation = daemon.mSelf;
  change.base_version = daemon.mState.mMembers[daemon.mSelf].mWitnessVersion;
  for (const auto& [incarnation, member] : daemon.mState.mMembers) {
    if (incarnation != daemon.mSelf && isActive(daemon.mState, incarnation)) {
      change.witnesses.push_back(incarnation);
    }
  }
  std::ranges::shuffle(change.witnesses, mRandom);
  change.witnesses.resize(
    std::min<std::size_t>(change.witnesses.size(), 2 + mRandom() % 4));
  if (mMutant != Mutant::NoJointMajority) {
    daemon.mHolder.beginChange(change.witnesses);
  }
  submitChange(aIndex, change);
}

void
Model::stepRelease(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (daemon.mRelease) {
    if (mNow >= daemon.mNextRelease) {
      daemon.mNextRelease = mNow + kRetry;
      submit(aIndex, *daemon.mRelease);
    }
    return;
  }
  if (calm()) {
    return;
  }
  if (chance(0.003)) {
    daemon.mRelease = shardRelease(aIndex);
  } else if (mHandOffs == HandOffs::ShardsAndKeys && chance(0.01)) {
    daemon.mRelease = keyRelease(aIndex);
  }
  daemon.mNextRelease = mNow;
}

std::optional<wire::RecordT>
Model::shardRelease(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  const std::vector<wire::ShardGrant> grants =
    planEvacuation(daemon.mState, daemon.mSelf, 1);
  if (grants.empty()) {
    return std::nullopt;
  }
  wire::ReleaseT release;
  release.incarnation = daemon.mSelf;
  release.grants = grants;
  daemon.mReleasing = grants[0].shard();
  return recordOf(std::move(release));
}

/// Splits out, moves on or returns any key that the daemon owns.
std::optional<wire::RecordT>
Model::keyRelease(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  const std::uint64_t key = splitKeyOf(static_cast<Shard>(mRandom() % kShards));
  const Ownership owned = ownerOf(daemon.mState, key);
  if (owned.mOwner != daemon.mSelf) {
    return std::nullopt;
  }
  wire::SplitKeyT move;
  move.incarnation = daemon.mSelf;
  move.key_hash = key;
  move.shard = shardOf(key);
  move.base_epoch = owned.mEpoch;
  const bool returns =
    daemon.mState.mSplitKeys.contains(key) && mRandom() % 3 == 0;
  move.to = returns ? 0 : mDaemons[mRandom() % kDaemons]->mSelf;
  daemon.mReleasing = move.shard;
  return recordOf(move);
}

void
Model::stepAssign(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (mNow < daemon.mNextAssign ||
      coordinatorOf(daemon.mState) != daemon.mSelf) {
    return;
  }
  const auto end = daemon.mState.mShards.begin() + kShards;
  if (std::none_of(
        daemon.mState.mShards.begin(), end, [](const Ownership& aShard) {
          return aShard.mOwner == 0;
        })) {
    return;
  }
  wire::AssignT assign;
  for (const wire::ShardGrant& grant : planInitialAssignment(daemon.mState)) {
    if (grant.shard() < kShards) {
      assign.grants.push_back(grant);
    }
  }
  if (!assign.grants.empty()) {
    daemon.mNextAssign = mNow + kRetry;
    submit(aIndex, recordOf(std::move(assign)));
  }
}

bool
Model::serves(int aIndex, std::uint64_t aKeyHash) const
{
  const Daemon& daemon = *mDaemons[aIndex];
  const bool keyed =
    daemon.mRelease && daemon.mRelease->change.type == wire::Change::SplitKey;
  const bool held = daemon.mRelease && daemon.mReleasing == shardOf(aKeyHash) &&
                    !(keyed && mMutant == Mutant::KeyNotHeldBack);
  return !held && ownerOf(daemon.mState, aKeyHash).mOwner == daemon.mSelf;
}

/// Counts who would serve each shard, and a key of it that may be split out,
/// now, frozen daemons included: they look at their lease before they go on.
void
Model::judge(Outcome& aOutcome)
{
  std::array<int, kShards> servers{};
  std::array<int, kShards> keyServers{};
  for (int n = 0; n < kDaemons; ++n) {
    const Daemon& daemon = *mDaemons[n];
    if (!isActive(daemon.mState, daemon.mSelf) ||
        !daemon.mHolder.holds(localTime(n))) {
      continue;
    }
    for (Shard shard = 0; shard < kShards; ++shard) {
      servers[shard] += serves(n, shard) ? 1 : 0;
      keyServers[shard] += serves(n, splitKeyOf(shard)) ? 1 : 0;
    }
  }
  bool all = true;
  for (Shard shard = 0; shard < kShards; ++shard) {
    const int count = std::max(servers[shard], keyServers[shard]);
    const bool served = servers[shard] > 0 && keyServers[shard] > 0;
    mServed += served ? 1 : 0;
    ++mJudged;
    all = all && served;
    if (count > 1 && !aOutcome.mViolated) {
      aOutcome.mViolated = true;
      aOutcome.mViolatedAt = mNow;
    }
  }
  if (!all) {
    mAllServedSince.reset();
  } else if (!mAllServedSince) {
    mAllServedSince = mNow;
  }
}

Outcome
Model::run()
{
  Outcome outcome;
  for (; mNow < kEnd && !outcome.mViolated; mNow += kTick) {
    if (mNow.mCount % 500 == 0) {
      drawFaults();
    }
    if (mNow.mCount % 1000 == 0) {
      declareLost();
    }
    tick(outcome);
  }
  if (mAllServedSince) {
    outcome.mRecovery = std::max(Millis{}, *mAllServedSince - kFaultsEnd);
  }
  outcome.mExpulsions = mExpulsions;
  outcome.mRewitnesses = mRewitnesses;
  outcome.mKeyMoves = mKeyMoves;
  outcome.mServedShare =
    static_cast<double>(mServed) / static_cast<double>(mJudged);
  return outcome;
}

void
Model::tick(Outcome& aOutcome)
{
  appendAll();
  deliver();
  for (int n = 0; n < kDaemons; ++n) {
    if (!frozen(n)) {
      step(n);
    }
  }
  judge(aOutcome);
}

LossOutcome
Model::runLoss(int aLost)
{
  return runFault([this, aLost] {
    for (int n = 0; n < aLost; ++n) {
      crash(n);
      mFrozenUntil[n] = kEnd;
    }
  });
}

LossOutcome
Model::runDeaf()
{
  return runFault([this] {
    for (int n = 0; n < kDaemons; ++n) {
      mCut[n][0] = true;
    }
  });
}

LossOutcome
Model::runFault(const std::function<void()>& aFault)
{
  mAlwaysCalm = true;
  Outcome outcome;
  const Millis lossAt = Millis{ 3000 } + kTick * (mRandom() % 25);
  for (; mNow < lossAt; mNow += kTick) {
    tick(outcome);
  }
  const std::size_t records = mLog.size();
  aFault();
  for (; mNow < kEnd; mNow += kTick) {
    tick(outcome);
  }
  LossOutcome loss;
  if (mAllServedSince && !outcome.mViolated) {
    loss.mUnserved = *mAllServedSince - lossAt;
  }
  loss.mAppends = mLog.size() - records;
  std::size_t others = 0;
  for (std::size_t n = records; n < mLog.size(); ++n) {
    const auto record = decodeRecord(mLog[n].mData);
    if ((*record)->change.type == wire::Change::Expel) {
      loss.mAheadOfExpulsion = others;
    } else {
      ++others;
    }
  }
  return loss;
}

}
