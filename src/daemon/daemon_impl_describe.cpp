#include "daemon_impl.h"

#include <future>
#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

constexpr std::chrono::seconds kDescribeTimeout{ 2 };

nlohmann::json
describeMember(const Member& aMember)
{
  return { { "vm", aMember.mVm },
           { "zone", aMember.mZone },
           { "incarnation", std::to_string(aMember.mIncarnation) },
           { "status", memberStatusName(aMember.mStatus) },
           { "caller_address", aMember.mCallerAddress },
           { "operator_address", aMember.mOperatorAddress },
           { "peer_address", aMember.mPeerAddress },
           { "witnesses", aMember.mWitnesses.size() } };
}

nlohmann::json
describeCell(const CellState& aCell)
{
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [incarnation, member] : aCell.mMembers) {
    members.push_back(describeMember(member));
  }
  std::map<std::string, int> shards;
  for (const Ownership& shard : aCell.mShards) {
    ++shards[std::to_string(shard.mOwner)];
  }
  return { { "next_offset", aCell.mNextOffset },
           { "members", members },
           { "shards", shards },
           { "split_keys", aCell.mSplitKeys.size() },
           { "drained_vms", aCell.mDrainedVms },
           { "drained_zones", aCell.mDrainedZones } };
}

}

nlohmann::json
Daemon::Impl::unknownConfigValues() const
{
  const config::Model* model = mFleet.model();
  return model == nullptr ? nlohmann::json::array()
                          : nlohmann::json(model->mSubstitutions);
}

nlohmann::json
Daemon::Impl::describe()
{
  std::shared_ptr<std::promise<nlohmann::json>> promise =
    std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> future = promise->get_future();
  mLoop.tryPost([this, promise] {
    const Millis now = monotonicNow();
    nlohmann::json cells = nlohmann::json::object();
    for (const auto& [service, cell] : mFleet.cells()) {
      cells[service] = describeCell(*cell);
    }
    const Millis left = mAuthority.leaseUntil() - now;
    promise->set_value(
      { { "vm", mSettings.mVm },
        { "zone", mSettings.mZone },
        { "service", mSettings.mService },
        { "incarnation", std::to_string(mSelf) },
        { "config_version", mViews.get()->mConfigVersion },
        { "config_unknown_values", unknownConfigValues() },
        { "config_stream_next", mFleet.config().mNextOffset },
        { "cells", cells },
        { "joined", mMembership.joined() },
        { "draining", draining() },
        { "pending_proposals", mProposer.pending() },
        { "lease",
          { { "holds", left > Millis{} }, { "held_for_ms", left.mCount } } },
        { "ready", ready() } });
  });
  if (future.wait_for(kDescribeTimeout) != std::future_status::ready) {
    return { { "error", "the control thread did not answer" } };
  }
  return future.get();
}

}
