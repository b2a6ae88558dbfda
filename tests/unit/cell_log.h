#ifndef RADISHROAD_TESTS_CELL_LOG_H
#define RADISHROAD_TESTS_CELL_LOG_H

#include "radishroad/state/fold.h"

#include <string>
#include <vector>

namespace radishroad::testing {

/// An in-memory cell stream together with the state folded from its records.
class CellLog
{
public:
  template<typename Change>
  FoldVerdict append(Change aChange)
  {
    const RandomId id{ 7, ++mLastId };
    return appendBytes(
      encodeRecord(makeRecord(std::move(aChange), id, Millis{})));
  }

  FoldVerdict appendBytes(Bytes aData)
  {
    mRecords.push_back({ mRecords.size(), Millis{}, std::move(aData) });
    return fold(mState, mRecords.back());
  }

  FoldVerdict join(Incarnation aIncarnation,
                   std::string aZone,
                   std::vector<Incarnation> aWitnesses = {})
  {
    wire::JoinT change;
    change.vm = "vm-" + std::to_string(aIncarnation);
    change.zone = std::move(aZone);
    change.incarnation = aIncarnation;
    change.witnesses = std::move(aWitnesses);
    return append(std::move(change));
  }

  FoldVerdict assign(Shard aShard, Epoch aBase, Incarnation aTo)
  {
    wire::AssignT change;
    change.grants.emplace_back(aShard, aBase, aTo);
    return append(std::move(change));
  }

  FoldVerdict release(Incarnation aOwner, std::vector<wire::ShardGrant> aGrants)
  {
    wire::ReleaseT change;
    change.incarnation = aOwner;
    change.grants = std::move(aGrants);
    return append(std::move(change));
  }

  FoldVerdict expel(Incarnation aMember,
                    std::uint32_t aVersion,
                    std::vector<Incarnation> aConsents,
                    Incarnation aProposer = 0)
  {
    wire::ExpelT change;
    change.proposer = aProposer;
    change.incarnation = aMember;
    change.witness_version = aVersion;
    change.consents = std::move(aConsents);
    return append(std::move(change));
  }

  FoldVerdict split(Incarnation aOwner,
                    std::uint64_t aKey,
                    Epoch aBase,
                    Incarnation aTo)
  {
    wire::SplitKeyT change;
    change.incarnation = aOwner;
    change.key_hash = aKey;
    change.shard = shardOf(aKey);
    change.base_epoch = aBase;
    change.to = aTo;
    return append(std::move(change));
  }

  FoldVerdict rewitness(Incarnation aMember,
                        std::uint32_t aBase,
                        std::vector<Incarnation> aWitnesses)
  {
    wire::RewitnessT change;
    change.incarnation = aMember;
    change.base_version = aBase;
    change.witnesses = std::move(aWitnesses);
    return append(std::move(change));
  }

  FoldVerdict leave(Incarnation aMember)
  {
    wire::LeaveT change;
    change.incarnation = aMember;
    return append(std::move(change));
  }

  FoldVerdict drain(std::string aVm, bool aOn)
  {
    wire::DrainT change;
    change.vm = std::move(aVm);
    change.on = aOn;
    return append(std::move(change));
  }

  FoldVerdict zonesOut(std::uint64_t aVersion, std::vector<std::string> aZones)
  {
    wire::ZonesOutT change;
    change.config_version = aVersion;
    change.zones = std::move(aZones);
    return append(std::move(change));
  }

  /// A log with the members 1 to 4 in two availability zones. The witnesses of
  /// each member are the other three.
  static CellLog withFourMembers()
  {
    CellLog log;
    log.join(1, "a", { 2, 3, 4 });
    log.join(2, "a", { 1, 3, 4 });
    log.join(3, "b", { 1, 2, 4 });
    log.join(4, "b", { 1, 2, 3 });
    return log;
  }

  CellState mState;
  std::vector<LogRecord> mRecords;

private:
  std::uint64_t mLastId = 0;
};

}

#endif
