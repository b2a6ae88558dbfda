#include "radishroad/upstream/connection_counter.h"

#include <algorithm>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishroad {

namespace {

/// Local port of a socket; 0 if it has none.
int
localPortOf(curl_socket_t aSocket)
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size) !=
      0) {
    return 0;
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

}

void
ConnectionCounter::attach(CURL* aHandle)
{
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETFUNCTION, &onOpen);
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(aHandle, CURLOPT_CLOSESOCKETFUNCTION, &onClose);
  curl_easy_setopt(aHandle, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t
ConnectionCounter::onOpen(void* aSelf, curlsocktype, curl_sockaddr* aAddress)
{
  const int fd = ::socket(
    aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  auto* self = static_cast<ConnectionCounter*>(aSelf);
  ++self->mOpened;
  self->mSockets.insert_or_assign(fd, Socket{ self->mOpened });
  return fd;
}

int
ConnectionCounter::onClose(void* aSelf, curl_socket_t aSocket)
{
  auto* self = static_cast<ConnectionCounter*>(aSelf);
  self->mSockets.erase(aSocket);
  return ::close(aSocket);
}

curl_socket_t
ConnectionCounter::socketAt(int aLocalPort)
{
  // libcurl does not tell the socket of a transfer before its end.
  for (auto& [fd, socket] : mSockets) {
    socket.mLocalPort =
      socket.mLocalPort == 0 ? localPortOf(fd) : socket.mLocalPort;
    if (socket.mLocalPort == aLocalPort) {
      return fd;
    }
  }
  return CURL_SOCKET_BAD;
}

bool
ConnectionCounter::isReadable(int aLocalPort)
{
  pollfd ready{ socketAt(aLocalPort), POLLIN, 0 };
  return ready.fd != CURL_SOCKET_BAD && ::poll(&ready, 1, 0) > 0;
}

ConnectionId
ConnectionCounter::idAt(int aLocalPort)
{
  const auto it = mSockets.find(socketAt(aLocalPort));
  return it == mSockets.end() ? 0 : it->second.mId;
}

void
ConnectionCounter::setOwnPool(int aLocalPort)
{
  const auto it = mSockets.find(socketAt(aLocalPort));
  if (it != mSockets.end()) {
    it->second.mHasOwnPool = true;
  }
}

bool
ConnectionCounter::contains(ConnectionId aConnection) const
{
  return std::ranges::any_of(mSockets, [aConnection](const auto& aEntry) {
    return aEntry.second.mId == aConnection;
  });
}

std::vector<ConnectionId>
ConnectionCounter::sharedIds() const
{
  std::vector<ConnectionId> ids;
  ids.reserve(mSockets.size());
  for (const auto& [fd, socket] : mSockets) {
    if (!socket.mHasOwnPool) {
      ids.push_back(socket.mId);
    }
  }
  return ids;
}

}
