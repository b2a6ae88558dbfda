#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_REQUEST_RUN_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_REQUEST_RUN_H

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace radishroad::test {

/// One run of a request on an upstream, as its journal tells.
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
  /// The start if the upstream was lost while it ran.
  std::int64_t mEndMs = 0;
  /// "done", "cancelled" or "deadline"; empty if the upstream was lost.
  std::string mOutcome;
  std::int64_t mDeadlineMs = 0;
  bool mCallerKeySeen = false;
};

/// The lines of a journal that are whole.
std::vector<nlohmann::json>
readJournal(const std::filesystem::path& aFile);

/// The runs in an upstream's journal, in order of their start.
std::vector<RequestRun>
readRuns(const std::filesystem::path& aFile, const std::string& aService);

}

#endif
