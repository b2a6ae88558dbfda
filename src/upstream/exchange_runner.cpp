#include "radishroad/upstream/exchange_runner.h"

#include <algorithm>

namespace radishroad {

namespace {

/// Maximum number of idle connections that are kept open.
constexpr long kMaxPooledConnections = 128;

/// Initializes libcurl's global state once; it is never cleaned up.
CURLM*
makeMulti()
{
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  return kInitialized == CURLE_OK ? curl_multi_init() : nullptr;
}

}

ExchangeRunner::ExchangeRunner()
  : mMulti(makeMulti())
{
  CURLM* multi = mMulti.get();
  curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxPooledConnections);
}

ExchangeRunner::~ExchangeRunner()
{
  for (const auto& [id, entry] : mEntries) {
    curl_multi_remove_handle(mMulti.get(), entry.mExchange->handle());
  }
}

void
ExchangeRunner::setOnIncomplete(IncompleteFn aOnIncomplete)
{
  mOnIncomplete = std::move(aOnIncomplete);
}

ExchangeRunner::ExchangeId
ExchangeRunner::start(const UpstreamRequest& aRequest,
                      Exchange::MaySendFn aMaySend,
                      CompletionFn aOnCompletion)
{
  auto exchange =
    std::make_unique<Exchange>(aRequest, std::move(aMaySend), mConnections);
  CURL* handle = exchange->handle();
  const ExchangeId id = mNextId++;
  mEntries.emplace(id, Entry{ std::move(exchange), std::move(aOnCompletion) });
  mIds.emplace(handle, id);
  curl_multi_add_handle(mMulti.get(), handle);
  return id;
}

bool
ExchangeRunner::abort(ExchangeId aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return false;
  }
  const bool sent = it->second.mExchange->sent();
  CURL* handle = it->second.mExchange->handle();
  curl_multi_remove_handle(mMulti.get(), handle);
  mIds.erase(handle);
  mEntries.erase(it);
  return sent;
}

void
ExchangeRunner::onTaken(ExchangeId aId, std::size_t aBytes, Millis aNow)
{
  const auto it = mEntries.find(aId);
  if (it != mEntries.end() && it->second.mExchange->onTaken(aBytes, aNow)) {
    it->second.mExchange->resume();
  }
}

bool
ExchangeRunner::isStalled(ExchangeId aId, Millis aNow) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mExchange->isStalled(aNow);
}

void
ExchangeRunner::perform()
{
  int running = 0;
  curl_multi_perform(mMulti.get(), &running);
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(mMulti.get(), &left)) {
    if (message->msg == CURLMSG_DONE) {
      finish(message->easy_handle, message->data.result);
    }
  }
}

void
ExchangeRunner::finish(CURL* aHandle, CURLcode aCode)
{
  const auto id = mIds.find(aHandle);
  if (id == mIds.end()) {
    return;
  }
  const auto it = mEntries.find(id->second);
  if (it->second.mExchange->needsNewConnection()) {
    ++mRejectedConnections;
    curl_multi_remove_handle(mMulti.get(), aHandle);
    it->second.mExchange->useNewConnection();
    curl_multi_add_handle(mMulti.get(), aHandle);
    return;
  }
  Entry entry = std::move(it->second);
  mEntries.erase(it);
  mIds.erase(id);
  curl_multi_remove_handle(mMulti.get(), aHandle);
  const ExchangeOutcome outcome = entry.mExchange->outcome(aCode);
  UpstreamResponse& response = entry.mExchange->response();
  response.mTrace = entry.mExchange->trace(aCode);
  if (outcome == ExchangeOutcome::Incomplete && mOnIncomplete) {
    mOnIncomplete(entry.mExchange->purpose(), response.mTrace);
  }
  entry.mOnCompletion(outcome, aCode, std::move(response));
}

void
ExchangeRunner::poll(Millis aTimeout)
{
  curl_multi_poll(
    mMulti.get(), nullptr, 0, static_cast<int>(aTimeout.mCount), nullptr);
}

void
ExchangeRunner::wake()
{
  curl_multi_wakeup(mMulti.get());
}

std::uint32_t
ExchangeRunner::active() const
{
  return static_cast<std::uint32_t>(mEntries.size());
}

bool
ExchangeRunner::isOpen(ConnectionId aConnection) const
{
  return mConnections.contains(aConnection);
}

std::vector<ConnectionId>
ExchangeRunner::idleConnections() const
{
  std::vector<ConnectionId> idle = mConnections.sharedIds();
  std::erase_if(idle, [this](ConnectionId aConnection) {
    return std::ranges::any_of(mEntries, [aConnection](const auto& aEntry) {
      return aEntry.second.mExchange->connection() == aConnection;
    });
  });
  return idle;
}

std::size_t
ExchangeRunner::unconnected() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEntries, [](const auto& aEntry) {
      return aEntry.second.mExchange->connection() == 0;
    }));
}

const ConnectionCounter&
ExchangeRunner::connections() const
{
  return mConnections;
}

std::uint64_t
ExchangeRunner::rejectedConnections() const
{
  return mRejectedConnections;
}

}
