#ifndef RADISHROAD_TOOLS_COMMON_HTTP_ENDPOINT_H
#define RADISHROAD_TOOLS_COMMON_HTTP_ENDPOINT_H

#include "common/reply.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <pistache/http.h>
#include <string>

namespace Pistache::Http {
class Endpoint;
}

namespace radishroad::tools {

/// A Pistache server that passes each request to one function. The function
/// must not block; it may answer later through the Reply.
class HttpEndpoint
{
public:
  using RequestFn =
    std::function<void(const Pistache::Http::Request&, const Reply&)>;

  HttpEndpoint(const std::string& aAddress, RequestFn aOnRequest);
  ~HttpEndpoint();

  /// Throws std::exception if the address cannot be bound.
  void start();
  void stop();

private:
  std::unique_ptr<Pistache::Http::Endpoint> mEndpoint;
};

/// Value of a header, whether or not the library has a type for it; empty if
/// absent.
std::string
headerValue(const Pistache::Http::Request& aRequest, const std::string& aName);

/// Query parameter as a number; the default if it is absent or malformed.
std::int64_t
queryNumber(const Pistache::Http::Request& aRequest,
            const std::string& aName,
            std::int64_t aDefault);

/// Blocks until SIGINT or SIGTERM arrives. blockStopSignals must have been
/// called before any thread starts.
void
waitForStopSignal();
void
blockStopSignals();

}

#endif
