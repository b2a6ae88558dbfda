#include "radishroad/operator/command_context.h"

#include "radishroad/operator/http_fetch.h"

#include <chrono>
#include <memory>
#include <thread>

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kLogTimeout = 3_s;

}

CommandContext
makeCommandContext(const std::string& aLogAddress)
{
  const std::shared_ptr<LogClient> log =
    std::make_shared<LogClient>(aLogAddress);
  CommandContext context;
  context.mAppend = [log](std::string_view aStream,
                          std::span<const std::uint8_t> aData) {
    return log->append(aStream, aData, kLogTimeout);
  };
  context.mRead = [log](std::string_view aStream, std::uint64_t aFrom) {
    return log->read(aStream, aFrom, 0_ms, kLogTimeout);
  };
  context.mBounds = [log](std::string_view aStream) {
    return log->bounds(aStream, kLogTimeout);
  };
  context.mFetch = httpFetch;
  context.mNow = monotonicNow;
  context.mSleep = [](Millis aTime) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aTime.mCount));
  };
  return context;
}

}
