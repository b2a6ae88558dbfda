#ifndef RADISHROAD_UPSTREAM_CONNECTION_COUNTER_H
#define RADISHROAD_UPSTREAM_CONNECTION_COUNTER_H

#include <cstdint>
#include <curl/curl.h>

namespace radishroad {

/// Counts the sockets that libcurl opens to the upstream. Used on the gate's
/// thread only; must outlive the multi handle.
class ConnectionCounter
{
public:
  void attach(CURL* aHandle);
  /// Number of sockets that are open now.
  std::uint32_t open() const { return mOpen; }
  /// Number of sockets opened since the start.
  std::uint64_t opened() const { return mOpened; }

private:
  static curl_socket_t onOpen(void* aSelf, curlsocktype, curl_sockaddr*);
  static int onClose(void* aSelf, curl_socket_t aSocket);

  std::uint32_t mOpen = 0;
  std::uint64_t mOpened = 0;
};

}

#endif
