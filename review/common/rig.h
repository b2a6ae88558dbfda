// Stand-ins for the users' platform, for the scripts of this review: the store,
// workers and requesters, as the platform's pages describe them, and a starter
// for the daemons with the command of deploy/system.toml. Loopback only.
#ifndef RADISHROAD_REVIEW_RIG_H
#define RADISHROAD_REVIEW_RIG_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;

inline std::int64_t
nowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
wallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// The record of what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
    , mStart(nowMs())
  {
  }
  void line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << nowMs() - mStart << " " << aText << "\n";
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::int64_t mStart;
};

struct Message
{
  std::string mStart;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// An answer whose end was shown by its length, or by the end of the
  /// connection where it has none.
  bool mComplete = false;

  std::string header(const std::string& aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string target() const
  {
    const std::size_t a = mStart.find(' ');
    const std::size_t b = mStart.find(' ', a + 1);
    return a == std::string::npos ? "" : mStart.substr(a + 1, b - a - 1);
  }
  int status() const
  {
    const std::size_t a = mStart.find(' ');
    return a == std::string::npos ? 0 : std::atoi(mStart.c_str() + a + 1);
  }
};

/// Reads messages from a socket.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  /// False at the end of the connection or when the time is up.
  bool next(Message& aMessage, bool aIsAnswer, std::int64_t aUntil)
  {
    aMessage = {};
    std::size_t end = std::string::npos;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(aUntil)) {
        return false;
      }
    }
    std::istringstream head(mBuffer.substr(0, end));
    mBuffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    aMessage.mStart = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        aMessage.mHeaders.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
      }
    }
    const std::string length = aMessage.header("Content-Length");
    if (length.empty()) {
      if (aIsAnswer) {
        while (fill(aUntil)) {
        }
        aMessage.mBody.swap(mBuffer);
      }
      aMessage.mComplete = true;
      return true;
    }
    const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
    while (mBuffer.size() < n) {
      if (!fill(aUntil)) {
        aMessage.mBody = mBuffer;
        return aIsAnswer;
      }
    }
    aMessage.mBody = mBuffer.substr(0, n);
    mBuffer.erase(0, n);
    aMessage.mComplete = true;
    return true;
  }

private:
  bool fill(std::int64_t aUntil)
  {
    const std::int64_t left = aUntil - nowMs();
    pollfd p{ mSocket, POLLIN, 0 };
    if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = ::recv(mSocket, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  int mSocket;
  std::string mBuffer;
};

inline bool
sendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline sockaddr_in
addressOf(int aPort)
{
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(aPort));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

inline int
connectTo(int aPort)
{
  const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = addressOf(aPort);
  const int on = 1;
  ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(s, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    ::close(s);
    return -1;
  }
  return s;
}

/// The port of the connection's other end, which tells connections apart.
inline int
peerPort(int aSocket)
{
  sockaddr_in a{};
  socklen_t n = sizeof(a);
  ::getpeername(aSocket, reinterpret_cast<sockaddr*>(&a), &n);
  return ntohs(a.sin_port);
}

/// A free port of the loopback address, below those that the system gives to
/// outgoing connections.
inline int
freePort()
{
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static int sNext =
    static_cast<int>((static_cast<std::uint64_t>(::getpid()) * 7919U +
                      static_cast<std::uint64_t>(wallMs())) %
                     kCount);
  for (int n = 0; n < kCount; ++n) {
    const int port = kFirst + (sNext++ % kCount);
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = addressOf(port);
    const bool isFree =
      ::bind(s, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0;
    ::close(s);
    if (isFree) {
      return port;
    }
  }
  std::exit(2);
}

/// HTTP server with a thread for each connection.
class Server
{
public:
  /// Answers on the socket; false closes the connection.
  using Handler = std::function<bool(int aSocket, const Message&)>;

  Server(int aPort, Handler aHandler)
    : mHandler(std::move(aHandler))
    , mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int on = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in a = addressOf(aPort);
    if (::bind(mListener, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) !=
          0 ||
        ::listen(mListener, 512) != 0) {
      std::fprintf(stderr, "port %d is not free\n", aPort);
      std::exit(2);
    }
    std::thread([this] { acceptAll(); }).detach();
  }

private:
  void acceptAll()
  {
    while (true) {
      const int s = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (s < 0) {
        sleepMs(10);
        continue;
      }
      const int on = 1;
      ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, s] {
        Reader reader(s);
        Message m;
        while (reader.next(m, false, nowMs() + 600000) && mHandler(s, m)) {
        }
        ::close(s);
      }).detach();
    }
  }
  Handler mHandler;
  int mListener;
};

inline std::string
query(const std::string& aTarget, const std::string& aName)
{
  const std::size_t mark = aTarget.find('?');
  std::istringstream pairs(
    mark == std::string::npos ? "" : aTarget.substr(mark + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    if (pair.rfind(aName + "=", 0) == 0) {
      return pair.substr(aName.size() + 1);
    }
  }
  return {};
}

inline std::string
answerText(int aStatus,
           const std::string& aPhrase,
           const std::vector<std::string>& aHeaders,
           const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " " + aPhrase;
  for (const std::string& header : aHeaders) {
    text += "\r\n" + header;
  }
  return text + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

inline std::string
bigEndian(std::uint64_t aValue, int aBytes)
{
  std::string text;
  for (int n = aBytes - 1; n >= 0; --n) {
    text.push_back(static_cast<char>(aValue >> (8 * n)));
  }
  return text;
}

inline std::string
base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < aBytes.size(); n += 3) {
    std::uint32_t v = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      v = v << 8 |
          (n + k < aBytes.size() ? static_cast<unsigned char>(aBytes[n + k])
                                 : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text.push_back(n + k > aBytes.size() ? '='
                                           : kDigits[v >> (18 - 6 * k) & 63U]);
    }
  }
  return text;
}

/// The platform's store: a log with keyed topics of one partition.
class Store
{
public:
  explicit Store(int aPort)
    : mServer(aPort, [this](int aSocket, const Message& aMessage) {
      return handle(aSocket, aMessage);
    })
  {
  }

  /// What the operator writes.
  void put(const std::string& aKey, const std::string& aValue)
  {
    std::string record(1, static_cast<char>(aKey.size()));
    record += aKey + aValue;
    const std::lock_guard<std::mutex> lock(mMutex);
    mTopics["keyed.op"].push_back(record);
    mChanged.notify_all();
  }
  /// Takes a copy of all that the store has.
  void takeCopy()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCopy = mTopics;
  }
  /// The store is away: each call is answered with 503.
  void goAway()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsAway = true;
    mChanged.notify_all();
  }
  /// The store is back from the copy. What the operator has written since is
  /// written again.
  void comeBack()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::vector<std::string> operators = mTopics["keyed.op"];
    const std::size_t known = mCopy["keyed.op"].size();
    mTopics = mCopy;
    for (std::size_t n = known; n < operators.size(); ++n) {
      mTopics["keyed.op"].push_back(operators[n]);
    }
    ++mEra;
    mIsAway = false;
  }

private:
  bool handle(int aSocket, const Message& aMessage)
  {
    const std::string target = aMessage.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = query(target, "Topic");
    sleepMs(4);
    std::unique_lock<std::mutex> lock(mMutex);
    const std::string era = "Store-Era: " + std::to_string(mEra);
    std::vector<std::string>& records = mTopics[topic];
    std::string answer;
    if (mIsAway) {
      answer = answerText(503, "Service Unavailable", { era }, "");
    } else if (path == "/api/log-append") {
      const std::string at = query(target, "At");
      if (!at.empty() && std::stoull(at) != records.size()) {
        answer = answerText(412,
                            "Precondition Failed",
                            { era },
                            json({ { "End", records.size() } }).dump());
      } else {
        const std::size_t first = records.size();
        std::string body = aMessage.mBody;
        while (body.size() >= 4) {
          std::size_t n = 0;
          for (int k = 0; k < 4; ++k) {
            n = n << 8 | static_cast<unsigned char>(body[k]);
          }
          records.push_back(body.substr(4, n));
          body.erase(0, 4 + n);
        }
        mChanged.notify_all();
        answer = answerText(
          200,
          "OK",
          { era, "Content-Type: application/json" },
          json({ { "Offset", first }, { "End", records.size() } }).dump());
      }
    } else if (path == "/api/log-read") {
      const std::size_t from = std::stoull("0" + query(target, "From"));
      const long wait = std::stol("0" + query(target, "WaitMs"));
      mChanged.wait_for(lock, std::chrono::milliseconds(wait), [&] {
        return mIsAway || records.size() > from;
      });
      if (mIsAway || from > records.size()) {
        lock.unlock();
        return sendAll(aSocket,
                       answerText(mIsAway ? 503 : 410,
                                  mIsAway ? "Service Unavailable" : "Gone",
                                  { era },
                                  json({ { "First", 0 } }).dump()));
      }
      std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
      const bool small = !query(target, "MaxKb").empty();
      for (std::size_t n = from; n < records.size(); ++n) {
        body += bigEndian(records[n].size(), 4) + records[n];
        if (small) {
          break;
        }
      }
      answer = answerText(200, "OK", { era }, body);
    } else if (path == "/api/log-newest") {
      std::map<std::string, std::pair<std::string, std::size_t>> newest;
      for (std::size_t n = 0; n < records.size(); ++n) {
        const std::size_t k = static_cast<unsigned char>(records[n][0]);
        const std::string key = records[n].substr(1, k);
        if (records[n].size() == 1 + k) {
          newest.erase(key);
        } else {
          newest[key] = { records[n].substr(1 + k), n };
        }
      }
      json items = json::array();
      for (const auto& [key, value] : newest) {
        items.push_back({ { "Key", key },
                          { "Value", base64(value.first) },
                          { "Offset", value.second } });
      }
      answer = answerText(
        200,
        "OK",
        { era, "Content-Type: application/json" },
        json(
          { { "items", items }, { "More", false }, { "End", records.size() } })
          .dump());
    } else {
      answer = answerText(404, "Not Found", {}, "");
    }
    lock.unlock();
    return sendAll(aSocket, answer);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::vector<std::string>> mTopics;
  std::map<std::string, std::vector<std::string>> mCopy;
  std::uint64_t mEra = 1;
  bool mIsAway = false;
  Server mServer;
};

constexpr int kKeys = 65536;

/// An application worker beside a daemon.
class Worker
{
public:
  struct Options
  {
    std::string mService;
    std::string mId;
    std::string mZone;
    int mPort = 0;
    int mReportPort = 0;
    bool mKeyed = false;
    int mSlots = 9;
    int mWorkMs = 20;
    /// Work on requests whose path contains "/long/".
    int mLongWorkMs = 0;
    std::int64_t mBeatMs = 870;
    std::size_t mBodyBytes = 600;
    /// Changes the bytes of an answer, or answers itself and returns false,
    /// which closes the connection.
    std::function<bool(int aSocket, const Message& aAsked, std::string& aText)>
      mSpoil;
    /// Called when the worker has taken a grant.
    std::function<void(int aFrom, int aTo, std::uint64_t aFence)> mOnGrant;
  };
  struct Hold
  {
    std::uint64_t mFence = 0;
    std::int64_t mUntil = 0;
  };

  Worker(Options aOptions, Record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
    , mBorn(wallMs())
    , mHolds(kKeys)
    , mHighest(kKeys)
    , mBusy(kKeys)
    , mServer(mOptions.mPort, [this](int aSocket, const Message& aMessage) {
      return handle(aSocket, aMessage);
    })
  {
    std::thread([this] { beat(); }).detach();
  }

  const Options& options() const { return mOptions; }
  /// Whether the worker holds the key at this time.
  bool holds(int aKey, std::int64_t aNow)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mHolds[aKey].mUntil > aNow;
  }
  std::vector<Hold> allHolds()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mHolds;
  }
  std::int64_t lastBeat() const { return mLastBeat; }
  void setState(const std::string& aState)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mState = aState;
  }

  /// The whole body of the answer to a request.
  static std::string bodyOf(const std::string& aRequestId, std::size_t aBytes)
  {
    std::string body;
    while (body.size() < aBytes) {
      body += aRequestId + ";";
    }
    body.resize(aBytes);
    return body;
  }

  /// How often each request ran, by id.
  std::map<std::string, int> runs()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  bool reply(int aSocket, const Message& aAsked, std::string aText)
  {
    if (mOptions.mSpoil && !mOptions.mSpoil(aSocket, aAsked, aText)) {
      return false;
    }
    return sendAll(aSocket, aText);
  }

  std::string load()
  {
    return "X-Upstream-Load: " + std::to_string(mRunning.load()) + ",0," +
           std::to_string(mOptions.mSlots) + ",100";
  }

  bool handle(int aSocket, const Message& aMessage)
  {
    const std::string path = aMessage.target();
    if (path == "/healthz") {
      return reply(
        aSocket,
        aMessage,
        answerText(
          200, "OK", { "X-Instance-Id: " + mOptions.mId, load() }, ""));
    }
    if (path == "/api/grant" || path == "/api/release") {
      return handleOrder(aSocket, aMessage, path == "/api/grant");
    }
    return run(aSocket, aMessage);
  }

  bool handleOrder(int aSocket, const Message& aMessage, bool aIsGrant)
  {
    const std::int64_t arrived = nowMs();
    const json order = json::parse(aMessage.mBody, nullptr, false);
    const int from = order.value("From", -1);
    const int to = order.value("To", -1);
    const std::uint64_t fence = order.value("fence", std::uint64_t{ 0 });
    if (from < 0 || to >= kKeys || from > to) {
      return reply(aSocket, aMessage, answerText(400, "Bad Request", {}, ""));
    }
    std::unique_lock<std::mutex> lock(mMutex);
    if (aIsGrant) {
      for (int k = from; k <= to; ++k) {
        if (mHighest[k] > fence) {
          lock.unlock();
          return reply(aSocket, aMessage, answerText(409, "Conflict", {}, ""));
        }
      }
      const std::int64_t hold = order.value("HoldMs", 0);
      for (int k = from; k <= to; ++k) {
        mHighest[k] = fence;
        mHolds[k] = { fence, arrived + hold };
      }
      lock.unlock();
      if (mOptions.mOnGrant) {
        mOptions.mOnGrant(from, to, fence);
      }
      return reply(aSocket, aMessage, answerText(200, "OK", {}, ""));
    }
    for (int k = from; k <= to; ++k) {
      mHolds[k] = {};
    }
    mIdle.wait(lock, [&] {
      for (int k = from; k <= to; ++k) {
        if (mBusy[k] > 0) {
          return false;
        }
      }
      return true;
    });
    char token[17];
    std::snprintf(token, sizeof(token), "%016llx", ++mTokens * 2654435761ULL);
    lock.unlock();
    return reply(
      aSocket,
      aMessage,
      answerText(200, "OK", { std::string("X-Handover: ") + token }, ""));
  }

  bool run(int aSocket, const Message& aMessage)
  {
    const std::string id = aMessage.header("X-Request-Id");
    const std::string target = aMessage.header("X-Target-Instance");
    const std::string echo = "X-Request-Id: " + id;
    const std::string keyText = aMessage.header("X-Shard-Key");
    const int key = keyText.empty() ? -1 : std::atoi(keyText.c_str());
    std::unique_lock<std::mutex> lock(mMutex);
    const bool other = !target.empty() && target != mOptions.mId;
    const bool notHeld =
      mOptions.mKeyed && (key < 0 || mHolds[key].mUntil <= nowMs());
    if (other || notHeld) {
      lock.unlock();
      return reply(
        aSocket,
        aMessage,
        answerText(
          421,
          "Misdirected Request",
          { echo, "X-Not-Executed: 1", "X-Instance-Id: " + mOptions.mId },
          ""));
    }
    if (mRunning >= mOptions.mSlots * 3) {
      lock.unlock();
      return reply(
        aSocket,
        aMessage,
        answerText(
          503, "Service Unavailable", { echo, "X-Not-Executed: 1" }, ""));
    }
    ++mRunning;
    ++mRuns[id];
    if (key >= 0) {
      ++mBusy[key];
    }
    mRecord.line("run " + id + " at " + mOptions.mId +
                 (key >= 0 ? " key " + keyText : ""));
    lock.unlock();
    const bool isLong = aMessage.target().find("/long/") != std::string::npos;
    sleepMs(isLong ? mOptions.mLongWorkMs : mOptions.mWorkMs);
    const std::string text = answerText(
      200,
      "OK",
      { echo, "X-Upstream-Signature: 3e1b.07." + id + ".c9f2a4d1", load() },
      bodyOf(id, mOptions.mBodyBytes));
    const bool kept = reply(aSocket, aMessage, text);
    lock.lock();
    --mRunning;
    if (key >= 0) {
      --mBusy[key];
    }
    mIdle.notify_all();
    return kept;
  }

  void beat()
  {
    std::int64_t next = nowMs();
    for (std::uint64_t seq = 1;; ++seq) {
      std::string state;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        state = mState;
      }
      const json body = {
        { "Address", "127.0.0.1:" + std::to_string(mOptions.mPort) },
        { "born", mBorn },
        { "Info",
          { { "Service", mOptions.mService },
            { "Version", "v1" },
            { "Zone", mOptions.mZone },
            { "Slots", mOptions.mSlots } } },
        { "Status",
          { { "State", state }, { "Seq", seq }, { "WarmupLeftMs", 0 } } }
      };
      const std::string text = body.dump();
      const int s = connectTo(mOptions.mReportPort);
      if (s >= 0) {
        sendAll(s,
                "POST /api/rpc?call=instances.heartbeat&of=" + mOptions.mId +
                  " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
                  "Content-Length: " +
                  std::to_string(text.size()) + "\r\n\r\n" + text);
        Message answer;
        Reader reader(s);
        if (reader.next(answer, true, nowMs() + 1000)) {
          mLastBeat = nowMs();
        }
        ::close(s);
      }
      next += s >= 0 ? mOptions.mBeatMs : 100;
      sleepMs(std::max<std::int64_t>(1, next - nowMs()));
    }
  }

  const Options mOptions;
  Record& mRecord;
  const std::int64_t mBorn;
  std::mutex mMutex;
  std::condition_variable mIdle;
  std::string mState = "ready";
  std::vector<Hold> mHolds;
  std::vector<std::uint64_t> mHighest;
  std::vector<int> mBusy;
  std::map<std::string, int> mRuns;
  std::uint64_t mTokens = 0;
  std::atomic<int> mRunning{ 0 };
  std::atomic<std::int64_t> mLastBeat{ 0 };
  Server mServer;
};

/// A machine: its daemon's ports and process.
struct Machine
{
  std::string mName;
  std::string mZone;
  std::string mService;
  int mInbound = 0;
  int mOutbound = 0;
  int mReadiness = 0;
  int mAdmin = 0;
  int mInternal = 0;
  int mLocalApp = 0;
  pid_t mPid = 0;
};

inline Machine
makeMachine(const std::string& aName,
            const std::string& aZone,
            const std::string& aService)
{
  Machine m{ aName, aZone, aService };
  m.mInbound = freePort();
  m.mOutbound = freePort();
  m.mReadiness = freePort();
  m.mAdmin = freePort();
  m.mInternal = freePort();
  m.mLocalApp = freePort();
  return m;
}

/// The words of the `run` line of the deploy file, filled in.
inline std::vector<std::string>
daemonCommand(const std::string& aRoot, const Machine& aMachine, int aStorePort)
{
  std::ifstream file(aRoot + "/deploy/system.toml");
  std::string line;
  while (std::getline(file, line) && line.rfind("run = \"", 0) != 0) {
  }
  line = line.substr(7, line.rfind('"') - 7);
  const auto local = [](int aPort) {
    return "127.0.0.1:" + std::to_string(aPort);
  };
  const std::map<std::string, std::string> values = {
    { "Node", aMachine.mName },
    { "Zone", aMachine.mZone },
    { "Service", aMachine.mService },
    { "Listen.Outbound", local(aMachine.mOutbound) },
    { "Listen.Inbound", local(aMachine.mInbound) },
    { "Listen.Readiness", local(aMachine.mReadiness) },
    { "Listen.Admin", local(aMachine.mAdmin) },
    { "Ip", "127.0.0.1" },
    { "InternalPorts.0", std::to_string(aMachine.mInternal) },
    { "LocalApp", local(aMachine.mLocalApp) },
    { "Platform.Address", local(aStorePort) },
    { "Bounds.GraceS", "6" },
    { "Bounds.DrainMs", "2000" },
    { "Bounds.HoldMaxMs", "10000" },
    { "Bounds.EvacuateMs", "5000" },
    { "Bounds.ConfigApplyMs", "2000" },
    { "Limits.MemoryMb", "260" },
  };
  for (const auto& [name, value] : values) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t at = 0; (at = line.find(mark)) != std::string::npos;) {
      line.replace(at, mark.size(), value);
    }
  }
  std::istringstream words(line);
  std::vector<std::string> command;
  std::string word;
  while (words >> word) {
    command.push_back(word);
  }
  return command;
}

inline void
startDaemon(const std::string& aRoot,
            Machine& aMachine,
            int aStorePort,
            const std::string& aLogFolder)
{
  const std::vector<std::string> command =
    daemonCommand(aRoot, aMachine, aStorePort);
  std::vector<char*> words;
  for (const std::string& word : command) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  const std::string log = aLogFolder + "/" + aMachine.mName + ".log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    // It ends with the case, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    if (::chdir(aRoot.c_str()) == 0) {
      ::execv(words[0], words.data());
    }
    ::_exit(127);
  }
  aMachine.mPid = pid;
}

inline Message
get(int aPort,
    const std::string& aTarget,
    std::int64_t aTimeout,
    const std::string& aHeaders = "Host: a\r\n",
    const std::string& aMethod = "GET")
{
  Message answer;
  const int s = connectTo(aPort);
  if (s >= 0) {
    sendAll(s,
            aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders +
              (aMethod == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n");
    Reader reader(s);
    if (!reader.next(answer, true, nowMs() + aTimeout)) {
      answer = {};
    }
    ::close(s);
  }
  return answer;
}

inline bool
waitReady(const std::vector<Machine>& aMachines, std::int64_t aTimeout)
{
  const std::int64_t until = nowMs() + aTimeout;
  for (const Machine& m : aMachines) {
    while (get(m.mReadiness, "/api/ready", 500).status() != 200) {
      if (nowMs() > until) {
        return false;
      }
      sleepMs(100);
    }
  }
  return true;
}

inline void
stopDaemons(std::vector<Machine>& aMachines)
{
  for (Machine& m : aMachines) {
    if (m.mPid > 0) {
      ::kill(m.mPid, SIGCONT);
      ::kill(m.mPid, SIGKILL);
      ::waitpid(m.mPid, nullptr, 0);
      m.mPid = 0;
    }
  }
}

/// The desired state: one route to each service; a keyed service is `Sharded`.
struct ServiceRow
{
  std::string mName;
  bool mKeyed = false;
  std::string mPrefix;
  bool mIdempotent = true;
};

inline std::string
desiredState(const std::string& aVersion,
             const std::vector<ServiceRow>& aServices,
             int aTimeoutMs = 2000)
{
  json routes = json::array();
  json services = json::array();
  for (const ServiceRow& s : aServices) {
    routes.push_back({ "r-" + s.mName,
                       "shop.example",
                       s.mPrefix,
                       s.mIdempotent ? "idempotent" : "non_idempotent",
                       aTimeoutMs,
                       400,
                       1,
                       s.mName,
                       2,
                       false });
    services.push_back({ s.mName,
                         "/healthz",
                         130,
                         "h1",
                         false,
                         3.0,
                         1000.0,
                         s.mKeyed ? json(true) : json(nullptr),
                         s.mKeyed ? json(2.0) : json(nullptr),
                         s.mKeyed ? json("call") : json(nullptr) });
  }
  return json({ { "Version", aVersion },
                { "Routes",
                  { { "Columns",
                      { "Name",
                        "Host",
                        "Prefix",
                        "Kind",
                        "TimeoutMs",
                        "TargetLatencyMs",
                        "Priority",
                        "Service",
                        "MaxAttempts",
                        "Public" } },
                    { "Rows", routes } } },
                { "Services",
                  { { "Columns",
                      { "Name",
                        "HealthPath",
                        "MaxConnections",
                        "Protocol",
                        "Tls",
                        "WarmupS",
                        "WarmupPerS",
                        "Sharded",
                        "WarmS",
                        "Grants" } },
                    { "Rows", services } } },
                { "Limits",
                  { { "MaxHeaderBytes", 16384 },
                    { "MaxBodyBytes", 67108864 },
                    { "HeaderTimeoutMs", 3000 },
                    { "IdleTimeoutMs", 15000 } } } })
    .dump();
}

inline bool
hasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::strcmp(text, "0") != 0;
}

/// Ends the case at once: threads of the stand-ins still run.
[[noreturn]] inline void
finish(int aStatus)
{
  std::fflush(nullptr);
  ::_exit(aStatus);
}

inline std::string
randomId()
{
  static std::mutex sMutex;
  static std::uint64_t sState =
    static_cast<std::uint64_t>(wallMs()) * 6364136223846793005ULL +
    static_cast<std::uint64_t>(::getpid());
  const std::lock_guard<std::mutex> lock(sMutex);
  sState = sState * 6364136223846793005ULL + 1442695040888963407ULL;
  char text[17];
  std::snprintf(text,
                sizeof(text),
                "%016llx",
                static_cast<unsigned long long>(sState ^ (sState >> 29)));
  return text;
}

}

#endif
