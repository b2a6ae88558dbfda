#include "radishroad/upstream/request_queue.h"

#include <algorithm>

namespace radishroad {

RequestQueue::Line&
RequestQueue::lineOf(const std::string& aWorkspace)
{
  for (Line& line : mLines) {
    if (line.mWorkspace == aWorkspace) {
      return line;
    }
  }
  return mLines.emplace_back(Line{ aWorkspace, {} });
}

void
RequestQueue::pushBack(QueuedRequest aRequest)
{
  Line& line = lineOf(aRequest.mRequest.workspace);
  line.mRequests.push_back(std::move(aRequest));
}

void
RequestQueue::pushFront(QueuedRequest aRequest)
{
  Line& line = lineOf(aRequest.mRequest.workspace);
  line.mRequests.push_front(std::move(aRequest));
}

std::optional<QueuedRequest>
RequestQueue::pop(const Predicate& aMayGo)
{
  for (auto line = mLines.begin(); line != mLines.end(); ++line) {
    std::deque<QueuedRequest>& requests = line->mRequests;
    const auto it = std::ranges::find_if(requests, aMayGo);
    if (it == requests.end()) {
      continue;
    }
    QueuedRequest taken = std::move(*it);
    requests.erase(it);
    // Its turn is over; an empty line goes and comes back at the end.
    mLines.splice(mLines.end(), mLines, line);
    dropEmptyLines();
    return taken;
  }
  return std::nullopt;
}

std::vector<QueuedRequest>
RequestQueue::removeIf(const Predicate& aMatches)
{
  std::vector<QueuedRequest> removed;
  for (Line& line : mLines) {
    std::deque<QueuedRequest> kept;
    for (QueuedRequest& request : line.mRequests) {
      if (aMatches(request)) {
        removed.push_back(std::move(request));
      } else {
        kept.push_back(std::move(request));
      }
    }
    line.mRequests = std::move(kept);
  }
  dropEmptyLines();
  return removed;
}

void
RequestQueue::dropEmptyLines()
{
  mLines.remove_if([](const Line& aLine) { return aLine.mRequests.empty(); });
}

Millis
RequestQueue::nextEvent(Millis aNow, Millis aLatest) const
{
  Millis next = aLatest;
  for (const Line& line : mLines) {
    for (const QueuedRequest& request : line.mRequests) {
      next = std::min(next, request.mDeadline);
      if (request.mNotBefore > aNow) {
        next = std::min(next, request.mNotBefore);
      }
    }
  }
  return next;
}

bool
RequestQueue::empty() const
{
  return mLines.empty();
}

std::size_t
RequestQueue::size() const
{
  std::size_t n = 0;
  for (const Line& line : mLines) {
    n += line.mRequests.size();
  }
  return n;
}

}
