#include "radishroad/upstream/upstream_protocol.h"

#include "radishroad/upstream/upstream_headers.h"

namespace radishroad {

UpstreamProtocol
ownUpstreamProtocol()
{
  UpstreamProtocol protocol;
  protocol.mHeaderLines = [](const ForwardRequest& aRequest,
                             const std::string&,
                             Epoch aEpoch,
                             Millis aTimeLeft) {
    return upstreamHeaderLines(aRequest, aEpoch, aTimeLeft);
  };
  protocol.mProvenNotRun = provenNotRun;
  protocol.mIsGenuine = [](const UpstreamResponse&) { return true; };
  return protocol;
}

}
