#include "radishroad/operator/explain.h"

#include "radishroad/operator/event_merge.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

/// How far back a change of belief may be the cause: the longest wait for the
/// holds of a lost upstream, and its detection.
constexpr std::int64_t kBeforeMs = 6000;
/// Lines that say why an upstream's keys or its VM could not serve.
constexpr std::array<std::string_view, 11> kBeliefs{
  "start",           "lease_lapsed",  "handoff",
  "handoff_put_off", "store_lost",    "upstream_health",
  "upstream_drains", "upstream_life", "grant_refused",
  "grant_outdated",  "zone"
};

std::int64_t
numberOf(const Json& aEvent, const char* aName)
{
  const auto it = aEvent.find(aName);
  return it != aEvent.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

/// VM of a member, from the lines that name both; empty if there is none.
std::string
vmOf(std::span<const Json> aEvents, const std::string& aIncarnation)
{
  for (const Json& event : aEvents) {
    if (fieldText(event, "incarnation") != aIncarnation) {
      continue;
    }
    if (fieldText(event, "event") == "member") {
      return fieldText(event, "member_vm");
    }
    if (fieldText(event, "event") == "start") {
      return fieldText(event, "vm");
    }
  }
  return {};
}

bool
isBelief(const Json& aEvent)
{
  return std::ranges::find(kBeliefs, fieldText(aEvent, "event")) !=
         kBeliefs.end();
}

/// The last change of belief on the VM before the request's end.
const Json*
lastBelief(std::span<const Json> aEvents,
           const std::string& aVm,
           std::int64_t aEndMs)
{
  const Json* last = nullptr;
  for (const Json& event : aEvents) {
    const std::int64_t at = numberOf(event, "ms");
    if (fieldText(event, "vm") == aVm && isBelief(event) && at <= aEndMs &&
        at >= aEndMs - kBeforeMs) {
      last = &event;
    }
  }
  return last;
}

std::string
describeBelief(const Json* aBelief, const std::string& aVm)
{
  if (aBelief == nullptr) {
    return aVm + " logged no change of what it believes in the " +
           std::to_string(kBeforeMs / 1000) + " s before";
  }
  return "the last change on " + aVm + " before was " +
         fieldText(*aBelief, "event");
}

std::string
describeRun(const Json& aRun)
{
  return "its upstream on " + fieldText(aRun, "vm") + " ran " +
         fieldText(aRun, "running") + " of " + fieldText(aRun, "slots") +
         " requests at once, each for " + fieldText(aRun, "run_ms") +
         " ms on average; the request was there for " +
         fieldText(aRun, "here_ms") + " ms";
}

std::string
causeOf(const Json& aRequest,
        const Json* aRun,
        const std::string& aOwnerVm,
        const Json* aBelief)
{
  const std::string outcome = fieldText(aRequest, "outcome");
  const std::string reason = fieldText(aRequest, "reason");
  const std::string run =
    aRun == nullptr ? "no line tells of its upstream" : describeRun(*aRun);
  if (outcome == "answered") {
    return "answered after " + fieldText(aRequest, "took_ms") +
           " ms, against an objective of " +
           fieldText(aRequest, "objective_ms") + " ms; " + run;
  }
  if (outcome == "unknown") {
    return "sent to the upstream on " + aOwnerVm +
           ", which gave no whole answer in time; whether it ran is not "
           "known; " +
           describeBelief(aBelief, aOwnerVm);
  }
  if (reason == "rate-limited") {
    return "workspace " + fieldText(aRequest, "workspace") +
           " was above its rate; no upstream was asked";
  }
  if (reason == "queue-full" || reason == "shed") {
    return "too much waited before it to be answered in time; " + run;
  }
  if (reason == "unauthorized" || reason == "no-route") {
    return "refused by configuration version " +
           fieldText(aRequest, "config_version") + ": " + reason;
  }
  if (aOwnerVm.empty()) {
    return "not sent anywhere: " + reason;
  }
  return "not run (" + reason + ") by " + aOwnerVm + "; " +
         describeBelief(aBelief, aOwnerVm);
}

}

Explanation
explainRequest(std::span<const Json> aEvents, const std::string& aRequestId)
{
  Explanation explanation;
  const Json* request = nullptr;
  const Json* run = nullptr;
  for (const Json& event : aEvents) {
    if (fieldText(event, "request_id") != aRequestId) {
      continue;
    }
    explanation.mCourse.push_back(event);
    if (fieldText(event, "event") == "request") {
      request = &event;
    } else if (fieldText(event, "event") == "run") {
      run = &event;
    }
  }
  const auto leftOut = std::ranges::count_if(aEvents, [](const Json& aEvent) {
    return fieldText(aEvent, "event") == "request_lines_left_out" ||
           fieldText(aEvent, "event") == "log_lines_dropped";
  });
  if (leftOut > 0) {
    explanation.mMissing.push_back(std::to_string(leftOut) +
                                   " lines say that lines were left out");
  }
  if (request == nullptr) {
    explanation.mMissing.emplace_back(
      "no line of the daemon that took the request from its caller: it went "
      "well and was not among those sampled, or its line was left out");
    return explanation;
  }
  const std::string member = fieldText(*request, "sent_to");
  const bool sent = !member.empty() && member != "0";
  const std::string ownerVm = sent ? vmOf(aEvents, member) : std::string();
  const Json* belief = lastBelief(aEvents, ownerVm, numberOf(*request, "ms"));
  if (belief != nullptr) {
    explanation.mCourse.push_back(*belief);
    std::ranges::stable_sort(explanation.mCourse, {}, [](const Json& aEvent) {
      return numberOf(aEvent, "ms");
    });
  }
  if (sent && ownerVm.empty()) {
    explanation.mMissing.push_back("no line names the VM of member " + member);
  }
  if (sent && run == nullptr) {
    explanation.mMissing.emplace_back(
      "no line of the daemon beside the upstream: the request did not reach "
      "it, or that daemon's log is not among the files");
  }
  explanation.mCause = causeOf(*request, run, ownerVm, belief);
  return explanation;
}

}
