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

/// Requests that wait for the upstream: one line for each workspace, served in
/// turn, so that a workspace with many requests cannot keep others waiting.
/// Used on the gate's thread only; the gate bounds its size.
class RequestQueue
{
public:
  using Predicate = std::function<bool(const QueuedRequest&)>;

  void pushBack(QueuedRequest aRequest);
  /// Puts back a request that was taken and not run.
  void pushFront(QueuedRequest aRequest);
  /// The next request that may go, by deficit round robin among workspaces:
  /// one whose requests take long has its turn less often.
  std::optional<QueuedRequest> pop(const Predicate& aIsEligible);
  /// A request of the workspace has kept the upstream busy for so long.
  void charge(const std::string& aWorkspace, Millis aTook);
  /// Takes the newest request of the workspace that has most in line.
  std::optional<QueuedRequest> dropFromLongest();
  /// Takes out every request that matches.
  std::vector<QueuedRequest> removeIf(const Predicate& aMatches);
  /// Earliest deadline or end of a hold that is past aNow.
  Millis nextEvent(Millis aNow, Millis aLatest) const;
  /// All that waits, in no order of use. Valid until the next change.
  std::vector<const QueuedRequest*> list() const;
  /// Takes the request of this ticket out.
  std::optional<QueuedRequest> take(std::uint64_t aQueueId);
  bool empty() const;
  std::size_t size() const;

private:
  struct WorkspaceQueue
  {
    std::string mWorkspace;
    std::deque<QueuedRequest> mRequests;
  };
  /// What a workspace has used of the upstream, in milliseconds.
  struct Account
  {
    /// Mean time of a request; 0 while unknown.
    double mMean = 0;
    /// What it may still use; below 0 it misses turns.
    double mBalance = 0;
  };
  WorkspaceQueue& queueOf(const std::string& aWorkspace);
  void dropEmptyQueues();
  /// Pays a turn into the account; false if that does not cover its debt.
  bool tryTakeTurn(const WorkspaceQueue& aQueue);
  double quantum() const;

  /// The line whose turn is next comes first.
  std::list<WorkspaceQueue> mWorkspaceQueues;
  std::unordered_map<std::string, Account> mAccounts;
};

}

#endif
