// Parses mutated configuration files. An accepted configuration must be
// consistent, and a refusal must name the place, the problem and what was
// expected.
#include "mutator.h"

#include "radishroad/config/folder.h"

#include <array>
#include <string>
#include <string_view>

using namespace radishroad;
using namespace radishroad::fuzz;

namespace {

constexpr std::array<std::string_view, 3> kCorpus{
  "workspaces:\n  granite:\n    rate: 200/s\n    burst: 50\n    keys:\n"
  "      - 27ca36705da5ed5063e264c77954de2cb61ce2ef756161f78f5c35a478149b20\n",
  "services:\n  catalog: {checks_fence: true, deadline: 800ms}\n"
  "routes:\n  page:\n    method: GET\n    path: /catalog/{key}/page\n"
  "    service: catalog\n    idempotent: true\n",
  "zones: &z\n  nashua: {in_service: true}\n  worcester: {}\n",
};

bool
isConsistent(const config::Model& aModel)
{
  for (const config::Route& route : aModel.mRoutes) {
    if (!aModel.mServices.contains(route.mService)) {
      return false;
    }
  }
  for (const auto& [name, workspace] : aModel.mWorkspaces) {
    if (!(workspace.mRatePerSecond > 0) || !(workspace.mBurst >= 1)) {
      return false;
    }
  }
  return true;
}

bool
areComplete(const Findings& aFindings)
{
  return std::ranges::none_of(aFindings, [](const Finding& aFinding) {
    return aFinding.mSource.empty() || aFinding.mProblem.empty() ||
           aFinding.mExpected.empty();
  });
}

}

int
main(int aCount, char** aArguments)
{
  const Arguments arguments =
    parseArguments({ aArguments, static_cast<std::size_t>(aCount) });
  Mutator mutator(arguments.mSeed);
  std::uint64_t accepted = 0;
  for (std::uint64_t round = 0; round < arguments.mRounds; ++round) {
    std::vector<ConfigText> files;
    for (const std::string_view seed : kCorpus) {
      const Bytes bytes = mutator.mutate({ seed.begin(), seed.end() });
      files.push_back({ std::to_string(files.size()) + ".yaml",
                        { bytes.begin(), bytes.end() } });
    }
    const tl::expected<config::Model, Findings> model = config::parse(files);
    if (model) {
      ++accepted;
      require(
        isConsistent(*model), "accepted configuration is inconsistent", round);
    } else {
      require(!model.error().empty() && areComplete(model.error()),
              "refusal without place, problem or expectation",
              round);
    }
  }
  std::printf("%llu configurations, %llu accepted\n",
              static_cast<unsigned long long>(arguments.mRounds),
              static_cast<unsigned long long>(accepted));
  return 0;
}
