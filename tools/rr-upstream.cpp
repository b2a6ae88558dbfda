/// Simulates an upstream for tests. See docs/upstream-protocol.md.

#include "common/arguments.h"
#include "common/http_endpoint.h"
#include "common/journal.h"
#include "rr-upstream/options.h"
#include "rr-upstream/upstream_service.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <popt.h>
#include <string_view>

namespace {

namespace tools = radishroad::tools;

using radishroad::Millis;
using radishroad::tools::LoadReportMode;
using radishroad::tools::UpstreamOptions;

/// Option values in the types that popt stores.
struct Arguments
{
  char* mAddress = nullptr;
  char* mVm = nullptr;
  char* mJournal = nullptr;
  char* mLoadReport = nullptr;
  int mSlots = 10;
  int mQueue = 100;
  int mServiceMs = 2;
  int mConnectMs = 0;
  int mProbeMs = 0;
  int mColdMs = 0;
  int mColdSlots = 2;
  int mCheckFence = 0;
  int mColdExit = 0;
};

bool
parse(int aCount, const char** aValues, Arguments& aOut)
{
  constexpr int kText = POPT_ARG_STRING;
  constexpr int kNumber = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
  constexpr int kSwitch = POPT_ARG_NONE;
  const poptOption table[] = {
    { "address", 0, kText, &aOut.mAddress, 0, "where to listen", "IP:PORT" },
    { "vm", 0, kText, &aOut.mVm, 0, "name of the VM", "NAME" },
    { "journal", 0, kText, &aOut.mJournal, 0, "event log", "FILE" },
    { "slots", 0, kNumber, &aOut.mSlots, 0, "parallel requests", "N" },
    { "queue", 0, kNumber, &aOut.mQueue, 0, "queue length", "N" },
    { "service-ms", 0, kNumber, &aOut.mServiceMs, 0, "time per request", "N" },
    { "connect-ms", 0, kNumber, &aOut.mConnectMs, 0, "cost to connect", "N" },
    { "probe-ms", 0, kNumber, &aOut.mProbeMs, 0, "cost of a probe", "N" },
    { "cold-ms", 0, kNumber, &aOut.mColdMs, 0, "cold time at start", "N" },
    { "cold-slots", 0, kNumber, &aOut.mColdSlots, 0, "slots when cold", "N" },
    { "cold-exit",
      0,
      kSwitch,
      &aOut.mColdExit,
      0,
      "exit on overload when cold",
      nullptr },
    { "check-fence",
      0,
      kSwitch,
      &aOut.mCheckFence,
      0,
      "check epochs",
      nullptr },
    { "load-report", 0, kText, &aOut.mLoadReport, 0, "kind", "true|lag|lie" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aCount, aValues, table, 0);
  const bool read = tools::finishArguments(context, poptGetNextOpt(context));
  return read && aOut.mAddress != nullptr && aOut.mVm != nullptr;
}

std::optional<LoadReportMode>
parseLoadReport(const char* aText)
{
  const std::string_view text = aText ? aText : "true";
  if (text == "true") {
    return LoadReportMode::Accurate;
  }
  if (text == "lag") {
    return LoadReportMode::Delayed;
  }
  if (text == "lie") {
    return LoadReportMode::AlwaysIdle;
  }
  return std::nullopt;
}

UpstreamOptions
toOptions(const Arguments& aArguments, LoadReportMode aLoadReport)
{
  UpstreamOptions options;
  options.mAddress = aArguments.mAddress;
  options.mVm = aArguments.mVm;
  options.mJournal = aArguments.mJournal ? aArguments.mJournal : "";
  options.mSlots = aArguments.mSlots;
  options.mQueue = aArguments.mQueue;
  options.mServiceTime = Millis{ aArguments.mServiceMs };
  options.mConnectTime = Millis{ aArguments.mConnectMs };
  options.mProbeTime = Millis{ aArguments.mProbeMs };
  options.mColdTime = Millis{ aArguments.mColdMs };
  options.mColdSlots = aArguments.mColdSlots;
  options.mExitWhenOverloaded = aArguments.mColdExit != 0;
  options.mChecksFence = aArguments.mCheckFence != 0;
  options.mLoadReport = aLoadReport;
  return options;
}

}

int
main(int aCount, char** aValues)
{
  Arguments arguments;
  if (!parse(aCount, const_cast<const char**>(aValues), arguments)) {
    std::fprintf(stderr, "rr-upstream: --address and --vm are required\n");
    return tools::kUsageError;
  }
  const std::optional<LoadReportMode> loadReport =
    parseLoadReport(arguments.mLoadReport);
  if (!loadReport) {
    std::fprintf(stderr,
                 "rr-upstream: --load-report must be true, lag or lie\n");
    return tools::kUsageError;
  }
  const UpstreamOptions options = toOptions(arguments, *loadReport);
  tools::blockStopSignals();
  tools::Journal journal(options.mJournal);
  tools::UpstreamService service(options, journal);
  tools::HttpEndpoint endpoint(
    options.mAddress,
    [&service](const Pistache::Http::Request& aRequest,
               const tools::Reply& aReply) {
      service.handle(aRequest, aReply);
    });
  endpoint.start();
  tools::waitForStopSignal();
  journal.write({ { "event", "stop" }, { "vm", options.mVm } });
  endpoint.stop();
  return 0;
}
