#ifndef RADISHROAD_UPSTREAM_RESPONSE_STREAM_HOOKS_H
#define RADISHROAD_UPSTREAM_RESPONSE_STREAM_HOOKS_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/stream_window.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace radishroad {

struct UpstreamResponse;

/// Has an exchange pass on a large body while it is received. Called within
/// ExchangeRunner::perform(); must not call the runner.
struct ResponseStreamHooks
{
  /// Bodies up to this size are passed on whole.
  std::size_t mThresholdBytes = 256U << 10;
  StreamWindow::Options mWindow{};
  ClockFn mNow;
  /// Whether a response with this head may be passed on before it is whole. Its
  /// body is not complete. May be empty.
  std::function<bool(const UpstreamResponse&)> mMayStream;
  /// Takes the head and the first part of the body. aLength: of the whole body;
  /// negative if unknown.
  std::function<void(UpstreamResponse, std::int64_t aLength)> mOnStart;
  /// Takes the next part; false if there is no memory for it, which ends the
  /// exchange.
  std::function<bool(std::span<const std::uint8_t>)> mOnPart;
};

}

#endif
