#include "support/trace_recorder.h"

#include "model/owner_history.h"
#include "radishroad/log/log_client.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>

namespace radishroad::test {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using testing::OwnerHistory;

constexpr Millis kReadTimeout{ 2000 };
const std::set<std::string> kRecordedEvents = {
  "promise_sent", "promise_received", "consent_sent",
  "lease_held",   "lease_lapsed",     "config_in_force"
};

/// Reads the events that the daemons logged, ordered by time.
std::vector<json>
readEvents(const Fleet& aFleet)
{
  std::vector<json> events;
  for (const fs::directory_entry& file :
       fs::directory_iterator(aFleet.folder())) {
    const std::string name = file.path().filename();
    if (name.find(".daemon.") == std::string::npos) {
      continue;
    }
    for (json& event : readJournal(file.path())) {
      if (kRecordedEvents.contains(event.value("event", ""))) {
        events.push_back(std::move(event));
      }
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const json& aFirst, const json& aSecond) {
      return aFirst.at("ms").get<std::int64_t>() <
             aSecond.at("ms").get<std::int64_t>();
    });
  return events;
}

std::vector<LogRecord>
readStream(const Fleet& aFleet, std::string_view aStream)
{
  LogClient client(aFleet.logAddress());
  std::vector<LogRecord> records;
  while (true) {
    Result<std::vector<LogRecord>> page =
      client.read(aStream, records.size(), Millis{}, kReadTimeout);
    if (!page) {
      throw std::runtime_error("the log was not read");
    }
    if (page->empty()) {
      return records;
    }
    std::move(page->begin(), page->end(), std::back_inserter(records));
  }
}

json
recordToJson(std::string_view aStream, const LogRecord& aRecord)
{
  std::string data;
  boost::algorithm::hex_lower(
    aRecord.mData.begin(), aRecord.mData.end(), std::back_inserter(data));
  return { { "kind", "record" },
           { "stream", aStream },
           { "offset", aRecord.mOffset },
           { "ms", aRecord.mWallTime.mCount },
           { "data", data } };
}

class TraceWriter
{
public:
  TraceWriter(const Fleet& aFleet, const TraceSubject& aSubject)
    : mFleet(aFleet)
    , mSubject(aSubject)
    , mOut(aFleet.folder() / "trace.jsonl")
  {
  }

  void write(std::span<const RequestRun> aRuns)
  {
    writeLine({ { "kind", "about" },
                { "service", mSubject.mService },
                { "holder_vm", mSubject.mHolderVm },
                { "takeover_wait_ms", mSubject.mTakeoverWait.mCount } });
    writeConfigRecords();
    writeCellRecords();
    writeEvents();
    writeRuns(aRuns);
  }

private:
  void writeLine(const json& aLine) { mOut << aLine.dump() << "\n"; }

  void writeConfigRecords()
  {
    ConfigState state;
    for (const LogRecord& record : readStream(mFleet, kConfigStream)) {
      json line = recordToJson(kConfigStream, record);
      line["verdict"] = testing::verdictName(fold(state, record));
      line["config_version"] = state.mVersion;
      writeLine(line);
    }
  }

  void writeCellRecords()
  {
    const std::string stream = cellStream(mSubject.mService);
    CellState state;
    for (const LogRecord& record : readStream(mFleet, stream)) {
      const CellState before = state;
      json line = recordToJson(stream, record);
      line["verdict"] = testing::verdictName(fold(state, record));
      line["changes"] = testing::describeChanges(before, state);
      writeLine(line);
      mHistory.recordState(state, record.mWallTime);
      findHolderIncarnation(state);
    }
  }

  void findHolderIncarnation(const CellState& aState)
  {
    for (const auto& [incarnation, member] : aState.mMembers) {
      if (mHolder == 0 && member.mVm == mSubject.mHolderVm) {
        mHolder = incarnation;
      }
    }
  }

  /// Writes the logged events, of leases only those of the holder's first
  /// incarnation.
  void writeEvents()
  {
    const std::string holder = std::to_string(mHolder);
    for (json& event : readEvents(mFleet)) {
      const std::string kind = event.at("event");
      const bool concernsHolder = kind.starts_with("lease_")
                                    ? event.at("vm") == mSubject.mHolderVm
                                    : event.value("holder", holder) == holder;
      if (!concernsHolder) {
        continue;
      }
      if (event.contains("now_ms")) {
        mWallMinusMonotonicMs = event.at("ms").get<std::int64_t>() -
                                event.at("now_ms").get<std::int64_t>();
        event.erase("ms");
      }
      event["kind"] = kind;
      for (const char* name : { "event", "level", "role", "zone" }) {
        event.erase(name);
      }
      writeLine(event);
    }
    writeLine({ { "kind", "clock" },
                { "wall_minus_monotonic_ms", mWallMinusMonotonicMs } });
  }

  void writeRuns(std::span<const RequestRun> aRuns)
  {
    struct Span
    {
      std::int64_t mFirst = INT64_MAX;
      std::int64_t mLast = 0;
    };
    std::map<std::tuple<std::string, std::string, Epoch>, Span> spans;
    json served = json::array();
    for (const RequestRun& run : aRuns) {
      if (run.mService != mSubject.mService) {
        continue;
      }
      Span& span = spans[{ run.mVm, run.mKey, run.mEpoch }];
      span.mFirst = std::min(span.mFirst, run.mStartMs);
      span.mLast = std::max(span.mLast, run.mStartMs);
      const OwnerHistory::Entry* entry =
        mHistory.find(std::stoull(run.mKey), run.mEpoch);
      if (run.mVm == mSubject.mHolderVm && entry && entry->mOwner == mHolder) {
        served.push_back(run.mStartMs);
      }
    }
    for (const auto& [key, span] : spans) {
      const auto& [vm, hash, epoch] = key;
      writeLine({ { "kind", "runs" },
                  { "vm", vm },
                  { "key", hash },
                  { "epoch", epoch },
                  { "first_ms", span.mFirst },
                  { "last_ms", span.mLast } });
    }
    writeLine(
      { { "kind", "served" }, { "vm", mSubject.mHolderVm }, { "ms", served } });
  }

  const Fleet& mFleet;
  const TraceSubject& mSubject;
  std::ofstream mOut;
  OwnerHistory mHistory;
  Incarnation mHolder = 0;
  std::int64_t mWallMinusMonotonicMs = 0;
};

}

void
recordTrace(const Fleet& aFleet,
            const TraceSubject& aSubject,
            std::span<const RequestRun> aRuns)
{
  TraceWriter(aFleet, aSubject).write(aRuns);
}

}
