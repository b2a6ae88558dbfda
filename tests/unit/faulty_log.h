#ifndef RADISHROAD_TESTS_FAULTY_LOG_H
#define RADISHROAD_TESTS_FAULTY_LOG_H

#include "radishroad/state/records.h"

#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishroad::testing {

/// A log service with one stream on a loopback port, whose faults a test
/// switches on (docs/log-service.md).
class FaultyLog
{
public:
  struct Faults
  {
    bool mOutage = false;
    /// Requests wait without an answer.
    bool mHang = false;
    /// Appends take effect, and the connection ends without an answer.
    int mLoseAnswers = 0;
  };

  FaultyLog();
  ~FaultyLog();
  FaultyLog(const FaultyLog&) = delete;
  FaultyLog& operator=(const FaultyLog&) = delete;

  std::string address() const;
  void setFaults(Faults aFaults);
  /// Appends at the log itself.
  void put(Bytes aData);
  /// Forgets what is below aOldest.
  void expireBelow(std::uint64_t aOldest);
  std::vector<Bytes> records() const;
  /// Requests seen, failed ones included.
  std::size_t appends() const;
  std::size_t reads() const;

private:
  struct Request;
  struct Answer;
  void acceptLoop();
  void serve(int aSocket);
  bool serveOne(int aSocket, std::string& aBuffer);
  Answer handle(const Request& aRequest);
  Answer append(const Request& aRequest);
  Answer read(const Request& aRequest);

  int mListener = -1;
  std::uint16_t mPort = 0;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  Faults mFaults;
  std::uint64_t mOldest = 0;
  std::vector<Bytes> mRecords;
  std::size_t mAppends = 0;
  std::size_t mReads = 0;
  std::vector<int> mSockets;
  std::list<std::thread> mThreads;
  std::thread mAcceptor;
};

}

#endif
