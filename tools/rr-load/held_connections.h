#ifndef RADISHROAD_TOOLS_RR_LOAD_HELD_CONNECTIONS_H
#define RADISHROAD_TOOLS_RR_LOAD_HELD_CONNECTIONS_H

#include <string>
#include <vector>

namespace radishroad::tools {

/// Open connections on which nothing is sent.
class HeldConnections
{
public:
  /// Opens aCount connections, spread over the targets.
  HeldConnections(const std::vector<std::string>& aTargets, int aCount);
  ~HeldConnections();
  HeldConnections(const HeldConnections&) = delete;
  HeldConnections& operator=(const HeldConnections&) = delete;

  std::size_t size() const;

private:
  std::vector<void*> mHandles;
};

}

#endif
