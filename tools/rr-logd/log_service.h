#ifndef RADISHROAD_TOOLS_RR_LOGD_LOG_SERVICE_H
#define RADISHROAD_TOOLS_RR_LOGD_LOG_SERVICE_H

#include "common/journal.h"
#include "common/reply.h"
#include "common/timers.h"
#include "rr-logd/log_store.h"

#include <list>
#include <memory>
#include <mutex>
#include <pistache/http.h>
#include <string>

namespace radishroad::tools {

/// Implements the log service's HTTP calls and the injection of faults.
class LogService
{
public:
  LogService(std::size_t aMaxRecords, Journal& aJournal);

  /// Answers a request immediately, or later from a timer. Thread-safe.
  void handle(const Pistache::Http::Request& aRequest, const Reply& aReply);

private:
  struct Faults
  {
    bool mOutage = false;
    Millis mDelay;
    std::uint64_t mLoseNextAnswers = 0;
    std::uint64_t mLoseAnswersEvery = 0;
  };

  /// A long poll that waits for its first record.
  struct Waiter
  {
    std::string mStream;
    std::uint64_t mFrom = 0;
    std::size_t mMaxBytes = 0;
    Reply mReply;
  };
  using WaiterList = std::list<std::shared_ptr<Waiter>>;

  void setFaults(const std::string& aBody, const Reply& aReply);
  void route(const std::string& aPath,
             const Pistache::Http::Request& aRequest,
             const Reply& aReply);
  void append(const std::string& aStream,
              const std::string& aData,
              const Reply& aReply);
  void read(const std::string& aStream,
            const Pistache::Http::Request& aRequest,
            const Reply& aReply);
  void answerRead(const Waiter& aWaiter);
  void answerWaiters(const std::string& aStream);
  void failWaiters();
  void onWaitTimeout(const std::shared_ptr<Waiter>& aWaiter);
  bool shouldLoseAnswer();

  std::mutex mMutex;
  LogStore mStore;
  Faults mFaults;
  WaiterList mWaiters;
  std::uint64_t mAppends = 0;
  Journal& mJournal;
  Timers mTimers;
};

}

#endif
