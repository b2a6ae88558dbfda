#include "radishroad/operator/surroundings.h"

#include "radishroad/operator/http_fetch.h"

#include <chrono>
#include <memory>
#include <thread>

namespace radishroad {

using namespace radishroad::literals;

namespace {

constexpr Millis kLogTimeout = 3_s;

}

Surroundings
makeSurroundings(const std::string& aLogAddress)
{
  const std::shared_ptr<LogClient> log =
    std::make_shared<LogClient>(aLogAddress);
  Surroundings surroundings;
  surroundings.mAppend = [log](std::string_view aStream,
                               std::span<const std::uint8_t> aData) {
    return log->append(aStream, aData, kLogTimeout);
  };
  surroundings.mRead = [log](std::string_view aStream, std::uint64_t aFrom) {
    return log->read(aStream, aFrom, 0_ms, kLogTimeout);
  };
  surroundings.mBounds = [log](std::string_view aStream) {
    return log->bounds(aStream, kLogTimeout);
  };
  surroundings.mFetch = httpFetch;
  surroundings.mNow = monotonicNow;
  surroundings.mSleep = [](Millis aTime) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aTime.mCount));
  };
  return surroundings;
}

}
