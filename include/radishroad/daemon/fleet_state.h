#ifndef RADISHROAD_DAEMON_FLEET_STATE_H
#define RADISHROAD_DAEMON_FLEET_STATE_H

#include "radishroad/base/millis.h"
#include "radishroad/config/model.h"
#include "radishroad/state/cell_state.h"
#include "radishroad/state/config_state.h"
#include "radishroad/state/fold.h"
#include "radishroad/state/record_cache.h"
#include "radishroad/state/records.h"
#include "radishroad/state/stream_loader.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace radishroad {

class ViewHolder;

/// Everything that this daemon has folded: the configuration and all cells it
/// follows. Control thread only; publishes a view after each change.
class FleetState
{
public:
  struct Hooks
  {
    /// A record of a cell was folded, or a snapshot taken over: the cell's
    /// service, and the state before and after.
    std::function<void(const std::string&, const CellState&, const CellState&)>
      mOnCellChanged;
    /// A configuration is in force.
    std::function<void(const config::Model&)> mOnConfig;
    /// A record was folded; by its id.
    std::function<void(RandomId, FoldVerdict)> mOnRecord;
    /// A service's cell is to be followed from now on.
    std::function<void(const std::string&)> mFollowCell;
  };

  FleetState(std::string aOwnService, ViewHolder& aViews, Hooks aHooks);

  /// Records of one stream in offset order; those folded already are passed
  /// over.
  void onRecords(const std::string& aStream,
                 std::span<const LogRecord> aRecords);
  /// A whole newer state of a stream's cell; an older one is passed over.
  void onState(const std::string& aStream,
               std::uint64_t aVersion,
               const CellState& aState);
  /// A configuration from elsewhere than the log; versions rise.
  void setModel(std::uint64_t aVersion,
                std::shared_ptr<const config::Model> aModel,
                Bytes aEncoded);
  /// Version of the configuration in force; 0 before the first.
  std::uint64_t modelVersion() const { return mModelVersion; }
  /// The log has answered a read of this stream that was sent at aSentAt.
  void onReadSucceeded(const std::string& aStream, Millis aSentAt);
  /// A read of this stream has failed.
  void onReadFailed(const std::string& aStream);
  /// Did the last read of the own cell's stream succeed?
  bool isLogReachable() const;

  /// Records below aOldest are no longer kept by the log.
  void onGap(const std::string& aStream, std::uint64_t aOldest);
  /// Records of a stream from aFrom on, as far as this daemon holds them.
  std::vector<LogRecord> recordsFrom(const std::string& aStream,
                                     std::uint64_t aFrom) const;
  /// Offset of the next record that this daemon needs of the stream.
  std::uint64_t nextOffset(const std::string& aStream) const;

  const StreamLoader<ConfigState>& configLoader() const { return mConfig; }
  const StreamLoader<CellState>& ownCellLoader() const;
  const ConfigState& config() const { return mConfig.state(); }
  /// Null before the first valid configuration.
  const config::Model* model() const { return mModel.get(); }
  const CellState& ownCell() const;
  /// States by service.
  std::map<std::string, const CellState*> cells() const;
  /// State of a cell's stream; null if it is not followed.
  const CellState* stateOf(const std::string& aStream) const;
  /// Version of a state that is kept whole; 0 while none was read.
  std::uint64_t versionOf(const std::string& aStream) const;
  /// Has the own cell been read to its end at least once?
  bool ownCellLoaded() const;
  /// Last time that the log answered for the configuration; nothing before.
  Millis lastConfigRead() const;

  /// Looks through all cells. Null if unknown.
  const Member* findMember(Incarnation aIncarnation) const;
  /// Service of the cell that knows the member; empty if none does.
  std::string serviceOf(Incarnation aIncarnation) const;

private:
  using Verdicts = std::vector<std::pair<RandomId, FoldVerdict>>;

  void foldConfig(std::span<const LogRecord> aRecords);
  void foldCell(const std::string& aService,
                std::span<const LogRecord> aRecords);
  void queueVerdict(const std::string& aStream,
                    const LogRecord& aRecord,
                    FoldVerdict aVerdict);
  void reportVerdicts();
  StreamLoader<CellState>& addCell(const std::string& aService);
  void applyConfig();
  /// The newest state of a stream as one record, for peers.
  std::vector<LogRecord> fullState(const std::string& aStream) const;
  void activateConfig();
  void publishView();

  std::string mOwnService;
  ViewHolder& mViews;
  Hooks mHooks;
  StreamLoader<ConfigState> mConfig;
  std::shared_ptr<const config::Model> mModel;
  std::uint64_t mModelVersion = 0;
  /// What the configuration was read from, for peers; with setModel only.
  Bytes mEncodedModel;
  bool mHasFullStates = false;
  /// Versions of whole states at the store, by stream.
  std::map<std::string, std::uint64_t> mVersions;
  std::map<std::string, StreamLoader<CellState>> mCells;
  std::map<std::string, RecordCache> mCaches;
  /// Of the batch being folded.
  Verdicts mVerdicts;
  std::map<std::string, std::shared_ptr<const CellState>> mPublishedCells;
  std::map<std::string, Millis> mLastReads;
  std::set<std::string> mFailingStreams;
};

}

#endif
