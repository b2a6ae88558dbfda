#ifndef RADISHROAD_TOOLS_RR_LOAD_IDLE_CONNECTIONS_H
#define RADISHROAD_TOOLS_RR_LOAD_IDLE_CONNECTIONS_H

#include <string>
#include <vector>

namespace radishroad::tools {

/// Open connections on which nothing is sent.
class IdleConnections
{
public:
  /// Opens aCount connections, distributed evenly over the targets.
  IdleConnections(const std::vector<std::string>& aTargets, int aCount);
  ~IdleConnections();
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  std::size_t size() const;

private:
  std::vector<void*> mHandles;
};

}

#endif
