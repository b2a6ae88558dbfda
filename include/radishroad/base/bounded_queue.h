#ifndef RADISHROAD_BASE_BOUNDED_QUEUE_H
#define RADISHROAD_BASE_BOUNDED_QUEUE_H

#include "radishroad/base/millis.h"

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace radishroad {

/// A bounded thread-safe queue for any number of producers and consumers.
template<typename T>
class BoundedQueue
{
public:
  explicit BoundedQueue(std::size_t aCapacity)
    : mItems(aCapacity)
  {
  }

  /// Returns false and leaves the item untouched if the queue is full or
  /// closed.
  bool tryPush(T&& aItem)
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      if (mClosed || mItems.full()) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mNotEmpty.notify_one();
    return true;
  }

  /// Waits for an item. Returns nullopt if the timeout expires, or if the queue
  /// is closed and empty.
  std::optional<T> pop(Millis aTimeout)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mNotEmpty.wait_for(lock,
                       std::chrono::milliseconds(aTimeout.mCount),
                       [this] { return mClosed || !mItems.empty(); });
    if (mItems.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(mItems.front()));
    mItems.pop_front();
    return item;
  }

  std::size_t size() const
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mItems.size();
  }

  /// Rejects further items and wakes all consumers.
  void close()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mClosed = true;
    }
    mNotEmpty.notify_all();
  }

private:
  mutable std::mutex mMutex;
  std::condition_variable mNotEmpty;
  boost::circular_buffer<T> mItems;
  bool mClosed = false;
};

}

#endif
