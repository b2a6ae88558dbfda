#ifndef RADISHROAD_TOOLS_RR_RELAY_CONTROL_H
#define RADISHROAD_TOOLS_RR_RELAY_CONTROL_H

#include "common/reply.h"
#include "rr-relay/relay_link.h"

#include <memory>
#include <pistache/http.h>
#include <vector>

namespace radishroad::tools {

using RelayLinks = std::vector<std::unique_ptr<RelayLink>>;

/// Answers the relay's control calls. Must be called on the relay's thread.
/// GET /links lists the links with their numbers of connections. POST /links
/// with {"link":NAME or PREFIX*, "source":IP or "*", "cut":bool,
/// "hold_forward":bool, "hold_back":bool, "delay_ms":N} sets a rule; omitted
/// fields are off.
void
handleControl(const RelayLinks& aLinks,
              const Pistache::Http::Request& aRequest,
              const Reply& aReply);

}

#endif
