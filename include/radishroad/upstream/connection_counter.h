#ifndef RADISHROAD_UPSTREAM_CONNECTION_COUNTER_H
#define RADISHROAD_UPSTREAM_CONNECTION_COUNTER_H

#include "radishroad/upstream/connection_id.h"

#include <cstdint>
#include <curl/curl.h>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Counts and finds the sockets that libcurl opens to the upstream. Used on the
/// gate's thread only; must outlive the multi handle.
class ConnectionCounter
{
public:
  void attach(CURL* aHandle);
  /// Number of sockets that are open now.
  std::uint32_t open() const
  {
    return static_cast<std::uint32_t>(mSockets.size());
  }
  /// Number of sockets opened since the start.
  std::uint64_t opened() const { return mOpened; }
  /// Whether the connected socket with this local port has input, has ended or
  /// has failed. The input is not consumed.
  bool isReadable(int aLocalPort);
  /// Connection with this local port; 0 if there is none.
  ConnectionId idAt(int aLocalPort);
  /// The connection with this local port has a pool of its own.
  void setOwnPool(int aLocalPort);
  bool contains(ConnectionId aConnection) const;
  /// Connections of the shared pool.
  std::vector<ConnectionId> sharedIds() const;

private:
  struct Socket
  {
    ConnectionId mId = 0;
    /// 0 if not known yet.
    int mLocalPort = 0;
    bool mHasOwnPool = false;
  };
  static curl_socket_t onOpen(void* aSelf, curlsocktype, curl_sockaddr*);
  static int onClose(void* aSelf, curl_socket_t aSocket);

  curl_socket_t socketAt(int aLocalPort);

  std::unordered_map<curl_socket_t, Socket> mSockets;
  std::uint64_t mOpened = 0;
};

}

#endif
