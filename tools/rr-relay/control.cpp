#include "rr-relay/control.h"

#include <nlohmann/json.hpp>

namespace radishroad::tools {

namespace {

bool
matches(std::string_view aPattern, std::string_view aName)
{
  if (aPattern.ends_with('*')) {
    aPattern.remove_suffix(1);
    return aName.starts_with(aPattern);
  }
  return aPattern == aName;
}

void
listLinks(const RelayLinks& aLinks, const Reply& aReply)
{
  nlohmann::json body = nlohmann::json::object();
  for (const std::unique_ptr<RelayLink>& link : aLinks) {
    body[link->name()] = link->sessionCount();
  }
  aReply.send(200, body.dump());
}

}

void
handleControl(const RelayLinks& aLinks,
              const Pistache::Http::Request& aRequest,
              const Reply& aReply)
{
  if (aRequest.method() != Pistache::Http::Method::Post) {
    listLinks(aLinks, aReply);
    return;
  }
  const nlohmann::json fields =
    nlohmann::json::parse(aRequest.body(), nullptr, false);
  if (!fields.is_object() || !fields.contains("link")) {
    aReply.send(400, R"({"error":"expected an object with link"})");
    return;
  }
  FaultRule rule;
  rule.mDisconnect = fields.value("cut", false);
  rule.mHoldToTarget = fields.value("hold_forward", false);
  rule.mHoldFromTarget = fields.value("hold_back", false);
  rule.mDelay.mCount = fields.value("delay_ms", std::int64_t{ 0 });
  int n = 0;
  for (const std::unique_ptr<RelayLink>& link : aLinks) {
    if (matches(fields["link"].get<std::string>(), link->name())) {
      link->setRule(fields.value("source", "*"), rule);
      ++n;
    }
  }
  aReply.send(n > 0 ? 200 : 404, nlohmann::json{ { "links", n } }.dump());
}

}
