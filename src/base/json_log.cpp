#include "radishroad/base/json_log.h"

#include "radishroad/base/bounded_queue.h"
#include "radishroad/base/hash.h"
#include "radishroad/base/millis.h"

#include <atomic>
#include <boost/circular_buffer.hpp>
#include <cstdlib>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <semaphore>
#include <thread>

namespace radishroad {

namespace {

constexpr std::size_t kMaxRecentEvents = 2048;
/// Longer lines are written without their fields.
constexpr std::size_t kMaxLineBytes = 8192;
/// Maximum lines about individual requests that one process writes per second.
constexpr std::uint64_t kMaxRequestLinesPerSecond = 40;
constexpr std::int64_t kMillisPerSecond = 1000;
/// One in this many successful requests is logged.
constexpr std::uint64_t kSamplingInterval = 64;
/// Maximum lines queued for a slow reader of the output; in practice at most
/// about 2 MB. Further lines are dropped and counted.
constexpr std::size_t kMaxQueuedLines = 4096;
constexpr Millis kWriterPollTime{ 60000 };
/// Maximum time that stopLog() waits for the queued lines to be written.
constexpr std::chrono::milliseconds kFlushTimeout{ 500 };

struct QueuedLine
{
  log4cplus::LogLevel mLevel = log4cplus::INFO_LOG_LEVEL;
  std::string mText;
};

/// Created by startLog(); before that, nothing is written to the output. A
/// dedicated thread writes the lines, so a slow reader of the output cannot
/// delay a request.
struct LogOutput
{
  log4cplus::Initializer mInitializer;
  log4cplus::Logger mLogger;
  std::string mRole;
  std::string mVm;
  std::string mZone;
  BoundedQueue<QueuedLine> mQueue{ kMaxQueuedLines };
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::atomic<bool> mClosed{ false };
  std::binary_semaphore mDone{ 0 };
  std::thread mWriter;
};

struct RecentEvents
{
  std::mutex mMutex;
  boost::circular_buffer<std::string> mLines{ kMaxRecentEvents };
};

/// Number of lines about requests in the current second.
struct RequestLogQuota
{
  std::int64_t mSecond = 0;
  std::uint64_t mWritten = 0;
  std::uint64_t mSuppressed = 0;
};

struct SharedRequestLogQuota
{
  std::mutex mMutex;
  RequestLogQuota mQuota;
};

/// A raw pointer, not destroyed at exit: if the last lines cannot be written,
/// the writer thread keeps using the object until the process ends.
std::atomic<LogOutput*>&
output()
{
  static std::atomic<LogOutput*> sOutput{ nullptr };
  return sOutput;
}

RecentEvents&
eventHistory()
{
  static RecentEvents sEvents;
  return sEvents;
}

const char*
nameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warn:
      return "warn";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

log4cplus::LogLevel
toLog4cplus(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

std::string
dump(const nlohmann::ordered_json& aLine)
{
  // Fields may contain bytes from the network that are not valid UTF-8.
  return aLine.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string
makeLine(LogLevel aLevel,
         std::string_view aEvent,
         const nlohmann::json& aFields,
         const LogOutput* aOutput)
{
  nlohmann::ordered_json line;
  line["ms"] = wallNow().mCount;
  line["level"] = nameOf(aLevel);
  if (aOutput != nullptr) {
    line["role"] = aOutput->mRole;
    line["vm"] = aOutput->mVm;
    line["zone"] = aOutput->mZone;
  }
  line["event"] = aEvent;
  const std::string withoutFields = dump(line);
  for (const auto& field : aFields.items()) {
    line.emplace(field.key(), field.value());
  }
  std::string text = dump(line);
  if (text.size() <= kMaxLineBytes) {
    return text;
  }
  return withoutFields.substr(0, withoutFields.size() - 1) +
         ",\"truncated\":true}";
}

void
writeLines(LogOutput& aOutput)
{
  while (true) {
    const std::optional<QueuedLine> line = aOutput.mQueue.pop(kWriterPollTime);
    if (!line && aOutput.mClosed) {
      break;
    }
    if (!line) {
      continue;
    }
    const std::uint64_t dropped = aOutput.mDropped.exchange(0);
    if (dropped > 0) {
      aOutput.mLogger.forcedLog(log4cplus::WARN_LOG_LEVEL,
                                makeLine(LogLevel::Warn,
                                         "log_lines_dropped",
                                         { { "count", dropped } },
                                         &aOutput));
    }
    aOutput.mLogger.forcedLog(line->mLevel, line->mText);
  }
  aOutput.mDone.release();
}

}

void
startLog(std::string_view aRole,
         std::string_view aVm,
         std::string_view aZone,
         LogLevel aMinLevel)
{
  std::unique_ptr<LogOutput> created = std::make_unique<LogOutput>();
  created->mLogger = log4cplus::Logger::getRoot();
  created->mRole = aRole;
  created->mVm = aVm;
  created->mZone = aZone;
  const bool toStandardError = false;
  const bool flushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  created->mLogger.removeAllAppenders();
  created->mLogger.addAppender(appender);
  created->mLogger.setLogLevel(toLog4cplus(aMinLevel));
  LogOutput* out = created.release();
  out->mWriter = std::thread([out] { writeLines(*out); });
  output() = out;
}

void
stopLog()
{
  LogOutput* out = output().exchange(nullptr);
  if (out == nullptr) {
    return;
  }
  out->mClosed = true;
  out->mQueue.close();
  // The lines that were queued have been written once mDone is released, and
  // each is flushed. The output is not destroyed: see endProcess().
  if (out->mDone.try_acquire_for(kFlushTimeout)) {
    out->mWriter.join();
  } else {
    out->mWriter.detach();
  }
}

void
endProcess(int aStatus)
{
  stopLog();
  std::quick_exit(aStatus);
}

void
logEvent(LogLevel aLevel,
         std::string_view aEvent,
         const nlohmann::json& aFields)
{
  LogOutput* out = output();
  const log4cplus::LogLevel level = toLog4cplus(aLevel);
  if (out != nullptr && !out->mLogger.isEnabledFor(level)) {
    return;
  }
  std::string line = makeLine(aLevel, aEvent, aFields, out);
  if (out != nullptr && !out->mQueue.tryPush({ level, line })) {
    ++out->mDropped;
  }
  RecentEvents& history = eventHistory();
  std::lock_guard<std::mutex> lock(history.mMutex);
  history.mLines.push_back(std::move(line));
}

void
logRequest(std::string_view aEvent,
           std::string_view aRequestId,
           nlohmann::json aFields)
{
  static SharedRequestLogQuota sShared;
  RequestLogQuota& quota = sShared.mQuota;
  const std::int64_t second = monotonicNow().mCount / kMillisPerSecond;
  std::uint64_t suppressed = 0;
  {
    const std::lock_guard<std::mutex> lock(sShared.mMutex);
    if (second != quota.mSecond) {
      suppressed = quota.mSuppressed;
      quota = { .mSecond = second };
    }
    if (quota.mWritten >= kMaxRequestLinesPerSecond) {
      ++quota.mSuppressed;
      return;
    }
    ++quota.mWritten;
  }
  if (suppressed > 0) {
    logEvent(
      LogLevel::Warn, "request_lines_left_out", { { "count", suppressed } });
  }
  aFields["request_id"] = aRequestId;
  logEvent(LogLevel::Info, aEvent, aFields);
}

bool
isSampled(std::string_view aRequestId)
{
  return hash64(aRequestId) % kSamplingInterval == 0;
}

std::vector<std::string>
recentEvents()
{
  RecentEvents& history = eventHistory();
  std::lock_guard<std::mutex> lock(history.mMutex);
  return { history.mLines.begin(), history.mLines.end() };
}

}
