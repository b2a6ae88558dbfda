#include "rr-relay/relay_link.h"

#include <boost/asio/ip/address.hpp>
#include <stdexcept>

namespace radishroad::tools {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr const char* kAllSources = "*";

tcp::endpoint
parseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:PORT: " + aText);
  }
  const auto port =
    static_cast<unsigned short>(std::stoul(aText.substr(colon + 1)));
  return { boost::asio::ip::make_address(aText.substr(0, colon)), port };
}

}

RelayLink::RelayLink(boost::asio::io_context& aContext,
                     std::string aName,
                     const std::string& aAddresses)
  : mName(std::move(aName))
  , mAcceptor(aContext)
{
  const std::size_t comma = aAddresses.find(',');
  if (comma == std::string::npos) {
    throw std::invalid_argument("expected LISTEN,TARGET: " + aAddresses);
  }
  mTarget = parseEndpoint(aAddresses.substr(comma + 1));
  const tcp::endpoint listen = parseEndpoint(aAddresses.substr(0, comma));
  mAcceptor.open(listen.protocol());
  mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  mAcceptor.bind(listen);
  mAcceptor.listen();
  accept();
}

const std::string&
RelayLink::name() const
{
  return mName;
}

void
RelayLink::setRule(const std::string& aSource, const FaultRule& aRule)
{
  if (aSource == kAllSources) {
    mRules.clear();
  }
  mRules[aSource] = aRule;
  const std::set<std::shared_ptr<Session>> sessions = mSessions;
  for (const std::shared_ptr<Session>& session : sessions) {
    session->applyRule();
  }
}

std::size_t
RelayLink::sessionCount() const
{
  return mSessions.size();
}

void
RelayLink::accept()
{
  mAcceptor.async_accept([this](const error_code& aError, tcp::socket aSocket) {
    if (!aError) {
      open(std::move(aSocket));
    }
    accept();
  });
}

void
RelayLink::open(tcp::socket aSocket)
{
  error_code ec;
  const tcp::endpoint remote = aSocket.remote_endpoint(ec);
  const std::string source = remote.address().to_string();
  if (ec || ruleFor(source).mDisconnect) {
    return;
  }
  auto client = std::make_shared<tcp::socket>(std::move(aSocket));
  const auto session = std::make_shared<Session>(
    std::move(client), source, [this](const std::string& aSource) {
      return ruleFor(aSource);
    });
  mSessions.insert(session);
  session->connect(mTarget, [this, session] { mSessions.erase(session); });
}

FaultRule
RelayLink::ruleFor(const std::string& aSource) const
{
  auto it = mRules.find(aSource);
  if (it == mRules.end()) {
    it = mRules.find(kAllSources);
  }
  return it == mRules.end() ? FaultRule{} : it->second;
}

}
