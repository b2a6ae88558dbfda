#ifndef RADISHROAD_OPERATOR_CHANGE_APPEND_H
#define RADISHROAD_OPERATOR_CHANGE_APPEND_H

#include "radishroad/operator/stream_reader.h"

#include <string>

namespace radishroad {

/// The outcome of an appended change.
template<typename State>
struct AppendedChange
{
  /// Applied, or Refused if the precondition of the change did not hold.
  FoldVerdict mVerdict = FoldVerdict::Refused;
  /// The state at the end of the stream, which may include later changes.
  State mState;
};

/// Appends a change and reads the stream until the change appears in it. If the
/// response to the append is lost, the record is found in the stream by its id.
/// A failed append is retried with the same id until the timeout. Returns
/// ErrorCode::Unavailable if the change was certainly not appended, and
/// ErrorCode::Unknown if it may have been appended but was not found in the
/// stream. Calls aOnFolded for each record of the stream.
template<typename State>
Result<AppendedChange<State>>
appendChange(const CommandContext& aContext,
             const std::string& aStream,
             const wire::RecordT& aRecord,
             Millis aTimeout,
             const typename StreamReader<State>::FoldedFn& aOnFolded = {});

}

#endif
