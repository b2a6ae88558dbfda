#include "radishroad/peer/address.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace radishroad {

Result<boost::asio::ip::tcp::endpoint>
parsePeerAddress(std::string_view aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return fail(ErrorCode::InvalidArgument, "peer address has no port");
  }
  std::string_view host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view text = aAddress.substr(colon + 1);
  std::uint16_t port = 0;
  const std::from_chars_result parsed =
    std::from_chars(text.data(), text.data() + text.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return fail(ErrorCode::InvalidArgument,
                "port of the peer address is not a valid number");
  }
  boost::system::error_code ec;
  const boost::asio::ip::address address =
    boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return fail(ErrorCode::InvalidArgument,
                "host of the peer address is not an IP address");
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}
