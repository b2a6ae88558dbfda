#include "radishroad/caller/listen_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishroad {

namespace {

bool
isListening(int aSocket)
{
  int listening = 0;
  socklen_t length = sizeof(listening);
  return getsockopt(aSocket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) ==
           0 &&
         listening != 0;
}

bool
hasAddress(int aSocket, std::uint32_t aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  return getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length) ==
           0 &&
         address.sin_family == AF_INET && address.sin_addr.s_addr == aIp &&
         address.sin_port == aPort;
}

}

bool
stopListening(std::uint32_t aIp, std::uint16_t aPort)
{
  const int limit = static_cast<int>(sysconf(_SC_OPEN_MAX));
  for (int fd = 0; fd < limit; ++fd) {
    if (isListening(fd) && hasAddress(fd, aIp, aPort)) {
      return shutdown(fd, SHUT_RD) == 0;
    }
  }
  return false;
}

}
