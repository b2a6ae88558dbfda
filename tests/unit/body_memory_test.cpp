#include "radishroad/base/body_share.h"
#include "radishroad/peer/frame.h"
#include "radishroad/request/request.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace radishroad;

namespace {

constexpr std::size_t kMax = 56U << 20;
constexpr std::size_t kChunk = 16U << 10;

/// Lets each body grow in turns until none grows further.
void
growAll(std::vector<BodyShare>& aBodies)
{
  bool grew = true;
  while (grew) {
    grew = false;
    for (BodyShare& body : aBodies) {
      grew |= body.tryResize(body.bytes() + kChunk);
    }
  }
}

std::vector<BodyShare>
makeBodies(const std::shared_ptr<BodyMemory>& aMemory, std::size_t aCount)
{
  std::vector<BodyShare> bodies;
  for (std::size_t n = 0; n < aCount; ++n) {
    bodies.emplace_back(aMemory);
  }
  return bodies;
}

}

BOOST_AUTO_TEST_SUITE(body_memory)

// Replays endless bodies, at most one for each of a VM's connections.
BOOST_AUTO_TEST_CASE(endless_bodies_leave_room_for_others)
{
  for (const std::size_t count : { 1U, 3U, 24U, 200U }) {
    const auto memory = std::make_shared<BodyMemory>(kMax);
    std::vector<BodyShare> endless = makeBodies(memory, count);
    growAll(endless);
    BOOST_TEST(memory->usedBytes() <= kMax);
    BodyShare other(memory);
    BOOST_TEST(other.tryResize(kMax / (4 * (count + 1))));
    other.resize(0);
    std::vector<BodyShare> small = makeBodies(memory, 100);
    for (BodyShare& body : small) {
      BOOST_TEST(body.tryResize(BodyMemory::kSmallBytes));
    }
  }
}

BOOST_AUTO_TEST_CASE(one_body_of_the_largest_size_is_taken_alone)
{
  const auto memory = std::make_shared<BodyMemory>(kMax);
  BodyShare body(memory);
  BOOST_TEST(body.tryResize(24U << 20));
}

BOOST_AUTO_TEST_CASE(shares_are_given_back)
{
  const auto memory = std::make_shared<BodyMemory>(kMax);
  {
    BodyShare body(memory);
    BOOST_TEST(body.tryResize(kMax / 4));
    const BodyShare moved = std::move(body);
    BOOST_TEST(memory->usedBytes() == kMax / 4);
  }
  BOOST_TEST(memory->usedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(answers_to_deliver_are_counted_even_without_room)
{
  const auto memory = std::make_shared<BodyMemory>(kMax);
  BodyShare answer(memory);
  answer.resize(kMax * 2);
  BodyShare next(memory);
  BOOST_TEST(!next.tryResize(1));
  BOOST_TEST(memory->refusals() == 1U);
  answer.resize(0);
  BOOST_TEST(next.tryResize(1));
}

BOOST_AUTO_TEST_CASE(first_bytes_of_a_frame_tell_its_request)
{
  constexpr std::size_t kFirstBytes = 4096;
  ForwardRequest request;
  request.id_high = 7;
  request.id_low = 9;
  request.target = std::string(8000, 'a');
  request.body.assign(1U << 20, 1);
  wire::FrameBodyUnion body;
  body.Set(std::move(request));
  const FrameBuffer buffer = encodeFrame(body);
  for (std::size_t n = 0; n < kFirstBytes; ++n) {
    // Reads past the end of any prefix would be found by the sanitizers.
    const std::vector<std::uint8_t> first(buffer.data(), buffer.data() + n);
    readForwardedFrame(first);
  }
  const auto frame = readForwardedFrame({ buffer.data(), kFirstBytes });
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST((frame->mType == wire::FrameBody::ForwardRequest));
  BOOST_TEST(frame->mIdHigh == 7U);
  BOOST_TEST(frame->mIdLow == 9U);
}

// Answers were not told by their first bytes and came in without a bound.
BOOST_AUTO_TEST_CASE(first_bytes_of_a_frame_tell_its_answer)
{
  wire::ForwardAnswerT answer;
  answer.id_high = 7;
  answer.id_low = 9;
  answer.load = std::make_unique<wire::GateLoadT>();
  answer.notice = std::make_unique<wire::UpstreamNoticeT>();
  for (int n = 0; n < 200; ++n) {
    answer.headers.push_back(std::make_unique<wire::HeaderT>());
    answer.headers.back()->name = "X-Field-" + std::to_string(n);
    answer.headers.back()->value = std::string(40, 'v');
  }
  answer.body.assign(1U << 20, 1);
  wire::FrameBodyUnion body;
  body.Set(std::move(answer));
  const FrameBuffer buffer = encodeFrame(body);
  const auto frame = readForwardedFrame({ buffer.data(), 4096 });
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST((frame->mType == wire::FrameBody::ForwardAnswer));
  BOOST_TEST(frame->mIdHigh == 7U);
  BOOST_TEST(frame->mIdLow == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
