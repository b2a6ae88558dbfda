#include "radishroad/policy/room_reports.h"

namespace radishroad {

namespace {

/// About the run time of an order: by then other slots have become free.
constexpr Millis kReportAge{ 250 };
constexpr std::size_t kMaxReports = 1024;

}

void
RoomReports::onRefused(Incarnation aMember, std::uint32_t aKind, Millis aNow)
{
  if (mRefusedAt.size() >= kMaxReports) {
    std::erase_if(mRefusedAt, [aNow](const auto& aEntry) {
      return aNow - aEntry.second >= kReportAge;
    });
  }
  if (mRefusedAt.size() < kMaxReports) {
    mRefusedAt[{ aMember, aKind }] = aNow;
  }
}

bool
RoomReports::isFull(Incarnation aMember, std::uint32_t aKind, Millis aNow) const
{
  const auto it = mRefusedAt.find({ aMember, aKind });
  return it != mRefusedAt.end() && aNow - it->second < kReportAge;
}

}
