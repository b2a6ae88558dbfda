#include "fake_log_server.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <flatbuffers/base.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishroad::testing {

struct FakeLogServer::Request
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;

  std::uint64_t parameter(const std::string& aName) const
  {
    const std::size_t position = mTarget.find(aName + "=");
    return std::stoull(mTarget.substr(position + aName.size() + 1));
  }
};

struct FakeLogServer::Response
{
  int mStatus = 200;
  std::string mBody;
  std::uint64_t mOldest = 0;
  bool mLost = false;
};

FakeLogServer::FakeLogServer()
{
  mListener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  sockaddr* socketAddress = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  if (bind(mListener, socketAddress, size) != 0 || listen(mListener, 64) != 0 ||
      getsockname(mListener, socketAddress, &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  mPort = ntohs(address.sin_port);
  mAcceptor = std::thread([this] { acceptLoop(); });
}

FakeLogServer::~FakeLogServer()
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
    for (const int openSocket : mSockets) {
      shutdown(openSocket, SHUT_RDWR);
    }
  }
  mChanged.notify_all();
  shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  close(mListener);
}

std::string
FakeLogServer::address() const
{
  return "127.0.0.1:" + std::to_string(mPort);
}

void
FakeLogServer::setFaults(Faults aFaults)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mFaults = aFaults;
  mChanged.notify_all();
}

void
FakeLogServer::appendDirectly(Bytes aData)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mRecords.push_back(std::move(aData));
  mChanged.notify_all();
}

void
FakeLogServer::expireBelow(std::uint64_t aOldest)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mOldest = aOldest;
}

std::vector<Bytes>
FakeLogServer::records() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mRecords;
}

std::size_t
FakeLogServer::appends() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mAppends;
}

std::size_t
FakeLogServer::reads() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mReads;
}

void
FakeLogServer::acceptLoop()
{
  while (true) {
    const int socket = accept(mListener, nullptr, nullptr);
    std::lock_guard<std::mutex> lock(mMutex);
    if (socket < 0 || mStopped) {
      if (socket >= 0) {
        close(socket);
      }
      return;
    }
    mSockets.push_back(socket);
    mThreads.emplace_back([this, socket] { serve(socket); });
  }
}

void
FakeLogServer::serve(int aSocket)
{
  std::string buffer;
  while (serveOne(aSocket, buffer)) {
  }
  std::lock_guard<std::mutex> lock(mMutex);
  std::erase(mSockets, aSocket);
  close(aSocket);
}

namespace {

/// Receives until the buffer holds aSize bytes; false if the connection ended
/// first.
bool
receiveUntil(int aSocket, std::string& aBuffer, std::size_t aSize)
{
  char chunk[4096];
  while (aBuffer.size() < aSize) {
    const ssize_t n = recv(aSocket, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    aBuffer.append(chunk, static_cast<std::size_t>(n));
  }
  return true;
}

}

bool
FakeLogServer::serveOne(int aSocket, std::string& aBuffer)
{
  std::size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!receiveUntil(aSocket, aBuffer, aBuffer.size() + 1)) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 4);
  Request request;
  request.mMethod = head.substr(0, head.find(' '));
  const std::size_t target = request.mMethod.size() + 1;
  request.mTarget = head.substr(target, head.find(' ', target) - target);
  const std::size_t length = head.find("Content-Length: ");
  if (length != std::string::npos) {
    const std::size_t size = std::stoul(head.substr(length + 16));
    if (!receiveUntil(aSocket, aBuffer, size)) {
      return false;
    }
    request.mBody = aBuffer.substr(0, size);
    aBuffer.erase(0, size);
  }
  const Response response = handle(request);
  if (response.mLost) {
    return false;
  }
  const std::string text =
    "HTTP/1.1 " + std::to_string(response.mStatus) +
    " x\r\nX-Oldest-Offset: " + std::to_string(response.mOldest) +
    "\r\nContent-Length: " + std::to_string(response.mBody.size()) +
    "\r\n\r\n" + response.mBody;
  return send(aSocket, text.data(), text.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(text.size());
}

FakeLogServer::Response
FakeLogServer::handle(const Request& aRequest)
{
  if (aRequest.mMethod == "POST") {
    return append(aRequest);
  }
  if (aRequest.mTarget.find("/records") != std::string::npos) {
    return read(aRequest);
  }
  std::lock_guard<std::mutex> lock(mMutex);
  if (mFaults.mOutage) {
    return { 503, "", 0, false };
  }
  const std::string next = std::to_string(mRecords.size());
  return { 200,
           "{\"oldest\":" + std::to_string(mOldest) + ",\"next\":" + next + "}",
           mOldest,
           false };
}

FakeLogServer::Response
FakeLogServer::append(const Request& aRequest)
{
  std::unique_lock<std::mutex> lock(mMutex);
  ++mAppends;
  mChanged.wait(lock, [this] { return !mFaults.mHang || mStopped; });
  if (mFaults.mOutage) {
    return { 503, "", 0, false };
  }
  mRecords.emplace_back(aRequest.mBody.begin(), aRequest.mBody.end());
  mChanged.notify_all();
  Response response;
  response.mLost = mFaults.mLoseResponses > 0;
  mFaults.mLoseResponses -= response.mLost ? 1 : 0;
  response.mBody = "{\"offset\":" + std::to_string(mRecords.size() - 1) + "}";
  return response;
}

FakeLogServer::Response
FakeLogServer::read(const Request& aRequest)
{
  const std::uint64_t from = aRequest.parameter("from");
  const std::chrono::milliseconds wait(aRequest.parameter("wait_ms"));
  std::unique_lock<std::mutex> lock(mMutex);
  ++mReads;
  mChanged.notify_all();
  mChanged.wait(lock, [this] { return !mFaults.mHang || mStopped; });
  mChanged.wait_for(lock, wait, [&] {
    return mRecords.size() > from || mFaults.mOutage || mStopped;
  });
  if (mFaults.mOutage) {
    return { 503, "", 0, false };
  }
  if (from < mOldest) {
    return { 410, "", mOldest, false };
  }
  Response response;
  response.mOldest = mOldest;
  for (std::uint64_t i = from; i < mRecords.size(); ++i) {
    char header[20];
    flatbuffers::WriteScalar<std::uint64_t>(header, i);
    flatbuffers::WriteScalar<std::int64_t>(header + 8, 77);
    flatbuffers::WriteScalar<std::uint32_t>(
      header + 16, static_cast<std::uint32_t>(mRecords[i].size()));
    response.mBody.append(header, sizeof(header));
    response.mBody.append(mRecords[i].begin(), mRecords[i].end());
  }
  return response;
}

}
