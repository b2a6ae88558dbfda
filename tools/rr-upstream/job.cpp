#include "rr-upstream/job.h"

#include "common/http_endpoint.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace radishroad::tools {

namespace {

std::uint64_t
headerNumber(const Pistache::Http::Request& aRequest, const std::string& aName)
{
  const std::string text = headerValue(aRequest, aName);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}

Job
makeJob(const Pistache::Http::Request& aRequest,
        const Reply& aReply,
        Millis aServiceTime)
{
  Job job(aReply);
  job.mId = headerValue(aRequest, "X-Radishroad-Request-Id");
  job.mWorkspace = headerValue(aRequest, "X-Radishroad-Workspace");
  job.mKey = headerValue(aRequest, "X-Radishroad-Key-Hash");
  job.mShard = headerNumber(aRequest, "X-Radishroad-Shard");
  job.mEpoch = headerNumber(aRequest, "X-Radishroad-Epoch");
  job.mMethod = Pistache::Http::methodString(aRequest.method());
  job.mTarget = aRequest.resource() + aRequest.query().as_str();
  job.mBody = aRequest.body();
  job.mTag = headerValue(aRequest, "X-Load-Tag");
  job.mCallerKeySeen = !headerValue(aRequest, "Authorization").empty();
  job.mCrashesProcess = !headerValue(aRequest, "X-Test-Crash").empty();
  job.mTruncatesAnswer = queryNumber(aRequest, "cut", 0) != 0;
  job.mAnswerBytes = queryNumber(aRequest, "bytes", -1);
  job.mServiceTime.mCount = queryNumber(aRequest, "ms", aServiceTime.mCount);
  job.mTimeLeft.mCount = static_cast<std::int64_t>(
    headerNumber(aRequest, "X-Radishroad-Deadline-Ms"));
  const Millis deadlineAt{ static_cast<std::int64_t>(
    headerNumber(aRequest, "X-Radishroad-Deadline-At")) };
  if (deadlineAt.mCount > 0) {
    job.mDeadline = monotonicNow() + (deadlineAt - wallNow());
  } else if (job.mTimeLeft.mCount > 0) {
    job.mDeadline = monotonicNow() + job.mTimeLeft;
  }
  return job;
}

nlohmann::json
makeJobEvent(const Job& aJob, const std::string& aEvent, const std::string& aVm)
{
  return { { "event", aEvent },
           { "vm", aVm },
           { "id", aJob.mId },
           { "workspace", aJob.mWorkspace },
           { "key", aJob.mKey },
           { "shard", aJob.mShard },
           { "epoch", aJob.mEpoch },
           { "method", aJob.mMethod },
           { "target", aJob.mTarget },
           { "deadline_ms", aJob.mTimeLeft.mCount },
           { "caller_key_seen", aJob.mCallerKeySeen } };
}

}
