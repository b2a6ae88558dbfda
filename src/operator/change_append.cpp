#include "radishroad/operator/change_append.h"

#include <optional>

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kRetryInterval = 200_ms;

bool
mayHaveBeenAppended(const Error& aError)
{
  return aError.mCode == ErrorCode::Unknown ||
         aError.mCode == ErrorCode::Timeout;
}

/// Appends one change to a stream and determines its outcome.
template<typename State>
class ChangeAppender
{
public:
  using FoldedFn = typename StreamReader<State>::FoldedFn;

  ChangeAppender(const CommandContext& aContext,
                 std::string aStream,
                 const wire::RecordT& aRecord,
                 FoldedFn aOnFolded)
    : mContext(aContext)
    , mStream(std::move(aStream))
    , mId{ aRecord.id_high, aRecord.id_low }
    , mData(encodeRecord(aRecord))
    , mOnFolded(std::move(aOnFolded))
    , mReader(aContext,
              mStream,
              [this](const wire::RecordT& aFolded, FoldVerdict aVerdict) {
                handleFolded(aFolded, aVerdict);
              })
  {
  }

  /// Appends the change unless that succeeded before, then looks for it in the
  /// stream. Returns false if another attempt cannot change the outcome.
  bool tryAppend()
  {
    if (!mAppended && !append()) {
      return false;
    }
    if (mAppended || mMayBeAppended) {
      const Result<void> read = mReader.readToEnd();
      mLastError = read ? mLastError : read.error();
    }
    return !mVerdict;
  }

  Result<AppendedChange<State>> result() const
  {
    if (mVerdict) {
      return AppendedChange<State>{ *mVerdict, mReader.state() };
    }
    if (mAppended || mMayBeAppended) {
      return fail(ErrorCode::Unknown,
                  "it is not known whether the change was appended: " +
                    mLastError.mMessage);
    }
    return fail(mLastError.mCode,
                "the change was not appended: " + mLastError.mMessage);
  }

private:
  bool append()
  {
    const Result<std::uint64_t> offset = mContext.mAppend(mStream, mData);
    mAppended = offset.has_value();
    if (mAppended) {
      return true;
    }
    mLastError = offset.error();
    mMayBeAppended = mMayBeAppended || mayHaveBeenAppended(mLastError);
    return mMayBeAppended || mLastError.mCode == ErrorCode::Unavailable;
  }

  void handleFolded(const wire::RecordT& aFolded, FoldVerdict aVerdict)
  {
    const RandomId id{ aFolded.id_high, aFolded.id_low };
    // Retries may append the record several times; only the first copy takes
    // effect.
    if (id == mId && !mVerdict) {
      mVerdict = aVerdict;
    }
    if (mOnFolded) {
      mOnFolded(aFolded, aVerdict);
    }
  }

  const CommandContext& mContext;
  const std::string mStream;
  const RandomId mId;
  const Bytes mData;
  const FoldedFn mOnFolded;
  StreamReader<State> mReader;
  std::optional<FoldVerdict> mVerdict;
  bool mAppended = false;
  bool mMayBeAppended = false;
  Error mLastError;
};

}

template<typename State>
Result<AppendedChange<State>>
appendChange(const CommandContext& aContext,
             const std::string& aStream,
             const wire::RecordT& aRecord,
             Millis aTimeout,
             const typename StreamReader<State>::FoldedFn& aOnFolded)
{
  ChangeAppender<State> appender(aContext, aStream, aRecord, aOnFolded);
  const Millis deadline = aContext.mNow() + aTimeout;
  while (appender.tryAppend() && aContext.mNow() < deadline) {
    aContext.mSleep(kRetryInterval);
  }
  return appender.result();
}

template Result<AppendedChange<CellState>>
appendChange<CellState>(const CommandContext&,
                        const std::string&,
                        const wire::RecordT&,
                        Millis,
                        const StreamReader<CellState>::FoldedFn&);
template Result<AppendedChange<ConfigState>>
appendChange<ConfigState>(const CommandContext&,
                          const std::string&,
                          const wire::RecordT&,
                          Millis,
                          const StreamReader<ConfigState>::FoldedFn&);

}
