#ifndef RADISHROAD_OPERATOR_ADMIN_SERVER_H
#define RADISHROAD_OPERATOR_ADMIN_SERVER_H

#include "radishroad/base/error.h"
#include "radishroad/base/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroad {

/// The operators' HTTP port (Pistache): /health, /ready, /state, /metrics and
/// /events. Apart from the callers' port.
class AdminServer
{
public:
  struct Hooks
  {
    std::function<bool()> mReady;
    /// JSON object of the daemon's state (see docs/operators.md).
    std::function<nlohmann::json()> mState;
  };

  AdminServer(std::string aListenAddress,
              Hooks aHooks,
              const Metrics& aMetrics);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  Result<void> start();
  /// The port listened on; 0 before start.
  std::uint16_t port() const;
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
