#include "support/fake_store.h"

#include "radishroad/request/text_answer.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <utility>

namespace radishroad::test {

namespace {

constexpr std::string_view kJson = "application/json";

std::optional<std::string>
queryParameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t queryStart = aTarget.find('?');
  std::vector<std::string> pairs;
  const std::string query =
    queryStart == std::string::npos ? "" : aTarget.substr(queryStart + 1);
  boost::split(pairs, query, boost::is_any_of("&"));
  for (const std::string& pair : pairs) {
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
  }
  return std::nullopt;
}

std::string
bigEndian(std::uint64_t aValue, int aBytes)
{
  std::string text;
  for (int shift = aBytes - 1; shift >= 0; --shift) {
    text += static_cast<char>(aValue >> (8 * shift) & 0xFFU);
  }
  return text;
}

std::string
base64(const std::string& aText)
{
  std::string encoded(4 * ((aText.size() + 2) / 3), '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                  reinterpret_cast<const unsigned char*>(aText.data()),
                  static_cast<int>(aText.size()));
  return encoded;
}

}

FakeStore::FakeStore(LongPolls aLongPolls)
  : mLongPollMode(aLongPolls)
  , mServer(
      { .mListenAddress = "127.0.0.1:0", .mThreads = 1 },
      [this](const CallerRequest& aRequest, const AnswerFn& aAnswer) {
        handle(aRequest, aAnswer);
        return CancelFn();
      },
      mMetrics)
{
  BOOST_REQUIRE(mServer.start().has_value());
  mPollThread = std::thread([this] {
    constexpr std::chrono::milliseconds kInterval(5);
    while (!mStopped) {
      answerHeldPolls();
      std::this_thread::sleep_for(kInterval);
    }
  });
}

FakeStore::~FakeStore()
{
  mStopped = true;
  mPollThread.join();
  mServer.stop();
}

std::string
FakeStore::address() const
{
  return "127.0.0.1:" + std::to_string(mServer.port());
}

void
FakeStore::add(Topic& aTopic, std::string aKey, std::string aValue)
{
  const Item item{
    aTopic.mEndOffset++, std::move(aKey), std::move(aValue), false
  };
  aTopic.mItems.push_back(item);
  if (item.mValue.empty()) {
    aTopic.mNewest.erase(item.mKey);
  } else {
    aTopic.mNewest[item.mKey] = item;
  }
}

void
FakeStore::put(const std::string& aTopic,
               const std::string& aKey,
               const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  add(mTopics[aTopic], aKey, aValue);
}

void
FakeStore::putRaw(const std::string& aTopic, const std::string& aRecord)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Topic& topic = mTopics[aTopic];
  topic.mItems.push_back({ topic.mEndOffset++, {}, aRecord, true });
}

void
FakeStore::setOddItem(const std::string& aJson)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mOddItem = aJson;
}

void
FakeStore::compact(const std::string& aTopic)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Topic& topic = mTopics[aTopic];
  topic.mItems.clear();
  topic.mFirstOffset = topic.mEndOffset;
}

void
FakeStore::copy()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCopy = mTopics;
}

void
FakeStore::restore()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTopics = mCopy;
  ++mEra;
}

void
FakeStore::setLongPollsSilent(bool aSilent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAreLongPollsSilent = aSilent;
  if (aSilent) {
    std::ranges::move(mHeldPolls, std::back_inserter(mSilentPolls));
    mHeldPolls.clear();
  }
}

void
FakeStore::handle(const CallerRequest& aRequest, const AnswerFn& aAnswer)
{
  ++mCalls;
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mAreLongPollsSilent && isLongPoll(aRequest)) {
    mSilentPolls.push_back({ aRequest, aAnswer, {} });
    return;
  }
  const AppendFate fate = appendFate(aRequest);
  if (fate == AppendFate::Kept) {
    mKeptAppends.push_back({ aRequest, aAnswer, {}, true });
    return;
  }
  if (fate == AppendFate::Rejected) {
    aAnswer(complete(makeTextAnswer(503, kJson, "{}")));
    return;
  }
  const bool isSlow = mFault == Fault::Slow ||
                      (!mSlowTopic.empty() &&
                       queryParameter(aRequest.mTarget, "Topic") == mSlowTopic);
  if (isSlow) {
    mHeldPolls.push_back(
      { aRequest, aAnswer, monotonicNow() + kSlowAnswer, true });
    return;
  }
  if (mayHold(aRequest)) {
    const std::string wait =
      queryParameter(aRequest.mTarget, "WaitMs").value_or("0");
    mHeldPolls.push_back(
      { aRequest, aAnswer, monotonicNow() + Millis{ std::stol(wait) } });
    return;
  }
  aAnswer(complete(answerCall(aRequest)));
}

void
FakeStore::setSlowTopic(const std::string& aTopic)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSlowTopic = aTopic;
}

void
FakeStore::setAppendFilter(AppendFilterFn aFilter)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAppendFilter = std::move(aFilter);
}

FakeStore::AppendFate
FakeStore::appendFate(const CallerRequest& aRequest) const
{
  if (!mAppendFilter || !aRequest.mTarget.starts_with("/api/log-append")) {
    return AppendFate::Taken;
  }
  const std::string& body = aRequest.mBody;
  const std::size_t n = static_cast<unsigned char>(body.at(4));
  return mAppendFilter(body.substr(5, n), body.substr(5 + n));
}

int
FakeStore::carryOutKept()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  int carriedOut = 0;
  for (HeldPoll& kept : mKeptAppends) {
    if (std::exchange(kept.mIsDelayed, false)) {
      Topic& topic =
        mTopics[queryParameter(kept.mRequest.mTarget, "Topic").value_or("")];
      carriedOut += append(topic, kept.mRequest).status == 200 ? 1 : 0;
    }
  }
  return carriedOut;
}

bool
FakeStore::isLongPoll(const CallerRequest& aRequest)
{
  return aRequest.mTarget.starts_with("/api/log-read") &&
         queryParameter(aRequest.mTarget, "WaitMs").value_or("0") != "0";
}

bool
FakeStore::mayHold(const CallerRequest& aRequest)
{
  const std::string& target = aRequest.mTarget;
  const std::uint64_t end =
    mTopics[queryParameter(target, "Topic").value_or("")].mEndOffset;
  const bool answersReads =
    mFault == Fault::None || mFault == Fault::RejectsAppends;
  return mLongPollMode == LongPolls::Held && answersReads &&
         isLongPoll(aRequest) &&
         queryParameter(target, "From") == std::to_string(end);
}

void
FakeStore::answerHeldPolls()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Millis now = monotonicNow();
  std::erase_if(mHeldPolls, [&](const HeldPoll& aPoll) {
    const bool isDue =
      now >= aPoll.mUntil || (!aPoll.mIsDelayed && !mayHold(aPoll.mRequest));
    if (isDue) {
      aPoll.mAnswer(complete(answerCall(aPoll.mRequest)));
    }
    return isDue;
  });
}

Answer
FakeStore::complete(Answer aAnswer) const
{
  std::unique_ptr<wire::HeaderT> era = std::make_unique<wire::HeaderT>();
  era->name = "Store-Era";
  era->value = std::to_string(mEra);
  aAnswer.headers.push_back(std::move(era));
  return aAnswer;
}

Answer
FakeStore::answerCall(const CallerRequest& aRequest)
{
  if (mFault == Fault::Busy) {
    return makeTextAnswer(503, kJson, "{}");
  }
  Topic& topic =
    mTopics[queryParameter(aRequest.mTarget, "Topic").value_or("")];
  const std::string path =
    aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path == "/api/log-append") {
    return mFault == Fault::RejectsAppends ? makeTextAnswer(503, kJson, "{}")
                                           : append(topic, aRequest);
  }
  if (path != "/api/log-read" && path != "/api/log-newest") {
    return makeTextAnswer(404, kJson, "{}");
  }
  mLongPolls +=
    queryParameter(aRequest.mTarget, "WaitMs").value_or("0") != "0" ? 1 : 0;
  Answer answer =
    path == "/api/log-read" ? read(topic, aRequest) : newest(topic);
  mBytesSent += answer.body.size();
  return answer;
}

Answer
FakeStore::append(Topic& aTopic, const CallerRequest& aRequest)
{
  const std::optional<std::string> at = queryParameter(aRequest.mTarget, "At");
  if (at && std::stoull(*at) != aTopic.mEndOffset) {
    return makeTextAnswer(
      412, kJson, nlohmann::json{ { "End", aTopic.mEndOffset } }.dump());
  }
  const std::uint64_t offset = aTopic.mEndOffset;
  const std::string& body = aRequest.mBody;
  const std::size_t n = static_cast<unsigned char>(body.at(4));
  add(aTopic, body.substr(5, n), body.substr(5 + n));
  if (mFault == Fault::LosesAnswers) {
    return makeTextAnswer(502, kJson, "{}");
  }
  const nlohmann::json answer = { { "Offset", offset },
                                  { "End", aTopic.mEndOffset } };
  return makeTextAnswer(200, kJson, answer.dump());
}

Answer
FakeStore::read(const Topic& aTopic, const CallerRequest& aRequest) const
{
  const std::uint64_t from =
    std::stoull(queryParameter(aRequest.mTarget, "From").value_or("0"));
  if (from < aTopic.mFirstOffset || from > aTopic.mEndOffset) {
    return makeTextAnswer(
      410, kJson, nlohmann::json{ { "First", aTopic.mFirstOffset } }.dump());
  }
  std::string body =
    bigEndian(aTopic.mEndOffset, 8) + bigEndian(aTopic.mFirstOffset, 8);
  constexpr std::uint64_t kBytesPerKb = 1024;
  const std::uint64_t maxBytes =
    mIsOneRecordAtATime
      ? 0
      : kBytesPerKb *
          std::stoull(
            queryParameter(aRequest.mTarget, "MaxKb").value_or("1024"));
  const std::size_t headerSize = body.size();
  for (const Item& item : aTopic.mItems) {
    if (item.mOffset < from ||
        (body.size() > headerSize && body.size() >= maxBytes)) {
      continue;
    }
    if (item.mIsRaw) {
      body += bigEndian(item.mValue.size(), 4) + item.mValue;
    } else {
      body += bigEndian(1 + item.mKey.size() + item.mValue.size(), 4);
      body += bigEndian(item.mKey.size(), 1) + item.mKey + item.mValue;
    }
  }
  return makeTextAnswer(200, "application/octet-stream", body);
}

Answer
FakeStore::newest(const Topic& aTopic) const
{
  nlohmann::json items = nlohmann::json::array();
  if (!mOddItem.empty()) {
    items.push_back(nlohmann::json::parse(mOddItem));
  }
  for (const auto& [key, item] : aTopic.mNewest) {
    items.push_back({ { "Key", key },
                      { "Value", base64(item.mValue) },
                      { "Offset", item.mOffset } });
  }
  const nlohmann::json answer = { { "items", items },
                                  { "More", mEndlessPages.load() },
                                  { "End", aTopic.mEndOffset } };
  // Keys may have any bytes, and are sent as they are.
  std::string body =
    answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  boost::algorithm::replace_all(body, "\xEF\xBF\xBD", "\xFF");
  return makeTextAnswer(200, kJson, body);
}

}
