#include "radishroad/operator/config_commands.h"

#include "radishroad/base/hash.h"
#include "radishroad/config/folder.h"
#include "radishroad/operator/model_json.h"
#include "radishroad/operator/publisher.h"
#include "radishroad/operator/rollout_status.h"
#include "radishroad/operator/stream_reader.h"

#include <iostream>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;
using Outcome = PublishResult::Outcome;

struct CheckedFolder
{
  std::vector<ConfigText> mFiles;
  config::Model mModel;
};

tl::expected<CheckedFolder, Findings>
readCheckedFolder(const std::string& aFolder)
{
  tl::expected<std::vector<ConfigText>, Findings> files =
    config::readFolder(aFolder);
  if (!files) {
    return tl::unexpected<Findings>(std::move(files.error()));
  }
  tl::expected<config::Model, Findings> model = config::parse(*files);
  if (!model) {
    return tl::unexpected<Findings>(std::move(model.error()));
  }
  return CheckedFolder{ std::move(*files), std::move(*model) };
}

CommandResult
reportFindings(const Findings& aFindings)
{
  CommandResult result;
  result.mCode = ExitCode::Negative;
  result.mJson = { { "ok", false }, { "findings", Json::array() } };
  for (const Finding& finding : aFindings) {
    result.mText += finding.toString() + "\n";
    result.mJson["findings"].push_back({ { "file", finding.mSource },
                                         { "line", finding.mLine },
                                         { "problem", finding.mProblem },
                                         { "expected", finding.mExpected } });
  }
  result.mError = std::to_string(aFindings.size()) + " findings";
  return result;
}

const char*
outcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Published:
      return "published";
    case Outcome::Unchanged:
      return "unchanged";
    case Outcome::Lost:
      return "lost";
  }
  return "lost";
}

CommandResult
reportLostRace(const PublishResult& aPublished)
{
  CommandResult result = makeFailure(
    ExitCode::Negative,
    "lost the publish race to " + aPublished.mWinner + ": version " +
      std::to_string(aPublished.mVersion) +
      " is the newest; compare with radishroad config diff and publish "
      "again");
  result.mJson["outcome"] = outcomeName(aPublished.mOutcome);
  result.mJson["version"] = aPublished.mVersion;
  result.mJson["winner"] = aPublished.mWinner;
  return result;
}

void
addRolloutStatus(CommandResult& aResult, const RolloutStatus& aRollout)
{
  Json lagging = Json::array();
  for (const LaggingMember& member : aRollout.mLagging) {
    aResult.mText.append("not active on ").append(member.mVm);
    aResult.mText.append(" (").append(member.mService).append("): ");
    aResult.mText.append(member.mProblem).append("\n");
    lagging.push_back({ { "service", member.mService },
                        { "vm", member.mVm },
                        { "problem", member.mProblem } });
  }
  aResult.mJson["live_daemons"] = aRollout.mLiveMembers;
  aResult.mJson["not_in_force_at"] = lagging;
  if (!lagging.empty()) {
    aResult.mCode = ExitCode::Negative;
    aResult.mError = "the version is not active on all daemons";
    return;
  }
  aResult.mText += "active on all " + std::to_string(aRollout.mLiveMembers) +
                   " live daemons\n";
}

std::string
quoted(const nlohmann::json& aValue)
{
  return aValue.is_null() ? "" : " " + aValue.dump();
}

/// Formats a JSON patch (RFC 6902) with one line per operation.
std::string
patchToText(const nlohmann::json& aPatch, const nlohmann::json& aBefore)
{
  std::string text;
  for (const nlohmann::json& step : aPatch) {
    const std::string operation = step.at("op").get<std::string>();
    const std::string path = step.at("path").get<std::string>();
    text.append(operation).append(" ").append(path);
    if (operation == "replace") {
      const nlohmann::json::json_pointer pointer(path);
      text += quoted(aBefore.at(pointer)) + " ->";
    }
    text += quoted(step.value("value", nlohmann::json())) + "\n";
  }
  return text;
}

}

CommandResult
configCheck(const Arguments& aArguments, const CommandContext&)
{
  const tl::expected<CheckedFolder, Findings> folder =
    readCheckedFolder(aArguments.mPositionals.front());
  if (!folder) {
    return reportFindings(folder.error());
  }
  const config::Model& model = folder->mModel;
  CommandResult result;
  result.mJson = { { "ok", true },
                   { "workspaces", model.mWorkspaces.size() },
                   { "services", model.mServices.size() },
                   { "routes", model.mRoutes.size() },
                   { "zones", model.mZones.size() } };
  result.mText = "ok: " + std::to_string(model.mWorkspaces.size()) +
                 " workspaces, " + std::to_string(model.mServices.size()) +
                 " services, " + std::to_string(model.mRoutes.size()) +
                 " routes, " + std::to_string(model.mZones.size()) +
                 " availability zones\n";
  return result;
}

CommandResult
reportPublishResult(const PublishResult& aPublished,
                    const Arguments& aArguments,
                    const CommandContext& aContext)
{
  if (aPublished.mOutcome == Outcome::Lost) {
    return reportLostRace(aPublished);
  }
  CommandResult result;
  result.mJson = { { "outcome", outcomeName(aPublished.mOutcome) },
                   { "version", aPublished.mVersion } };
  result.mText = std::string(outcomeName(aPublished.mOutcome)) + ": version " +
                 std::to_string(aPublished.mVersion) + "\n";
  if (!aArguments.mWait) {
    return result;
  }
  const Result<RolloutStatus> rollout =
    waitForRollout(aContext, aPublished.mVersion, aArguments.mTimeout);
  if (!rollout) {
    result.mCode = ExitCode::Unavailable;
    result.mError = "cannot determine where the version is active: " +
                    rollout.error().mMessage;
    result.mJson["error"] = result.mError;
    return result;
  }
  addRolloutStatus(result, *rollout);
  return result;
}

CommandResult
configPublish(const Arguments& aArguments, const CommandContext& aContext)
{
  tl::expected<CheckedFolder, Findings> folder =
    readCheckedFolder(aArguments.mPositionals.front());
  if (!folder) {
    return reportFindings(folder.error());
  }
  const Result<PublishResult> published = publish(aContext,
                                                  { std::move(folder->mFiles),
                                                    aArguments.mOperator,
                                                    aArguments.mBase,
                                                    aArguments.mTimeout });
  if (!published) {
    return makeFailure(published.error());
  }
  return reportPublishResult(*published, aArguments, aContext);
}

CommandResult
configShow(const Arguments&, const CommandContext& aContext)
{
  const Result<ConfigState> state =
    readState<ConfigState>(aContext, std::string(kConfigStream));
  if (!state) {
    return makeFailure(state.error());
  }
  if (state->mVersion == 0) {
    return makeFailure(ExitCode::Negative, "no configuration is published");
  }
  CommandResult result;
  result.mJson = { { "version", state->mVersion },
                   { "operator", state->mOperator },
                   { "files", Json::array() } };
  result.mText = "# version " + std::to_string(state->mVersion) +
                 ", published by " + state->mOperator + "\n";
  for (const ConfigText& file : state->mFiles) {
    result.mText += "# --- " + file.mName + "\n" + file.mText;
    result.mJson["files"].push_back(
      { { "name", file.mName }, { "text", file.mText } });
  }
  return result;
}

CommandResult
configDiff(const Arguments& aArguments, const CommandContext& aContext)
{
  const tl::expected<CheckedFolder, Findings> folder =
    readCheckedFolder(aArguments.mPositionals.front());
  if (!folder) {
    return reportFindings(folder.error());
  }
  const Result<ConfigState> state =
    readState<ConfigState>(aContext, std::string(kConfigStream));
  if (!state) {
    return makeFailure(state.error());
  }
  const config::Model publishedModel =
    config::parse(state->mFiles).value_or(config::Model{});
  const nlohmann::json before = toJson(publishedModel);
  const nlohmann::json patch =
    nlohmann::json::diff(before, toJson(folder->mModel));
  CommandResult result;
  result.mCode = patch.empty() ? ExitCode::Ok : ExitCode::Negative;
  result.mJson = { { "version", state->mVersion }, { "patch", patch } };
  result.mText = patch.empty() ? "no difference from version " +
                                   std::to_string(state->mVersion) + "\n"
                               : patchToText(patch, before);
  return result;
}

CommandResult
keyHash(const Arguments& aArguments, const CommandContext&)
{
  std::string key;
  if (aArguments.mPositionals.empty()) {
    std::getline(std::cin, key);
  } else {
    key = aArguments.mPositionals.front();
  }
  if (key.empty()) {
    return makeFailure(ExitCode::Usage, "the key is empty");
  }
  CommandResult result;
  result.mText = sha256Hex(key) + "\n";
  result.mJson = { { "hash", sha256Hex(key) } };
  return result;
}

}
