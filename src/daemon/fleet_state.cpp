#include "radishroad/daemon/fleet_state.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/folder.h"
#include "radishroad/daemon/fleet_view.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Id of a record; nothing for bytes that are no record.
std::optional<RandomId>
recordId(const LogRecord& aRecord)
{
  const Result<std::unique_ptr<wire::RecordT>> record =
    decodeRecord(aRecord.mData);
  if (!record) {
    return std::nullopt;
  }
  return RandomId{ (*record)->id_high, (*record)->id_low };
}

void
logCorrupt(const std::string& aStream, std::uint64_t aOffset)
{
  logEvent(LogLevel::Error,
           "record_corrupt",
           { { "stream", aStream }, { "offset", aOffset } });
}

}

FleetState::FleetState(std::string aOwnService,
                       ViewHolder& aViews,
                       Hooks aHooks)
  : mOwnService(std::move(aOwnService))
  , mViews(aViews)
  , mHooks(std::move(aHooks))
{
  mCells[mOwnService] = {};
}

void
FleetState::onRecords(const std::string& aStream,
                      std::span<const LogRecord> aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  if (aStream == kConfigStream) {
    foldConfig(aRecords);
    return;
  }
  for (const auto& [service, state] : mCells) {
    if (cellStream(service) == aStream) {
      foldCell(service, aRecords);
      return;
    }
  }
}

void
FleetState::onContact(const std::string& aStream, Millis aNow)
{
  mContacts[aStream] = aNow;
}

const CellState&
FleetState::ownCell() const
{
  return mCells.at(mOwnService);
}

bool
FleetState::ownCellRead() const
{
  return mContacts.contains(cellStream(mOwnService));
}

Millis
FleetState::lastConfigContact() const
{
  const auto it = mContacts.find(std::string(kConfigStream));
  return it == mContacts.end() ? Millis{} : it->second;
}

Millis
FleetState::lastOwnCellContact() const
{
  const auto it = mContacts.find(cellStream(mOwnService));
  return it == mContacts.end() ? Millis{} : it->second;
}

const Member*
FleetState::findMember(Incarnation aIncarnation) const
{
  for (const auto& [service, cell] : mCells) {
    const auto it = cell.mMembers.find(aIncarnation);
    if (it != cell.mMembers.end()) {
      return &it->second;
    }
  }
  return nullptr;
}

std::string
FleetState::serviceOf(Incarnation aIncarnation) const
{
  for (const auto& [service, cell] : mCells) {
    if (cell.mMembers.contains(aIncarnation)) {
      return service;
    }
  }
  return {};
}

std::vector<Member>
FleetState::activeMembers() const
{
  std::vector<Member> members;
  for (const auto& [service, cell] : mCells) {
    for (const auto& [incarnation, member] : cell.mMembers) {
      if (member.mStatus == MemberStatus::Active) {
        members.push_back(member);
      }
    }
  }
  return members;
}

void
FleetState::foldConfig(std::span<const LogRecord> aRecords)
{
  for (const LogRecord& record : aRecords) {
    if (record.mOffset != mConfig.mNextOffset) {
      continue;
    }
    const FoldVerdict verdict = fold(mConfig, record);
    if (verdict == FoldVerdict::Corrupt) {
      logCorrupt(std::string(kConfigStream), record.mOffset);
    }
    if (const std::optional<RandomId> id = recordId(record)) {
      mHooks.mOnRecord(*id, verdict);
    }
  }
  if (mConfig.mVersion > mModelVersion) {
    applyConfig();
  }
}

void
FleetState::foldCell(const std::string& aService,
                     std::span<const LogRecord> aRecords)
{
  CellState& cell = mCells[aService];
  const CellState before = cell;
  std::vector<std::pair<RandomId, FoldVerdict>> verdicts;
  for (const LogRecord& record : aRecords) {
    if (record.mOffset != cell.mNextOffset) {
      continue;
    }
    const FoldVerdict verdict = fold(cell, record);
    if (verdict == FoldVerdict::Corrupt) {
      logCorrupt(cellStream(aService), record.mOffset);
    }
    if (const std::optional<RandomId> id = recordId(record)) {
      verdicts.emplace_back(*id, verdict);
    }
  }
  if (cell.mNextOffset == before.mNextOffset) {
    return;
  }
  // Waits after a takeover must be in place before the view shows the new
  // owner to the request path.
  mHooks.mOnCell(aService, before, cell);
  mPublished[aService] = std::make_shared<const CellState>(cell);
  publishView();
  for (const auto& [id, verdict] : verdicts) {
    mHooks.mOnRecord(id, verdict);
  }
}

void
FleetState::applyConfig()
{
  mModelVersion = mConfig.mVersion;
  tl::expected<config::Model, Findings> model = config::parse(mConfig.mFiles);
  if (!model) {
    // The publisher checks first; what got past it stays out of force here,
    // and the one before stays in force.
    logEvent(LogLevel::Error,
             "config_refused",
             { { "version", mConfig.mVersion },
               { "finding", model.error().front().toString() } });
    return;
  }
  mModel = std::make_shared<const config::Model>(std::move(*model));
  logEvent(
    LogLevel::Info, "config_in_force", { { "version", mConfig.mVersion } });
  for (const auto& [service, settings] : mModel->mServices) {
    if (!mCells.contains(service)) {
      mCells[service] = {};
      mHooks.mFollowCell(service);
    }
  }
  publishView();
  mHooks.mOnConfig(*mModel);
}

void
FleetState::publishView()
{
  std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
  view->mConfigVersion = mModelVersion;
  view->mModel = mModel;
  view->mCells = mPublished;
  mViews.set(std::move(view));
}

}
