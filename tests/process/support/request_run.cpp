#include "support/request_run.h"

#include <algorithm>
#include <fstream>
#include <map>

namespace radishroad::test {

namespace {

RequestRun
makeRun(const nlohmann::json& aEvent, const std::string& aService)
{
  RequestRun run;
  run.mId = aEvent.at("id");
  run.mVm = aEvent.at("vm");
  run.mService = aService;
  run.mWorkspace = aEvent.at("workspace");
  run.mKey = aEvent.at("key");
  run.mMethod = aEvent.at("method");
  run.mTarget = aEvent.at("target");
  run.mEpoch = aEvent.at("epoch");
  run.mStartMs = aEvent.at("ms");
  run.mEndMs = run.mStartMs;
  run.mDeadlineMs = aEvent.at("deadline_ms");
  run.mCallerKeySeen = aEvent.at("caller_key_seen");
  return run;
}

void
endRun(RequestRun& aRun, const nlohmann::json& aEvent)
{
  aRun.mEndMs = aEvent.at("ms");
  aRun.mOutcome = aEvent.at("outcome");
  if (aRun.mOutcome == "deadline") {
    // A frozen upstream journals the end only after it resumes, later than the
    // deadline.
    aRun.mEndMs = std::min(aRun.mEndMs, aRun.mStartMs + aRun.mDeadlineMs);
  }
}

}

std::vector<nlohmann::json>
readJournal(const std::filesystem::path& aFile)
{
  std::vector<nlohmann::json> events;
  std::ifstream in(aFile);
  std::string line;
  while (std::getline(in, line)) {
    nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object()) {
      events.push_back(std::move(event));
    }
  }
  return events;
}

std::vector<RequestRun>
readRuns(const std::filesystem::path& aFile, const std::string& aService)
{
  std::vector<RequestRun> runs;
  std::map<std::string, std::size_t> openRuns;
  for (const nlohmann::json& event : readJournal(aFile)) {
    const std::string& kind = event.at("event").get_ref<const std::string&>();
    if (kind == "run_start") {
      runs.push_back(makeRun(event, aService));
      openRuns[runs.back().mId] = runs.size() - 1;
    } else if (kind == "run_end") {
      const auto it = openRuns.find(event.at("id"));
      if (it != openRuns.end()) {
        endRun(runs[it->second], event);
        openRuns.erase(it);
      }
    }
  }
  return runs;
}

}
