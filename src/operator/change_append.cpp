#include "radishroad/operator/change_append.h"

#include <optional>

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kRetryPause = 200_ms;

bool
mayHaveBeenAppended(const Error& aError)
{
  return aError.mCode == ErrorCode::Unknown ||
         aError.mCode == ErrorCode::Timeout;
}

/// One change on its way into the log.
template<typename State>
class Attempt
{
public:
  using FoldedFn = typename StreamReader<State>::FoldedFn;

  Attempt(const Surroundings& aSurroundings,
          std::string aStream,
          const wire::RecordT& aRecord,
          FoldedFn aOnFolded)
    : mSurroundings(aSurroundings)
    , mStream(std::move(aStream))
    , mId{ aRecord.id_high, aRecord.id_low }
    , mData(encodeRecord(aRecord))
    , mOnFolded(std::move(aOnFolded))
    , mReader(aSurroundings,
              mStream,
              [this](const wire::RecordT& aSeen, FoldVerdict aVerdict) {
                onFolded(aSeen, aVerdict);
              })
  {
  }

  /// False if a further try is pointless.
  bool tryOnce()
  {
    if (!mAppended && !append()) {
      return false;
    }
    if (mAppended || mMayBeThere) {
      const Result<void> read = mReader.readToEnd();
      mLast = read ? mLast : read.error();
    }
    return !mVerdict;
  }

  Result<AppendedChange<State>> end() const
  {
    if (mVerdict) {
      return AppendedChange<State>{ *mVerdict, mReader.state() };
    }
    if (mAppended || mMayBeThere) {
      return fail(ErrorCode::Unknown,
                  "it is not known whether the change was appended: " +
                    mLast.mMessage);
    }
    return fail(mLast.mCode, "the change was not appended: " + mLast.mMessage);
  }

private:
  bool append()
  {
    const Result<std::uint64_t> offset = mSurroundings.mAppend(mStream, mData);
    mAppended = offset.has_value();
    if (mAppended) {
      return true;
    }
    mLast = offset.error();
    mMayBeThere = mMayBeThere || mayHaveBeenAppended(mLast);
    return mMayBeThere || mLast.mCode == ErrorCode::Unavailable;
  }

  void onFolded(const wire::RecordT& aSeen, FoldVerdict aVerdict)
  {
    const RandomId id{ aSeen.id_high, aSeen.id_low };
    // The first copy decides.
    if (id == mId && !mVerdict) {
      mVerdict = aVerdict;
    }
    if (mOnFolded) {
      mOnFolded(aSeen, aVerdict);
    }
  }

  const Surroundings& mSurroundings;
  const std::string mStream;
  const RandomId mId;
  const Bytes mData;
  const FoldedFn mOnFolded;
  StreamReader<State> mReader;
  std::optional<FoldVerdict> mVerdict;
  bool mAppended = false;
  bool mMayBeThere = false;
  Error mLast;
};

}

template<typename State>
Result<AppendedChange<State>>
appendChange(const Surroundings& aSurroundings,
             const std::string& aStream,
             const wire::RecordT& aRecord,
             Millis aTimeout,
             const typename StreamReader<State>::FoldedFn& aOnFolded)
{
  Attempt<State> attempt(aSurroundings, aStream, aRecord, aOnFolded);
  const Millis end = aSurroundings.mNow() + aTimeout;
  while (attempt.tryOnce() && aSurroundings.mNow() < end) {
    aSurroundings.mSleep(kRetryPause);
  }
  return attempt.end();
}

template Result<AppendedChange<CellState>>
appendChange<CellState>(const Surroundings&,
                        const std::string&,
                        const wire::RecordT&,
                        Millis,
                        const StreamReader<CellState>::FoldedFn&);
template Result<AppendedChange<ConfigState>>
appendChange<ConfigState>(const Surroundings&,
                          const std::string&,
                          const wire::RecordT&,
                          Millis,
                          const StreamReader<ConfigState>::FoldedFn&);

}
