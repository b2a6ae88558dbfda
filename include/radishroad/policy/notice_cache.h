#ifndef RADISHROAD_POLICY_NOTICE_CACHE_H
#define RADISHROAD_POLICY_NOTICE_CACHE_H

#include "radishroad/base/millis.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace radishroad {

namespace wire {
struct UpstreamNoticeT;
}

/// Remembers what the upstreams of other VMs say about themselves, as learned
/// with answers. It is sent along with requests, so that a daemon that has just
/// started keeps to what this one has passed on to callers. Does no I/O and
/// reads no clock.
class NoticeCache
{
public:
  NoticeCache();
  ~NoticeCache();
  NoticeCache(const NoticeCache&) = delete;
  NoticeCache& operator=(const NoticeCache&) = delete;

  /// An answer of the daemon on aVm carried the notice of its upstream.
  void onAnswer(const std::string& aVm,
                const wire::UpstreamNoticeT& aNotice,
                Millis aNow);
  /// The notice to send with a request to aVm; nullptr if its upstream has no
  /// limit and is not leaving, or is not known.
  std::unique_ptr<wire::UpstreamNoticeT> noticeFor(const std::string& aVm,
                                                   Millis aNow) const;

private:
  struct Entry
  {
    std::uint64_t mUpstream = 0;
    std::optional<double> mLimitPerSecond;
    std::optional<Millis> mLeavingSince;
  };
  std::map<std::string, Entry> mEntries;
};

}

#endif
