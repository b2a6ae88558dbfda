#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_REQUEST_RUN_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_REQUEST_RUN_H

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace radishroad::test {

/// One execution of a request by an upstream, as recorded in its journal.
struct RequestRun
{
  std::string mId;
  std::string mVm;
  std::string mService;
  std::string mWorkspace;
  std::string mKey;
  std::string mMethod;
  std::string mTarget;
  std::uint64_t mEpoch = 0;
  std::int64_t mStartMs = 0;
  /// Equal to mStartMs if the upstream was lost while the request ran.
  std::int64_t mEndMs = 0;
  /// "done", "cancelled" or "deadline"; empty if the upstream was lost.
  std::string mOutcome;
  std::int64_t mDeadlineMs = 0;
  bool mCallerKeySeen = false;
};

/// Reads the complete lines of a journal; a line cut off by a crash is
/// skipped.
std::vector<nlohmann::json>
readJournal(const std::filesystem::path& aFile);

/// Reads the runs from an upstream's journal, ordered by start.
std::vector<RequestRun>
readRuns(const std::filesystem::path& aFile, const std::string& aService);

}

#endif
