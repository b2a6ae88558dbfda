#ifndef RADISHROAD_UPSTREAM_REQUEST_QUEUE_H
#define RADISHROAD_UPSTREAM_REQUEST_QUEUE_H

#include "radishroad/upstream/queued_request.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
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
  /// The next request that may go, in turn among workspaces.
  std::optional<QueuedRequest> pop(const Predicate& aMayGo);
  /// Takes out every request that matches.
  std::vector<QueuedRequest> removeIf(const Predicate& aMatches);
  /// Earliest deadline or end of a hold that is past aNow.
  Millis nextEvent(Millis aNow, Millis aLatest) const;
  bool empty() const;
  std::size_t size() const;

private:
  struct Line
  {
    std::string mWorkspace;
    std::deque<QueuedRequest> mRequests;
  };
  Line& lineOf(const std::string& aWorkspace);
  void dropEmptyLines();

  /// The line whose turn is next comes first.
  std::list<Line> mLines;
};

}

#endif
