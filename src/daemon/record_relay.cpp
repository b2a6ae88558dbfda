#include "radishroad/daemon/record_relay.h"

#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/state/relay.h"

namespace radishroad {

namespace {

/// Records are fetched from a peer that is ahead only if this daemon has not
/// caught up from the log within this time. An ordinary poll is quicker.
constexpr Millis kFetchDelay{ 100 };

}

RecordRelay::RecordRelay(ControlContext& aContext, RecordsFn aOnRecords)
  : mContext(aContext)
  , mOnRecords(std::move(aOnRecords))
{
}

void
RecordRelay::onPositions(
  Incarnation aFrom,
  const std::vector<std::unique_ptr<wire::StreamPositionT>>& aPositions)
{
  const Millis now = mContext.mNow();
  for (const std::unique_ptr<wire::StreamPositionT>& position : aPositions) {
    const std::string& stream = position->stream;
    const std::uint64_t next = mContext.mFleet.nextOffset(stream);
    if (position->next_offset <= next) {
      mNextFetch.erase(stream);
      continue;
    }
    const auto [it, first] = mNextFetch.try_emplace(stream, now + kFetchDelay);
    if (first || now < it->second) {
      continue;
    }
    it->second = now + kFetchDelay;
    wire::FetchRecordsT fetch;
    fetch.stream = stream;
    fetch.from_offset = next;
    mContext.mSend(aFrom, makeBody(std::move(fetch)));
  }
}

void
RecordRelay::onFetch(Incarnation aFrom, const wire::FetchRecordsT& aFetch)
{
  const std::vector<LogRecord> records =
    mContext.mFleet.recordsFrom(aFetch.stream, aFetch.from_offset);
  if (!records.empty()) {
    mContext.mSend(aFrom, makeBody(makeRelayFrame(aFetch.stream, records)));
  }
}

void
RecordRelay::onRelayedRecords(const wire::RelayRecordsT& aRecords)
{
  const std::vector<LogRecord> records = relayedRecords(aRecords);
  // With the platform protocol each record is a full state, so that missing
  // records leave no gap.
  const bool fullState = mContext.mSettings.isPlatform();
  if (records.empty()) {
    return;
  }
  if (fullState ||
      records.front().mOffset <= mContext.mFleet.nextOffset(aRecords.stream)) {
    mOnRecords(aRecords.stream, records);
  }
}

}
