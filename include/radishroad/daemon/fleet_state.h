#ifndef RADISHROAD_DAEMON_FLEET_STATE_H
#define RADISHROAD_DAEMON_FLEET_STATE_H

#include "radishroad/base/millis.h"
#include "radishroad/config/model.h"
#include "radishroad/config/zone_outage.h"
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

class FleetViewStore;

/// The replicated state of this daemon: the configuration and all cells that it
/// follows, folded from their streams. Publishes a view after each change.
/// Control thread only.
class FleetState
{
public:
  struct Hooks
  {
    /// A record of a cell was folded, or a full state was adopted. Called with
    /// the cell's service and the state before and after.
    std::function<void(const std::string&, const CellState&, const CellState&)>
      mOnCellChanged;
    /// A configuration has come into force.
    std::function<void(const config::Model&)> mOnConfig;
    /// A record was folded. Called with its id.
    std::function<void(RandomId, FoldVerdict)> mOnRecord;
    /// A service has been added, whose cell is to be followed from now on.
    std::function<void(const std::string&)> mFollowCell;
  };

  FleetState(std::string aOwnService, FleetViewStore& aViews, Hooks aHooks);

  /// Folds records of one stream, given in offset order. Skips those that have
  /// been folded already.
  void onRecords(const std::string& aStream,
                 std::span<const LogRecord> aRecords);
  /// Adopts a full state of a stream's cell if it is newer than the present
  /// one.
  void onState(const std::string& aStream,
               std::uint64_t aVersion,
               const CellState& aState);
  /// Sets a configuration that does not come from the log, and the zones that
  /// are out of service. Ignored if aVersion is lower than the present version.
  /// aOperatorVersion is the version that operators gave the configuration.
  void setModel(std::uint64_t aVersion,
                std::uint64_t aOperatorVersion,
                std::shared_ptr<const config::Model> aModel,
                std::map<std::string, config::ZoneOutage> aZonesOut,
                Bytes aEncoded);
  /// Version of the configuration in force; 0 before the first.
  std::uint64_t modelVersion() const { return mModelVersion; }
  /// The log has answered a read of the stream that was sent at aSentAt.
  void onReadSucceeded(const std::string& aStream, Millis aSentAt);
  /// A read of the stream has failed.
  void onReadFailed(const std::string& aStream);
  /// True if the last read of the own cell's stream succeeded.
  bool isLogReachable() const;

  /// The log no longer retains records below aOldest.
  void onRecordsExpired(const std::string& aStream, std::uint64_t aOldest);
  /// Records of a stream from offset aFrom on, as far as this daemon has cached
  /// them, or the full state if the stream is kept as one.
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
  /// Version of the stream's full state in the store; 0 before one was read.
  std::uint64_t versionOf(const std::string& aStream) const;
  /// True once the own cell's stream has been read to its end.
  bool ownCellLoaded() const;
  /// Send time of the last successful read of the configuration; 0 before the
  /// first.
  Millis lastConfigRead() const;

  /// Searches all cells; null if the member is unknown.
  const Member* findMember(Incarnation aIncarnation) const;
  /// Service of the cell that has the member; empty if none has.
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
  /// The newest state of a stream as a single record, to be sent to peers.
  std::vector<LogRecord> fullState(const std::string& aStream) const;
  void activateConfig();
  void publishView();

  std::string mOwnService;
  FleetViewStore& mViews;
  Hooks mHooks;
  StreamLoader<ConfigState> mConfig;
  std::shared_ptr<const config::Model> mModel;
  std::uint64_t mModelVersion = 0;
  std::uint64_t mOperatorVersion = 0;
  std::map<std::string, config::ZoneOutage> mZonesOut;
  /// Encoded form of the configuration, to be sent to peers. Set by setModel
  /// only.
  Bytes mEncodedModel;
  bool mHasFullStates = false;
  /// Versions of the full states in the store, by stream.
  std::map<std::string, std::uint64_t> mVersions;
  std::map<std::string, StreamLoader<CellState>> mCells;
  std::map<std::string, RecordCache> mCaches;
  /// Verdicts on the batch that is being folded.
  Verdicts mVerdicts;
  std::map<std::string, std::shared_ptr<const CellState>> mPublishedCells;
  std::map<std::string, Millis> mLastReads;
  std::set<std::string> mFailingStreams;
};

}

#endif
