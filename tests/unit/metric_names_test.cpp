#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

namespace {

namespace fs = std::filesystem;

const fs::path kSource = RADISHROAD_SOURCE_DIR;

std::string
readText(const fs::path& aFile)
{
  std::ifstream in(aFile);
  return { std::istreambuf_iterator<char>(in), {} };
}

/// Maps each metric name in the source code to the Metrics function that it is
/// passed to.
std::map<std::string, std::string>
exportedNames()
{
  const std::regex call(
    R"re([mM]etrics\.(count|gauge|observe)\(\s*(?:std::string\()?"(\w+))re");
  std::map<std::string, std::string> names;
  for (const auto& entry : fs::recursive_directory_iterator(kSource / "src")) {
    if (entry.path().extension() != ".cpp") {
      continue;
    }
    const std::string text = readText(entry.path());
    std::sregex_iterator it(text.begin(), text.end(), call);
    for (; it != std::sregex_iterator(); ++it) {
      names[(*it)[2]] = (*it)[1];
    }
  }
  return names;
}

}

BOOST_AUTO_TEST_SUITE(metric_names)

BOOST_AUTO_TEST_CASE(follow_conventions_and_are_documented_for_operators)
{
  const std::map<std::string, std::regex> patterns = {
    { "count", std::regex("radishroad_[a-z_]+_total") },
    { "gauge", std::regex("radishroad_(?!.*_(total|seconds|ms)$)[a-z_]+") },
    { "observe", std::regex("radishroad_[a-z_]+_seconds") },
  };
  const std::string page = readText(kSource / "docs" / "operators.md");
  const std::map<std::string, std::string> names = exportedNames();
  BOOST_TEST(names.size() > 20U);
  for (const auto& [name, kind] : names) {
    BOOST_TEST(std::regex_match(name, patterns.at(kind)), name);
    const bool listed = page.find("| `" + name + "`") != std::string::npos ||
                        page.find("| `" + name + "{") != std::string::npos;
    BOOST_TEST(listed, name << " is not in docs/operators.md");
  }
}

BOOST_AUTO_TEST_SUITE_END()
