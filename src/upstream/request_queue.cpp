#include "radishroad/upstream/request_queue.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace radishroad {

namespace {

/// Weight of a new request in the mean time.
constexpr double kMeanGain = 0.1;
constexpr double kMinQuantumMs = 1;
constexpr std::size_t kMaxAccounts = 1024;
/// Requests' worth of time that a workspace can owe.
constexpr double kMaxDebtTurns = 10;

}

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

double
RequestQueue::quantum() const
{
  // The cheapest requests have every turn.
  double least = 0;
  for (const Line& line : mLines) {
    const auto it = mAccounts.find(line.mWorkspace);
    const double mean = it == mAccounts.end() ? 0 : it->second.mMean;
    if (mean > 0 && (least == 0 || mean < least)) {
      least = mean;
    }
  }
  return std::max(least, kMinQuantumMs);
}

bool
RequestQueue::takeTurn(const Line& aLine)
{
  const auto it = mAccounts.find(aLine.mWorkspace);
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
RequestQueue::pop(const Predicate& aMayGo)
{
  // Ends: each pass over a line that waits pays off part of its debt.
  std::size_t idle = 0;
  while (idle < mLines.size()) {
    const auto line = mLines.begin();
    mLines.splice(mLines.end(), mLines, line);
    std::deque<QueuedRequest>& requests = line->mRequests;
    const auto it = std::ranges::find_if(requests, aMayGo);
    if (it == requests.end()) {
      ++idle;
      continue;
    }
    idle = 0;
    if (!takeTurn(*line)) {
      continue;
    }
    QueuedRequest taken = std::move(*it);
    requests.erase(it);
    dropEmptyLines();
    return taken;
  }
  return std::nullopt;
}

void
RequestQueue::charge(const std::string& aWorkspace, Millis aTook)
{
  if (mAccounts.size() >= kMaxAccounts) {
    mAccounts.clear();
  }
  Account& account = mAccounts[aWorkspace];
  const double took = std::max(1.0, static_cast<double>(aTook.mCount));
  // The mean was charged in advance, when the request was taken.
  account.mBalance -= took - account.mMean;
  account.mBalance = std::max(account.mBalance, -kMaxDebtTurns * took);
  account.mMean += kMeanGain * (took - account.mMean);
}

std::optional<QueuedRequest>
RequestQueue::dropFromLongest()
{
  const auto longest = std::ranges::max_element(
    mLines, {}, [](const Line& aLine) { return aLine.mRequests.size(); });
  if (longest == mLines.end()) {
    return std::nullopt;
  }
  QueuedRequest dropped = std::move(longest->mRequests.back());
  longest->mRequests.pop_back();
  dropEmptyLines();
  return dropped;
}

std::vector<QueuedRequest>
RequestQueue::removeIf(const Predicate& aMatches)
{
  std::vector<QueuedRequest> removed;
  for (Line& line : mLines) {
    // Moves nothing if nothing matches, which is the usual case.
    std::deque<QueuedRequest>& requests = line.mRequests;
    const auto first = std::stable_partition(
      requests.begin(), requests.end(), std::not_fn(std::cref(aMatches)));
    std::move(first, requests.end(), std::back_inserter(removed));
    requests.erase(first, requests.end());
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

std::vector<const QueuedRequest*>
RequestQueue::list() const
{
  std::vector<const QueuedRequest*> all;
  for (const Line& line : mLines) {
    for (const QueuedRequest& request : line.mRequests) {
      all.push_back(&request);
    }
  }
  return all;
}

std::optional<QueuedRequest>
RequestQueue::take(std::uint64_t aTicket)
{
  for (Line& line : mLines) {
    const auto it =
      std::ranges::find(line.mRequests, aTicket, &QueuedRequest::mTicket);
    if (it != line.mRequests.end()) {
      QueuedRequest taken = std::move(*it);
      line.mRequests.erase(it);
      dropEmptyLines();
      return taken;
    }
  }
  return std::nullopt;
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
