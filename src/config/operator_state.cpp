#include "radishroad/config/operator_state.h"

#include <utility>

namespace radishroad::config {

OperatorState::Verdict
OperatorState::apply(VersionedModel aModel)
{
  if (mModel != nullptr && aModel.mVersion <= mVersion) {
    return Verdict::Outdated;
  }
  mVersion = aModel.mVersion;
  mModel = std::make_shared<const Model>(std::move(aModel.mModel));
  return Verdict::Applied;
}

void
OperatorState::setZone(const std::string& aZone, bool aInService)
{
  if (aInService) {
    mZonesOut.erase(aZone);
  } else {
    mZonesOut.insert(aZone);
  }
}

void
OperatorState::setZonesOut(std::set<std::string> aZones)
{
  mZonesOut = std::move(aZones);
}

std::shared_ptr<const Model>
OperatorState::model() const
{
  if (mModel == nullptr || mZonesOut.empty()) {
    return mModel;
  }
  std::shared_ptr<Model> model = std::make_shared<Model>(*mModel);
  for (const std::string& zone : mZonesOut) {
    model->mZones[zone] = { zone, false };
  }
  return model;
}

}
