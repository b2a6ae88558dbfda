#include "radishroad/base/json_log.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

using namespace radishroad;

namespace {

/// Redirects standard output to a pipe whose reader has stopped reading.
class BlockedOutput
{
public:
  BlockedOutput()
    : mSavedStdout(dup(STDOUT_FILENO))
  {
    // Output that the test framework has buffered so far belongs to the
    // original standard output.
    std::cout.flush();
    std::fflush(stdout);
    BOOST_REQUIRE(pipe(mPipe.data()) == 0);
    dup2(mPipe[1], STDOUT_FILENO);
    close(mPipe[1]);
  }
  ~BlockedOutput()
  {
    close(mPipe[0]);
    close(mSavedStdout);
  }
  BlockedOutput(const BlockedOutput&) = delete;
  BlockedOutput& operator=(const BlockedOutput&) = delete;

  /// Reads until the write end of the pipe is closed.
  std::string readAll() const
  {
    std::string text;
    std::array<char, 65536> buf{};
    ssize_t n = 0;
    while ((n = read(mPipe[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }
  void restore() const { dup2(mSavedStdout, STDOUT_FILENO); }

private:
  std::array<int, 2> mPipe{};
  int mSavedStdout = -1;
};

}

BOOST_AUTO_TEST_SUITE(json_log)

// A log collector that stops reading must not delay requests: logEvent()
// returns immediately, and each line is either written or counted as dropped.
BOOST_AUTO_TEST_CASE(blocked_output_drops_lines_without_delaying_callers)
{
  constexpr std::size_t kLines = 20000;
  const BlockedOutput blocked;
  startLog("test", "vm-1", "a", LogLevel::Info);
  for (std::size_t n = 0; n < kLines; ++n) {
    logEvent(LogLevel::Info, "line", { { "n", n } });
  }
  std::string text;
  std::thread reader([&] { text = blocked.readAll(); });
  // The drops are reported together with the next line.
  logEvent(LogLevel::Info, "line", { { "n", kLines } });
  stopLog();
  blocked.restore();
  reader.join();
  std::size_t written = 0;
  std::size_t dropped = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json event = nlohmann::json::parse(line);
    if (event.at("event") == "log_lines_dropped") {
      dropped += event.at("count").get<std::size_t>();
    } else {
      ++written;
    }
  }
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(written + dropped == kLines + 1);
}

BOOST_AUTO_TEST_SUITE_END()
