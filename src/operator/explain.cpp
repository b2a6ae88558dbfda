#include "radishroad/operator/explain.h"

#include "radishroad/operator/event_merge.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace radishroad {

namespace {

using Json = nlohmann::ordered_json;

/// A state change this long before the end of a request may have been its
/// cause: the longest time until the grants of a lost upstream expire, plus the
/// time to detect the loss.
constexpr std::int64_t kStateChangeWindowMs = 6000;
/// Events that explain why a VM or its upstream could not serve requests for
/// its keys.
constexpr std::array<std::string_view, 11> kStateChangeEvents{
  "start",           "lease_lapsed",  "handoff",
  "handoff_put_off", "store_lost",    "upstream_health",
  "upstream_drains", "upstream_life", "grant_refused",
  "grant_outdated",  "zone"
};

std::int64_t
fieldNumber(const Json& aEvent, const char* aName)
{
  const auto it = aEvent.find(aName);
  return it != aEvent.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

/// Returns the VM of a member, taken from the events that contain both; empty
/// if there are none.
std::string
findVmOfMember(std::span<const Json> aEvents, const std::string& aIncarnation)
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
isStateChange(const Json& aEvent)
{
  return std::ranges::find(kStateChangeEvents, fieldText(aEvent, "event")) !=
         kStateChangeEvents.end();
}

/// Returns the last state change on the VM within kStateChangeWindowMs before
/// the end of the request; null if there is none.
const Json*
findLastStateChange(std::span<const Json> aEvents,
                    const std::string& aVm,
                    std::int64_t aEndMs)
{
  const Json* last = nullptr;
  for (const Json& event : aEvents) {
    const std::int64_t at = fieldNumber(event, "ms");
    if (fieldText(event, "vm") == aVm && isStateChange(event) && at <= aEndMs &&
        at >= aEndMs - kStateChangeWindowMs) {
      last = &event;
    }
  }
  return last;
}

std::string
describeStateChange(const Json* aStateChange, const std::string& aVm)
{
  if (aStateChange == nullptr) {
    return aVm + " logged no state change in the " +
           std::to_string(kStateChangeWindowMs / 1000) + " s before";
  }
  return "the last state change on " + aVm + " before was " +
         fieldText(*aStateChange, "event");
}

std::string
describeRun(const Json& aRun)
{
  return "the upstream on " + fieldText(aRun, "vm") + " was running " +
         fieldText(aRun, "running") + " of " + fieldText(aRun, "slots") +
         " concurrent requests, with a mean run time of " +
         fieldText(aRun, "run_ms") + " ms; the request spent " +
         fieldText(aRun, "here_ms") + " ms there";
}

std::string
describeCause(const Json& aRequest,
              const Json* aRun,
              const std::string& aOwnerVm,
              const Json* aStateChange)
{
  const std::string outcome = fieldText(aRequest, "outcome");
  const std::string reason = fieldText(aRequest, "reason");
  const std::string run = aRun == nullptr
                            ? "no log line describes its run on an upstream"
                            : describeRun(*aRun);
  if (outcome == "answered") {
    return "answered after " + fieldText(aRequest, "took_ms") +
           " ms, against an objective of " +
           fieldText(aRequest, "objective_ms") + " ms; " + run;
  }
  if (outcome == "unknown") {
    return "sent to the upstream on " + aOwnerVm +
           ", which returned no complete response in time; it is not known "
           "whether the request ran; " +
           describeStateChange(aStateChange, aOwnerVm);
  }
  if (reason == "rate-limited") {
    return "workspace " + fieldText(aRequest, "workspace") +
           " exceeded its rate limit; the request was not sent to an upstream";
  }
  if (reason == "queue-full" || reason == "shed") {
    return "too many requests were queued ahead of it to answer it in time; " +
           run;
  }
  if (reason == "unauthorized" || reason == "no-route") {
    const std::string cause = "refused by configuration version " +
                              fieldText(aRequest, "config_version") + ": " +
                              reason;
    const std::string age = fieldText(aRequest, "config_age_ms");
    return age.empty()
             ? cause
             : cause + ", " + age + " ms after it was known to be the newest";
  }
  if (aOwnerVm.empty()) {
    return "not sent to any upstream: " + reason;
  }
  return "not run (" + reason + ") by " + aOwnerVm + "; " +
         describeStateChange(aStateChange, aOwnerVm);
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
    explanation.mEvents.push_back(event);
    if (fieldText(event, "event") == "request") {
      request = &event;
    } else if (fieldText(event, "event") == "run") {
      run = &event;
    }
  }
  const auto omissions = std::ranges::count_if(aEvents, [](const Json& aEvent) {
    return fieldText(aEvent, "event") == "request_lines_left_out" ||
           fieldText(aEvent, "event") == "log_lines_dropped";
  });
  if (omissions > 0) {
    explanation.mMissing.push_back(std::to_string(omissions) +
                                   " log lines report omitted log lines");
  }
  if (request == nullptr) {
    explanation.mMissing.emplace_back(
      "no log line of the daemon that received the request from its caller: "
      "the request succeeded and was not sampled, or its line was omitted");
    return explanation;
  }
  const std::string member = fieldText(*request, "sent_to");
  const bool sent = !member.empty() && member != "0";
  const std::string ownerVm =
    sent ? findVmOfMember(aEvents, member) : std::string();
  const Json* stateChange =
    findLastStateChange(aEvents, ownerVm, fieldNumber(*request, "ms"));
  if (stateChange != nullptr) {
    explanation.mEvents.push_back(*stateChange);
    std::ranges::stable_sort(explanation.mEvents, {}, [](const Json& aEvent) {
      return fieldNumber(aEvent, "ms");
    });
  }
  if (sent && ownerVm.empty()) {
    explanation.mMissing.push_back("no log line names the VM of member " +
                                   member);
  }
  if (sent && run == nullptr) {
    explanation.mMissing.emplace_back(
      "no log line of the daemon next to the upstream: the request did not "
      "reach it, or that daemon's log is not among the files");
  }
  explanation.mCause = describeCause(*request, run, ownerVm, stateChange);
  return explanation;
}

}
