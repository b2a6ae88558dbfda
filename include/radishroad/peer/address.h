#ifndef RADISHROAD_PEER_ADDRESS_H
#define RADISHROAD_PEER_ADDRESS_H

#include "radishroad/base/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace radishroad {

/// Parses "ip:port" ("[ip]:port" for IPv6).
Result<boost::asio::ip::tcp::endpoint>
parsePeerAddress(std::string_view aAddress);

}

#endif
