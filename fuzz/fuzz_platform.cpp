// Reads mutated messages of the platform: configurations, upstream reports,
// log reads, headers and handover tokens. Each must be either read or refused.
#include "mutator.h"

#include "platform/configuration.h"
#include "platform/messages.h"
#include "platform/store.h"
#include "radishroad/base/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

constexpr std::string_view kConfiguration =
  R"({"Version":"r7","Routes":{"Columns":["Name","Host","Prefix","Kind",)"
  R"("TimeoutMs","Service","WeightedClusters"],"Rows":[["r","h.x","/p/",)"
  R"("idempotent",1000,null,[{"Service":"s","Weight":9}]]]},"Services":)"
  R"({"Columns":["Name","Sharded","WarmupS"],"Rows":[["s",true,3.0]]},)"
  R"("Tenants":{"Columns":["Name","ApiKeys","RatePerS","Burst"],)"
  R"("Rows":[["t",["k"],112,112]]}})";
constexpr std::string_view kReport =
  R"({"Address":"10.0.0.9:80","born":1700000000123,)"
  R"("Info":{"Service":"s","Version":"v1","Zone":"z","Slots":9},)"
  R"("Status":{"State":"ready","Seq":4,"WarmupLeftMs":0}})";

Bytes
bytesOf(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

std::string
textOf(const Bytes& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

/// Whether the services named by routes exist and all routes can be matched.
bool
isComplete(const config::Model& aModel)
{
  return std::ranges::all_of(
    aModel.mRoutes, [&aModel](const config::Route& aRoute) {
      const bool hasService =
        !aRoute.mTargets.empty() || aModel.mServices.contains(aRoute.mService);
      return hasService && !aRoute.mHost.empty() && !aRoute.mPrefix.empty() &&
             std::ranges::all_of(
               aRoute.mTargets, [&aModel](const config::RouteTarget& aTarget) {
                 return aModel.mServices.contains(aTarget.mService);
               });
    });
}

/// An accepted configuration names what is missing in it, and says if a request
/// without a route may be meant for one that could not be read. Otherwise
/// requests are refused without a trace, or as unknown.
void
checkAccepted(const config::Model& aModel, std::uint64_t aRound)
{
  require(isComplete(aModel) || !aModel.mSubstitutions.empty(),
          "accepted configuration hides what is missing",
          aRound);
  const bool hasUnreadable =
    std::ranges::any_of(aModel.mRoutes, [](const config::Route& aRoute) {
      return aRoute.mHost.empty() || aRoute.mPrefix.empty();
    });
  require(hasUnreadable == aModel.mHasUnreadableRoutes,
          "unreadable route is not marked",
          aRound);
}

void
checkReport(std::string aBody, std::uint64_t aRound)
{
  CallerRequest request;
  request.mMethod = "POST";
  request.mTarget = "/api/rpc?call=instances.heartbeat&of=i-1";
  request.mBody = std::move(aBody);
  const Result<UpstreamReport> report = platform::readUpstreamReport(request);
  if (!report) {
    require(
      !report.error().mMessage.empty(), "refusal without a message", aRound);
    return;
  }
  require(!report->mInstance.empty() && !report->mService.empty() &&
            !report->mAddress.empty(),
          "accepted report lacks a field",
          aRound);
  constexpr std::int64_t kDayMs = 86'400'000;
  require(report->mColdTimeLeft.mCount >= 0 &&
            report->mColdTimeLeft.mCount <= kDayMs,
          "accepted report has a cold time out of range",
          aRound);
}

/// Whatever an upstream hands over, what is written for others can be read.
void
checkHandover(const std::string& aToken, std::uint64_t aRound)
{
  const KeyGrant grant{ { 1, 2 }, 3, Millis{ 4 }, aToken };
  ReportAnswer answer;
  answer.mHolds = std::vector<KeyGrant>{ grant };
  for (const std::string& body : { platform::makeGrantRequest(grant).mBody,
                                   platform::writeReportAnswer(answer) }) {
    require(parseJson(body).has_value(), "written JSON is malformed", aRound);
  }
}

void
checkHeaders(const std::string& aValue, std::uint64_t aRound)
{
  CallerRequest request;
  UpstreamResponse response;
  for (const char* name :
       { "X-Deadline-Ms", "X-Shard-Key", "X-Warmup-Ms", "X-Upstream-Load" }) {
    wire::HeaderT header;
    header.name = name;
    header.value = aValue;
    request.mHeaders.push_back(header);
    response.mHeaders.push_back(header);
  }
  const CallerHeaders headers = platform::readCallerHeaders(request);
  require(!headers.mTimeLeft || headers.mTimeLeft->mCount >= 0,
          "negative time left",
          aRound);
  require(platform::readColdTimeLeft(response).mCount >= 0,
          "negative cold time",
          aRound);
  static_cast<void>(platform::readLoad(response));
}

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  const Bytes raw = platform::encodeKeyedRecord("key", bytesOf(kReport));
  const std::string log =
    std::string(16, '\0') + textOf(raw) + textOf(raw) + textOf(raw);
  std::uint64_t accepted = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    const Result<config::VersionedModel> model =
      platform::readConfiguration(mutator.mutate(bytesOf(kConfiguration)));
    if (model) {
      ++accepted;
      checkAccepted(model->mModel, round);
    } else {
      require(
        !model.error().mMessage.empty(), "refusal without a message", round);
    }
    const Result<config::VersionedModel> odd = platform::readConfiguration(
      bytesOf(mutator.mutateJson(std::string(kConfiguration))));
    if (odd) {
      checkAccepted(odd->mModel, round);
    }
    checkReport(textOf(mutator.mutate(bytesOf(kReport))), round);
    checkReport(mutator.mutateJson(std::string(kReport)), round);
    checkHandover(textOf(mutator.mutate(bytesOf("5c0e7a21d94b36f8"))), round);
    checkHeaders(mutator.oddValue(), round);
    const Result<platform::KeyedRecords> records =
      platform::parseKeyedRecords(textOf(mutator.mutate(bytesOf(log))), round);
    require(!records || records->mRecords.size() <= log.size(),
            "more records than bytes",
            round);
    UpstreamResponse response;
    wire::HeaderT load;
    load.name = "X-Upstream-Load";
    load.value = textOf(mutator.mutate(bytesOf("3,0,9,140")));
    response.mHeaders.push_back(load);
    static_cast<void>(platform::readLoad(response));
  }
  require(accepted > 0, "no configuration was accepted", arguments.mRounds);
}
