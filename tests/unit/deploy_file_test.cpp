#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string
sourceFile(const std::string& aPath)
{
  std::ifstream file(std::string(RADISHROAD_SOURCE_DIR) + "/" + aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// Names of the values that the deploy file's command needs.
std::set<std::string>
runLineValues()
{
  const std::string text = sourceFile("deploy/system.toml");
  std::smatch line;
  std::set<std::string> names;
  if (!std::regex_search(text, line, std::regex("\nrun = \"([^\"]*)\""))) {
    return names;
  }
  const std::string command = line[1];
  const std::regex value("\\{\\{([A-Za-z0-9.]+)\\}\\}");
  for (std::sregex_iterator it(command.begin(), command.end(), value), end;
       it != end;
       ++it) {
    names.insert((*it)[1]);
  }
  return names;
}

}

BOOST_AUTO_TEST_SUITE(deploy_file)

// A starter without one of the values starts no daemon.
BOOST_AUTO_TEST_CASE(each_starter_knows_all_values_of_the_command)
{
  const std::set<std::string> names = runLineValues();
  BOOST_REQUIRE(names.contains("Node"));
  for (const char* path :
       { "tests/process/support/platform_site.cpp", "review/common/rig.h" }) {
    const std::string starter = sourceFile(path);
    for (const std::string& name : names) {
      BOOST_TEST(starter.find("{ \"" + name + "\", ") != std::string::npos,
                 path << " has no value for " << name);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
