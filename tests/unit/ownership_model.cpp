#include "unit/ownership_model.h"

#include "radishroad/state/placement.h"

#include <algorithm>

namespace ownership_model {

namespace {

constexpr Millis kRetryInterval{ 500 };

std::string
zoneOf(int aIndex)
{
  return std::string(1, static_cast<char>('a' + aIndex % 3));
}

/// The key of a shard that is split out in this model. The key whose hash is
/// the number of the shard never is.
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

/// Limits the delay of pending events once the faults have ended.
template<typename Event>
void
limitDelivery(Schedule<Event>& aSchedule, Millis aLatest)
{
  Schedule<Event> limited;
  for (; !aSchedule.empty(); aSchedule.pop()) {
    Event event = aSchedule.top();
    event.mAt = std::min(event.mAt, aLatest);
    limited.push(std::move(event));
  }
  aSchedule = std::move(limited);
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
  const double t = static_cast<double>(mNow.mCount) * mClockRate[aIndex];
  return { 100'000 * (aIndex + 1) + static_cast<std::int64_t>(t) };
}

void
Model::setUp()
{
  std::vector<Member> members;
  for (int n = 0; n < kDaemonCount; ++n) {
    mClockRate[n] = 0.98 + 0.04 * mUniform(mRandom);
    members.emplace_back();
    members.back().mIncarnation = ++mLastIncarnation;
    members.back().mZone = zoneOf(n);
  }
  for (int n = 0; n < kDaemonCount; ++n) {
    wire::JoinT join;
    join.vm = "vm" + std::to_string(n);
    join.zone = zoneOf(n);
    join.incarnation = members[n].mIncarnation;
    join.witnesses = chooseWitnesses(
      members, join.incarnation, join.zone, kTargetWitnessCount);
    appendNow(recordOf(std::move(join)));
  }
  wire::AssignT assign;
  for (Shard shard = 0; shard < kShards; ++shard) {
    assign.grants.emplace_back(shard, 0, shard % kDaemonCount + 1);
  }
  appendNow(recordOf(std::move(assign)));
  for (int n = 0; n < kDaemonCount; ++n) {
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

/// A daemon learns the outcome of an append only by reading it back.
bool
Model::submit(int aIndex, const wire::RecordT& aRecord)
{
  if (mLogCut[aIndex]) {
    return false;
  }
  if (!isFaultFree() && chance(0.1)) {
    return true;
  }
  const bool late = !isFaultFree() && chance(0.15);
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
  } else if (!daemon.mMaybeAppended ||
             mMutant == Mutant::AbandonChangeInDoubt) {
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
Model::injectFaults()
{
  if (isFaultFree()) {
    mPausedUntil.fill({});
    mLogCut.fill(false);
    mLinkCut = {};
    limitDelivery(mMessages, mNow + Millis{ 40 });
    limitDelivery(mAppends, mNow + Millis{ 40 });
    return;
  }
  const bool partitioned = chance(0.15);
  std::array<bool, kDaemonCount> side{};
  for (int n = 0; n < kDaemonCount; ++n) {
    side[n] = chance(0.5);
    mLogCut[n] = partitioned ? side[n] : chance(0.2);
    if (chance(0.07)) {
      mPausedUntil[n] = mNow + between(200, 4000);
    }
    if (mNow < kFaultsEnd - Millis{ 3000 } && chance(0.02)) {
      crash(n);
    }
  }
  for (int n = 0; n < kDaemonCount; ++n) {
    for (int to = 0; to < kDaemonCount; ++to) {
      mLinkCut[n][to] = partitioned ? side[n] != side[to] : chance(0.12);
    }
  }
}

/// Replaces the daemon with a new process on the same VM; all state of the old
/// process is lost.
void
Model::crash(int aIndex)
{
  mDaemons[aIndex] = std::make_unique<Daemon>(++mLastIncarnation, mLogState);
  mDaemons[aIndex]->mLogAnsweredAt = localTime(aIndex);
  mDaemons[aIndex]->mExpulsionController.onState(mLogState, localTime(aIndex));
}

/// Acts as the operator: declares lost members whose remaining witnesses are
/// too few to expel them.
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
      std::ranges::count_if(member.mWitnesses, [&](Incarnation aMember) {
        return alive.contains(aMember);
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
  for (int to = 0; to < kDaemonCount; ++to) {
    if (mDaemons[to]->mSelf != aTo || mLinkCut[aFrom][to] ||
        (!isFaultFree() && chance(0.05))) {
      continue;
    }
    aMessage.mTo = to;
    const int copies = !isFaultFree() && chance(0.05) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const bool late = !isFaultFree() && chance(0.1);
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
    if (isPaused(message.mTo)) {
      message.mAt = mPausedUntil[message.mTo] + kTick;
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
      const bool early = mEarlyConsents.contains({ aIndex, aMessage.mLeaseId });
      const RenewalAnswer answer = daemon.mExpulsionController.onRenew(
        { aMessage.mLeaseId, aMessage.mSentAt, aMessage.mAckedSentAt }, now);
      const bool forcePromise =
        mMutant == Mutant::RevocableConsent ||
        (mMutant == Mutant::PromiseToExpelled &&
         !isActive(daemon.mState, aMessage.mLeaseId.mIncarnation));
      if (answer == RenewalAnswer::Withheld && !forcePromise) {
        reply.mKind = Message::Kind::Withheld;
        send(aIndex, aMessage.mFrom, reply);
      } else if ((answer == RenewalAnswer::Promised && !early) ||
                 forcePromise) {
        reply.mKind = Message::Kind::Promise;
        send(aIndex, aMessage.mFrom, reply);
      }
      return;
    }
    case Message::Kind::Promise: {
      const Millis sentAt =
        mMutant == Mutant::TtlFromReceipt ? now : aMessage.mSentAt;
      daemon.mHolder.onPromise(aMessage.mFrom,
                               aMessage.mLeaseId.mVersion,
                               sentAt,
                               mMutant == Mutant::CountLatePromises ? sentAt
                                                                    : now);
      return;
    }
    case Message::Kind::Withheld:
      daemon.mHolder.onWithheld(
        aMessage.mFrom, aMessage.mLeaseId.mVersion, aMessage.mSentAt);
      return;
    case Message::Kind::ConsentRequest:
      reply.mKind = Message::Kind::Consent;
      reply.mAnswer =
        daemon.mExpulsionController.onConsentAsk(aMessage.mLeaseId, now);
      if (mMutant == Mutant::EarlyConsent) {
        mEarlyConsents.insert({ aIndex, aMessage.mLeaseId });
        reply.mAnswer.mGranted = true;
      }
      send(aIndex, aMessage.mFrom, reply);
      return;
    case Message::Kind::Consent:
      daemon.mExpulsionController.onConsent(
        aMessage.mLeaseId, aMessage.mFrom, aMessage.mAnswer, now);
      return;
  }
}

/// Returns true if any record was folded.
bool
Model::readLog(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (mLogCut[aIndex] || !chance(isFaultFree() ? 1.0 : 0.4)) {
    return false;
  }
  daemon.mLogAnsweredAt = localTime(aIndex);
  const std::uint64_t before = daemon.mState.mNextOffset;
  std::uint64_t end = mLog.size();
  end -= !isFaultFree() && end > before && chance(0.3) ? 1 : 0;
  while (daemon.mState.mNextOffset < end) {
    const LogRecord& record = mLog[daemon.mState.mNextOffset];
    fold(daemon.mState, record);
    // Whether it was applied or not, the record can no longer take effect.
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
    daemon.mExpulsionController.onState(daemon.mState, now);
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
  stepWitnessSetManager(aIndex);
  stepRandomRewitness(aIndex);
  for (const LeaseHolder::Renewal& renewal : daemon.mHolder.renewals(now)) {
    Message message;
    message.mLeaseId = { daemon.mSelf, renewal.mVersion };
    message.mSentAt = now;
    message.mAckedSentAt = renewal.mAckedSentAt;
    send(aIndex, renewal.mWitness, message);
  }
  const bool logAnswers = now - daemon.mLogAnsweredAt < kLogReadTimeout;
  const ExpulsionController::Actions actions =
    daemon.mExpulsionController.step(daemon.mState, logAnswers, now);
  for (const ExpulsionController::ConsentRequest& ask :
       actions.mConsentRequests) {
    Message message;
    message.mKind = Message::Kind::ConsentRequest;
    message.mLeaseId = ask.mLeaseId;
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
  daemon.mNextJoin = mNow + kRetryInterval;
  wire::JoinT join;
  join.vm = "vm" + std::to_string(aIndex);
  join.zone = zoneOf(aIndex);
  join.incarnation = daemon.mSelf;
  join.witnesses = chooseWitnesses(
    membersOf(daemon.mState), daemon.mSelf, join.zone, kTargetWitnessCount);
  submit(aIndex, recordOf(std::move(join)));
}

void
Model::stepWitnessSetManager(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  const Millis now = localTime(aIndex);
  const std::set<Incarnation> suspects =
    daemon.mExpulsionController.suspects(now);
  const WitnessSetManager::SuspectFn isSuspect =
    [&suspects](Incarnation aMember) { return suspects.contains(aMember); };
  LeaseHolder holderCopy = daemon.mHolder;
  const bool joint = mMutant != Mutant::NoJointQuorum;
  const std::optional<wire::RewitnessT> change =
    daemon.mWitnessSetManager.step(daemon.mState,
                                   joint ? daemon.mHolder : holderCopy,
                                   isSuspect,
                                   daemon.mLogAnsweredAt,
                                   now);
  if (!joint && !change) {
    daemon.mHolder = holderCopy;
  }
  if (change) {
    submitChange(aIndex, *change);
  }
}

/// Proposes a random witness set, which the production rules would not choose.
void
Model::stepRandomRewitness(int aIndex)
{
  Daemon& daemon = *mDaemons[aIndex];
  if (isFaultFree() || daemon.mHolder.changeInDoubt() || !chance(0.003)) {
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
  if (mMutant != Mutant::NoJointQuorum) {
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
      daemon.mNextRelease = mNow + kRetryInterval;
      submit(aIndex, *daemon.mRelease);
    }
    return;
  }
  if (isFaultFree()) {
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
  daemon.mReleasingShard = grants[0].shard();
  return recordOf(std::move(release));
}

/// Splits out, moves or merges back a random key that the daemon owns.
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
  move.to = returns ? 0 : mDaemons[mRandom() % kDaemonCount]->mSelf;
  daemon.mReleasingShard = move.shard;
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
    daemon.mNextAssign = mNow + kRetryInterval;
    submit(aIndex, recordOf(std::move(assign)));
  }
}

bool
Model::serves(int aIndex, std::uint64_t aKeyHash) const
{
  const Daemon& daemon = *mDaemons[aIndex];
  const bool keyMove =
    daemon.mRelease && daemon.mRelease->change.type == wire::Change::SplitKey;
  const bool heldBack = daemon.mRelease &&
                        daemon.mReleasingShard == shardOf(aKeyHash) &&
                        !(keyMove && mMutant == Mutant::ServeKeyDuringMove);
  return !heldBack && ownerOf(daemon.mState, aKeyHash).mOwner == daemon.mSelf;
}

/// Counts the daemons that would now serve each shard and its split key. Paused
/// daemons count as well: they check their lease before they continue.
void
Model::checkServers(Outcome& aOutcome)
{
  std::array<int, kShards> servers{};
  std::array<int, kShards> keyServers{};
  for (int n = 0; n < kDaemonCount; ++n) {
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
  bool allServed = true;
  for (Shard shard = 0; shard < kShards; ++shard) {
    const int count = std::max(servers[shard], keyServers[shard]);
    const bool served = servers[shard] > 0 && keyServers[shard] > 0;
    mServedCount += served ? 1 : 0;
    ++mCheckedCount;
    allServed = allServed && served;
    if (count > 1 && !aOutcome.mViolated) {
      aOutcome.mViolated = true;
      aOutcome.mViolatedAt = mNow;
    }
  }
  if (!allServed) {
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
      injectFaults();
    }
    if (mNow.mCount % 1000 == 0) {
      declareLost();
    }
    tick(outcome);
  }
  if (mAllServedSince) {
    outcome.mRecoveryTime = std::max(Millis{}, *mAllServedSince - kFaultsEnd);
  }
  outcome.mExpulsions = mExpulsions;
  outcome.mRewitnesses = mRewitnesses;
  outcome.mKeyMoves = mKeyMoves;
  outcome.mServedShare =
    static_cast<double>(mServedCount) / static_cast<double>(mCheckedCount);
  return outcome;
}

void
Model::tick(Outcome& aOutcome)
{
  appendAll();
  deliver();
  for (int n = 0; n < kDaemonCount; ++n) {
    if (!isPaused(n)) {
      step(n);
    }
  }
  checkServers(aOutcome);
}

LossOutcome
Model::runLoss(int aLost)
{
  return runFault([this, aLost] {
    for (int n = 0; n < aLost; ++n) {
      crash(n);
      mPausedUntil[n] = kEnd;
    }
  });
}

LossOutcome
Model::runReceiveFailure()
{
  return runFault([this] {
    for (int n = 0; n < kDaemonCount; ++n) {
      mLinkCut[n][0] = true;
    }
  });
}

LossOutcome
Model::runFault(const std::function<void()>& aFault)
{
  mAlwaysFaultFree = true;
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
    loss.mUnservedTime = *mAllServedSince - lossAt;
  }
  loss.mAppends = mLog.size() - records;
  std::size_t others = 0;
  for (std::size_t n = records; n < mLog.size(); ++n) {
    const auto record = decodeRecord(mLog[n].mData);
    if ((*record)->change.type == wire::Change::Expel) {
      loss.mAppendsBeforeExpulsion = others;
    } else {
      ++others;
    }
  }
  return loss;
}

}
