#ifndef RADISHROAD_TOOLS_RR_RELAY_SESSION_H
#define RADISHROAD_TOOLS_RR_RELAY_SESSION_H

#include "rr-relay/fault_rule.h"
#include "rr-relay/pipe.h"

#include <functional>
#include <memory>
#include <string>

namespace radishroad::tools {

/// One relayed connection, in both directions.
class Session : public std::enable_shared_from_this<Session>
{
public:
  using RuleFn = std::function<FaultRule(const std::string& aSource)>;

  Session(Pipe::SocketPtr aClient, std::string aSource, RuleFn aRule);

  void connect(const boost::asio::ip::tcp::endpoint& aTarget,
               std::function<void()> aOnEnd);
  /// Applies a changed rule.
  void applyRule();
  void close();

private:
  std::shared_ptr<Pipe> makePipe(const Pipe::SocketPtr& aFrom,
                                 const Pipe::SocketPtr& aTo,
                                 bool FaultRule::*aHold);

  Pipe::SocketPtr mClient;
  Pipe::SocketPtr mTarget;
  std::string mSource;
  RuleFn mRule;
  std::function<void()> mOnEnd;
  std::shared_ptr<Pipe> mForward;
  std::shared_ptr<Pipe> mBackward;
};

}

#endif
