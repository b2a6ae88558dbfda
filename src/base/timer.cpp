#include "radishroad/base/timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace radishroad {

struct Timer::Impl
{
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  std::thread mThread{ [this] { mContext.run(); } };
};

Timer::Timer()
  : mImpl(std::make_unique<Impl>())
{
}

Timer::~Timer()
{
  stop();
}

void
Timer::after(Millis aDelay, std::function<void()> aFunction)
{
  if (aDelay <= Millis{}) {
    boost::asio::post(mImpl->mContext, std::move(aFunction));
    return;
  }
  std::shared_ptr<boost::asio::steady_timer> timer =
    std::make_shared<boost::asio::steady_timer>(
      mImpl->mContext, std::chrono::milliseconds(aDelay.mCount));
  timer->async_wait([timer, run = std::move(aFunction)](
                      const boost::system::error_code& aError) {
    if (!aError) {
      run();
    }
  });
}

void
Timer::stop()
{
  mImpl->mContext.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

}
