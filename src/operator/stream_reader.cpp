#include "radishroad/operator/stream_reader.h"

#include <algorithm>

namespace radishroad {

namespace {

template<typename State>
typename StreamLoader<State>::Hooks
makeHooks(typename StreamReader<State>::FoldedFn aOnFolded)
{
  if (!aOnFolded) {
    return {};
  }
  return { [onFolded = std::move(aOnFolded)](const LogRecord& aRecord,
                                             FoldVerdict aVerdict) {
    const Result<std::unique_ptr<wire::RecordT>> record =
      decodeRecord(aRecord.mData);
    if (record) {
      onFolded(**record, aVerdict);
    }
  } };
}

}

template<typename State>
StreamReader<State>::StreamReader(const CommandContext& aContext,
                                  std::string aStream,
                                  FoldedFn aOnFolded)
  : mContext(aContext)
  , mStream(std::move(aStream))
  , mLoader(makeHooks<State>(std::move(aOnFolded)))
{
}

template<typename State>
tl::unexpected<Error>
StreamReader<State>::readError(const Error& aError) const
{
  return fail(aError.mCode,
              "cannot read stream " + mStream +
                " of the log: " + aError.mMessage);
}

template<typename State>
Result<void>
StreamReader<State>::skipGap()
{
  const Result<LogClient::Bounds> bounds = mContext.mBounds(mStream);
  if (!bounds) {
    return readError(bounds.error());
  }
  if (bounds->mOldest > mNextOffset) {
    mNextOffset = bounds->mOldest;
    mLoader.onRecordsExpired(mNextOffset);
  }
  return {};
}

template<typename State>
Result<void>
StreamReader<State>::readToEnd()
{
  const Result<LogClient::Bounds> bounds = mContext.mBounds(mStream);
  if (!bounds) {
    return readError(bounds.error());
  }
  while (mNextOffset < bounds->mNext) {
    const Result<std::vector<LogRecord>> records =
      mContext.mRead(mStream, mNextOffset);
    if (!records && records.error().mCode == ErrorCode::Expired) {
      if (Result<void> skipped = skipGap(); !skipped) {
        return skipped;
      }
      continue;
    }
    if (!records) {
      return readError(records.error());
    }
    if (records->empty()) {
      return fail(ErrorCode::Unavailable,
                  "the log returned no records before the end of the stream");
    }
    mLoader.add(*records);
    mNextOffset = records->back().mOffset + 1;
  }
  if (!mLoader.isComplete()) {
    return fail(ErrorCode::Unavailable,
                "stream " + mStream +
                  " has no complete snapshot to start from");
  }
  return {};
}

template<typename State>
Result<State>
readState(const CommandContext& aContext, const std::string& aStream)
{
  StreamReader<State> reader(aContext, aStream);
  const Result<void> read = reader.readToEnd();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  return reader.state();
}

template class StreamReader<CellState>;
template class StreamReader<ConfigState>;
template Result<CellState>
readState<CellState>(const CommandContext&, const std::string&);
template Result<ConfigState>
readState<ConfigState>(const CommandContext&, const std::string&);

}
