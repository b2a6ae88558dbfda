#include "rr-upstream/upstream_service.h"

#include "common/http_endpoint.h"
#include "radishroad/base/random_id.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace radishroad::tools {

namespace {

constexpr Millis kLoadReportDelay{ 2000 };
constexpr Millis kDownTime{ 1000 };
constexpr int kOverloadFactor = 2;
constexpr std::size_t kMaxFinishedIds = 100000;
constexpr int kCrashExitCode = 134;
constexpr std::string_view kRequestsPath = "/requests/";

std::string
fillBody(const std::string& aPattern, std::size_t aBytes)
{
  const std::string pattern = aPattern.empty() ? "radishroad" : aPattern;
  std::string body;
  body.reserve(aBytes + pattern.size());
  while (body.size() < aBytes) {
    body += pattern;
  }
  body.resize(aBytes);
  return body;
}

}

UpstreamService::UpstreamService(UpstreamOptions aOptions, Journal& aJournal)
  : mOptions(std::move(aOptions))
  , mJournal(aJournal)
  , mInstance(makeRandomId().toString())
  , mColdUntil(monotonicNow() + mOptions.mColdTime)
{
  logEvent("start");
}

void
UpstreamService::handle(const Pistache::Http::Request& aRequest,
                        const Reply& aReply)
{
  const std::string& path = aRequest.resource();
  const bool isDelete = aRequest.method() == Pistache::Http::Method::Delete;
  aReply.header("X-Upstream-Instance", mInstance);
  aReply.header("X-Upstream-Vm", mOptions.mVm);
  std::lock_guard<std::mutex> lock(mMutex);
  if (path == "/control/faults") {
    setFaults(aRequest.body(), aReply);
  } else if (path == "/health") {
    handleProbe(aReply);
  } else if (path == "/load") {
    answerLoad(aReply);
  } else if (isDelete && path.starts_with(kRequestsPath)) {
    cancel(path.substr(kRequestsPath.size()), aReply);
  } else {
    const auto job =
      std::make_shared<Job>(makeJob(aRequest, aReply, mOptions.mServiceTime));
    const Millis delay = connectDelay(aReply);
    if (delay.mCount == 0) {
      admit(job);
      return;
    }
    mTimers.after(delay, [this, job] {
      std::lock_guard<std::mutex> guard(mMutex);
      admit(job);
    });
  }
}

void
UpstreamService::setFaults(const std::string& aBody, const Reply& aReply)
{
  const nlohmann::json fields =
    nlohmann::json::parse(aBody, nullptr, /* allow_exceptions */ false);
  if (!fields.is_object()) {
    aReply.send(400, R"({"error":"expected a JSON object"})");
    return;
  }
  mFaults.mShed = fields.value("shed", mFaults.mShed);
  mFaults.mUnhealthy = fields.value("unhealthy", mFaults.mUnhealthy);
  mFaults.mExtraServiceTime.mCount =
    fields.value("slow_ms", mFaults.mExtraServiceTime.mCount);
  if (fields.contains("limit_per_second") || fields.contains("leaving")) {
    const auto limit = fields.find("limit_per_second");
    if (limit != fields.end()) {
      mFaults.mLimitPerSecond = limit->is_number() ? limit->dump() : "";
    }
    mFaults.mLeaving = fields.value("leaving", mFaults.mLeaving);
    logNotice();
  }
  const std::int64_t coldMs = fields.value("cold_ms", std::int64_t{ 0 });
  if (coldMs > 0) {
    mColdUntil = monotonicNow() + Millis{ coldMs };
    logEvent("cold");
  }
  aReply.send(200, "{}");
}

void
UpstreamService::handleProbe(const Reply& aReply)
{
  logEvent("probe");
  if (mOptions.mProbeTime.mCount == 0) {
    answerHealth(aReply);
    return;
  }
  // A probe occupies a slot, as a request does.
  ++mRunning;
  mTimers.after(mOptions.mProbeTime, [this, aReply] {
    std::lock_guard<std::mutex> lock(mMutex);
    --mRunning;
    answerHealth(aReply);
    startWaiting();
  });
}

void
UpstreamService::answerHealth(const Reply& aReply)
{
  const bool down =
    mFaults.mUnhealthy || mFaults.mLeaving || monotonicNow() < mDownUntil;
  const nlohmann::json body = { { "status", down ? "down" : "ok" },
                                { "instance", mInstance } };
  aReply.send(down ? 503 : 200, body.dump());
}

void
UpstreamService::answerLoad(const Reply& aReply)
{
  const LoadSample load = reportedLoad();
  const nlohmann::json body = { { "in_flight", load.mInFlight },
                                { "slots", mOptions.mSlots },
                                { "queued", load.mQueued } };
  aReply.send(200, body.dump());
}

UpstreamService::LoadSample
UpstreamService::reportedLoad()
{
  const LoadSample current{ mRunning, mWaiting.size() };
  if (mOptions.mLoadReport == LoadReportMode::Accurate) {
    return current;
  }
  if (mOptions.mLoadReport == LoadReportMode::AlwaysIdle) {
    return {};
  }
  const LoadSample delayed = mDelayedLoad;
  if (monotonicNow() - mDelayedLoadTime > kLoadReportDelay) {
    mDelayedLoad = current;
    mDelayedLoadTime = monotonicNow();
  }
  return delayed;
}

void
UpstreamService::cancel(const std::string& aId, const Reply& aReply)
{
  const auto it = mActiveJobs.find(aId);
  if (it == mActiveJobs.end()) {
    const bool finished = mFinishedIds.contains(aId);
    aReply.send(
      200, finished ? R"({"state":"finished"})" : R"({"state":"unknown"})");
    return;
  }
  const JobPtr job = it->second;
  if (job->mState == Job::State::Running) {
    end(job, "cancelled");
  } else {
    std::erase(mWaiting, job);
    job->mState = Job::State::Ended;
    mActiveJobs.erase(it);
  }
  job->mReply.send(503, R"({"error":"cancelled"})");
  aReply.send(200, R"({"state":"cancelled"})");
  startWaiting();
}

Millis
UpstreamService::connectDelay(const Reply& aReply)
{
  if (!mConnections.insert(aReply.connectionId()).second) {
    return {};
  }
  logEvent("connect");
  const Millis now = monotonicNow();
  mLastConnectEnd = std::max(now, mLastConnectEnd) + mOptions.mConnectTime;
  return mLastConnectEnd - now;
}

void
UpstreamService::admit(const JobPtr& aJob)
{
  if (mOptions.mChecksFence && !mFence.admit(aJob->mShard, aJob->mEpoch)) {
    refuse(*aJob, 409, "refused_fence", "stale-fence");
    return;
  }
  if (checkOverload()) {
    refuse(*aJob, 503, "refused_down", "");
    return;
  }
  const bool full =
    mWaiting.size() >= static_cast<std::size_t>(mOptions.mQueue);
  if (mFaults.mShed || (mRunning >= slots() && full)) {
    refuse(*aJob, 503, "shed", "shed");
    return;
  }
  mActiveJobs[aJob->mId] = aJob;
  if (mRunning < slots()) {
    start(aJob);
  } else {
    mWaiting.push_back(aJob);
  }
}

bool
UpstreamService::checkOverload()
{
  const Millis now = monotonicNow();
  if (now < mDownUntil) {
    return true;
  }
  const int jobCount = mRunning + static_cast<int>(mWaiting.size());
  if (!isCold() || jobCount < mOptions.mColdSlots * kOverloadFactor) {
    return false;
  }
  logEvent("fell_over");
  if (mOptions.mExitWhenOverloaded) {
    ::_exit(1);
  }
  mDownUntil = now + kDownTime;
  return true;
}

void
UpstreamService::start(const JobPtr& aJob)
{
  if (mOptions.mChecksFence && !mFence.admit(aJob->mShard, aJob->mEpoch)) {
    mActiveJobs.erase(aJob->mId);
    aJob->mState = Job::State::Ended;
    refuse(*aJob, 409, "refused_fence", "stale-fence");
    return;
  }
  if (aJob->mDeadline.mCount > 0 && monotonicNow() >= aJob->mDeadline) {
    mActiveJobs.erase(aJob->mId);
    aJob->mState = Job::State::Ended;
    refuse(*aJob, 504, "expired", "deadline");
    return;
  }
  ++mRunning;
  aJob->mState = Job::State::Running;
  mJournal.write(makeJobEvent(*aJob, "run_start", mOptions.mVm));
  if (aJob->mCrashesProcess) {
    mJournal.write(makeJobEvent(*aJob, "crash", mOptions.mVm));
    ::_exit(kCrashExitCode);
  }
  Millis time = aJob->mServiceTime + mFaults.mExtraServiceTime;
  if (aJob->mDeadline.mCount > 0) {
    time = std::min(time, aJob->mDeadline - monotonicNow());
  }
  mTimers.after(time, [this, aJob] {
    std::lock_guard<std::mutex> lock(mMutex);
    completeJob(aJob);
  });
}

void
UpstreamService::completeJob(const JobPtr& aJob)
{
  if (aJob->mState != Job::State::Running) {
    return;
  }
  const bool late =
    aJob->mDeadline.mCount > 0 && monotonicNow() >= aJob->mDeadline;
  end(aJob, "done");
  addNotice(*aJob);
  if (late) {
    aJob->mReply.send(504, R"({"error":"deadline passed"})");
  } else {
    answer(*aJob);
  }
  startWaiting();
}

void
UpstreamService::end(const JobPtr& aJob, const std::string& aOutcome)
{
  aJob->mState = Job::State::Ended;
  --mRunning;
  mActiveJobs.erase(aJob->mId);
  if (mFinishedIds.insert(aJob->mId).second) {
    mFinishedIdOrder.push_back(aJob->mId);
  }
  if (mFinishedIdOrder.size() > kMaxFinishedIds) {
    mFinishedIds.erase(mFinishedIdOrder.front());
    mFinishedIdOrder.pop_front();
  }
  nlohmann::json event = makeJobEvent(*aJob, "run_end", mOptions.mVm);
  const bool late =
    aJob->mDeadline.mCount > 0 && monotonicNow() >= aJob->mDeadline;
  event["outcome"] = late ? "deadline" : aOutcome;
  mJournal.write(std::move(event));
}

void
UpstreamService::startWaiting()
{
  while (!mWaiting.empty() && mRunning < slots()) {
    const JobPtr job = mWaiting.front();
    mWaiting.pop_front();
    start(job);
  }
}

void
UpstreamService::answer(const Job& aJob)
{
  if (aJob.mTruncatesAnswer) {
    aJob.mReply.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\ncut");
    return;
  }
  if (!aJob.mTag.empty()) {
    aJob.mReply.header("X-Load-Tag", aJob.mTag);
  }
  if (aJob.mAnswerBytes >= 0) {
    const auto bytes = static_cast<std::size_t>(aJob.mAnswerBytes);
    aJob.mReply.send(200, fillBody(aJob.mId, bytes), "text/plain");
  } else if (!aJob.mBody.empty()) {
    aJob.mReply.send(200, aJob.mBody, "application/octet-stream");
  } else {
    const nlohmann::json body = { { "vm", mOptions.mVm },
                                  { "id", aJob.mId },
                                  { "target", aJob.mTarget } };
    aJob.mReply.send(200, body.dump());
  }
}

void
UpstreamService::refuse(const Job& aJob,
                        int aStatus,
                        const std::string& aEvent,
                        const std::string& aNotRunReason)
{
  mJournal.write(makeJobEvent(aJob, aEvent, mOptions.mVm));
  addNotice(aJob);
  if (!aNotRunReason.empty()) {
    aJob.mReply.header("X-Not-Run", aNotRunReason);
  }
  aJob.mReply.send(aStatus, nlohmann::json{ { "error", aEvent } }.dump());
}

void
UpstreamService::addNotice(const Job& aJob)
{
  if (!mFaults.mLimitPerSecond.empty()) {
    aJob.mReply.header("X-Upstream-Limit", mFaults.mLimitPerSecond);
  }
  if (mFaults.mLeaving) {
    aJob.mReply.header("X-Upstream-Leaving", "1");
  }
}

void
UpstreamService::logNotice()
{
  mJournal.write({ { "event", "notice" },
                   { "vm", mOptions.mVm },
                   { "limit_per_second", mFaults.mLimitPerSecond },
                   { "leaving", mFaults.mLeaving } });
}

void
UpstreamService::logEvent(const std::string& aEvent)
{
  mJournal.write(
    { { "event", aEvent }, { "vm", mOptions.mVm }, { "instance", mInstance } });
}

bool
UpstreamService::isCold() const
{
  return monotonicNow() < mColdUntil;
}

int
UpstreamService::slots() const
{
  return isCold() ? mOptions.mColdSlots : mOptions.mSlots;
}

}
