#ifndef RADISHROAD_CALLER_LISTEN_SOCKET_H
#define RADISHROAD_CALLER_LISTEN_SOCKET_H

#include <cstdint>

namespace radishroad {

/// Makes this process refuse new connections to an IPv4 port of its own, while
/// those that stand go on. False if no listening socket has that address.
/// aIp and aPort are in network byte order.
///
/// Pistache's listener keeps its socket to itself and can only end together
/// with its connections, so the socket is found among the process's own.
bool
stopListening(std::uint32_t aIp, std::uint16_t aPort);

}

#endif
