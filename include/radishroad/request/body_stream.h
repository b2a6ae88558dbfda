#ifndef RADISHROAD_REQUEST_BODY_STREAM_H
#define RADISHROAD_REQUEST_BODY_STREAM_H

#include "radishroad/base/body_share.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace radishroad {

/// Passes a response's body from one writer to one reader within a process,
/// part by part. Holds what the reader has not taken; the writer limits that by
/// a StreamWindow. Thread-safe.
class BodyStream
{
public:
  enum class State
  {
    /// More may follow.
    Open,
    /// The body was written completely.
    Whole,
    /// The rest of the body is lost.
    Broken,
  };

  /// Called on the reader's thread, and never after finish() has returned or
  /// the reader has cancelled.
  struct WriterHooks
  {
    /// The reader has taken so many bytes.
    std::function<void(std::size_t)> mOnTaken;
    /// The reader needs no more of the body. Called once at most.
    std::function<void()> mOnCancelled;
  };

  struct Part
  {
    std::vector<std::uint8_t> mData;
    BodyShare mShare;
    /// Other than Open if nothing follows this part.
    State mState = State::Open;
  };

  /// The bytes held are counted in aMemory, which may be null.
  BodyStream(std::shared_ptr<BodyMemory> aMemory, WriterHooks aHooks);

  /// The reader's handle; when its last copy is destroyed, the stream is
  /// cancelled.
  static std::shared_ptr<BodyStream> makeReader(
    const std::shared_ptr<BodyStream>& aStream);

  /// For the writer. False if the memory has no room for the bytes; the writer
  /// must then finish the stream as broken.
  bool append(std::span<const std::uint8_t> aBytes);
  /// Ends the stream; later calls have no effect.
  void finish(State aState);

  /// For the reader. aOnReady is called on the writer's thread, or on this one,
  /// when the stream that had nothing to take has bytes or has ended. It must
  /// not call the stream.
  void setOnReady(const std::function<void()>& aOnReady);
  /// Takes up to aMaxBytes; an empty part if none are there.
  Part take(std::size_t aMaxBytes);
  void cancel();

private:
  std::mutex mMutex;
  std::vector<std::uint8_t> mBytes;
  BodyShare mShare;
  State mState = State::Open;
  bool mCancelled = false;
  std::function<void()> mOnReady;

  const std::shared_ptr<BodyMemory> mMemory;
  /// Held while a hook runs, so that finish() waits for it. Locked without
  /// mMutex.
  std::mutex mHookMutex;
  WriterHooks mHooks;
};

}

#endif
