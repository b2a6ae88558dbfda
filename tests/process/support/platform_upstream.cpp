#include "support/platform_upstream.h"

#include "support/raw_client.h"

#include <algorithm>
#include <chrono>

namespace radishroad::test {

namespace {

constexpr std::size_t kKeyCount = 65536;
constexpr std::chrono::milliseconds kReportInterval(300);
/// A report while released keys still have running work.
constexpr std::chrono::milliseconds kReleaseReportInterval(50);
constexpr Millis kDefaultRunTime{ 15 };
constexpr std::size_t kBodyBytes = 600;

UpstreamAnswer
bare(const std::string& aStatus)
{
  return { aStatus, {}, {}, false };
}

FakeUpstream::Reply
plainReply(const UpstreamAnswer& aAnswer)
{
  return { frame(aAnswer, Framing::Length) };
}

std::string
headerOf(const FakeUpstream::Request& aRequest, const std::string& aName)
{
  const auto it = aRequest.mHeaders.find(aName);
  return it == aRequest.mHeaders.end() ? std::string() : it->second;
}

}

std::string
frame(const UpstreamAnswer& aAnswer, Framing aFraming)
{
  std::string bytes = "HTTP/1.1 " + aAnswer.mStatus + "\r\n";
  for (const std::string& header : aAnswer.mHeaders) {
    bytes += header + "\r\n";
  }
  switch (aFraming) {
    case Framing::Length:
      return bytes + "Content-Length: " + std::to_string(aAnswer.mBody.size()) +
             "\r\n\r\n" + aAnswer.mBody;
    case Framing::Chunked:
      break;
    case Framing::Connection:
      return bytes + "Connection: close\r\n\r\n" + aAnswer.mBody;
  }
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunkBytes = 250;
  for (std::size_t at = 0; at < aAnswer.mBody.size(); at += kChunkBytes) {
    const std::string chunk = aAnswer.mBody.substr(at, kChunkBytes);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
    bytes += size.data() + chunk + "\r\n";
  }
  return bytes + "0\r\n\r\n";
}

std::string
PlatformUpstream::bodyOf(const std::string& aRequestId)
{
  std::string body;
  while (body.size() < kBodyBytes) {
    body += aRequestId + ";";
  }
  return body;
}

PlatformUpstream::PlatformUpstream(Options aOptions)
  : mOptions(std::move(aOptions))
  , mKeys(kKeyCount)
  , mBornMs(wallNow().mCount)
  , mServer([this](const Request& aRequest) { return handle(aRequest); })
  , mReporter([this] { reportUntilStopped(); })
{
}

PlatformUpstream::~PlatformUpstream()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopped = true;
  }
  mChanged.notify_all();
  mReporter.join();
  for (std::thread& order : mLateOrders) {
    order.join();
  }
}

void
PlatformUpstream::setOrderFate(OrderFateFn aFate)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mOrderFate = std::move(aFate);
}

void
PlatformUpstream::setDraining(bool aIsDraining)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsDraining = aIsDraining;
}

std::vector<PlatformRun>
PlatformUpstream::runs() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRuns;
}

PlatformUpstream::Reply
PlatformUpstream::handle(const Request& aRequest)
{
  if (aRequest.mTarget == "/healthz") {
    UpstreamAnswer health;
    health.mHeaders = { "X-Instance-Id: i-" + mOptions.mVm };
    const std::string id = headerOf(aRequest, "x-request-id");
    if (!id.empty()) {
      health.mHeaders.push_back("X-Request-Id: " + id);
    }
    return plainReply(health);
  }
  const bool isOrder =
    aRequest.mTarget == "/api/grant" || aRequest.mTarget == "/api/release";
  return isOrder ? takeOrder(aRequest) : run(aRequest);
}

PlatformUpstream::Reply
PlatformUpstream::takeOrder(const Request& aRequest)
{
  const Millis now = monotonicNow();
  OrderFateFn fateOf;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    fateOf = mOrderFate;
  }
  const OrderFate fate = fateOf ? fateOf(aRequest.mTarget) : OrderFate{};
  if (fate.mCarriedOutAfter > Millis{}) {
    carryOutLate(aRequest, now, fate.mCarriedOutAfter);
    return {};
  }
  const nlohmann::json order = nlohmann::json::parse(aRequest.mBody);
  const Reply reply =
    aRequest.mTarget == "/api/grant" ? grant(order, now) : release(order);
  return fate.mIsAnswered ? reply : Reply{};
}

void
PlatformUpstream::carryOutLate(const Request& aRequest,
                               Millis aArrivedAt,
                               Millis aAfter)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLateOrders.emplace_back([this, aRequest, aArrivedAt, aAfter] {
    {
      std::unique_lock<std::mutex> stopLock(mMutex);
      const bool isStopped =
        mChanged.wait_for(stopLock,
                          std::chrono::milliseconds(aAfter.mCount),
                          [this] { return mStopped; });
      if (isStopped) {
        return;
      }
    }
    const nlohmann::json order = nlohmann::json::parse(aRequest.mBody);
    aRequest.mTarget == "/api/grant" ? grant(order, aArrivedAt)
                                     : release(order);
  });
}

PlatformUpstream::Reply
PlatformUpstream::grant(const nlohmann::json& aOrder, Millis aArrivedAt)
{
  const std::uint64_t epoch = aOrder.at("fence");
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::size_t last = aOrder.at("To");
  for (std::size_t n = aOrder.at("From"); n <= last; ++n) {
    if (mKeys.at(n).mHighestEpoch > epoch) {
      return plainReply(bare("409 Conflict"));
    }
  }
  const Millis until =
    aArrivedAt + Millis{ aOrder.at("HoldMs").get<std::int64_t>() };
  for (std::size_t n = aOrder.at("From"); n <= last; ++n) {
    Key& key = mKeys[n];
    key = { epoch, epoch, until, key.mRunning, until };
  }
  if (mOptions.mHolds && until > monotonicNow()) {
    mOptions.mHolds->onGranted(
      mOptions.mVm, aOrder.at("From"), aOrder.at("To"), epoch, until);
  }
  return plainReply(bare("200 OK"));
}

PlatformUpstream::Reply
PlatformUpstream::release(const nlohmann::json& aOrder)
{
  const std::size_t first = aOrder.at("From");
  const std::size_t last = aOrder.at("To");
  std::unique_lock<std::mutex> lock(mMutex);
  const auto range = [&] {
    return std::span(mKeys).subspan(first, last - first + 1);
  };
  for (Key& key : range()) {
    key.mHeldUntil = {};
  }
  mChanged.wait(lock, [&] {
    return std::ranges::all_of(
      range(), [](const Key& aKey) { return aKey.mRunning == 0; });
  });
  if (mOptions.mHolds) {
    mOptions.mHolds->onReleased(
      mOptions.mVm, aOrder.at("From"), aOrder.at("To"));
  }
  UpstreamAnswer answer;
  answer.mHeaders = { "X-Handover: " + mOptions.mTokenPrefix +
                      std::to_string(first) };
  return plainReply(answer);
}

PlatformUpstream::Reply
PlatformUpstream::run(const Request& aRequest)
{
  const std::string id = headerOf(aRequest, "x-request-id");
  const std::string target = headerOf(aRequest, "x-target-instance");
  const std::string keyText = headerOf(aRequest, "x-shard-key");
  UpstreamAnswer answer;
  answer.mHeaders = { "X-Request-Id: " + id };
  std::unique_lock<std::mutex> lock(mMutex);
  Key* key = mOptions.mKeyed ? &mKeys.at(std::stoul("0" + keyText)) : nullptr;
  const bool isOther = !target.empty() && target != "i-" + mOptions.mVm;
  const bool isNotHeld = key != nullptr && key->mHeldUntil <= monotonicNow();
  const bool isRefused = mOptions.mRefuses && mOptions.mRefuses(id);
  if (isOther || isNotHeld || isRefused) {
    lock.unlock();
    const bool isFull = !isOther && key == nullptr;
    answer.mStatus =
      isFull ? "503 Service Unavailable" : "421 Misdirected Request";
    answer.mHeaders.emplace_back("X-Not-Executed: 1");
    answer.mHeaders.push_back("X-Instance-Id: i-" + mOptions.mVm);
    return mOptions.mSend ? mOptions.mSend(answer) : plainReply(answer);
  }
  const bool isTimed = mOptions.mRunTime != nullptr;
  ++mActiveRuns;
  const int beyond =
    mOptions.mSlowsBeyond > 0 ? mActiveRuns - mOptions.mSlowsBeyond : 0;
  const Millis usualTime =
    isTimed ? mOptions.mRunTime(aRequest.mTarget) : kDefaultRunTime;
  const Millis runTime = usualTime * (1 + std::max(0, beyond));
  const Millis deadline =
    isTimed ? Millis{ std::stoll("0" + headerOf(aRequest, "x-deadline-ms")) }
            : Millis::max();
  mRuns.push_back({ id, mOptions.mVm, monotonicNow(), runTime, deadline });
  if (key != nullptr) {
    ++key->mRunning;
  }
  const bool isHeld =
    work(lock, key, monotonicNow() + std::min(runTime, deadline));
  --mActiveRuns;
  if (key != nullptr) {
    --key->mRunning;
  }
  lock.unlock();
  mChanged.notify_all();
  answer.mIsRun = true;
  answer.mHeaders.push_back("X-Upstream-Signature: s-" + id);
  answer.mHeaders.push_back("X-Upstream-Load: 1,0," +
                            std::to_string(mOptions.mSlots));
  if (!isHeld) {
    answer.mStatus = "500 Internal Server Error";
  } else if (runTime > deadline) {
    answer.mStatus = "504 Gateway Timeout";
  }
  answer.mBody = bodyOf(id);
  return mOptions.mSend ? mOptions.mSend(answer) : plainReply(answer);
}

bool
PlatformUpstream::work(std::unique_lock<std::mutex>& aLock,
                       const Key* aKey,
                       Millis aEnd)
{
  const bool endsWithHold = mOptions.mEndsWorkWithHold && aKey != nullptr;
  while (true) {
    const Millis now = monotonicNow();
    if (now >= aEnd) {
      return true;
    }
    if (endsWithHold && now >= aKey->mWorkUntil) {
      return false;
    }
    // A hold may be renewed meanwhile.
    const Millis until = endsWithHold ? std::min(aEnd, aKey->mWorkUntil) : aEnd;
    aLock.unlock();
    std::this_thread::sleep_for(
      std::chrono::milliseconds((until - now).mCount));
    aLock.lock();
  }
}

void
PlatformUpstream::reportUntilStopped()
{
  while (true) {
    const bool acknowledged = report();
    std::unique_lock<std::mutex> lock(mMutex);
    const bool isReleasing = acknowledged && !mReleasing.empty();
    if (mChanged.wait_for(
          lock, isReleasing ? kReleaseReportInterval : kReportInterval, [this] {
            return mStopped;
          })) {
      return;
    }
  }
}

bool
PlatformUpstream::report()
{
  const std::string body = reportBody().dump();
  const Millis sentAt = monotonicNow();
  try {
    RawClient client(mOptions.mReportPort, mOptions.mReportIp);
    client.send("POST /api/rpc?call=instances.heartbeat&of=i-" + mOptions.mVm +
                " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::optional<RawResponse> answer = client.receive();
    if (!answer || answer->mStatus != 200) {
      return false;
    }
    applyReportAnswer(nlohmann::json::parse(answer->mBody), sentAt);
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

nlohmann::json
PlatformUpstream::reportBody()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  collectReleased();
  nlohmann::json body = { { "Address", address() },
                          { "born", mBornMs },
                          { "Info",
                            { { "Service", mOptions.mService },
                              { "Version", "v1" },
                              { "Zone", mOptions.mZone },
                              { "Slots", mOptions.mSlots } } },
                          { "Status",
                            { { "State", mIsDraining ? "draining" : "ready" },
                              { "Seq", ++mSequence },
                              { "WarmupLeftMs", 0 } } } };
  if (mOptions.mGrantsByReport) {
    body["Holds"] = heldRows(monotonicNow());
    body["Released"] = mReleased;
  }
  return body;
}

nlohmann::json
PlatformUpstream::heldRows(Millis aNow) const
{
  nlohmann::json rows = nlohmann::json::array();
  for (std::size_t n = 0; n < mKeys.size(); ++n) {
    const Key& key = mKeys[n];
    if (key.mHeldUntil <= aNow && key.mRunning == 0) {
      continue;
    }
    const bool extends =
      !rows.empty() && rows.back()[1] == n - 1 && rows.back()[2] == key.mEpoch;
    if (extends) {
      rows.back()[1] = n;
    } else {
      rows.push_back({ n, n, key.mEpoch });
    }
  }
  return rows;
}

void
PlatformUpstream::collectReleased()
{
  std::erase_if(mReleasing, [this](const nlohmann::json& aRow) {
    const std::size_t first = aRow[0];
    const std::size_t last = aRow[1];
    const bool isIdle =
      std::ranges::all_of(std::span(mKeys).subspan(first, last - first + 1),
                          [](const Key& aKey) { return aKey.mRunning == 0; });
    if (isIdle) {
      mReleased.push_back({ first, last, "t" + std::to_string(first) });
    }
    return isIdle;
  });
}

void
PlatformUpstream::applyReportAnswer(const nlohmann::json& aAnswer,
                                    Millis aSentAt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mReleased.clear();
  if (!aAnswer.contains("Holds")) {
    return;
  }
  const Millis now = monotonicNow();
  const Millis until =
    aSentAt + Millis{ aAnswer.at("HoldMs").get<std::int64_t>() };
  std::vector<bool> kept(mKeys.size());
  for (const nlohmann::json& row : aAnswer.at("Holds")) {
    const std::size_t last = row[1];
    const std::uint64_t epoch = row[2];
    for (std::size_t n = row[0]; n <= last; ++n) {
      Key& key = mKeys.at(n);
      if (key.mHighestEpoch <= epoch) {
        key = { epoch, epoch, until, key.mRunning, until };
        kept[n] = true;
      }
    }
  }
  for (std::size_t n = 0; n < mKeys.size(); ++n) {
    if (kept[n] || mKeys[n].mHeldUntil <= now) {
      continue;
    }
    mKeys[n].mHeldUntil = {};
    const bool extends = !mReleasing.empty() && mReleasing.back()[1] == n - 1;
    if (extends) {
      mReleasing.back()[1] = n;
    } else {
      mReleasing.push_back({ n, n });
    }
  }
}

}
