#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_PORTS_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_PORTS_H

#include <string>

namespace radishroad::test {

/// Last byte of the log service's address in a test's block.
constexpr int kLogHost = 1;
constexpr int kCallerPort = 8080;
constexpr int kOperatorPort = 8090;
constexpr int kPeerPort = 7400;
constexpr int kUpstreamPort = 9000;
constexpr int kLogPort = 9500;
constexpr int kControlPort = 9600;

/// Formats "IP:PORT".
inline std::string
hostAndPort(const std::string& aIp, int aPort)
{
  return aIp + ":" + std::to_string(aPort);
}

}

#endif
