#include "radishroad/operator/fleet_commands.h"

#include "radishroad/operator/event_merge.h"
#include "radishroad/operator/explain.h"
#include "radishroad/operator/fleet_query.h"
#include "radishroad/operator/owner_table.h"
#include "radishroad/operator/text_table.h"

#include <fstream>
#include <iterator>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

/// The active members, read from the log, or from one daemon if the log does
/// not respond.
struct MemberLookupResult
{
  std::vector<FleetMember> mMembers;
  /// 0 if the members were read from a daemon.
  std::uint64_t mConfigVersion = 0;
  std::string mOperator;
  bool mLogResponds = false;
};

Result<MemberLookupResult>
findMembers(const Arguments& aArguments, const CommandContext& aContext)
{
  Error error{ ErrorCode::Unavailable,
               "neither a log address nor a daemon address is given" };
  if (!aArguments.mLogAddress.empty()) {
    const Result<FleetSnapshot> fleet = readFleetSnapshot(aContext);
    if (fleet) {
      return MemberLookupResult{ activeMembers(*fleet),
                                 fleet->mConfig.mVersion,
                                 fleet->mConfig.mOperator,
                                 true };
    }
    error = fleet.error();
  }
  if (!aArguments.mDaemon.empty()) {
    Result<std::vector<FleetMember>> members =
      membersFromDaemon(aContext, aArguments.mDaemon);
    if (members) {
      return MemberLookupResult{ std::move(*members), 0, "", false };
    }
    error = members.error();
  }
  return tl::unexpected<Error>(error);
}

bool
isReady(const FleetMember& aMember)
{
  return aMember.mState && aMember.mState->value("ready", false);
}

/// Returns a field of the daemon's /state as text; "-" if the field is missing.
std::string
stateFieldText(const FleetMember& aMember, const char* aField)
{
  if (!aMember.mState || !aMember.mState->contains(aField)) {
    return "-";
  }
  return aMember.mState->at(aField).dump();
}

bool
holdsLease(const FleetMember& aMember)
{
  if (!aMember.mState) {
    return false;
  }
  const auto it = aMember.mState->find("lease");
  return it != aMember.mState->end() && it->is_object() &&
         it->value("holds", false);
}

Json
statusToJson(const FleetMember& aMember)
{
  Json json = { { "service", aMember.mService },
                { "vm", aMember.mMember.mVm },
                { "zone", aMember.mMember.mZone },
                { "incarnation", std::to_string(aMember.mMember.mIncarnation) },
                { "answers", aMember.mState.has_value() },
                { "ready", isReady(aMember) },
                { "holds_lease", holdsLease(aMember) } };
  if (aMember.mState) {
    json["config_version"] =
      aMember.mState->value("config_version", std::uint64_t{ 0 });
  } else {
    json["problem"] = aMember.mState.error().mMessage;
  }
  return json;
}

TextTable::Row
statusToRow(const FleetMember& aMember)
{
  const std::string health =
    aMember.mState ? (isReady(aMember) ? "ready" : "not ready")
                   : "no answer: " + aMember.mState.error().mMessage;
  return { aMember.mService,
           aMember.mMember.mVm,
           aMember.mMember.mZone,
           stateFieldText(aMember, "config_version"),
           holdsLease(aMember) ? "held" : "-",
           health };
}

/// The JSON lines of the sources that were read, and the errors of those that
/// could not be read.
struct EventSources
{
  std::vector<std::string> mTexts;
  std::string mProblems;
};

std::optional<std::string>
readFile(const std::string& aName)
{
  std::ifstream in(aName, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

void
addFileEvents(const std::vector<std::string>& aNames, EventSources& aSources)
{
  for (const std::string& name : aNames) {
    std::optional<std::string> text = readFile(name);
    if (text) {
      aSources.mTexts.push_back(std::move(*text));
    } else {
      aSources.mProblems += "cannot read " + name + "\n";
    }
  }
}

void
addMemberEvents(const Arguments& aArguments,
                const CommandContext& aContext,
                EventSources& aSources)
{
  const Result<MemberLookupResult> found = findMembers(aArguments, aContext);
  if (!found) {
    aSources.mProblems +=
      "cannot find the daemons: " + found.error().mMessage + "\n";
    return;
  }
  const std::vector<Result<std::string>> responses =
    fetchAll(aContext, found->mMembers, "/events");
  for (std::size_t it = 0; it < responses.size(); ++it) {
    if (responses[it]) {
      aSources.mTexts.push_back(*responses[it]);
      continue;
    }
    aSources.mProblems += "no events of " + found->mMembers[it].mMember.mVm +
                          ": " + responses[it].error().mMessage + "\n";
  }
}

}

CommandResult
status(const Arguments& aArguments, const CommandContext& aContext)
{
  Result<MemberLookupResult> found = findMembers(aArguments, aContext);
  if (!found) {
    return makeFailure(found.error());
  }
  fetchStates(aContext, found->mMembers);
  CommandResult result;
  result.mJson = { { "log_answers", found->mLogResponds },
                   { "config_version", found->mConfigVersion },
                   { "operator", found->mOperator },
                   { "members", Json::array() } };
  result.mText = found->mLogResponds
                   ? "configuration: version " +
                       std::to_string(found->mConfigVersion) + " by " +
                       found->mOperator + "\n"
                   : "the log does not respond; showing the members known to " +
                       aArguments.mDaemon + "\n";
  TextTable table({ "service", "vm", "zone", "config", "lease", "state" });
  bool allReady = true;
  for (const FleetMember& member : found->mMembers) {
    allReady = allReady && isReady(member);
    table.add(statusToRow(member));
    result.mJson["members"].push_back(statusToJson(member));
  }
  result.mText += table.toText();
  result.mCode = allReady ? ExitCode::Ok : ExitCode::Negative;
  return result;
}

CommandResult
owners(const Arguments& aArguments, const CommandContext& aContext)
{
  const Result<FleetSnapshot> fleet = readFleetSnapshot(aContext);
  if (!fleet) {
    return makeFailure(fleet.error());
  }
  const std::string& wanted = aArguments.mService;
  if (!wanted.empty() && !fleet->mCells.contains(wanted)) {
    return makeFailure(ExitCode::Negative, "there is no service " + wanted);
  }
  const bool summary = aArguments.mKey.empty() && !aArguments.mShards;
  TextTable text =
    summary ? OwnerTable::makeSummaryTable() : OwnerTable::makeShardTable();
  CommandResult result;
  result.mJson = { { "services", Json::object() } };
  for (const auto& [service, cell] : fleet->mCells) {
    if (!wanted.empty() && service != wanted) {
      continue;
    }
    const OwnerTable table(service, cell);
    Json& json = result.mJson["services"][service];
    if (!aArguments.mKey.empty()) {
      table.addKey(text, aArguments.mKey);
      json = table.keyToJson(aArguments.mKey);
      continue;
    }
    json = table.toJson();
    if (summary) {
      table.addSummary(text);
    } else {
      table.addShards(text);
    }
  }
  result.mText = text.toText();
  return result;
}

CommandResult
timeline(const Arguments& aArguments, const CommandContext& aContext)
{
  EventSources sources;
  addFileEvents(aArguments.mPositionals, sources);
  if (!aArguments.mLogAddress.empty() || !aArguments.mDaemon.empty()) {
    addMemberEvents(aArguments, aContext, sources);
  }
  if (sources.mTexts.empty()) {
    return makeFailure(ExitCode::Unavailable,
                       sources.mProblems.empty() ? "no event source is given"
                                                 : sources.mProblems);
  }
  const EventFilter filter{
    aArguments.mVm, aArguments.mEvent, aArguments.mRequestId, aArguments.mKey
  };
  CommandResult result;
  result.mJson = Json::array();
  for (const Json& event : mergeEvents(sources.mTexts, filter)) {
    result.mText += eventToText(event) + "\n";
    result.mJson.push_back(event);
  }
  result.mCode = sources.mProblems.empty() ? ExitCode::Ok : ExitCode::Negative;
  result.mError = sources.mProblems;
  return result;
}

CommandResult
explain(const Arguments& aArguments, const CommandContext&)
{
  EventSources sources;
  const std::vector<std::string> files(aArguments.mPositionals.begin() + 1,
                                       aArguments.mPositionals.end());
  addFileEvents(files, sources);
  if (sources.mTexts.empty()) {
    return makeFailure(ExitCode::Unavailable, sources.mProblems);
  }
  const Explanation explanation =
    explainRequest(mergeEvents(sources.mTexts, EventFilter{}),
                   aArguments.mPositionals.front());
  CommandResult result;
  result.mJson = { { "course", explanation.mEvents },
                   { "cause", explanation.mCause },
                   { "missing", explanation.mMissing } };
  for (const Json& event : explanation.mEvents) {
    result.mText += eventToText(event) + "\n";
  }
  if (!explanation.mCause.empty()) {
    result.mText += "cause: " + explanation.mCause + "\n";
  }
  for (const std::string& missing : explanation.mMissing) {
    result.mText += "missing: " + missing + "\n";
  }
  const bool complete =
    sources.mProblems.empty() && !explanation.mCause.empty();
  result.mCode = complete ? ExitCode::Ok : ExitCode::Negative;
  result.mError = sources.mProblems;
  return result;
}

}
