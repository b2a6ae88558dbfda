#ifndef RADISHROAD_TESTS_SUPPORT_RAW_CLIENT_H
#define RADISHROAD_TESTS_SUPPORT_RAW_CLIENT_H

#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace radishroad::test {

/// One HTTP response as received.
struct RawResponse
{
  int mStatus = 0;
  std::string mHead;
  std::string mBody;
  /// The body has no length and ended with the connection.
  bool mEndsWithConnection = false;

  /// Value of the first field with this name (case-sensitive); empty if
  /// missing.
  std::string field(std::string_view aName) const
  {
    const std::string begin = "\r\n" + std::string(aName) + ": ";
    const std::size_t at = mHead.find(begin);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + begin.size();
    return mHead.substr(from, mHead.find("\r\n", from) - from);
  }
};

/// Blocking loopback connection that can send arbitrary bytes. Every receive
/// has a timeout.
class RawClient
{
public:
  explicit RawClient(std::uint16_t aPort, std::uint32_t aIp = INADDR_LOOPBACK)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(aIp);
    if (::connect(mSocket,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(mSocket);
      throw std::runtime_error("connect failed");
    }
  }
  ~RawClient() { ::close(mSocket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// Sends all bytes; false if the server has closed the connection.
  bool send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t n =
        ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  /// The next complete response; nothing if the stream ends or the receive
  /// times out.
  std::optional<RawResponse> receive(bool aIsHead = false)
  {
    std::size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!receiveSome()) {
        return std::nullopt;
      }
    }
    RawResponse response;
    response.mHead = mInput.substr(0, end + 2);
    response.mStatus = std::atoi(response.mHead.c_str() + 9);
    mInput.erase(0, end + 4);
    const std::string length = response.field("Content-Length");
    const bool hasNoBody = aIsHead || response.mStatus < 200 ||
                           response.mStatus == 204 || response.mStatus == 304;
    if (length.empty() && !hasNoBody) {
      while (receiveSome()) {
      }
      response.mEndsWithConnection = true;
      response.mBody = std::exchange(mInput, {});
      return mEnded && !mWasReset ? std::optional(response) : std::nullopt;
    }
    const std::size_t size = hasNoBody ? 0 : std::stoul("0" + length);
    while (mInput.size() < size) {
      if (!receiveSome()) {
        return std::nullopt;
      }
    }
    response.mBody = mInput.substr(0, size);
    mInput.erase(0, size);
    return response;
  }

  /// Waits until bytes or the end of the stream can be received; false on
  /// timeout.
  bool waitForInput() const
  {
    pollfd ready{ mSocket, POLLIN, 0 };
    return ::poll(&ready, 1, kTimeoutMs) == 1;
  }

  /// Waits until the server closes the stream; false if bytes arrive instead or
  /// the receive times out.
  bool receiveEnd() { return mInput.empty() && !receiveSome() && mEnded; }

  void close() { ::shutdown(mSocket, SHUT_RDWR); }

private:
  static constexpr int kTimeoutMs = 10000;

  bool receiveSome()
  {
    pollfd ready{ mSocket, POLLIN, 0 };
    if (::poll(&ready, 1, kTimeoutMs) != 1) {
      return false;
    }
    std::array<char, 65536> buf{};
    const ssize_t n = ::recv(mSocket, buf.data(), buf.size(), 0);
    mEnded = n <= 0;
    mWasReset = n < 0;
    if (n > 0) {
      mInput.append(buf.data(), static_cast<std::size_t>(n));
    }
    return n > 0;
  }

  int mSocket;
  std::string mInput;
  bool mEnded = false;
  bool mWasReset = false;
};

}

#endif
