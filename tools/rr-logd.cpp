/// Simulates the platform's log service for tests. See docs/log-service.md.

#include "common/arguments.h"
#include "common/http_endpoint.h"
#include "common/journal.h"
#include "rr-logd/log_service.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace {

namespace tools = radishroad::tools;

struct Settings
{
  char* mAddress = nullptr;
  char* mJournal = nullptr;
  int mMaxRecords = 0;
};

bool
parse(int aCount, const char** aValues, Settings& aSettings)
{
  const poptOption table[] = {
    { "address", 0, POPT_ARG_STRING, &aSettings.mAddress, 0, "IP:PORT", "A" },
    { "journal", 0, POPT_ARG_STRING, &aSettings.mJournal, 0, "file", "FILE" },
    { "keep",
      0,
      POPT_ARG_INT,
      &aSettings.mMaxRecords,
      0,
      "maximum records per stream",
      "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aCount, aValues, table, 0);
  const bool read = tools::finishArguments(context, poptGetNextOpt(context));
  return read && aSettings.mAddress != nullptr;
}

}

int
main(int aCount, char** aValues)
{
  Settings settings;
  if (!parse(aCount, const_cast<const char**>(aValues), settings)) {
    std::fprintf(stderr, "rr-logd: --address IP:PORT is required\n");
    return tools::kUsageError;
  }
  tools::blockStopSignals();
  tools::Journal journal(settings.mJournal ? settings.mJournal : "");
  tools::LogService service(static_cast<std::size_t>(settings.mMaxRecords),
                            journal);
  tools::HttpEndpoint endpoint(
    settings.mAddress,
    [&service](const Pistache::Http::Request& aRequest,
               const tools::Reply& aReply) {
      service.handle(aRequest, aReply);
    });
  endpoint.start();
  journal.write({ { "event", "start" } });
  tools::waitForStopSignal();
  journal.write({ { "event", "stop" } });
  endpoint.stop();
  return 0;
}
