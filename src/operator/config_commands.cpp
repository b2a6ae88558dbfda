#include "radishroad/operator/config_commands.h"

#include "radishroad/base/hash.h"
#include "radishroad/config/folder.h"
#include "radishroad/operator/in_force.h"
#include "radishroad/operator/model_json.h"
#include "radishroad/operator/publisher.h"
#include "radishroad/operator/stream_reader.h"

#include <iostream>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;
using Kind = PublicationEnd::Kind;

struct CheckedFolder
{
  std::vector<ConfigText> mFiles;
  config::Model mModel;
};

tl::expected<CheckedFolder, Findings>
readChecked(const std::string& aFolder)
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
nameOf(Kind aKind)
{
  switch (aKind) {
    case Kind::Published:
      return "published";
    case Kind::Unchanged:
      return "unchanged";
    case Kind::Lost:
      return "lost";
  }
  return "lost";
}

CommandResult
reportLoss(const PublicationEnd& aEnd)
{
  CommandResult result =
    makeFailure(ExitCode::Negative,
                "lost the race to " + aEnd.mWinner + ": version " +
                  std::to_string(aEnd.mVersion) +
                  " stands; compare with radishroad config diff and publish "
                  "again");
  result.mJson["outcome"] = nameOf(aEnd.mKind);
  result.mJson["version"] = aEnd.mVersion;
  result.mJson["winner"] = aEnd.mWinner;
  return result;
}

void
addInForce(CommandResult& aResult, const InForce& aInForce)
{
  Json lagging = Json::array();
  for (const LaggingMember& member : aInForce.mLagging) {
    aResult.mText.append("not in force at ").append(member.mVm);
    aResult.mText.append(" (").append(member.mService).append("): ");
    aResult.mText.append(member.mProblem).append("\n");
    lagging.push_back({ { "service", member.mService },
                        { "vm", member.mVm },
                        { "problem", member.mProblem } });
  }
  aResult.mJson["live_daemons"] = aInForce.mLiveMembers;
  aResult.mJson["not_in_force_at"] = lagging;
  if (!lagging.empty()) {
    aResult.mCode = ExitCode::Negative;
    aResult.mError = "the version is not in force everywhere";
    return;
  }
  aResult.mText += "in force at all " + std::to_string(aInForce.mLiveMembers) +
                   " live daemons\n";
}

std::string
quoted(const nlohmann::json& aValue)
{
  return aValue.is_null() ? "" : " " + aValue.dump();
}

/// One line for each operation of a JSON patch (RFC 6902).
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
configCheck(const Arguments& aArguments, const Surroundings&)
{
  const tl::expected<CheckedFolder, Findings> folder =
    readChecked(aArguments.mWords.front());
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
reportPublication(const PublicationEnd& aEnd,
                  const Arguments& aArguments,
                  const Surroundings& aSurroundings)
{
  if (aEnd.mKind == Kind::Lost) {
    return reportLoss(aEnd);
  }
  CommandResult result;
  result.mJson = { { "outcome", nameOf(aEnd.mKind) },
                   { "version", aEnd.mVersion } };
  result.mText = std::string(nameOf(aEnd.mKind)) + ": version " +
                 std::to_string(aEnd.mVersion) + "\n";
  if (!aArguments.mWait) {
    return result;
  }
  const Result<InForce> inForce =
    waitInForce(aSurroundings, aEnd.mVersion, aArguments.mTimeout);
  if (!inForce) {
    result.mCode = ExitCode::Unavailable;
    result.mError =
      "cannot tell where the version is in force: " + inForce.error().mMessage;
    result.mJson["error"] = result.mError;
    return result;
  }
  addInForce(result, *inForce);
  return result;
}

CommandResult
configPublish(const Arguments& aArguments, const Surroundings& aSurroundings)
{
  tl::expected<CheckedFolder, Findings> folder =
    readChecked(aArguments.mWords.front());
  if (!folder) {
    return reportFindings(folder.error());
  }
  const Result<PublicationEnd> end = publish(aSurroundings,
                                             { std::move(folder->mFiles),
                                               aArguments.mOperator,
                                               aArguments.mBase,
                                               aArguments.mTimeout });
  if (!end) {
    return makeFailure(end.error());
  }
  return reportPublication(*end, aArguments, aSurroundings);
}

CommandResult
configShow(const Arguments&, const Surroundings& aSurroundings)
{
  const Result<ConfigState> state =
    readState<ConfigState>(aSurroundings, std::string(kConfigStream));
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
configDiff(const Arguments& aArguments, const Surroundings& aSurroundings)
{
  const tl::expected<CheckedFolder, Findings> folder =
    readChecked(aArguments.mWords.front());
  if (!folder) {
    return reportFindings(folder.error());
  }
  const Result<ConfigState> state =
    readState<ConfigState>(aSurroundings, std::string(kConfigStream));
  if (!state) {
    return makeFailure(state.error());
  }
  const config::Model published =
    config::parse(state->mFiles).value_or(config::Model{});
  const nlohmann::json before = toJson(published);
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
keyHash(const Arguments& aArguments, const Surroundings&)
{
  std::string key;
  if (aArguments.mWords.empty()) {
    std::getline(std::cin, key);
  } else {
    key = aArguments.mWords.front();
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
