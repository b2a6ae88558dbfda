#ifndef RADISHROAD_LOG_STATE_WRITER_H
#define RADISHROAD_LOG_STATE_WRITER_H

#include "radishroad/base/error.h"
#include "radishroad/base/millis.h"
#include "radishroad/log/backoff.h"
#include "radishroad/log/state_store.h"
#include "radishroad/state/fold.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace radishroad {

struct CellState;
namespace wire {
struct RecordT;
}

/// Writes replicated states to a StateStore on its own thread: folds the queued
/// records of a cell onto its newest state and replaces the stored state by
/// compare-and-set. After a conflict the records are folded onto the newer
/// state. If the response to a write was lost, the record ids in the stored
/// state show whether it took effect.
class StateWriter
{
public:
  struct Hooks
  {
    /// Called with a state that was read or written, newer than those before.
    /// Runs on the writer's thread, before the DoneFn of the records in the
    /// state.
    std::function<void(const std::string& aStream,
                       std::uint64_t aVersion,
                       const CellState& aState)>
      mOnState;
    /// Called after this writer replaced the stream's state of version
    /// aBaseVersion with version aVersion, which results from applying aRecords
    /// to it (see applyRecords).
    std::function<void(const std::string& aStream,
                       std::uint64_t aBaseVersion,
                       std::uint64_t aVersion,
                       const std::vector<Bytes>& aRecords)>
      mOnWritten;
    /// Called with true if the store responded, or with false and the error
    /// text of the failed call.
    std::function<void(bool aSucceeded, const std::string& aError)>
      mOnStoreResult;
  };
  /// Called once for each record on the writer's thread, with Applied, Refused
  /// or Duplicate; with ErrorCode::Unknown if the record may still take effect;
  /// with ErrorCode::Unavailable if it never will.
  using DoneFn = std::function<void(Result<FoldVerdict>)>;

  StateWriter(const OpenStateStoreFn& aOpen,
              std::size_t aCapacity,
              Hooks aHooks,
              Backoff::RandomFn aRandom);
  ~StateWriter();
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  /// Returns false if the queue is full or the writer is stopped.
  bool submit(std::string aStream,
              const wire::RecordT& aRecord,
              Millis aTimeLimit,
              DoneFn aDone);
  /// As above, for an encoded record.
  bool submit(std::string aStream,
              Bytes aRecord,
              Millis aTimeLimit,
              DoneFn aDone);
  /// Reads the newest state of a stream. aDone receives whether the store
  /// responded.
  bool probe(std::string aStream,
             Millis aTimeLimit,
             std::function<void(bool)> aDone);
  /// Passes in a state that was received from elsewhere, so that the next write
  /// starts from it.
  void observeState(const std::string& aStream,
                    std::uint64_t aVersion,
                    const CellState& aState);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
