#ifndef RADISHROAD_TOOLS_RR_RELAY_SESSION_H
#define RADISHROAD_TOOLS_RR_RELAY_SESSION_H

#include "rr-relay/pipe.h"
#include "rr-relay/rule.h"

#include <functional>
#include <memory>
#include <string>

namespace radishroad::tools {

/// One relayed connection, both ways.
class Session : public std::enable_shared_from_this<Session>
{
public:
  using RuleFn = std::function<Rule(const std::string& aSource)>;

  Session(Pipe::SocketPtr aClient, std::string aSource, RuleFn aRule);

  void connect(const boost::asio::ip::tcp::endpoint& aTarget,
               std::function<void()> aOnEnd);
  /// Applies a changed rule.
  void update();
  void close();

private:
  std::shared_ptr<Pipe> makePipe(const Pipe::SocketPtr& aFrom,
                                 const Pipe::SocketPtr& aTo,
                                 bool Rule::*aHold);

  Pipe::SocketPtr mClient;
  Pipe::SocketPtr mTarget;
  std::string mSource;
  RuleFn mRule;
  std::function<void()> mOnEnd;
  std::shared_ptr<Pipe> mForward;
  std::shared_ptr<Pipe> mBack;
};

}

#endif
