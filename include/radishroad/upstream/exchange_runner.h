#ifndef RADISHROAD_UPSTREAM_EXCHANGE_RUNNER_H
#define RADISHROAD_UPSTREAM_EXCHANGE_RUNNER_H

#include "radishroad/upstream/connection_counter.h"
#include "radishroad/upstream/exchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Runs concurrent exchanges with one upstream over pooled connections (a
/// libcurl multi handle). All members but wake() are used on one thread.
class ExchangeRunner
{
public:
  using ExchangeId = std::uint64_t;
  using CompletionFn =
    std::function<void(ExchangeOutcome, CURLcode, UpstreamResponse)>;

  /// Called for each response that is not complete.
  using IncompleteFn =
    std::function<void(std::string_view aPurpose, const ResponseTrace&)>;

  ExchangeRunner();
  ~ExchangeRunner();
  ExchangeRunner(const ExchangeRunner&) = delete;
  ExchangeRunner& operator=(const ExchangeRunner&) = delete;

  void setOnIncomplete(IncompleteFn aOnIncomplete);
  /// perform() calls aOnCompletion when the exchange has ended.
  ExchangeId start(const UpstreamRequest& aRequest,
                   Exchange::MaySendFn aMaySend,
                   CompletionFn aOnCompletion);
  /// Ends an exchange without calling its CompletionFn. True if the request may
  /// have been written. Must not be called from a MaySendFn.
  bool abort(ExchangeId aId);
  /// The reader has taken aBytes of the body that the exchange streams. Must
  /// not be called from a hook of an exchange.
  void onTaken(ExchangeId aId, std::size_t aBytes, Millis aNow);
  /// Whether the reader of the body that the exchange streams has stalled.
  bool isStalled(ExchangeId aId, Millis aNow) const;
  /// Makes progress on all exchanges and completes those that have ended.
  void perform();
  /// Waits for socket activity, a wake() or the timeout.
  void poll(Millis aTimeout);
  /// Interrupts poll(). Thread-safe.
  void wake();

  std::uint32_t active() const;
  bool isOpen(ConnectionId aConnection) const;
  /// Connections of the shared pool that no exchange uses.
  std::vector<ConnectionId> idleConnections() const;
  /// Number of exchanges that have no connection yet.
  std::size_t unconnected() const;
  const ConnectionCounter& connections() const;
  /// Pooled connections that were closed because they had input or had ended
  /// when a request was about to be written.
  std::uint64_t rejectedConnections() const;

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

  // Declared before mMulti: destroying the multi handle closes sockets, which
  // calls the counter.
  ConnectionCounter mConnections;
  IncompleteFn mOnIncomplete;
  std::unique_ptr<CURLM, MultiDeleter> mMulti;
  std::unordered_map<ExchangeId, Entry> mEntries;
  std::unordered_map<CURL*, ExchangeId> mIds;
  ExchangeId mNextId = 1;
  std::uint64_t mRejectedConnections = 0;
};

}

#endif
