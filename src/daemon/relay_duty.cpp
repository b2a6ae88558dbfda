#include "radishroad/daemon/relay_duty.h"

#include "radishroad/daemon/control_context.h"
#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/state/relay.h"

namespace radishroad {

namespace {

/// A peer that is ahead is asked only if the log has not caught this daemon
/// up for so long: an ordinary poll is quicker than that.
constexpr Millis kFetchPause{ 100 };

}

RelayDuty::RelayDuty(ControlContext& aContext, RecordsFn aOnRecords)
  : mContext(aContext)
  , mOnRecords(std::move(aOnRecords))
{
}

void
RelayDuty::onPositions(
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
    const auto [it, first] = mNextFetch.try_emplace(stream, now + kFetchPause);
    if (first || now < it->second) {
      continue;
    }
    it->second = now + kFetchPause;
    wire::FetchRecordsT fetch;
    fetch.stream = stream;
    fetch.from_offset = next;
    mContext.mSend(aFrom, makeBody(std::move(fetch)));
  }
}

void
RelayDuty::onFetch(Incarnation aFrom, const wire::FetchRecordsT& aFetch)
{
  const std::vector<LogRecord> records =
    mContext.mFleet.recordsFrom(aFetch.stream, aFetch.from_offset);
  if (!records.empty()) {
    mContext.mSend(aFrom, makeBody(makeRelayFrame(aFetch.stream, records)));
  }
}

void
RelayDuty::onRelayed(const wire::RelayRecordsT& aRecords)
{
  const std::vector<LogRecord> records = relayedRecords(aRecords);
  // Whole states leave no gaps.
  const bool whole = mContext.mSettings.isPlatform();
  if (records.empty()) {
    return;
  }
  if (whole ||
      records.front().mOffset <= mContext.mFleet.nextOffset(aRecords.stream)) {
    mOnRecords(aRecords.stream, records);
  }
}

}
