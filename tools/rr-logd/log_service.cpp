#include "rr-logd/log_service.h"

#include "common/http_endpoint.h"
#include "radishroad/generated/records_generated.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad::tools {

namespace {

constexpr std::size_t kMaxRecordBytes = 1U << 20;
constexpr std::int64_t kDefaultReadBytes = 4 << 20;
constexpr std::int64_t kMaxWaitMs = 60000;
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kRecordsPath = "/records";

/// Name of the change in a record; "?" if the data is not a valid record.
std::string
changeName(const std::string& aData)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aData.data());
  flatbuffers::Verifier verifier(bytes, aData.size());
  if (!wire::VerifyRecordBuffer(verifier)) {
    return "?";
  }
  return wire::EnumNameChange(wire::GetRecord(bytes)->change_type());
}

std::string
errorBody(std::string_view aMessage)
{
  return nlohmann::json{ { "error", aMessage } }.dump();
}

}

LogService::LogService(std::size_t aMaxRecords, Journal& aJournal)
  : mStore(aMaxRecords)
  , mJournal(aJournal)
{
}

void
LogService::handle(const Pistache::Http::Request& aRequest, const Reply& aReply)
{
  const std::string& path = aRequest.resource();
  if (path == "/control/faults") {
    setFaults(aRequest.body(), aReply);
    return;
  }
  Millis delay;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    delay = mFaults.mDelay;
  }
  if (delay.mCount <= 0) {
    route(path, aRequest, aReply);
    return;
  }
  mTimers.after(delay, [this, path, request = aRequest, aReply] {
    route(path, request, aReply);
  });
}

void
LogService::setFaults(const std::string& aBody, const Reply& aReply)
{
  const nlohmann::json fields =
    nlohmann::json::parse(aBody, nullptr, /* allow_exceptions */ false);
  if (!fields.is_object()) {
    aReply.send(400, errorBody("expected a JSON object"));
    return;
  }
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mFaults.mOutage = fields.value("outage", mFaults.mOutage);
    mFaults.mDelay.mCount = fields.value("slow_ms", mFaults.mDelay.mCount);
    mFaults.mLoseNextAnswers =
      fields.value("lose_next_answers", mFaults.mLoseNextAnswers);
    mFaults.mLoseAnswersEvery =
      fields.value("lose_answers_every", mFaults.mLoseAnswersEvery);
    if (mFaults.mOutage) {
      failWaiters();
    }
    const std::int64_t restoreMs =
      fields.value("restore_ms", std::int64_t{ 0 });
    if (restoreMs > 0) {
      mStore.dropSince(wallNow() - Millis{ restoreMs });
    }
  }
  mJournal.write({ { "event", "faults" }, { "faults", fields } });
  aReply.send(200, "{}");
}

void
LogService::route(const std::string& aPath,
                  const Pistache::Http::Request& aRequest,
                  const Reply& aReply)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (mFaults.mOutage) {
    aReply.send(503, errorBody("outage"));
    return;
  }
  if (!aPath.starts_with(kStreamsPath)) {
    aReply.send(404, errorBody("no such call"));
    return;
  }
  std::string stream = aPath.substr(kStreamsPath.size());
  const bool records = stream.ends_with(kRecordsPath);
  if (records) {
    stream.resize(stream.size() - kRecordsPath.size());
  }
  const bool post = aRequest.method() == Pistache::Http::Method::Post;
  if (records && post) {
    append(stream, aRequest.body(), aReply);
  } else if (records) {
    read(stream, aRequest, aReply);
  } else {
    const LogStore::Bounds bounds = mStore.bounds(stream);
    aReply.send(
      200,
      nlohmann::json{ { "oldest", bounds.mOldest }, { "next", bounds.mNext } }
        .dump());
  }
}

void
LogService::append(const std::string& aStream,
                   const std::string& aData,
                   const Reply& aReply)
{
  if (aData.size() > kMaxRecordBytes) {
    aReply.send(413, errorBody("record above 1 MiB"));
    return;
  }
  const std::uint64_t offset = mStore.append(aStream, aData, wallNow());
  const bool lost = shouldLoseAnswer();
  mJournal.write({ { "event", "append" },
                   { "stream", aStream },
                   { "offset", offset },
                   { "bytes", aData.size() },
                   { "change", changeName(aData) },
                   { "answer_lost", lost } });
  if (lost) {
    aReply.drop();
  } else {
    aReply.send(200, nlohmann::json{ { "offset", offset } }.dump());
  }
  answerWaiters(aStream);
}

bool
LogService::shouldLoseAnswer()
{
  ++mAppends;
  if (mFaults.mLoseNextAnswers > 0) {
    --mFaults.mLoseNextAnswers;
    return true;
  }
  return mFaults.mLoseAnswersEvery > 0 &&
         mAppends % mFaults.mLoseAnswersEvery == 0;
}

void
LogService::read(const std::string& aStream,
                 const Pistache::Http::Request& aRequest,
                 const Reply& aReply)
{
  const std::int64_t from = queryNumber(aRequest, "from", 0);
  const std::int64_t maxBytes =
    queryNumber(aRequest, "max_bytes", kDefaultReadBytes);
  const std::int64_t waitMs =
    std::min(queryNumber(aRequest, "wait_ms", 0), kMaxWaitMs);
  const auto waiter = std::make_shared<Waiter>(
    Waiter{ aStream,
            static_cast<std::uint64_t>(std::max<std::int64_t>(from, 0)),
            static_cast<std::size_t>(std::max<std::int64_t>(maxBytes, 0)),
            aReply });
  if (waitMs <= 0 || waiter->mFrom < mStore.bounds(aStream).mNext) {
    answerRead(*waiter);
    return;
  }
  mWaiters.push_back(waiter);
  mTimers.after(Millis{ waitMs }, [this, waiter] { onWaitTimeout(waiter); });
}

void
LogService::answerRead(const Waiter& aWaiter)
{
  const Reply& reply = aWaiter.mReply;
  const LogStore::Bounds bounds = mStore.bounds(aWaiter.mStream);
  reply.header("X-Oldest-Offset", std::to_string(bounds.mOldest));
  reply.header("X-Next-Offset", std::to_string(bounds.mNext));
  const std::optional<std::string> body =
    mStore.read(aWaiter.mStream, aWaiter.mFrom, aWaiter.mMaxBytes);
  if (body) {
    reply.send(200, *body, "application/octet-stream");
  } else {
    reply.send(410, errorBody("no longer kept"));
  }
}

void
LogService::answerWaiters(const std::string& aStream)
{
  for (auto it = mWaiters.begin(); it != mWaiters.end();) {
    const Waiter& waiter = **it;
    if (waiter.mStream == aStream &&
        waiter.mFrom < mStore.bounds(aStream).mNext) {
      answerRead(waiter);
      it = mWaiters.erase(it);
    } else {
      ++it;
    }
  }
}

void
LogService::failWaiters()
{
  for (const std::shared_ptr<Waiter>& waiter : mWaiters) {
    waiter->mReply.send(503, errorBody("outage"));
  }
  mWaiters.clear();
}

void
LogService::onWaitTimeout(const std::shared_ptr<Waiter>& aWaiter)
{
  std::lock_guard<std::mutex> lock(mMutex);
  if (std::erase(mWaiters, aWaiter) > 0) {
    answerRead(*aWaiter);
  }
}

}
