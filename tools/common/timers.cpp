#include "common/timers.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace radishroad::tools {

Timers::Timers()
  : mWorkGuard(boost::asio::make_work_guard(mContext))
  , mThread([this] { mContext.run(); })
{
}

Timers::~Timers()
{
  mContext.stop();
  mThread.join();
}

void
Timers::after(Millis aDelay, std::function<void()> aFunction)
{
  if (aDelay.mCount <= 0) {
    boost::asio::post(mContext, std::move(aFunction));
    return;
  }
  const std::chrono::milliseconds delay(aDelay.mCount);
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, delay);
  timer->async_wait([timer, run = std::move(aFunction)](
                      const boost::system::error_code& aError) {
    if (!aError) {
      run();
    }
  });
}

}
