#include "radishroad/upstream/request_queue.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace radishroad {

namespace {

/// Weight of a new sample in the smoothed mean run time.
constexpr double kMeanRunTimeSmoothing = 0.1;
constexpr double kMinQuantumMs = 1;
constexpr std::size_t kMaxAccounts = 1024;
/// Limit of a workspace's debt, in multiples of the time of its last request.
constexpr double kMaxDebtRequests = 10;

}

RequestQueue::WorkspaceQueue&
RequestQueue::queueOf(const std::string& aWorkspace)
{
  for (WorkspaceQueue& queue : mWorkspaceQueues) {
    if (queue.mWorkspace == aWorkspace) {
      return queue;
    }
  }
  return mWorkspaceQueues.emplace_back(WorkspaceQueue{ aWorkspace, {} });
}

void
RequestQueue::pushBack(QueuedRequest aRequest)
{
  WorkspaceQueue& queue = queueOf(aRequest.mRequest.workspace);
  queue.mRequests.push_back(std::move(aRequest));
}

void
RequestQueue::pushFront(QueuedRequest aRequest)
{
  WorkspaceQueue& queue = queueOf(aRequest.mRequest.workspace);
  queue.mRequests.push_front(std::move(aRequest));
}

double
RequestQueue::quantum() const
{
  // The smallest mean, so that the workspace with the shortest requests misses
  // no turn.
  double least = 0;
  for (const WorkspaceQueue& queue : mWorkspaceQueues) {
    const auto it = mAccounts.find(queue.mWorkspace);
    const double mean = it == mAccounts.end() ? 0 : it->second.mMean;
    if (mean > 0 && (least == 0 || mean < least)) {
      least = mean;
    }
  }
  return std::max(least, kMinQuantumMs);
}

bool
RequestQueue::tryTakeTurn(const WorkspaceQueue& aQueue)
{
  const auto it = mAccounts.find(aQueue.mWorkspace);
  if (it == mAccounts.end()) {
    return true;
  }
  Account& account = it->second;
  const double turn = quantum();
  account.mBalance = std::min(account.mBalance + turn, turn);
  if (account.mBalance <= 0) {
    return false;
  }
  account.mBalance -= account.mMean;
  return true;
}

std::optional<QueuedRequest>
RequestQueue::pop(const Predicate& aIsEligible)
{
  // Terminates: each pass over a queue that missed its turn reduces its debt.
  std::size_t ineligible = 0;
  while (ineligible < mWorkspaceQueues.size()) {
    const auto queue = mWorkspaceQueues.begin();
    mWorkspaceQueues.splice(mWorkspaceQueues.end(), mWorkspaceQueues, queue);
    std::deque<QueuedRequest>& requests = queue->mRequests;
    const auto it = std::ranges::find_if(requests, aIsEligible);
    if (it == requests.end()) {
      ++ineligible;
      continue;
    }
    ineligible = 0;
    if (!tryTakeTurn(*queue)) {
      continue;
    }
    QueuedRequest taken = std::move(*it);
    requests.erase(it);
    dropEmptyQueues();
    return taken;
  }
  return std::nullopt;
}

void
RequestQueue::charge(const std::string& aWorkspace, Millis aRunTime)
{
  if (mAccounts.size() >= kMaxAccounts) {
    mAccounts.clear();
  }
  Account& account = mAccounts[aWorkspace];
  const double runTime = std::max(1.0, static_cast<double>(aRunTime.mCount));
  // tryTakeTurn() charged the mean when the request was taken.
  account.mBalance -= runTime - account.mMean;
  account.mBalance = std::max(account.mBalance, -kMaxDebtRequests * runTime);
  account.mMean += kMeanRunTimeSmoothing * (runTime - account.mMean);
}

std::optional<QueuedRequest>
RequestQueue::dropFromLongest()
{
  const auto longest = std::ranges::max_element(
    mWorkspaceQueues, {}, [](const WorkspaceQueue& aQueue) {
      return aQueue.mRequests.size();
    });
  if (longest == mWorkspaceQueues.end()) {
    return std::nullopt;
  }
  QueuedRequest dropped = std::move(longest->mRequests.back());
  longest->mRequests.pop_back();
  dropEmptyQueues();
  return dropped;
}

std::vector<QueuedRequest>
RequestQueue::removeIf(const Predicate& aMatches)
{
  std::vector<QueuedRequest> removed;
  for (WorkspaceQueue& queue : mWorkspaceQueues) {
    // Moves no request if none matches, which is the usual case.
    std::deque<QueuedRequest>& requests = queue.mRequests;
    const auto first = std::stable_partition(
      requests.begin(), requests.end(), std::not_fn(std::cref(aMatches)));
    std::move(first, requests.end(), std::back_inserter(removed));
    requests.erase(first, requests.end());
  }
  dropEmptyQueues();
  return removed;
}

void
RequestQueue::dropEmptyQueues()
{
  mWorkspaceQueues.remove_if(
    [](const WorkspaceQueue& aQueue) { return aQueue.mRequests.empty(); });
}

Millis
RequestQueue::nextEvent(Millis aNow, Millis aLatest) const
{
  Millis next = aLatest;
  for (const WorkspaceQueue& queue : mWorkspaceQueues) {
    for (const QueuedRequest& request : queue.mRequests) {
      next = std::min(next, request.mDeadline);
      if (request.mNotBefore > aNow) {
        next = std::min(next, request.mNotBefore);
      }
    }
  }
  return next;
}

std::vector<const QueuedRequest*>
RequestQueue::list() const
{
  std::vector<const QueuedRequest*> all;
  for (const WorkspaceQueue& queue : mWorkspaceQueues) {
    for (const QueuedRequest& request : queue.mRequests) {
      all.push_back(&request);
    }
  }
  return all;
}

std::optional<QueuedRequest>
RequestQueue::take(std::uint64_t aQueueId)
{
  for (WorkspaceQueue& queue : mWorkspaceQueues) {
    const auto it =
      std::ranges::find(queue.mRequests, aQueueId, &QueuedRequest::mQueueId);
    if (it != queue.mRequests.end()) {
      QueuedRequest taken = std::move(*it);
      queue.mRequests.erase(it);
      dropEmptyQueues();
      return taken;
    }
  }
  return std::nullopt;
}

bool
RequestQueue::empty() const
{
  return mWorkspaceQueues.empty();
}

std::size_t
RequestQueue::size() const
{
  std::size_t n = 0;
  for (const WorkspaceQueue& queue : mWorkspaceQueues) {
    n += queue.mRequests.size();
  }
  return n;
}

}
