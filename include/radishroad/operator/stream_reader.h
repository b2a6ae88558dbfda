#ifndef RADISHROAD_OPERATOR_STREAM_READER_H
#define RADISHROAD_OPERATOR_STREAM_READER_H

#include "radishroad/operator/surroundings.h"
#include "radishroad/state/stream_loader.h"

#include <functional>
#include <optional>
#include <string>

namespace radishroad {

/// Reads a stream from the oldest record kept to its end and folds it. For
/// CellState and ConfigState. Borrows the surroundings.
template<typename State>
class StreamReader
{
public:
  /// Each record as it was folded.
  using FoldedFn = std::function<void(const wire::RecordT&, FoldVerdict)>;

  StreamReader(const Surroundings& aSurroundings,
               std::string aStream,
               FoldedFn aOnFolded = {});

  /// Goes on to the present end. May be called again.
  Result<void> readToEnd();
  const State& state() const { return mLoader.state(); }

private:
  Result<void> skipGap();
  tl::unexpected<Error> cannotRead(const Error& aError) const;

  const Surroundings& mSurroundings;
  const std::string mStream;
  StreamLoader<State> mLoader;
  std::uint64_t mNext = 0;
};

/// The state at the present end of a stream.
template<typename State>
Result<State>
readState(const Surroundings& aSurroundings, const std::string& aStream);

}

#endif
