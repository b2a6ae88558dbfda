#ifndef RADISHROAD_TOOLS_RR_UPSTREAM_JOB_H
#define RADISHROAD_TOOLS_RR_UPSTREAM_JOB_H

#include "common/reply.h"
#include "radishroad/base/millis.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroad::tools {

/// One request to run.
struct Job
{
  enum class State
  {
    Waiting,
    Running,
    Ended,
  };

  std::string mId;
  std::string mWorkspace;
  std::string mKey;
  std::uint64_t mShard = 0;
  std::uint64_t mEpoch = 0;
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  /// Sent back as it came, so that a client can tell answers apart.
  std::string mTag;
  bool mCallerKeySeen = false;
  bool mCrashes = false;
  /// Breaks the connection off within the body.
  bool mCut = false;
  /// Length of the answer's body; below 0 the request's body is sent back.
  std::int64_t mAnswerBytes = -1;
  Millis mServiceTime;
  /// Time given with the request; 0 for none.
  Millis mTimeLeft;
  /// Monotonic time; 0 for none.
  Millis mDeadline;
  State mState = State::Waiting;
  Reply mReply;

  explicit Job(const Reply& aReply)
    : mReply(aReply)
  {
  }
};

/// Reads a request's headers and query (see docs/upstream-protocol.md).
Job
makeJob(const Pistache::Http::Request& aRequest,
        const Reply& aReply,
        Millis aServiceTime);

/// The job as the journal shows it.
nlohmann::json
describe(const Job& aJob, const std::string& aEvent, const std::string& aVm);

}

#endif
