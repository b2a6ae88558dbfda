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

/// HTTP server (Pistache) on the operator port: serves /health, /ready, /state,
/// /metrics and /events. Separate from the server on the caller port.
class AdminServer
{
public:
  struct Hooks
  {
    std::function<bool()> mReady;
    /// Returns the daemon's state as a JSON object (see docs/operators.md).
    std::function<nlohmann::json()> mState;
  };

  AdminServer(std::string aListenAddress,
              Hooks aHooks,
              const Metrics& aMetrics);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  Result<void> start();
  /// Returns the listening port, or 0 before start().
  std::uint16_t port() const;
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}

#endif
