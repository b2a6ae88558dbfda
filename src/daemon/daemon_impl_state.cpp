#include "daemon_impl.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace radishroad {

namespace {

/// Time for which the writer tries to commit a record.
constexpr Millis kWriteTimeout{ 2000 };
/// The same while a cell has no coordinator: a daemon that loses the race for
/// the first write soon finds a coordinator and sends its record there.
constexpr Millis kFirstWriteTimeout{ 100 };

std::optional<OperatorEntries>
decodeEntries(std::span<const std::uint8_t> aData)
{
  const Result<std::unique_ptr<wire::RecordT>> record = decodeRecord(aData);
  const wire::PublishT* publish =
    record ? (*record)->change.AsPublish() : nullptr;
  if (publish == nullptr) {
    return std::nullopt;
  }
  OperatorEntries entries;
  entries.mNext = publish->base_version;
  entries.mIsComplete = true;
  for (const std::unique_ptr<wire::ConfigFileT>& file : publish->files) {
    entries.mEntries.push_back(
      { file->name, { file->text.begin(), file->text.end() } });
  }
  return entries;
}

/// aError tells whether the record may still take effect.
void
logUnwrittenRecord(const std::string& aId,
                   Incarnation aProposer,
                   const Error& aError)
{
  logEvent(LogLevel::Warn,
           "record_not_written",
           { { "id", aId },
             { "proposer", std::to_string(aProposer) },
             { "in_doubt", aError.mCode == ErrorCode::Unknown },
             { "error", aError.mMessage } });
}

}

void
Daemon::Impl::applyState(const std::string& aStream,
                         std::uint64_t aVersion,
                         const CellState& aState)
{
  mWriter->observeState(aStream, aVersion, aState);
  mFleet.onState(aStream, aVersion, aState);
  // States received from peers need not be read from the store again.
  const auto it = mKnownVersions.find(aStream);
  if (it != mKnownVersions.end()) {
    *it->second = mFleet.versionOf(aStream);
  }
  applyBufferedChange(aStream);
}

void
Daemon::Impl::applyBufferedChange(const std::string& aStream)
{
  const CellState* base = mFleet.stateOf(aStream);
  std::optional<ChangeBuffer::Change> next =
    base == nullptr ? std::nullopt
                    : mChangeBuffers[aStream].take(mFleet.versionOf(aStream));
  if (!next) {
    return;
  }
  StateChange change = applyRecords(*base, next->mRecords);
  change.mState.mStoreGeneration = next->mGeneration;
  if (change.mChanged) {
    mStoreAnsweredAt = monotonicNow();
    applyState(aStream, next->mVersion, change.mState);
  }
}

void
Daemon::Impl::broadcastStateChange(const std::string& aStream,
                                   std::uint64_t aBase,
                                   std::uint64_t aVersion,
                                   const std::vector<Bytes>& aRecords)
{
  mStoreAnsweredAt = monotonicNow();
  // Peers that lack the base version notice it by the positions that come with
  // lease renewals, and fetch the full state.
  wire::RelayRecordsT relay;
  relay.stream = aStream;
  relay.base_version = aBase;
  const CellState* state = mFleet.stateOf(aStream);
  relay.generation = state == nullptr ? 0 : state->mStoreGeneration;
  for (const Bytes& data : aRecords) {
    relay.records.push_back(std::make_unique<wire::RelayedRecordT>());
    relay.records.back()->offset = aVersion;
    relay.records.back()->data = data;
  }
  // Sent to addresses and not to incarnations: after many daemons have
  // restarted, a daemon may know only the earlier incarnations of another
  // cell's members.
  std::set<std::string> addresses;
  for (const auto& [service, cell] : mFleet.cells()) {
    for (const auto& [incarnation, member] : cell->mMembers) {
      const bool isOther =
        incarnation != mSelf && member.mPeerAddress != mSettings.mPeerAddress;
      if (isOther && member.mStatus == MemberStatus::Active) {
        addresses.insert(member.mPeerAddress);
      }
    }
  }
  const std::vector<std::string> targets(addresses.begin(), addresses.end());
  mPeerTransport->sendControlToAll(targets, makeBody(std::move(relay)));
}

void
Daemon::Impl::onStateChange(const wire::RelayRecordsT& aChange)
{
  if (mFleet.stateOf(aChange.stream) == nullptr || aChange.records.empty()) {
    return;
  }
  const std::uint64_t known = mFleet.versionOf(aChange.stream);
  if (known > aChange.base_version) {
    return;
  }
  ChangeBuffer::Change change;
  change.mVersion = aChange.records.back()->offset;
  change.mGeneration = aChange.generation;
  for (const std::unique_ptr<wire::RelayedRecordT>& record : aChange.records) {
    change.mRecords.push_back(record->data);
  }
  mChangeBuffers[aChange.stream].add(aChange.base_version, std::move(change));
  if (known == aChange.base_version) {
    applyBufferedChange(aChange.stream);
    return;
  }
  const auto wanted = mWantedVersions.find(aChange.stream);
  if (wanted != mWantedVersions.end()) {
    wanted->second->want(aChange.base_version);
    mPollLoops.at(aChange.stream)->requestPoll();
  }
}

void
Daemon::Impl::onRelayedState(const std::string& aStream,
                             std::span<const LogRecord> aRecords)
{
  for (const LogRecord& record : aRecords) {
    if (aStream == kConfigStream) {
      const std::optional<OperatorEntries> entries =
        decodeEntries(record.mData);
      if (entries) {
        onOperatorEntries(*entries, EntrySource::Peer);
      }
      continue;
    }
    CellState state;
    const Result<void> decoded = decodeState(record.mData, state);
    if (decoded) {
      applyState(aStream, record.mOffset, state);
    } else {
      logEvent(
        LogLevel::Warn,
        "relayed_state_refused",
        { { "stream", aStream }, { "error", decoded.error().mMessage } });
    }
  }
}

bool
Daemon::Impl::submitState(const std::string& aStream,
                          const wire::RecordT& aRecord,
                          std::function<void(Result<std::uint64_t>)> aResult)
{
  const RandomId id{ aRecord.id_high, aRecord.id_low };
  const Bytes data = encodeRecord(aRecord);
  const Millis now = monotonicNow();
  const std::optional<Incarnation> writer =
    aStream == mContext.ownStream()
      ? mProposalForwarder.writerFor(writers(), now)
      : std::nullopt;
  if (!writer || *writer == mSelf) {
    const bool isFirst = coordinatorOf(mFleet.ownCell()) == 0;
    const Millis timeout = isFirst ? kFirstWriteTimeout : kWriteTimeout;
    return writeState(aStream, data, id, timeout, std::move(aResult));
  }
  mProposalForwarder.send(
    id,
    *writer,
    [this, aStream, data, id](Incarnation aWriter) {
      const Member* member = mFleet.findMember(aWriter);
      if (member == nullptr) {
        return;
      }
      mProposer.onCopySent(id);
      wire::ProposalT proposal;
      proposal.stream = aStream;
      proposal.record = data;
      mPeerTransport->sendControl(
        member->mPeerAddress, 0, makeBody(std::move(proposal)));
    },
    [this, aStream, data, id, result = std::move(aResult)] {
      if (!writeState(aStream, data, id, kWriteTimeout, result)) {
        result(
          fail(ErrorCode::Unavailable, "the state writer's queue is full"));
      }
    },
    now);
  return true;
}

std::vector<Incarnation>
Daemon::Impl::writers() const
{
  const std::vector<Incarnation> suspects = mLease.suspects();
  const auto writer = mUnavailableStores.find(kWriterName);
  const bool canWrite = writer == mUnavailableStores.end() || !writer->second;
  std::vector<Incarnation> found;
  for (const Incarnation incarnation :
       coordinatorSuccession(mFleet.ownCell())) {
    const Member* member = mFleet.findMember(incarnation);
    if (member == nullptr) {
      continue;
    }
    // The process at a member's address writes, even if it is a newer
    // incarnation than the state names; it may be this process itself.
    const bool isSelf =
      incarnation == mSelf || member->mPeerAddress == mSettings.mPeerAddress;
    const bool isReachable =
      isSelf ? canWrite
             : std::ranges::find(suspects, incarnation) == suspects.end();
    if (isReachable) {
      found.push_back(isSelf ? mSelf : incarnation);
    }
  }
  return found;
}

bool
Daemon::Impl::writeState(const std::string& aStream,
                         Bytes aData,
                         RandomId aId,
                         Millis aTimeout,
                         std::function<void(Result<std::uint64_t>)> aResult)
{
  return mWriter->submit(aStream,
                         std::move(aData),
                         aTimeout,
                         [this, aId, result = std::move(aResult)](
                           const Result<FoldVerdict>& aVerdict) {
                           mLoop.post([this, aId, result, aVerdict] {
                             if (aVerdict) {
                               mProposer.onRecord(aId, *aVerdict);
                             } else {
                               logUnwrittenRecord(
                                 aId.toString(), mSelf, aVerdict.error());
                               result(tl::unexpected<Error>(aVerdict.error()));
                             }
                           });
                         });
}

void
Daemon::Impl::onProposal(Incarnation aFrom, const wire::ProposalT& aProposal)
{
  // The proposer itself writes what is not committed here in time.
  // Proposers repeat their records until they are committed.
  const std::string record(aProposal.record.begin(), aProposal.record.end());
  const std::uint64_t hash = hash64(record);
  if (!mWaitingProposals.insert(hash).second) {
    return;
  }
  const bool accepted =
    mWriter && aProposal.stream == mContext.ownStream() &&
    mWriter->submit(aProposal.stream,
                    aProposal.record,
                    kWriteTimeout,
                    [this, hash, aFrom](const Result<FoldVerdict>& aVerdict) {
                      if (!aVerdict) {
                        logUnwrittenRecord("", aFrom, aVerdict.error());
                      }
                      mLoop.post(
                        [this, hash] { mWaitingProposals.erase(hash); });
                    });
  if (!accepted) {
    mWaitingProposals.erase(hash);
  }
  if (!accepted) {
    logEvent(
      LogLevel::Warn,
      "proposal_refused",
      { { "from", std::to_string(aFrom) }, { "stream", aProposal.stream } });
  }
}

void
Daemon::Impl::writeOverdueProposals()
{
  if (mProposalForwarder.idle()) {
    return;
  }
  mProposalForwarder.resend(monotonicNow());
  const std::uint64_t passedOver = mProposalForwarder.passedOver();
  const std::vector<ProposalForwarder::WriteFn> overdue =
    mProposalForwarder.takeOverdue(writers(), monotonicNow());
  mMetrics.count("radishroad_writers_passed_over_total",
                 mProposalForwarder.passedOver() - passedOver);
  if (overdue.empty()) {
    return;
  }
  logEvent(LogLevel::Warn,
           "coordinator_overdue",
           { { "coordinator", std::to_string(coordinatorOf(mFleet.ownCell())) },
             { "records", overdue.size() } });
  for (const ProposalForwarder::WriteFn& write : overdue) {
    write();
  }
}

}
