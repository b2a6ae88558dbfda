#include "radishroad/daemon/control_loop.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(control_loop)

BOOST_AUTO_TEST_CASE(
  scheduled_tick_runs_immediately_and_others_after_their_interval)
{
  constexpr std::size_t kCapacity = 8;
  constexpr Millis kLongInterval = 3600_s;
  ControlLoop loop(kCapacity);
  // Accessed on the loop's thread only until the loop is stopped.
  int ticks = 0;
  int ticksSeen = 0;
  std::promise<void> secondTick;
  loop.start([&] {
    if (++ticks == 2) {
      secondTick.set_value();
    }
    return kLongInterval;
  });
  loop.post([&] { ticksSeen = ticks; });
  loop.post([&loop] { loop.scheduleImmediateTick(); });
  secondTick.get_future().wait();
  loop.stop();
  BOOST_TEST(ticksSeen == 1);
  BOOST_TEST(ticks == 2);
}

BOOST_AUTO_TEST_SUITE_END()
