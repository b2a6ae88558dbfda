#include "radishroad/daemon/control_context.h"

#include "radishroad/daemon/fleet_state.h"
#include "radishroad/daemon/settings.h"
#include "radishroad/state/records.h"

namespace radishroad {

const Member*
ControlContext::self() const
{
  const Member* member = mFleet.findMember(mSelf);
  return member != nullptr && member->mStatus == MemberStatus::Active ? member
                                                                      : nullptr;
}

std::string
ControlContext::ownStream() const
{
  return cellStream(mSettings.mService);
}

}
