#ifndef RADISHROAD_UPSTREAM_UPSTREAM_NOTICE_H
#define RADISHROAD_UPSTREAM_UPSTREAM_NOTICE_H

#include <optional>
#include <string>

namespace radishroad {

struct UpstreamResponse;

/// What an upstream says about itself in its responses. It holds until the next
/// response says otherwise.
struct UpstreamNotice
{
  /// Requests a second that the upstream takes from all VMs together; nullopt
  /// for no limit.
  std::optional<double> mLimitPerSecond;
  /// The upstream is leaving and should get no new requests.
  bool mLeaving = false;

  bool operator==(const UpstreamNotice&) const = default;
};

/// Names of the response headers that carry a notice.
struct NoticeHeaders
{
  std::string mLimit;
  std::string mLeaving;
};

/// Reads the notice of a response. nullopt if a header is malformed, which is
/// logged; what was known before then stays valid.
std::optional<UpstreamNotice>
readUpstreamNotice(const UpstreamResponse& aResponse,
                   const NoticeHeaders& aHeaders);

}

#endif
