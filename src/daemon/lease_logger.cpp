#include "radishroad/daemon/lease_logger.h"

#include "radishroad/base/json_log.h"

#include <nlohmann/json.hpp>

namespace radishroad {

namespace {

nlohmann::json
describePromise(const wire::PromiseT& aPromise, Millis aNow)
{
  return { { "holder", std::to_string(aPromise.incarnation) },
           { "witness", std::to_string(aPromise.witness) },
           { "version", aPromise.version },
           { "sent_ms", aPromise.sent_ms },
           { "withheld", aPromise.withheld },
           { "now_ms", aNow.mCount } };
}

nlohmann::json
describeConsent(const wire::ConsentT& aConsent, Millis aNow)
{
  return { { "holder", std::to_string(aConsent.incarnation) },
           { "witness", std::to_string(aConsent.witness) },
           { "version", aConsent.version },
           { "granted", aConsent.granted },
           { "wait_ms", aConsent.wait_ms },
           { "now_ms", aNow.mCount } };
}

}

void
logRenewalAnswer(const wire::PromiseT& aPromise,
                 Millis aAckedSentAt,
                 Millis aNow)
{
  nlohmann::json fields = describePromise(aPromise, aNow);
  fields["heard_ms"] = aAckedSentAt.mCount;
  logEvent(LogLevel::Debug, "promise_sent", fields);
}

void
logSentFrame(const wire::FrameBodyUnion& aBody, Millis aNow)
{
  if (const wire::ConsentT* consent = aBody.AsConsent()) {
    logEvent(LogLevel::Debug, "consent_sent", describeConsent(*consent, aNow));
  }
}

void
logReceivedFrame(const wire::FrameBodyUnion& aBody, Millis aNow)
{
  if (const wire::PromiseT* promise = aBody.AsPromise()) {
    logEvent(
      LogLevel::Debug, "promise_received", describePromise(*promise, aNow));
  }
}

void
LeaseLogger::onLease(Millis aHeldUntil, Millis aNow)
{
  const bool held = aHeldUntil > aNow;
  if (held == mHeld) {
    return;
  }
  mHeld = held;
  logEvent(LogLevel::Info,
           held ? "lease_held" : "lease_lapsed",
           { { "until_ms", aHeldUntil.mCount }, { "now_ms", aNow.mCount } });
}

}
