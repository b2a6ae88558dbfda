#ifndef RADISHROAD_OPERATOR_CHANGE_APPEND_H
#define RADISHROAD_OPERATOR_CHANGE_APPEND_H

#include "radishroad/operator/stream_reader.h"

#include <string>

namespace radishroad {

/// How an appended change ended.
template<typename State>
struct AppendedChange
{
  /// Applied, or Refused if its precondition did not hold.
  FoldVerdict mVerdict = FoldVerdict::Refused;
  /// At the end of the stream, which may be past the change.
  State mState;
};

/// Appends a change and reads the stream back until the change is seen in it.
/// An append whose answer was lost is found by its id; one that failed is
/// repeated with the same id until the time is up. ErrorCode::Unavailable if
/// the change was certainly not appended, ErrorCode::Unknown if it may have
/// been and was not seen. aOnFolded is called for each record of the stream.
template<typename State>
Result<AppendedChange<State>>
appendChange(const Surroundings& aSurroundings,
             const std::string& aStream,
             const wire::RecordT& aRecord,
             Millis aTimeout,
             const typename StreamReader<State>::FoldedFn& aOnFolded = {});

}

#endif
