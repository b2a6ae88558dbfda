#include "radishroad/policy/notice_cache.h"

#include "radishroad/generated/peer_generated.h"

namespace radishroad {

NoticeCache::NoticeCache() = default;
NoticeCache::~NoticeCache() = default;

void
NoticeCache::onAnswer(const std::string& aVm,
                      const wire::UpstreamNoticeT& aNotice,
                      Millis aNow)
{
  const bool hasLimit = aNotice.limit_per_second >= 0;
  if (!hasLimit && !aNotice.leaving) {
    mEntries.erase(aVm);
    return;
  }
  Entry& entry = mEntries[aVm];
  if (entry.mUpstream != aNotice.upstream) {
    entry = Entry{};
    entry.mUpstream = aNotice.upstream;
  }
  entry.mLimitPerSecond =
    hasLimit ? std::optional<double>(aNotice.limit_per_second) : std::nullopt;
  if (!aNotice.leaving) {
    entry.mLeavingSince.reset();
  } else if (!entry.mLeavingSince) {
    entry.mLeavingSince = aNow;
  }
}

std::unique_ptr<wire::UpstreamNoticeT>
NoticeCache::noticeFor(const std::string& aVm, Millis aNow) const
{
  const auto it = mEntries.find(aVm);
  if (it == mEntries.end()) {
    return nullptr;
  }
  const Entry& entry = it->second;
  std::unique_ptr<wire::UpstreamNoticeT> notice =
    std::make_unique<wire::UpstreamNoticeT>();
  notice->upstream = entry.mUpstream;
  notice->limit_per_second = entry.mLimitPerSecond.value_or(-1);
  notice->leaving = entry.mLeavingSince.has_value();
  notice->leaving_ms =
    entry.mLeavingSince ? (aNow - *entry.mLeavingSince).mCount : 0;
  return notice;
}

}
