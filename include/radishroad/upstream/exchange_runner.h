#ifndef RADISHROAD_UPSTREAM_EXCHANGE_RUNNER_H
#define RADISHROAD_UPSTREAM_EXCHANGE_RUNNER_H

#include "radishroad/upstream/connection_counter.h"
#include "radishroad/upstream/exchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace radishroad {

/// Runs exchanges with one upstream at the same time over pooled connections
/// (a libcurl multi handle). All members but wake() belong to one thread.
class ExchangeRunner
{
public:
  using ExchangeId = std::uint64_t;
  using CompletionFn =
    std::function<void(ExchangeOutcome, CURLcode, UpstreamResponse)>;

  ExchangeRunner();
  ~ExchangeRunner();
  ExchangeRunner(const ExchangeRunner&) = delete;
  ExchangeRunner& operator=(const ExchangeRunner&) = delete;

  /// aOnCompletion is called from perform() when the exchange ended.
  ExchangeId start(const UpstreamRequest& aRequest,
                   Exchange::MaySendFn aMaySend,
                   CompletionFn aOnCompletion);
  /// Ends an exchange without a call of its CompletionFn. True if the request
  /// may have been written. Not to be called from a MaySendFn.
  bool abort(ExchangeId aId);
  /// Moves all exchanges on and reports those that ended.
  void perform();
  /// Waits for traffic, a wake() or the time given.
  void poll(Millis aTimeout);
  /// Any thread.
  void wake();

  std::uint32_t active() const;
  const ConnectionCounter& connections() const;

private:
  struct Entry
  {
    std::unique_ptr<Exchange> mExchange;
    CompletionFn mOnCompletion;
  };
  struct MultiDeleter
  {
    void operator()(CURLM* aMulti) const { curl_multi_cleanup(aMulti); }
  };
  void finish(CURL* aHandle, CURLcode aCode);

  // Sockets are closed while the multi handle goes, so the counter stays.
  ConnectionCounter mConnections;
  std::unique_ptr<CURLM, MultiDeleter> mMulti;
  std::unordered_map<ExchangeId, Entry> mEntries;
  std::unordered_map<CURL*, ExchangeId> mIds;
  ExchangeId mNextId = 1;
};

}

#endif
