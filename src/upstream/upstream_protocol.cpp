#include "radishroad/upstream/upstream_protocol.h"

#include "radishroad/upstream/upstream_headers.h"

namespace radishroad {

UpstreamProtocol
defaultUpstreamProtocol()
{
  UpstreamProtocol protocol;
  protocol.mHeaderLines = [](const ForwardRequest& aRequest,
                             const std::string&,
                             Epoch aEpoch,
                             Millis aTimeLeft) {
    return upstreamHeaderLines(aRequest, aEpoch, aTimeLeft);
  };
  protocol.mReadNotRunReason = provenNotRun;
  protocol.mIsAuthentic = [](const UpstreamResponse&) { return true; };
  return protocol;
}

}
