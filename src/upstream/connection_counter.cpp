#include "radishroad/upstream/connection_counter.h"

#include <sys/socket.h>
#include <unistd.h>

namespace radishroad {

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
  ++self->mOpen;
  ++self->mOpened;
  return fd;
}

int
ConnectionCounter::onClose(void* aSelf, curl_socket_t aSocket)
{
  auto* self = static_cast<ConnectionCounter*>(aSelf);
  --self->mOpen;
  return ::close(aSocket);
}

}
