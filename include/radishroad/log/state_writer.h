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

/// Changes agreed states in a StateStore on a thread of its own: folds the
/// records that wait for a cell onto its newest state and replaces that state
/// as a whole. A lost race is folded anew; a write whose answer was lost is
/// looked up by the record's id.
class StateWriter
{
public:
  struct Hooks
  {
    /// A state that was read or written, newer than those before. Called on
    /// the writer's thread, before the end of the records that it settles.
    std::function<void(const std::string& aStream,
                       std::uint64_t aVersion,
                       const CellState& aState)>
      mOnState;
    /// This writer has replaced the stream's state of aBase by the one of
    /// aVersion, which follows from it by these records (see applyRecords).
    std::function<void(const std::string& aStream,
                       std::uint64_t aBase,
                       std::uint64_t aVersion,
                       const std::vector<Bytes>& aRecords)>
      mOnWritten;
    /// The store answered (true), or a call failed with this error text.
    std::function<void(bool aAnswers, const std::string& aError)> mOnStore;
  };
  /// Called once for each record, on the writer's thread: Applied, Refused or
  /// Duplicate; ErrorCode::Unknown if the record may yet take effect;
  /// ErrorCode::Unavailable if it never will.
  using DoneFn = std::function<void(Result<FoldVerdict>)>;

  StateWriter(const OpenStateStoreFn& aOpen,
              std::size_t aCapacity,
              Hooks aHooks,
              Backoff::RandomFn aRandom);
  ~StateWriter();
  StateWriter(const StateWriter&) = delete;
  StateWriter& operator=(const StateWriter&) = delete;

  /// False if the ring is full or stopped.
  bool submit(std::string aStream,
              const wire::RecordT& aRecord,
              Millis aGiveUpAfter,
              DoneFn aDone);
  /// The same for an encoded record.
  bool submit(std::string aStream,
              Bytes aRecord,
              Millis aGiveUpAfter,
              DoneFn aDone);
  /// Asks the store for the newest state of a stream; aDone tells whether it
  /// answered.
  bool probe(std::string aStream,
             Millis aGiveUpAfter,
             std::function<void(bool)> aDone);
  /// A state that came by another way, so that the next write builds on it.
  void learn(const std::string& aStream,
             std::uint64_t aVersion,
             const CellState& aState);
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
