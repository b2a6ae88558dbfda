// Stand-ins for the cases of the second review: the platform's store, workers,
// requesters and a relay, all on loopback addresses, and the daemons as child
// processes with the command of the deploy file. They follow PROTOCOL.md.
#ifndef RADISHROAD_REVIEW_COMMON_2_RIG_H
#define RADISHROAD_REVIEW_COMMON_2_RIG_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Json = nlohmann::json;

inline std::int64_t
steadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

inline const std::int64_t kStart = steadyMs();

/// Milliseconds since the case began.
inline std::int64_t
now()
{
  return steadyMs() - kStart;
}

inline std::int64_t
wallMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

inline void
sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(
    std::chrono::milliseconds(std::max<std::int64_t>(0, aMs)));
}

inline void
sleepUntil(std::int64_t aAt)
{
  sleepMs(aAt - now());
}

inline bool
waitFor(const std::function<bool()>& aIsDone, std::int64_t aMs)
{
  const std::int64_t until = now() + aMs;
  while (!aIsDone()) {
    if (now() >= until) {
      return false;
    }
    sleepMs(10);
  }
  return true;
}

/// What was sent, answered and run, one line each, with milliseconds.
class Record
{
public:
  void open(const std::string& aPath) { mFile.open(aPath, std::ios::trunc); }
  void add(const char* aFormat, ...)
  {
    char text[4096];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mMutex);
    mFile << now() << ' ' << text << '\n';
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline Record&
record()
{
  static Record sRecord;
  return sRecord;
}

inline std::string
lower(std::string aText)
{
  for (char& each : aText) {
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  }
  return aText;
}

struct Message
{
  /// The first line of a request, or the status of an answer.
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  /// By name in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  std::int64_t mAt = 0;

  std::string header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? std::string() : it->second;
  }
  std::string query(const std::string& aName) const
  {
    const std::size_t mark = mTarget.find('?');
    std::string rest =
      mark == std::string::npos ? "" : mTarget.substr(mark + 1);
    std::istringstream pairs(rest);
    for (std::string pair; std::getline(pairs, pair, '&');) {
      if (pair.starts_with(aName + "=")) {
        return pair.substr(aName.size() + 1);
      }
    }
    return {};
  }
};

/// Takes one whole message with a length from the buffer.
inline std::optional<Message>
takeMessage(std::string& aBuffer)
{
  const std::size_t end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::istringstream head(aBuffer.substr(0, end));
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  first >> message.mMethod >> message.mTarget;
  if (message.mMethod.starts_with("HTTP/")) {
    message.mStatus = std::atoi(message.mTarget.c_str());
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders[lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
  }
  const std::string length = message.header("content-length");
  const std::size_t n = length.empty() ? 0 : std::stoul(length);
  if (aBuffer.size() < end + 4 + n) {
    return std::nullopt;
  }
  message.mBody = aBuffer.substr(end + 4, n);
  aBuffer.erase(0, end + 4 + n);
  return message;
}

inline sockaddr_in
socketAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = inet_addr(aIp.c_str());
  return address;
}

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

/// A connection to one address; -1 if it was refused or took too long.
inline int
dial(const std::string& aIp, int aPort, int aTimeoutMs)
{
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = socketAddress(aIp, aPort);
  if (::connect(fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    pollfd ready{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&ready, 1, aTimeoutMs) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

/// Sends a request on a connection of its own and waits for the answer.
inline std::optional<Message>
call(const std::string& aIp,
     int aPort,
     const std::string& aBytes,
     int aTimeoutMs)
{
  const std::int64_t until = now() + aTimeoutMs;
  const int fd = dial(aIp, aPort, std::min(aTimeoutMs, 1000));
  if (fd < 0) {
    return std::nullopt;
  }
  std::optional<Message> answer;
  std::string buffer;
  if (sendAll(fd, aBytes)) {
    while (!answer && now() < until) {
      pollfd ready{ fd, POLLIN, 0 };
      if (::poll(&ready, 1, static_cast<int>(until - now())) != 1) {
        break;
      }
      char chunk[65536];
      const ssize_t n = ::recv(fd, chunk, sizeof(chunk), 0);
      if (n <= 0) {
        break;
      }
      buffer.append(chunk, static_cast<std::size_t>(n));
      answer = takeMessage(buffer);
    }
  }
  ::close(fd);
  if (answer) {
    answer->mAt = now();
  }
  return answer;
}

inline std::string
request(const std::string& aMethod,
        const std::string& aTarget,
        const std::vector<std::string>& aHeaders,
        const std::string& aBody = {})
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  bool hasHost = false;
  for (const std::string& each : aHeaders) {
    hasHost = hasHost || each.starts_with("Host:");
    text += each + "\r\n";
  }
  text += hasHost ? "" : "Host: a\r\n";
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline std::string
answer(const std::string& aStatus,
       const std::vector<std::string>& aHeaders,
       const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + aStatus + "\r\n";
  for (const std::string& each : aHeaders) {
    text += each + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// Serves requests one after the other on each connection, in a thread each.
class Server
{
public:
  using Handler = std::function<std::string(const Message&)>;

  Server(std::string aIp, int aPort, Handler aHandler)
    : mIp(std::move(aIp))
    , mPort(aPort)
    , mHandler(std::move(aHandler))
  {
  }
  ~Server() { close(); }

  bool open()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(mIp, mPort);
    if (::bind(mListener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(mListener, 256) != 0) {
      ::close(mListener);
      mListener = -1;
      return false;
    }
    mIsOpen = true;
    mAcceptor = std::thread([this] { accept(); });
    return true;
  }

  /// Ends as a process does that is killed: new connections are refused, open
  /// ones are reset.
  void close()
  {
    if (!mIsOpen.exchange(false)) {
      return;
    }
    ::shutdown(mListener, SHUT_RDWR);
    mAcceptor.join();
    ::close(mListener);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int fd : mSockets) {
        const linger option{ 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        ::shutdown(fd, SHUT_RD);
      }
    }
    for (std::thread& each : mThreads) {
      each.join();
    }
    mThreads.clear();
  }

private:
  void accept()
  {
    while (true) {
      const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 || !mIsOpen) {
        if (fd >= 0) {
          ::close(fd);
        }
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard<std::mutex> lock(mMutex);
      mSockets.insert(fd);
      mThreads.emplace_back([this, fd] { serve(fd); });
    }
  }

  void serve(int aSocket)
  {
    std::string buffer;
    while (mIsOpen) {
      if (std::optional<Message> message = takeMessage(buffer)) {
        message->mAt = now();
        const std::string bytes = mHandler(*message);
        if (!mIsOpen || bytes.empty() || !sendAll(aSocket, bytes)) {
          break;
        }
        continue;
      }
      char chunk[65536];
      const ssize_t n = ::recv(aSocket, chunk, sizeof(chunk), 0);
      if (n <= 0) {
        break;
      }
      buffer.append(chunk, static_cast<std::size_t>(n));
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.erase(aSocket);
    ::close(aSocket);
  }

  const std::string mIp;
  const int mPort;
  const Handler mHandler;
  int mListener = -1;
  std::atomic<bool> mIsOpen{ false };
  std::thread mAcceptor;
  std::mutex mMutex;
  std::set<int> mSockets;
  std::vector<std::thread> mThreads;
};

inline std::string
base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < aBytes.size(); n += 3) {
    std::uint32_t value = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - n);
    for (std::size_t k = 0; k < 3; ++k) {
      value = value << 8U |
              (k < count ? static_cast<unsigned char>(aBytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += k <= count ? kDigits[value >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

/// The platform's store: keyed topics of one partition. Loses nothing.
class Store
{
public:
  Store(const std::string& aIp, int aPort)
    : mServer(aIp, aPort, [this](const Message& aCall) {
      return handle(aCall);
    })
  {
  }
  ~Store()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mChanged.notify_all();
    mServer.close();
  }
  bool open() { return mServer.open(); }

  /// Is away from now on: connections are refused, open ones are reset.
  void goAway()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = true;
    }
    mChanged.notify_all();
    mServer.close();
    record().add("the store is away");
  }
  bool comeBack()
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mStopped = false;
    }
    record().add("the store is back, era %d", mEra);
    return mServer.open();
  }
  void keepCopy()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mCopy = mTopics;
    record().add("a copy of the store is kept");
  }
  /// Takes over the copy; while the store is away.
  void restoreCopy()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTopics = mCopy;
    ++mEra;
  }

  void put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    add(mTopics[aTopic],
        std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
    mChanged.notify_all();
  }

private:
  struct Topic
  {
    std::vector<std::string> mRecords;
    /// Value and offset, by key.
    std::map<std::string, std::pair<std::string, std::size_t>> mNewest;
  };

  static void add(Topic& aTopic, const std::string& aRecord)
  {
    const std::size_t n = static_cast<unsigned char>(aRecord.at(0));
    const std::string key = aRecord.substr(1, n);
    const std::string value = aRecord.substr(1 + n);
    if (value.empty()) {
      aTopic.mNewest.erase(key);
    } else {
      aTopic.mNewest[key] = { value, aTopic.mRecords.size() };
    }
    aTopic.mRecords.push_back(aRecord);
  }

  static std::string bigEndian(std::uint64_t aValue, int aBytes)
  {
    std::string text;
    for (int n = aBytes - 1; n >= 0; --n) {
      text += static_cast<char>(aValue >> (8 * n) & 255U);
    }
    return text;
  }

  std::string json(const std::string& aStatus, const Json& aBody) const
  {
    return rig::answer(aStatus,
                       { "Store-Era: " + std::to_string(mEra),
                         "Content-Type: application/json" },
                       aBody.dump());
  }

  std::string handle(const Message& aCall)
  {
    const std::string path = aCall.mTarget.substr(0, aCall.mTarget.find('?'));
    std::unique_lock<std::mutex> lock(mMutex);
    Topic& topic = mTopics[aCall.query("Topic")];
    if (path == "/api/log-append") {
      const std::string at = aCall.query("At");
      if (!at.empty() && std::stoul(at) != topic.mRecords.size()) {
        return json("412 Precondition Failed",
                    { { "End", topic.mRecords.size() } });
      }
      const std::size_t offset = topic.mRecords.size();
      std::string rest = aCall.mBody;
      while (rest.size() >= 4) {
        std::uint32_t n = 0;
        for (int k = 0; k < 4; ++k) {
          n = n << 8U | static_cast<unsigned char>(rest[k]);
        }
        add(topic, rest.substr(4, n));
        rest.erase(0, 4 + n);
      }
      mChanged.notify_all();
      return json("200 OK",
                  { { "Offset", offset }, { "End", topic.mRecords.size() } });
    }
    if (path == "/api/log-read") {
      const std::size_t from = std::stoul(aCall.query("From"));
      const std::string wait = aCall.query("WaitMs");
      if (from > topic.mRecords.size()) {
        return json("410 Gone", { { "First", 0 } });
      }
      mChanged.wait_for(
        lock,
        std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)),
        [&] { return mStopped || topic.mRecords.size() > from; });
      std::string body = bigEndian(topic.mRecords.size(), 8) + bigEndian(0, 8);
      const std::string maxKb = aCall.query("MaxKb");
      const std::size_t most =
        1024 * (maxKb.empty() ? 1024 : std::stoul(maxKb));
      for (std::size_t n = from; n < topic.mRecords.size(); ++n) {
        if (n > from && body.size() + topic.mRecords[n].size() > most) {
          break;
        }
        body += bigEndian(topic.mRecords[n].size(), 4) + topic.mRecords[n];
      }
      return rig::answer("200 OK",
                         { "Store-Era: " + std::to_string(mEra),
                           "Content-Type: application/octet-stream" },
                         body);
    }
    if (path == "/api/log-newest") {
      Json items = Json::array();
      for (const auto& [key, newest] : topic.mNewest) {
        items.push_back({ { "Key", key },
                          { "Value", base64(newest.first) },
                          { "Offset", newest.second } });
      }
      return json("200 OK",
                  { { "items", items },
                    { "More", false },
                    { "End", topic.mRecords.size() } });
    }
    return json("404 Not Found", Json::object());
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  int mEra = 1;
  std::map<std::string, Topic> mTopics;
  std::map<std::string, Topic> mCopy;
  Server mServer;
};

/// Ports are the same on all machines.
struct Ports
{
  int mOutbound = 8402;
  int mInbound = 8401;
  int mReadiness = 8406;
  int mAdmin = 8407;
  int mWorker = 8403;
  int mInternal = 7660;
  int mStore = 8408;
};

/// A block of loopback addresses that nothing listens on.
class Network
{
public:
  Network()
  {
    std::random_device random;
    do {
      mPrefix = "127." + std::to_string(100 + random() % 100) + "." +
                std::to_string(1 + random() % 250) + ".";
    } while (!isFree());
  }
  std::string ip(int aHost) const { return mPrefix + std::to_string(aHost); }
  const Ports& ports() const { return mPorts; }

private:
  bool isFree() const
  {
    for (int host = 1; host <= 16; ++host) {
      for (const int port : { mPorts.mOutbound,
                              mPorts.mInbound,
                              mPorts.mReadiness,
                              mPorts.mAdmin,
                              mPorts.mWorker,
                              mPorts.mInternal,
                              mPorts.mStore }) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = socketAddress(ip(host), port);
        const bool isBound = ::bind(fd,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0;
        ::close(fd);
        if (!isBound) {
          return false;
        }
      }
    }
    return true;
  }
  std::string mPrefix;
  Ports mPorts;
};

/// Temporary folder, deleted at the end.
class Folder
{
public:
  Folder()
  {
    char name[] = "/tmp/radishroad-review-XXXXXX";
    mPath = ::mkdtemp(name);
  }
  ~Folder()
  {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(mPath, ec);
    }
  }
  std::string path(const std::string& aName) const
  {
    return mPath + "/" + aName;
  }

private:
  std::string mPath;
};

/// The daemon of a machine, with the command of deploy/system.toml.
class Daemon
{
public:
  Daemon(const Network& aNetwork,
         int aHost,
         std::string aNode,
         std::string aZone,
         std::string aService,
         std::string aLog)
    : mNetwork(aNetwork)
    , mHost(aHost)
    , mNode(std::move(aNode))
    , mZone(std::move(aZone))
    , mService(std::move(aService))
    , mLog(std::move(aLog))
  {
  }
  ~Daemon() { kill(); }

  std::string ip() const { return mNetwork.ip(mHost); }
  const std::string& node() const { return mNode; }
  const std::string& zone() const { return mZone; }
  const std::string& service() const { return mService; }
  /// When its process was started last.
  std::int64_t startedAt() const { return mStartedAt; }

  void start()
  {
    std::vector<std::string> words = command();
    mStartedAt = now();
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::setenv("RADISHROAD_LINK_MBPS", "1000.0", 1);
      std::vector<char*> arguments;
      for (std::string& each : words) {
        arguments.push_back(each.data());
      }
      arguments.push_back(nullptr);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    record().add("daemon %s started", mNode.c_str());
  }
  void signal(int aSignal) const { ::kill(mPid, aSignal); }
  bool hasEnded()
  {
    if (mPid > 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
      mPid = 0;
    }
    return mPid <= 0;
  }
  void kill()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = 0;
      record().add("daemon %s killed", mNode.c_str());
    }
  }
  /// SIGTERM, as the platform does, and SIGKILL after GraceS.
  void stop()
  {
    record().add("daemon %s gets SIGTERM", mNode.c_str());
    signal(SIGTERM);
    if (!waitFor([this] { return hasEnded(); }, 6000)) {
      kill();
    }
    record().add("daemon %s has ended", mNode.c_str());
  }
  bool isReady() const
  {
    const std::optional<Message> ready = call(
      ip(), mNetwork.ports().mReadiness, request("GET", "/api/ready", {}), 500);
    return ready && ready->mStatus == 200;
  }
  bool takesReports() const
  {
    const int fd = dial(ip(), mNetwork.ports().mAdmin, 200);
    if (fd >= 0) {
      ::close(fd);
    }
    return fd >= 0;
  }

private:
  std::vector<std::string> command() const
  {
    const Ports& ports = mNetwork.ports();
    const auto at = [&](int aPort) {
      return ip() + ":" + std::to_string(aPort);
    };
    const std::map<std::string, std::string> values = {
      { "Node", mNode },
      { "Zone", mZone },
      { "Service", mService },
      { "Listen.Outbound", at(ports.mOutbound) },
      { "Listen.Inbound", at(ports.mInbound) },
      { "Listen.Readiness", at(ports.mReadiness) },
      { "Listen.Admin", at(ports.mAdmin) },
      { "Ip", ip() },
      { "InternalPorts.0", std::to_string(ports.mInternal) },
      { "LocalApp", at(ports.mWorker) },
      { "Platform.Address",
        mNetwork.ip(1) + ":" + std::to_string(ports.mStore) },
      { "Bounds.GraceS", "6" },
      { "Bounds.DrainMs", "2000" },
      { "Bounds.HoldMaxMs", "10000" },
      { "Bounds.EvacuateMs", "5000" },
      { "Bounds.ConfigApplyMs", "2000" },
      { "Limits.MemoryMb", "260" },
    };
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line) && !line.starts_with("run = \"")) {
    }
    line = line.substr(line.find('"') + 1);
    line = line.substr(0, line.rfind('"'));
    for (const auto& [name, value] : values) {
      const std::string mark = "{{" + name + "}}";
      for (std::size_t n = line.find(mark); n != std::string::npos;
           n = line.find(mark)) {
        line.replace(n, mark.size(), value);
      }
    }
    std::istringstream words(line);
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
      command.push_back(word);
    }
    if (const char* program = std::getenv("RADISHROADD")) {
      command[0] = program;
    }
    return command;
  }

  const Network& mNetwork;
  const int mHost;
  const std::string mNode;
  const std::string mZone;
  const std::string mService;
  const std::string mLog;
  pid_t mPid = 0;
  std::int64_t mStartedAt = 0;
};

/// One life of an application worker.
class Worker
{
public:
  struct Run
  {
    std::string mId;
    std::string mTarget;
    std::int64_t mAt = 0;
  };
  struct Grant
  {
    std::uint32_t mFrom = 0;
    std::uint32_t mTo = 0;
    std::uint64_t mEpoch = 0;
    std::int64_t mAt = 0;
    std::int64_t mHoldMs = 0;
  };
  /// A span of time in which it held a key.
  struct Hold
  {
    std::int64_t mFrom = 0;
    std::int64_t mTo = 0;
    std::uint64_t mEpoch = 0;
  };

  Worker(const Network& aNetwork, const Daemon& aDaemon, std::string aId)
    : mId(std::move(aId))
    , mBorn(wallMs())
    , mIp(aDaemon.ip())
    , mAdmin(aNetwork.ports().mAdmin)
    , mAddress(mIp + ":" + std::to_string(aNetwork.ports().mWorker))
    , mService(aDaemon.service())
    , mZone(aDaemon.zone())
    , mServer(mIp, aNetwork.ports().mWorker, [this](const Message& aCall) {
      return handle(aCall);
    })
  {
  }
  ~Worker() { end(); }

  const std::string& id() const { return mId; }
  bool open()
  {
    record().add("worker %s starts", mId.c_str());
    return mServer.open();
  }
  /// Ends like a process that is killed.
  void end()
  {
    if (!mEnded.exchange(true)) {
      mEndedAt = now();
    }
    mServer.close();
  }
  void setRunMs(int aMs) { mRunMs = aMs; }
  void setLeaving() { mLeaving = true; }
  /// Called when it begins to run a request of this target, which crashes it.
  void setCrashing(std::string aTarget, std::function<void()> aOnCrash)
  {
    mCrashTarget = std::move(aTarget);
    mOnCrash = std::move(aOnCrash);
  }

  std::string reportBytes(const char* aState = "ready")
  {
    const Json body = {
      { "Address", mAddress },
      { "born", mBorn },
      { "Info",
        { { "Service", mService },
          { "Version", "v1" },
          { "Zone", mZone },
          { "Slots", 9 } } },
      { "Status",
        { { "State", aState }, { "Seq", ++mSequence }, { "WarmupLeftMs", 0 } } }
    };
    return request("POST",
                   "/api/rpc?call=instances.heartbeat&of=" + mId,
                   { "Content-Type: application/json" },
                   body.dump());
  }
  /// Sends a liveness report; true if it was acknowledged within a second.
  bool report(const char* aState = "ready")
  {
    const std::optional<Message> got =
      call(mIp, mAdmin, reportBytes(aState), 1000);
    const bool isOk = got && got->mStatus / 100 == 2;
    if (isOk != mWasAcknowledged) {
      record().add("worker %s: reports %s",
                   mId.c_str(),
                   isOk ? "are acknowledged" : "get no ack");
    }
    mWasAcknowledged = isOk;
    return isOk;
  }
  bool deregister()
  {
    const std::optional<Message> got =
      call(mIp,
           mAdmin,
           request("POST",
                   "/api/rpc?call=instances.deregister&of=" + mId,
                   { "Content-Type: application/json" },
                   Json({ { "born", mBorn } }).dump()),
           1000);
    return got && got->mStatus / 100 == 2;
  }
  std::vector<Run> runs() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }
  std::vector<Grant> grants() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mGrants;
  }
  /// When it held a key, until it ended.
  std::vector<Hold> holds(std::uint32_t aKey) const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto releases = mReleases.find(aKey);
    std::vector<Hold> spans;
    for (const Grant& each : mGrants) {
      if (aKey < each.mFrom || aKey > each.mTo) {
        continue;
      }
      Hold span{ each.mAt,
                 std::min(each.mAt + each.mHoldMs, mEndedAt.load()),
                 each.mEpoch };
      if (releases != mReleases.end()) {
        for (const std::int64_t at : releases->second) {
          span.mTo = at >= span.mFrom ? std::min(span.mTo, at) : span.mTo;
        }
      }
      spans.push_back(span);
    }
    return spans;
  }
  /// Keys that it holds now.
  std::size_t heldKeys() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return static_cast<std::size_t>(
      std::count_if(mKeys.begin(), mKeys.end(), [](const Key& aKey) {
        return aKey.mHeldUntil > now();
      }));
  }

private:
  struct Key
  {
    std::uint64_t mHighest = 0;
    std::int64_t mHeldUntil = 0;
  };

  std::vector<std::string> headers(const Message& aCall) const
  {
    std::vector<std::string> lines{ "X-Upstream-Load: 1,0,9,100" };
    const std::string id = aCall.header("x-request-id");
    if (!id.empty()) {
      lines.push_back("X-Request-Id: " + id);
    }
    if (mLeaving) {
      lines.push_back("Server-Leaving: 1");
    }
    return lines;
  }

  std::string handle(const Message& aCall)
  {
    if (mEnded) {
      return {};
    }
    if (aCall.mTarget == "/healthz") {
      std::vector<std::string> lines = headers(aCall);
      lines.push_back("X-Instance-Id: " + mId);
      return rig::answer(
        mLeaving ? "503 Service Unavailable" : "200 OK", lines, "");
    }
    if (aCall.mTarget == "/api/grant" || aCall.mTarget == "/api/release") {
      return order(aCall);
    }
    const std::string requestId = aCall.header("x-request-id");
    const std::string target = aCall.header("x-target-instance");
    if (!target.empty() && target != mId) {
      std::vector<std::string> lines = headers(aCall);
      lines.push_back("X-Instance-Id: " + mId);
      record().add("worker %s: 421 for %s", mId.c_str(), requestId.c_str());
      return rig::answer("421 Misdirected Request", lines, "");
    }
    const std::string key = aCall.header("x-shard-key");
    if (!key.empty() &&
        key.find_first_not_of("0123456789") == std::string::npos &&
        key.size() < 6 && std::stoul(key) < mKeys.size()) {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mKeys[std::stoul(key)].mHeldUntil <= now()) {
        std::vector<std::string> lines = headers(aCall);
        lines.push_back("X-Not-Executed: 1");
        return rig::answer("421 Misdirected Request", lines, "");
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns.push_back({ requestId, aCall.mTarget, aCall.mAt });
    }
    record().add("worker %s runs %s", mId.c_str(), requestId.c_str());
    if (!mCrashTarget.empty() && aCall.mTarget == mCrashTarget) {
      mOnCrash();
      waitFor([this] { return mEnded.load(); }, 1000);
      return {};
    }
    sleepMs(mRunMs);
    std::vector<std::string> lines = headers(aCall);
    lines.push_back("X-Upstream-Signature: s." + mId + "." + requestId);
    return rig::answer("200 OK", lines, "body of " + requestId);
  }

  std::string order(const Message& aCall)
  {
    const Json body = Json::parse(aCall.mBody);
    const std::uint32_t from = body.at("From");
    const std::uint32_t to = body.at("To");
    const std::uint64_t epoch = body.at("fence");
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aCall.mTarget == "/api/release") {
      for (std::uint32_t key = from; key <= to; ++key) {
        mKeys[key].mHeldUntil = 0;
        mReleases[key].push_back(aCall.mAt);
      }
      return rig::answer(
        "200 OK",
        { "X-Handover: " + mId + "h" + std::to_string(++mTokens) },
        "");
    }
    for (std::uint32_t key = from; key <= to; ++key) {
      if (mKeys[key].mHighest > epoch) {
        return rig::answer("409 Conflict", {}, "");
      }
    }
    for (std::uint32_t key = from; key <= to; ++key) {
      mKeys[key].mHighest = epoch;
      mKeys[key].mHeldUntil = aCall.mAt + body.at("HoldMs").get<std::int64_t>();
    }
    mGrants.push_back({ from, to, epoch, aCall.mAt, body.at("HoldMs") });
    return rig::answer("200 OK", {}, "");
  }

  const std::string mId;
  const std::int64_t mBorn;
  const std::string mIp;
  const int mAdmin;
  const std::string mAddress;
  const std::string mService;
  const std::string mZone;
  std::atomic<bool> mEnded{ false };
  std::atomic<std::int64_t> mEndedAt{
    std::numeric_limits<std::int64_t>::max()
  };
  std::atomic<bool> mLeaving{ false };
  std::atomic<int> mRunMs{ 20 };
  std::string mCrashTarget;
  std::function<void()> mOnCrash;
  std::uint64_t mSequence = 0;
  bool mWasAcknowledged = false;
  mutable std::mutex mMutex;
  std::vector<Key> mKeys{ std::vector<Key>(65536) };
  std::vector<Run> mRuns;
  std::vector<Grant> mGrants;
  std::map<std::uint32_t, std::vector<std::int64_t>> mReleases;
  std::uint64_t mTokens = 0;
  Server mServer;
};

/// Sends a worker's liveness reports every HeartbeatMs until it is stopped.
class Reporter
{
public:
  static constexpr std::int64_t kHeartbeatMs = 870;

  explicit Reporter(Worker& aWorker)
    : mWorker(aWorker)
    , mThread([this] { run(); })
  {
  }
  ~Reporter() { stop(); }
  /// No report is under way when this returns.
  void stop()
  {
    mStopped = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  void run()
  {
    std::int64_t next = now();
    while (!mStopped) {
      if (now() >= next) {
        next = now() + kHeartbeatMs;
        mWorker.report();
      }
      sleepMs(5);
    }
  }
  Worker& mWorker;
  std::atomic<bool> mStopped{ false };
  std::thread mThread;
};

/// A desired state with one service and one route.
inline std::string
configuration(const std::string& aService,
              bool aKeyed,
              const std::string& aKind)
{
  const Json document = {
    { "Version", "r1" },
    { "Routes",
      { { "Columns",
          { "Name",
            "Host",
            "Prefix",
            "Kind",
            "TimeoutMs",
            "TargetLatencyMs",
            "Priority",
            "MaxAttempts",
            "Public",
            "Service" } },
        { "Rows",
          { { "r-1",
              "shop.example",
              "/a/",
              aKind,
              2000,
              300,
              1,
              2,
              true,
              aService } } } } },
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
        { "Rows",
          { { aService,
              "/healthz",
              130,
              "h1",
              false,
              3.0,
              31.0,
              aKeyed ? Json(true) : Json(nullptr),
              aKeyed ? Json(5.0) : Json(nullptr),
              aKeyed ? Json("call") : Json(nullptr) } } } } },
    { "Limits",
      { { "MaxHeaderBytes", 16384 },
        { "MaxBodyBytes", 67108864 },
        { "HeaderTimeoutMs", 3000 },
        { "IdleTimeoutMs", 15000 } } }
  };
  return document.dump();
}

inline bool
hasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

}

#endif
