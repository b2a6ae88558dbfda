#ifndef RADISHROAD_TOOLS_RR_RELAY_RELAY_LINK_H
#define RADISHROAD_TOOLS_RR_RELAY_RELAY_LINK_H

#include "rr-relay/fault_rule.h"
#include "rr-relay/session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace radishroad::tools {

/// One listener and its target. Sources are distinguished by IP address.
class RelayLink
{
public:
  /// aAddresses is "LISTEN-IP:PORT,TARGET-IP:PORT". Throws std::exception if
  /// it is malformed or cannot be listened on.
  RelayLink(boost::asio::io_context& aContext,
            std::string aName,
            const std::string& aAddresses);

  const std::string& name() const;
  /// Sets the rule of one source, or with "*" the default rule of all sources,
  /// which removes the rules of single sources.
  void setRule(const std::string& aSource, const FaultRule& aRule);
  std::size_t sessionCount() const;

private:
  void accept();
  void open(boost::asio::ip::tcp::socket aSocket);
  FaultRule ruleFor(const std::string& aSource) const;

  std::string mName;
  boost::asio::ip::tcp::endpoint mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::map<std::string, FaultRule> mRules;
  std::set<std::shared_ptr<Session>> mSessions;
};

}

#endif
