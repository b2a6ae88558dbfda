#ifndef RADISHROAD_UPSTREAM_REQUEST_QUEUE_H
#define RADISHROAD_UPSTREAM_REQUEST_QUEUE_H

#include "radishroad/upstream/queued_request.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishroad {

/// Requests that wait for the upstream, in one FIFO queue for each workspace.
/// The queues are served by deficit round robin, so that a workspace with many
/// requests cannot starve others. Used on the gate's thread only; the gate
/// bounds the total size.
class RequestQueue
{
public:
  using Predicate = std::function<bool(const QueuedRequest&)>;

  void pushBack(QueuedRequest aRequest);
  /// Returns a request that was taken but not run to the head of its queue.
  void pushFront(QueuedRequest aRequest);
  /// Takes the next eligible request, by deficit round robin among workspaces:
  /// a workspace with long requests is served less often.
  std::optional<QueuedRequest> pop(const Predicate& aIsEligible);
  /// Charges the workspace for the time that a request ran at the upstream.
  void charge(const std::string& aWorkspace, Millis aRunTime);
  /// Takes the newest request of the workspace with the longest queue.
  std::optional<QueuedRequest> dropFromLongest();
  /// Removes and returns every request that matches.
  std::vector<QueuedRequest> removeIf(const Predicate& aMatches);
  /// The earliest of aLatest, all deadlines, and the times after aNow before
  /// which a request may not be tried.
  Millis nextEvent(Millis aNow, Millis aLatest) const;
  /// All queued requests, queue by queue. The pointers are valid until the
  /// next change.
  std::vector<const QueuedRequest*> list() const;
  /// Removes and returns the request with this queue id.
  std::optional<QueuedRequest> take(std::uint64_t aQueueId);
  bool empty() const;
  std::size_t size() const;

private:
  struct WorkspaceQueue
  {
    std::string mWorkspace;
    std::deque<QueuedRequest> mRequests;
  };
  /// A workspace's deficit counter, in milliseconds of upstream time.
  struct Account
  {
    /// Smoothed run time of its requests; 0 while unknown.
    double mMean = 0;
    /// Time that it may still use; while negative, it misses turns.
    double mBalance = 0;
  };
  WorkspaceQueue& queueOf(const std::string& aWorkspace);
  void dropEmptyQueues();
  /// Credits one quantum. If the balance is then positive, charges the mean run
  /// time of a request and returns true; otherwise the workspace misses this
  /// turn.
  bool tryTakeTurn(const WorkspaceQueue& aQueue);
  /// Time credited for each turn.
  double quantum() const;

  /// In the order of their turns, the next one first.
  std::list<WorkspaceQueue> mWorkspaceQueues;
  std::unordered_map<std::string, Account> mAccounts;
};

}

#endif
