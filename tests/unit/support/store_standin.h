#ifndef RADISHROAD_TESTS_SUPPORT_STORE_STANDIN_H
#define RADISHROAD_TESTS_SUPPORT_STORE_STANDIN_H

#include "radishroad/base/metrics.h"
#include "radishroad/caller/server.h"
#include "radishroad/state/records.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace radishroad::test {

/// Stands in for the platform's store, as its published protocol says: keyed
/// topics of one partition, appends at an expected end, reads, the newest
/// record of each key, and history that is dropped. Long polls are answered at
/// once.
class StoreStandin
{
public:
  enum class Fault
  {
    None,
    /// Refuses every call; nothing is done.
    Busy,
    /// Appends are done and not answered well.
    LosesAnswers,
  };

  StoreStandin();
  ~StoreStandin();

  std::string address() const;
  void setFault(Fault aFault) { mFault = aFault; }
  /// As an operator writes; an empty value takes the key away.
  void put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// Forgets the history; the newest record of each key stays.
  void compact(const std::string& aTopic);
  int calls() const { return mCalls; }
  /// Reads that were ready to wait; the stand-in answers them at once.
  int waits() const { return mWaits; }
  std::uint64_t bytesSent() const { return mBytesSent; }

private:
  struct Item
  {
    std::uint64_t mOffset = 0;
    std::string mKey;
    std::string mValue;
  };
  struct Topic
  {
    std::uint64_t mEnd = 0;
    std::uint64_t mFirst = 0;
    std::deque<Item> mItems;
    std::map<std::string, Item> mNewest;
  };

  Answer handle(const CallerRequest& aRequest);
  Answer append(Topic& aTopic, const CallerRequest& aRequest);
  static Answer read(const Topic& aTopic, const CallerRequest& aRequest);
  static Answer newest(const Topic& aTopic);
  static void add(Topic& aTopic, std::string aKey, std::string aValue);

  std::atomic<Fault> mFault{ Fault::None };
  std::atomic<int> mCalls{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<int> mWaits{ 0 };
  std::mutex mMutex;
  std::map<std::string, Topic> mTopics;
  Metrics mMetrics;
  CallerServer mServer;
};

}

#endif
