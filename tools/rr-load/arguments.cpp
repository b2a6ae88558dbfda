#include "rr-load/arguments.h"

#include "common/arguments.h"

#include <cstdio>
#include <cstdlib>
#include <popt.h>

namespace radishroad::tools {

namespace {

/// Options whose value is a string; some of them may be given more than once.
enum TextOption
{
  TargetOption = 1,
  PathOption,
  MethodOption,
  QueryOption,
  CallerKeyOption,
};

void
setText(LoadOptions& aOptions, int aOption, const char* aText)
{
  switch (aOption) {
    case TargetOption:
      aOptions.mTargets.emplace_back(aText);
      break;
    case PathOption:
      aOptions.mPath = aText;
      break;
    case MethodOption:
      aOptions.mMethod = aText;
      break;
    case QueryOption:
      aOptions.mQuery = aText;
      break;
    case CallerKeyOption:
      aOptions.mCallerKeys.emplace_back(aText);
      break;
    default:
      break;
  }
}

bool
isValid(const LoadOptions& aOptions)
{
  return !aOptions.mTargets.empty() && aOptions.mRate > 0 &&
         aOptions.mSeconds > 0 && aOptions.mKeys > 0 && aOptions.mThreads > 0 &&
         aOptions.mConnections > 0;
}

}

std::optional<LoadOptions>
parseArguments(int aCount, const char** aValues)
{
  LoadOptions out;
  long seed = 1;
  int poisson = 0;
  constexpr int kText = POPT_ARG_STRING;
  constexpr int kNumber = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
  constexpr int kReal = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;
  const poptOption table[] = {
    { "target", 0, kText, nullptr, TargetOption, "daemon address", "IP:PORT" },
    { "path", 0, kText, nullptr, PathOption, "path with {key}", "PATH" },
    { "method", 0, kText, nullptr, MethodOption, "method", "NAME" },
    { "query", 0, kText, nullptr, QueryOption, "added to queries", "A=B" },
    { "caller-key", 0, kText, nullptr, CallerKeyOption, "API key", "KEY" },
    { "rate", 0, kNumber, &out.mRate, 0, "requests per second", "N" },
    { "seconds", 0, kNumber, &out.mSeconds, 0, "measured time", "N" },
    { "warm-up", 0, kNumber, &out.mWarmUpSeconds, 0, "unmeasured time", "N" },
    { "keys", 0, kNumber, &out.mKeys, 0, "number of keys", "N" },
    { "key-zipf", 0, kReal, &out.mKeyZipf, 0, "Zipf exponent of keys", "S" },
    { "workspace-zipf", 0, kReal, &out.mWorkspaceZipf, 0, "same", "S" },
    { "threads", 0, kNumber, &out.mThreads, 0, "sending threads", "N" },
    { "connections", 0, kNumber, &out.mConnections, 0, "maximum number", "N" },
    { "hold", 0, kNumber, &out.mIdleConnections, 0, "idle connections", "N" },
    { "timeout-ms", 0, kNumber, &out.mTimeoutMs, 0, "per request", "N" },
    { "body-bytes", 0, kNumber, &out.mBodyBytes, 0, "body size", "N" },
    { "poisson", 0, POPT_ARG_NONE, &poisson, 0, "Poisson arrivals", nullptr },
    { "seed", 0, POPT_ARG_LONG, &seed, 0, "of the random choices", "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(nullptr, aCount, aValues, table, 0);
  int option = poptGetNextOpt(context);
  while (option > 0) {
    char* text = poptGetOptArg(context);
    setText(out, option, text);
    std::free(text);
    option = poptGetNextOpt(context);
  }
  const bool read = finishArguments(context, option);
  out.mSeed = static_cast<std::uint64_t>(seed);
  out.mPoisson = poisson != 0;
  if (!read || !isValid(out)) {
    std::fprintf(
      stderr,
      "rr-load: --target is required, and --rate, --seconds, --keys, --threads "
      "and --connections must be greater than 0\n");
    return std::nullopt;
  }
  return out;
}

}
