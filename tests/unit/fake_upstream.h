#ifndef RADISHROAD_TESTS_FAKE_UPSTREAM_H
#define RADISHROAD_TESTS_FAKE_UPSTREAM_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishroad {

/// An HTTP server on loopback whose answers are raw bytes, so that a test can
/// cut them anywhere. It records what it read.
class FakeUpstream
{
public:
  struct Request
  {
    std::string mMethod;
    std::string mTarget;
    /// Names in lower case.
    std::map<std::string, std::string> mHeaders;
    std::string mBody;
    /// Number of the request on its connection, from 0.
    int mIndexOnConnection = 0;
  };

  struct Reply
  {
    std::string mBytes;
    bool mClose = false;
    /// Sent again and again behind mBytes until the other side closes.
    std::string mEndless = {};
  };

  using Handler = std::function<Reply(const Request&)>;

  explicit FakeUpstream(Handler aHandler);
  ~FakeUpstream();

  std::string address() const;
  std::uint16_t port() const { return mPort; }
  void setInstance(std::string aInstance);
  /// Closes the listening socket and all connections.
  void close();
  /// Requests read so far with this method, health probes left out.
  std::vector<Request> requests(const std::string& aMethod) const;
  /// Waits until so many requests with this method were read.
  bool waitFor(const std::string& aMethod, std::size_t aCount) const;
  std::size_t connections() const;
  /// Bytes that endless replies got rid of.
  std::uint64_t endlessBytes() const { return mEndlessBytes; }

  static Reply ok(const std::string& aBody);
  static Reply status(const std::string& aStatus, const std::string& aHeaders);

private:
  void acceptLoop();
  void serve(int aSocket);
  Reply answerTo(const Request& aRequest);

  Handler mHandler;
  int mListener = -1;
  std::uint16_t mPort = 0;
  std::atomic<std::uint64_t> mEndlessBytes{ 0 };
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  std::string mInstance = "one";
  std::vector<Request> mRequests;
  std::vector<int> mSockets;
  std::size_t mConnections = 0;
  bool mClosed = false;
  std::list<std::thread> mWorkers;
  std::thread mAcceptor;
};

}

#endif
