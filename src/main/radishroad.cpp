#include "radishroad/operator/command_context.h"
#include "radishroad/operator/command_table.h"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aWords)
{
  const std::vector<std::string> words(aWords + 1, aWords + aCount);
  const radishroad::GetEnvFn getEnv =
    [](const std::string& aName) -> std::optional<std::string> {
    const char* value = std::getenv(aName.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  const radishroad::CommandOutput output =
    radishroad::runCommandLine(words, getEnv, radishroad::makeCommandContext);
  std::cout << output.mOut << std::flush;
  std::cerr << output.mError;
  return static_cast<int>(output.mCode);
}
