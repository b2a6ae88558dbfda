#include "radishroad/daemon/fleet_state.h"

#include "radishroad/base/json_log.h"
#include "radishroad/config/folder.h"
#include "radishroad/daemon/fleet_view.h"
#include "radishroad/state/relay.h"
#include "radishroad/state/snapshot_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

/// Id of a record; nothing for bytes that cannot be decoded.
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
                       FleetViewStore& aViews,
                       Hooks aHooks)
  : mOwnService(std::move(aOwnService))
  , mViews(aViews)
  , mHooks(std::move(aHooks))
  , mConfig({ [this](const LogRecord& aRecord, FoldVerdict aVerdict) {
    queueVerdict(std::string(kConfigStream), aRecord, aVerdict);
  } })
{
  addCell(mOwnService);
}

StreamLoader<CellState>&
FleetState::addCell(const std::string& aService)
{
  StreamLoader<CellState>::Hooks hooks;
  hooks.mOnFolded = [this, stream = cellStream(aService)](
                      const LogRecord& aRecord, FoldVerdict aVerdict) {
    queueVerdict(stream, aRecord, aVerdict);
  };
  return mCells.try_emplace(aService, std::move(hooks)).first->second;
}

void
FleetState::onRecords(const std::string& aStream,
                      std::span<const LogRecord> aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  RecordCache& cache = mCaches[aStream];
  if (!cache.add(aRecords)) {
    cache.clear();
    cache.add(aRecords);
  }
  if (aStream == kConfigStream) {
    foldConfig(aRecords);
    return;
  }
  for (const auto& [service, loader] : mCells) {
    if (cellStream(service) == aStream) {
      foldCell(service, aRecords);
      return;
    }
  }
}

void
FleetState::onReadSucceeded(const std::string& aStream, Millis aSentAt)
{
  mLastReads[aStream] = aSentAt;
  mFailingStreams.erase(aStream);
}

void
FleetState::onReadFailed(const std::string& aStream)
{
  mFailingStreams.insert(aStream);
}

bool
FleetState::isLogReachable() const
{
  const std::string stream = cellStream(mOwnService);
  return mLastReads.contains(stream) && !mFailingStreams.contains(stream);
}

void
FleetState::onRecordsExpired(const std::string& aStream, std::uint64_t aOldest)
{
  if (aStream == kConfigStream) {
    mConfig.onRecordsExpired(aOldest);
    return;
  }
  for (auto& [service, loader] : mCells) {
    if (cellStream(service) == aStream) {
      loader.onRecordsExpired(aOldest);
    }
  }
}

std::vector<LogRecord>
FleetState::recordsFrom(const std::string& aStream, std::uint64_t aFrom) const
{
  if (mHasFullStates) {
    return fullState(aStream);
  }
  const auto it = mCaches.find(aStream);
  return it == mCaches.end() ? std::vector<LogRecord>()
                             : it->second.get(aFrom, kMaxRelayBytes);
}

const CellState*
FleetState::stateOf(const std::string& aStream) const
{
  for (const auto& [service, loader] : mCells) {
    if (cellStream(service) == aStream) {
      return &loader.state();
    }
  }
  return nullptr;
}

std::uint64_t
FleetState::versionOf(const std::string& aStream) const
{
  const auto it = mVersions.find(aStream);
  return it == mVersions.end() ? 0 : it->second;
}

std::vector<LogRecord>
FleetState::fullState(const std::string& aStream) const
{
  LogRecord record;
  if (aStream == kConfigStream) {
    record.mData = mEncodedModel;
  }
  if (const CellState* state = stateOf(aStream)) {
    record.mData = encodeState(*state);
    record.mOffset = versionOf(aStream);
  }
  if (record.mData.empty()) {
    return {};
  }
  return { std::move(record) };
}

std::uint64_t
FleetState::nextOffset(const std::string& aStream) const
{
  if (aStream == kConfigStream) {
    return mHasFullStates ? mModelVersion : mConfig.state().mNextOffset;
  }
  for (const auto& [service, loader] : mCells) {
    if (cellStream(service) == aStream) {
      return loader.state().mNextOffset;
    }
  }
  return 0;
}

const StreamLoader<CellState>&
FleetState::ownCellLoader() const
{
  return mCells.at(mOwnService);
}

const CellState&
FleetState::ownCell() const
{
  return ownCellLoader().state();
}

std::map<std::string, const CellState*>
FleetState::cells() const
{
  std::map<std::string, const CellState*> states;
  for (const auto& [service, loader] : mCells) {
    states[service] = &loader.state();
  }
  return states;
}

bool
FleetState::ownCellLoaded() const
{
  return mLastReads.contains(cellStream(mOwnService)) &&
         ownCellLoader().isComplete();
}

Millis
FleetState::lastConfigRead() const
{
  const auto it = mLastReads.find(std::string(kConfigStream));
  return it == mLastReads.end() ? Millis{} : it->second;
}

const Member*
FleetState::findMember(Incarnation aIncarnation) const
{
  for (const auto& [service, loader] : mCells) {
    const auto it = loader.state().mMembers.find(aIncarnation);
    if (it != loader.state().mMembers.end()) {
      return &it->second;
    }
  }
  return nullptr;
}

std::string
FleetState::serviceOf(Incarnation aIncarnation) const
{
  for (const auto& [service, loader] : mCells) {
    if (loader.state().mMembers.contains(aIncarnation)) {
      return service;
    }
  }
  return {};
}

void
FleetState::foldConfig(std::span<const LogRecord> aRecords)
{
  mConfig.add(aRecords);
  if (mConfig.state().mVersion > mModelVersion) {
    applyConfig();
  }
  reportVerdicts();
}

void
FleetState::foldCell(const std::string& aService,
                     std::span<const LogRecord> aRecords)
{
  StreamLoader<CellState>& loader = mCells.at(aService);
  const std::uint64_t nextBefore = loader.state().mNextOffset;
  for (const LogRecord& record : aRecords) {
    const CellState before = loader.state();
    loader.add({ &record, 1 });
    // The waits after a takeover must be set before the view shows the new
    // owner to the request path, and are exact only if set after each single
    // record.
    if (loader.state().mNextOffset != before.mNextOffset) {
      mHooks.mOnCellChanged(aService, before, loader.state());
    }
  }
  if (loader.state().mNextOffset != nextBefore) {
    mPublishedCells[aService] =
      std::make_shared<const CellState>(loader.state());
    publishView();
  }
  reportVerdicts();
}

void
FleetState::onState(const std::string& aStream,
                    std::uint64_t aVersion,
                    const CellState& aState)
{
  for (auto& [service, loader] : mCells) {
    if (cellStream(service) != aStream) {
      continue;
    }
    mHasFullStates = true;
    if (aState.mNextOffset > loader.state().mNextOffset) {
      mVersions[aStream] = aVersion;
      const CellState before = loader.state();
      loader.replaceState(aState);
      mHooks.mOnCellChanged(service, before, loader.state());
      mPublishedCells[service] =
        std::make_shared<const CellState>(loader.state());
      publishView();
    }
    if (aState.mNextOffset == loader.state().mNextOffset) {
      // A restored store got the same state again, as a newer version.
      mVersions[aStream] = std::max(mVersions[aStream], aVersion);
    }
    // Completes proposals whose answer from the store was lost.
    for (const RandomId& id : aState.mSeenIds.inOrder()) {
      mHooks.mOnRecord(id, FoldVerdict::Applied);
    }
    return;
  }
}

void
FleetState::queueVerdict(const std::string& aStream,
                         const LogRecord& aRecord,
                         FoldVerdict aVerdict)
{
  if (aVerdict == FoldVerdict::Corrupt) {
    logCorrupt(aStream, aRecord.mOffset);
  }
  if (const std::optional<RandomId> id = recordId(aRecord)) {
    mVerdicts.emplace_back(*id, aVerdict);
  }
}

void
FleetState::reportVerdicts()
{
  Verdicts verdicts;
  verdicts.swap(mVerdicts);
  for (const auto& [id, verdict] : verdicts) {
    mHooks.mOnRecord(id, verdict);
  }
}

void
FleetState::applyConfig()
{
  mModelVersion = mConfig.state().mVersion;
  tl::expected<config::Model, Findings> model =
    config::parse(mConfig.state().mFiles);
  if (!model) {
    // The publisher validates configurations. If an invalid one was published
    // all the same, the previous one stays in force.
    logEvent(LogLevel::Error,
             "config_refused",
             { { "version", mModelVersion },
               { "finding", model.error().front().toString() } });
    return;
  }
  mModel = std::make_shared<const config::Model>(std::move(*model));
  activateConfig();
}

void
FleetState::setModel(std::uint64_t aVersion,
                     std::uint64_t aOperatorVersion,
                     std::shared_ptr<const config::Model> aModel,
                     std::map<std::string, config::ZoneOutage> aZonesOut,
                     Bytes aEncoded)
{
  const bool isSame = aVersion == mModelVersion && aModel == mModel;
  if (aVersion < mModelVersion || aModel == nullptr || isSame) {
    return;
  }
  mModelVersion = aVersion;
  mOperatorVersion = aOperatorVersion;
  mModel = std::move(aModel);
  mZonesOut = std::move(aZonesOut);
  mEncodedModel = std::move(aEncoded);
  mHasFullStates = true;
  activateConfig();
}

void
FleetState::activateConfig()
{
  logEvent(LogLevel::Info,
           "config_in_force",
           { { "version", mModelVersion },
             { "operator_version", mOperatorVersion },
             { "routes", mModel->mRoutes.size() },
             { "services", mModel->mServices.size() },
             { "workspaces", mModel->mWorkspaces.size() } });
  for (const auto& [service, settings] : mModel->mServices) {
    if (!mCells.contains(service)) {
      addCell(service);
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
  view->mOperatorVersion = mOperatorVersion;
  view->mModel = mModel;
  view->mZonesOut = mZonesOut;
  view->mCells = mPublishedCells;
  mViews.set(std::move(view));
}

}
