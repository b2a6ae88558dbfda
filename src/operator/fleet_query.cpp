#include "radishroad/operator/fleet_query.h"

#include "radishroad/config/folder.h"
#include "radishroad/operator/stream_reader.h"

#include <algorithm>
#include <future>

namespace radishroad {

namespace {

constexpr std::size_t kMaxConcurrentFetches = 32;
constexpr std::string_view kStatePath = "/state";

Result<nlohmann::json>
parseObject(const Result<std::string>& aText)
{
  if (!aText) {
    return tl::unexpected<Error>(aText.error());
  }
  nlohmann::json json = nlohmann::json::parse(*aText, nullptr, false);
  if (!json.is_object()) {
    return fail(ErrorCode::Corrupt, "the response is not a JSON object");
  }
  return json;
}

/// Missing fields are left empty.
Member
memberFromJson(const nlohmann::json& aJson)
{
  Member member;
  member.mVm = aJson.value("vm", "");
  member.mZone = aJson.value("zone", "");
  member.mOperatorAddress = aJson.value("operator_address", "");
  member.mCallerAddress = aJson.value("caller_address", "");
  member.mIncarnation =
    std::strtoull(aJson.value("incarnation", "0").c_str(), nullptr, 10);
  return member;
}

std::vector<FleetMember>
membersFromState(const nlohmann::json& aState)
{
  std::vector<FleetMember> members;
  for (const auto& cell : aState.at("cells").items()) {
    for (const nlohmann::json& member : cell.value().at("members")) {
      if (member.value("status", "") == "active") {
        members.push_back({ cell.key(), memberFromJson(member), {} });
      }
    }
  }
  return members;
}

void
sortByName(std::vector<FleetMember>& aMembers)
{
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const FleetMember& aLeft, const FleetMember& aRight) {
              return std::tie(aLeft.mService, aLeft.mMember.mVm) <
                     std::tie(aRight.mService, aRight.mMember.mVm);
            });
}

}

Result<FleetSnapshot>
readFleetSnapshot(const CommandContext& aContext)
{
  FleetSnapshot fleet;
  Result<ConfigState> config =
    readState<ConfigState>(aContext, std::string(kConfigStream));
  if (!config) {
    return tl::unexpected<Error>(config.error());
  }
  fleet.mConfig = std::move(*config);
  if (fleet.mConfig.mVersion == 0) {
    return fleet;
  }
  tl::expected<config::Model, Findings> model =
    config::parse(fleet.mConfig.mFiles);
  if (!model) {
    return fail(ErrorCode::Corrupt,
                "the published configuration is invalid: " +
                  model.error().front().toString());
  }
  fleet.mModel = std::move(*model);
  for (const auto& [name, service] : fleet.mModel.mServices) {
    Result<CellState> cell = readState<CellState>(aContext, cellStream(name));
    if (!cell) {
      return tl::unexpected<Error>(cell.error());
    }
    fleet.mCells.emplace(name, std::move(*cell));
  }
  return fleet;
}

std::vector<FleetMember>
activeMembers(const FleetSnapshot& aFleet)
{
  std::vector<FleetMember> members;
  for (const auto& [service, cell] : aFleet.mCells) {
    for (const auto& [incarnation, member] : cell.mMembers) {
      if (member.mStatus == MemberStatus::Active) {
        members.push_back({ service, member, {} });
      }
    }
  }
  sortByName(members);
  return members;
}

Result<std::vector<FleetMember>>
membersFromDaemon(const CommandContext& aContext, const std::string& aDaemon)
{
  const Result<nlohmann::json> state =
    parseObject(aContext.mFetch(aDaemon, std::string(kStatePath)));
  if (!state) {
    return tl::unexpected<Error>(state.error());
  }
  try {
    std::vector<FleetMember> members = membersFromState(*state);
    sortByName(members);
    return members;
  } catch (const nlohmann::json::exception& error) {
    return fail(ErrorCode::Corrupt, error.what());
  }
}

std::vector<Result<std::string>>
fetchAll(const CommandContext& aContext,
         const std::vector<FleetMember>& aMembers,
         const std::string& aPath)
{
  std::vector<Result<std::string>> answers;
  while (answers.size() < aMembers.size()) {
    const std::size_t first = answers.size();
    const std::size_t end =
      std::min(first + kMaxConcurrentFetches, aMembers.size());
    std::vector<std::future<Result<std::string>>> fetches;
    for (std::size_t it = first; it < end; ++it) {
      fetches.push_back(std::async(std::launch::async, [&, it] {
        return aContext.mFetch(aMembers[it].mMember.mOperatorAddress, aPath);
      }));
    }
    for (std::future<Result<std::string>>& fetch : fetches) {
      answers.push_back(fetch.get());
    }
  }
  return answers;
}

void
fetchStates(const CommandContext& aContext, std::vector<FleetMember>& aMembers)
{
  const std::vector<Result<std::string>> answers =
    fetchAll(aContext, aMembers, std::string(kStatePath));
  for (std::size_t it = 0; it < aMembers.size(); ++it) {
    aMembers[it].mState = parseObject(answers[it]);
  }
}

}
