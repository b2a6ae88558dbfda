#include "radishroad/daemon/fleet_view.h"

namespace radishroad {

const CellState*
FleetView::cell(const std::string& aService) const
{
  const auto it = mCells.find(aService);
  return it == mCells.end() ? nullptr : it->second.get();
}

const config::ZoneOutage*
FleetView::zoneOutage(const std::string& aZone) const
{
  const auto it = mZonesOut.find(aZone);
  return it == mZonesOut.end() ? nullptr : &it->second;
}

bool
FleetView::mayServeKeys(const std::string& aZone, Millis aNow) const
{
  const config::ZoneOutage* outage = zoneOutage(aZone);
  return outage == nullptr || aNow < outage->mServeKeysUntil;
}

std::shared_ptr<const FleetView>
FleetViewStore::get() const
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mView;
}

void
FleetViewStore::set(std::shared_ptr<const FleetView> aView)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mView.swap(aView);
}

}
