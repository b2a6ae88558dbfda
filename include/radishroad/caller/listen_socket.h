#ifndef RADISHROAD_CALLER_LISTEN_SOCKET_H
#define RADISHROAD_CALLER_LISTEN_SOCKET_H

#include <cstdint>

namespace radishroad {

/// Shuts down this process's listening socket with the given IPv4 address, so
/// that new connections are refused while open ones continue. Returns false if
/// no listening socket has that address. aIp and aPort are in network byte
/// order.
///
/// Pistache's listener does not expose its socket and can only be stopped
/// together with its connections. The socket is therefore found by a scan of
/// the process's file descriptors.
bool
stopListening(std::uint32_t aIp, std::uint16_t aPort);

}

#endif
