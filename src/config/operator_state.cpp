#include "radishroad/config/operator_state.h"

#include <utility>

namespace radishroad::config {

OperatorState::ApplyResult
OperatorState::apply(VersionedModel aModel)
{
  if (mModel != nullptr && aModel.mVersion <= mVersion) {
    return ApplyResult::Outdated;
  }
  mVersion = aModel.mVersion;
  mModel = std::make_shared<const Model>(std::move(aModel.mModel));
  return ApplyResult::Applied;
}

void
OperatorState::setZonesOutOfService(std::map<std::string, ZoneOutage> aZones)
{
  mZonesOutOfService = std::move(aZones);
}

std::shared_ptr<const Model>
OperatorState::model() const
{
  if (mModel == nullptr || mZonesOutOfService.empty()) {
    return mModel;
  }
  std::shared_ptr<Model> model = std::make_shared<Model>(*mModel);
  for (const auto& [zone, outage] : mZonesOutOfService) {
    model->mZones[zone] = { zone, false };
  }
  return model;
}

}
