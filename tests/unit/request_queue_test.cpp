#include "radishroad/upstream/request_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

QueuedRequest
makeQueued(const std::string& aWorkspace)
{
  QueuedRequest queued;
  queued.mRequest.workspace = aWorkspace;
  queued.mDeadline = 10_s;
  return queued;
}

bool
always(const QueuedRequest&)
{
  return true;
}

}

BOOST_AUTO_TEST_SUITE(request_queue)

BOOST_AUTO_TEST_CASE(workspaces_take_turns)
{
  RequestQueue queue;
  for (int i = 0; i < 100; ++i) {
    queue.pushBack(makeQueued("large"));
  }
  queue.pushBack(makeQueued("small"));
  queue.pushBack(makeQueued("small"));
  std::map<std::string, int> taken;
  for (int i = 0; i < 4; ++i) {
    ++taken[queue.pop(always)->mRequest.workspace];
  }
  BOOST_TEST(taken["small"] == 2);
}

BOOST_AUTO_TEST_CASE(remove_if_tests_each_request_once_and_keeps_the_order)
{
  RequestQueue queue;
  for (int i = 0; i < 6; ++i) {
    QueuedRequest queued = makeQueued("w");
    queued.mDeadline = Millis{ i };
    queue.pushBack(std::move(queued));
  }
  int asked = 0;
  const std::vector<QueuedRequest> removed =
    queue.removeIf([&asked](const QueuedRequest& aQueued) {
      ++asked;
      return aQueued.mDeadline.mCount % 2 == 1;
    });
  BOOST_TEST(asked == 6);
  BOOST_REQUIRE(removed.size() == 3U);
  BOOST_TEST(removed[0].mDeadline.mCount == 1);
  BOOST_TEST(removed[2].mDeadline.mCount == 5);
  BOOST_TEST(queue.pop(always)->mDeadline.mCount == 0);
  BOOST_TEST(queue.pop(always)->mDeadline.mCount == 2);
  BOOST_TEST(queue.pop(always)->mDeadline.mCount == 4);
  BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(workspace_with_long_requests_has_fewer_turns)
{
  RequestQueue queue;
  std::map<std::string, Millis> busy;
  for (int i = 0; i < 2000; ++i) {
    queue.pushBack(makeQueued("long"));
    queue.pushBack(makeQueued("short"));
  }
  for (int i = 0; i < 2000; ++i) {
    const std::string workspace = queue.pop(always)->mRequest.workspace;
    const Millis took = workspace == "long" ? 40_ms : 10_ms;
    busy[workspace] += took;
    queue.charge(workspace, took);
  }
  const double share = static_cast<double>(busy["long"].mCount) /
                       static_cast<double>(busy["short"].mCount);
  // Without the deficit counter it would be 4.0.
  BOOST_TEST(share < 2.0);
}

BOOST_AUTO_TEST_CASE(drops_from_the_longest_workspace_queue)
{
  RequestQueue queue;
  queue.pushBack(makeQueued("small"));
  for (int i = 0; i < 5; ++i) {
    queue.pushBack(makeQueued("large"));
  }
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(queue.dropFromLongest()->mRequest.workspace == "large");
  }
  BOOST_TEST(queue.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ineligible_requests_keep_their_place)
{
  RequestQueue queue;
  queue.pushBack(makeQueued("one"));
  const auto never = [](const QueuedRequest&) { return false; };
  BOOST_TEST(!queue.pop(never).has_value());
  BOOST_TEST(queue.size() == 1U);
  BOOST_TEST((queue.nextEvent(0_ms, 20_s) == 10_s));
}

BOOST_AUTO_TEST_SUITE_END()
