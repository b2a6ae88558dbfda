#ifndef RADISHROAD_TESTS_SUPPORT_FAKE_PLATFORM_H
#define RADISHROAD_TESTS_SUPPORT_FAKE_PLATFORM_H

#include "radishroad/operator/command_context.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace radishroad::test {

/// An in-memory log and HTTP endpoints of daemons, with faults that a test can
/// enable. Its clock advances only by calls of mSleep.
class FakePlatform
{
public:
  CommandContext commandContext()
  {
    CommandContext result;
    result.mAppend = [this](std::string_view aStream,
                            std::span<const std::uint8_t> aData) {
      return append(aStream, aData);
    };
    result.mRead = [this](std::string_view aStream, std::uint64_t aFrom) {
      return read(aStream, aFrom);
    };
    result.mBounds = [this](std::string_view aStream) {
      return bounds(aStream);
    };
    result.mFetch = [this](const std::string& aAddress,
                           const std::string& aPath) -> Result<std::string> {
      const auto it = mHttpResponses.find(aAddress + aPath);
      if (it == mHttpResponses.end()) {
        return fail(ErrorCode::Unavailable, "no answer");
      }
      return it->second;
    };
    result.mNow = [this] { return mNow; };
    result.mSleep = [this](Millis aTime) {
      mNow += aTime;
      if (mOnSleep) {
        mOnSleep();
      }
    };
    return result;
  }

  template<typename Change>
  void put(const std::string& aStream, Change aChange)
  {
    const wire::RecordT record =
      makeRecord(std::move(aChange), makeRandomId(), Millis{ 1 });
    store(aStream, encodeRecord(record));
  }

  void putMember(const std::string& aService,
                 const std::string& aVm,
                 std::uint64_t aIncarnation)
  {
    wire::JoinT join;
    join.vm = aVm;
    join.zone = "nashua";
    join.service = aService;
    join.incarnation = aIncarnation;
    join.operator_address = aVm + ":1";
    put(cellStream(aService), std::move(join));
  }

  void setState(const std::string& aVm, std::uint64_t aConfigVersion)
  {
    const nlohmann::json state = { { "vm", aVm },
                                   { "ready", true },
                                   { "config_version", aConfigVersion },
                                   { "lease", { { "holds", true } } } };
    mHttpResponses[aVm + ":1/state"] = state.dump();
  }

  std::size_t recordCount(const std::string& aStream)
  {
    return mStreams[aStream].size();
  }

  /// Appends fail without effect.
  bool mAppendsFail = false;
  /// Number of appends that take effect but whose answers are lost.
  int mLoseAnswers = 0;
  /// Reads and bounds fail.
  bool mReadsFail = false;
  /// Called once, before the next append takes effect.
  std::function<void()> mBeforeAppend;
  std::function<void()> mOnSleep;
  /// Response bodies by address and path.
  std::map<std::string, std::string> mHttpResponses;
  Millis mNow{ 1000 };

private:
  void store(std::string_view aStream, Bytes aData)
  {
    std::vector<LogRecord>& records = mStreams[std::string(aStream)];
    records.push_back({ records.size(), Millis{ 1 }, std::move(aData) });
  }

  Result<std::uint64_t> append(std::string_view aStream,
                               std::span<const std::uint8_t> aData)
  {
    if (mAppendsFail) {
      return fail(ErrorCode::Unavailable, "outage");
    }
    if (mBeforeAppend) {
      std::exchange(mBeforeAppend, nullptr)();
    }
    store(aStream, { aData.begin(), aData.end() });
    if (mLoseAnswers > 0) {
      --mLoseAnswers;
      return fail(ErrorCode::Unknown, "answer lost");
    }
    return mStreams[std::string(aStream)].size() - 1;
  }

  Result<std::vector<LogRecord>> read(std::string_view aStream,
                                      std::uint64_t aFrom)
  {
    if (mReadsFail) {
      return fail(ErrorCode::Unavailable, "outage");
    }
    const std::vector<LogRecord>& records = mStreams[std::string(aStream)];
    // Returns one record per read, as the log does for small read sizes.
    return std::vector<LogRecord>{ records.at(aFrom) };
  }

  Result<LogClient::Bounds> bounds(std::string_view aStream)
  {
    if (mReadsFail) {
      return fail(ErrorCode::Unavailable, "outage");
    }
    return LogClient::Bounds{ 0, mStreams[std::string(aStream)].size() };
  }

  std::map<std::string, std::vector<LogRecord>> mStreams;
};

}

#endif
