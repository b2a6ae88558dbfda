#ifndef RADISHROAD_OPERATOR_STREAM_READER_H
#define RADISHROAD_OPERATOR_STREAM_READER_H

#include "radishroad/operator/command_context.h"
#include "radishroad/state/stream_loader.h"

#include <functional>
#include <optional>
#include <string>

namespace radishroad {

/// Reads a stream from the oldest retained record to its end and folds it.
/// Instantiated for CellState and ConfigState. The context must outlive the
/// reader.
template<typename State>
class StreamReader
{
public:
  /// Called with each folded record and its verdict.
  using FoldedFn = std::function<void(const wire::RecordT&, FoldVerdict)>;

  StreamReader(const CommandContext& aContext,
               std::string aStream,
               FoldedFn aOnFolded = {});

  /// Reads up to the current end of the stream. May be called repeatedly.
  Result<void> readToEnd();
  const State& state() const { return mLoader.state(); }

private:
  Result<void> skipGap();
  tl::unexpected<Error> readError(const Error& aError) const;

  const CommandContext& mContext;
  const std::string mStream;
  StreamLoader<State> mLoader;
  std::uint64_t mNextOffset = 0;
};

/// Returns the state at the current end of a stream.
template<typename State>
Result<State>
readState(const CommandContext& aContext, const std::string& aStream);

}

#endif
