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
  /// Returned unchanged, so that a client can match answers to requests.
  std::string mTag;
  bool mCallerKeySeen = false;
  bool mCrashesProcess = false;
  /// Closes the connection in the middle of the answer's body.
  bool mTruncatesAnswer = false;
  /// Length of the answer's body; if negative, the request's body is returned.
  std::int64_t mAnswerBytes = -1;
  Millis mServiceTime;
  /// Remaining time sent with the request; 0 for none.
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

/// Creates a job from a request's headers and query (see
/// docs/upstream-protocol.md).
Job
makeJob(const Pistache::Http::Request& aRequest,
        const Reply& aReply,
        Millis aServiceTime);

/// The journal event for a job.
nlohmann::json
makeJobEvent(const Job& aJob,
             const std::string& aEvent,
             const std::string& aVm);

}

#endif
