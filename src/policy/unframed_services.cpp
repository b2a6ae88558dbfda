#include "radishroad/policy/unframed_services.h"

namespace radishroad {

namespace {

/// Longer than the pauses between such answers of an upstream that leaves out
/// the lengths of a few in a hundred.
constexpr Millis kMemory{ 60000 };

}

void
UnframedServices::onAnswer(const std::string& aService,
                           bool aEndsWithConnection,
                           Millis aNow)
{
  Millis& last = mLastUnframed[aService];
  if (aEndsWithConnection) {
    last = aNow;
  }
}

bool
UnframedServices::mayEndConnection(const std::string& aService,
                                   Millis aNow) const
{
  const auto it = mLastUnframed.find(aService);
  if (it == mLastUnframed.end()) {
    return true;
  }
  return it->second > Millis{} && aNow - it->second < kMemory;
}

}
