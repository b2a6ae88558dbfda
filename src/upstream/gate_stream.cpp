#include "gate_impl.h"

#include "radishroad/base/json_log.h"
#include "radishroad/upstream/upstream_headers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

bool
Gate::Impl::mayStream(const QueuedRequest& aQueued)
{
  // The answer to a request that is tracked may have several readers.
  return aQueued.mRequest.large_response && aQueued.mDeduplicationKey.empty() &&
         aQueued.mRequest.method != "HEAD";
}

ResponseStreamHooks
Gate::Impl::streamHooks(RunId aId)
{
  ResponseStreamHooks hooks;
  hooks.mNow = mHooks.mNow;
  hooks.mMayStream = [this](const UpstreamResponse& aResponse) {
    const UpstreamProtocol& protocol = mOptions.mProtocol;
    return protocol.mReadNotRunReason(aResponse) == NotRunReason::None &&
           protocol.mIsAuthentic(aResponse);
  };
  hooks.mOnStart = [this, aId](UpstreamResponse aResponse,
                               std::int64_t aLength) {
    onStreamStart(aId, std::move(aResponse), aLength);
  };
  hooks.mOnPart = [this, aId](std::span<const std::uint8_t> aBytes) {
    return mRuns.at(aId).mStream->append(aBytes);
  };
  return hooks;
}

void
Gate::Impl::onStreamStart(RunId aId,
                          UpstreamResponse aResponse,
                          std::int64_t aLength)
{
  Run& run = mRuns.at(aId);
  const Millis now = mHooks.mNow();
  recordResponse(run, aResponse);
  recordServed(run, now);
  BodyStream::WriterHooks hooks;
  hooks.mOnTaken = [this, aId](std::size_t aBytes) {
    post([this, aId, aBytes] {
      const auto it = mRuns.find(aId);
      if (it != mRuns.end()) {
        mExchanges.onTaken(it->second.mExchange, aBytes, mHooks.mNow());
      }
    });
  };
  hooks.mOnCancelled = [this, aId] {
    post([this, aId] { abandon(aId, NotRunReason::Cancelled); });
  };
  run.mStream =
    std::make_shared<BodyStream>(mOptions.mBodyMemory, std::move(hooks));
  ++mStreams;
  mMetrics.count("radishroad_stream_started_total");
  mMetrics.gauge("radishroad_stream_open",
                 static_cast<double>(mStreams.load()));
  if (run.mQueued.mRequest.shard >= kShardCount) {
    // The caller's deadline is met by the head. The next owner of a key relies
    // on the deadline, so runs for a key keep it.
    run.mEndTime = now + kMaxStreamTime;
  }
  // Counted by the stream from here on.
  aResponse.mBodyShare.resize(0);
  const bool hasRoom = run.mStream->append(aResponse.mBody);
  aResponse.mBody = {};
  Answer started = makeAnswered(run.mQueued.mRequest, std::move(aResponse));
  started.streams = true;
  started.body_bytes = aLength;
  // Without a length the connection of the caller ends the body.
  started.ends_with_connection = aLength < 0;
  started.mStream = BodyStream::makeReader(run.mStream);
  answer(run.mQueued, std::move(started));
  if (!hasRoom) {
    post([this, aId] { abandon(aId, NotRunReason::QueueFull); });
  }
}

void
Gate::Impl::onStreamEnd(const Run& aRun, ExchangeOutcome aOutcome)
{
  const bool isWhole = aOutcome == ExchangeOutcome::Complete;
  finishStream(aRun, isWhole, responseEndName(aRun.mQueued.mResponse.mEnd));
  if (!isWhole) {
    trackIncomplete(aRun, mHooks.mNow());
  }
}

void
Gate::Impl::finishStream(const Run& aRun,
                         bool aIsWhole,
                         std::string_view aCause)
{
  aRun.mStream->finish(aIsWhole ? BodyStream::State::Whole
                                : BodyStream::State::Broken);
  --mStreams;
  mMetrics.gauge("radishroad_stream_open",
                 static_cast<double>(mStreams.load()));
  mMetrics.count(std::string("radishroad_stream_ended_total{end=\"") +
                 (aIsWhole ? "whole" : "broken") + "\"}");
  if (aIsWhole) {
    return;
  }
  logEvent(LogLevel::Warn,
           "response_stream_broken",
           { { "request_id", idOf(aRun.mQueued.mRequest).toString() },
             { "cause", aCause },
             { "body_bytes", aRun.mQueued.mResponse.mBodyBytes },
             { "took_ms", (mHooks.mNow() - aRun.mSentAt).mCount } });
}

void
Gate::Impl::checkStreams(Millis aNow)
{
  if (mStreams == 0) {
    return;
  }
  std::vector<RunId> stalled;
  for (const auto& [id, run] : mRuns) {
    if (run.mStream && mExchanges.isStalled(run.mExchange, aNow)) {
      stalled.push_back(id);
    }
  }
  for (const RunId id : stalled) {
    mMetrics.count("radishroad_stream_stalled_total");
    abandon(id, NotRunReason::DeadlinePassed);
  }
}

}
