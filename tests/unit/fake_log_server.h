#ifndef RADISHROAD_TESTS_FAKE_LOG_SERVER_H
#define RADISHROAD_TESTS_FAKE_LOG_SERVER_H

#include "radishroad/state/records.h"

#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishroad::testing {

/// An in-process log service (docs/log-service.md) with one stream on a
/// loopback port and faults that tests can inject.
class FakeLogServer
{
public:
  struct Faults
  {
    bool mOutage = false;
    /// Requests are held without a response.
    bool mHang = false;
    /// Number of appends that take effect but whose connection is closed
    /// without a response.
    int mLoseResponses = 0;
  };

  FakeLogServer();
  ~FakeLogServer();
  FakeLogServer(const FakeLogServer&) = delete;
  FakeLogServer& operator=(const FakeLogServer&) = delete;

  std::string address() const;
  void setFaults(Faults aFaults);
  /// Appends a record without a request.
  void appendDirectly(Bytes aData);
  /// Expires the records before offset aOldest.
  void expireBelow(std::uint64_t aOldest);
  std::vector<Bytes> records() const;
  /// Number of requests received, including failed ones.
  std::size_t appends() const;
  std::size_t reads() const;

private:
  struct Request;
  struct Response;
  void acceptLoop();
  void serve(int aSocket);
  bool serveOne(int aSocket, std::string& aBuffer);
  Response handle(const Request& aRequest);
  Response append(const Request& aRequest);
  Response read(const Request& aRequest);

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
