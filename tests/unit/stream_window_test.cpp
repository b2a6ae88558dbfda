#include "radishroad/policy/stream_window.h"

#include "radishroad/policy/stream_receipt.h"
#include "radishroad/request/body_stream.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

namespace {

constexpr std::size_t kBodyBytes = 4U << 20;

/// A reader that takes so many bytes in each 10 ms until it stops.
struct Reader
{
  std::size_t mBytesPerStep = 0;
  Millis mStopsAt = Millis::max();
  StreamWindow mWindow{ {} };
  std::size_t mUnsent = kBodyBytes;
  std::optional<Millis> mEndedAt = {};
  bool mIsStalled = false;

  void step(Millis aNow)
  {
    if (mEndedAt) {
      return;
    }
    const std::size_t sent = std::min(mWindow.sendable(), mUnsent);
    mWindow.onSent(sent, aNow);
    mUnsent -= sent;
    if (aNow < mStopsAt) {
      mWindow.onTaken(std::min(mBytesPerStep, mWindow.outstanding()), aNow);
    }
    mIsStalled = mWindow.isStalled(aNow);
    if (mIsStalled || (mUnsent == 0 && mWindow.outstanding() == 0)) {
      mEndedAt = aNow;
    }
  }
};

}

BOOST_AUTO_TEST_SUITE(stream_window)

// Slow readers held whole bodies in memory, for as long as they liked.
BOOST_AUTO_TEST_CASE(slow_readers_beside_fast_ones_are_bounded)
{
  std::vector<Reader> readers;
  for (int n = 0; n < 10; ++n) {
    readers.push_back({ 64U << 10 }); // 6.4 MB/s
    readers.push_back({ 1U << 10 });  // 100 KB/s
    readers.push_back({ 8 });         // 0.8 KB/s
    readers.push_back({ 64U << 10, 200_ms });
    readers.push_back({ 0 });
  }
  std::size_t most = 0;
  for (Millis now; now < 60_s; now += 10_ms) {
    std::size_t held = 0;
    for (Reader& reader : readers) {
      reader.step(now);
      held += reader.mEndedAt ? 0 : reader.mWindow.outstanding();
    }
    most = std::max(most, held);
  }
  BOOST_TEST(most <= readers.size() * StreamWindow::Options{}.mBytes);
  for (std::size_t n = 0; n < readers.size(); ++n) {
    const Reader& reader = readers[n];
    BOOST_REQUIRE(reader.mEndedAt.has_value());
    const bool isFastEnough = n % 5 < 2;
    BOOST_TEST(reader.mIsStalled == !isFastEnough);
    const Millis longest =
      n % 5 == 0 ? 700_ms : (isFastEnough ? 42_s : 5500_ms);
    BOOST_TEST(reader.mEndedAt->mCount <= longest.mCount);
  }
}

BOOST_AUTO_TEST_CASE(credit_for_more_than_was_sent_is_rejected)
{
  StreamWindow window({ 100, 1_s, 10 });
  window.onSent(60, 0_ms);
  BOOST_TEST(!window.onTaken(61, 0_ms));
  BOOST_TEST(window.sendable() == 40U);
  BOOST_TEST(window.onTaken(60, 0_ms));
  BOOST_TEST(window.sendable() == 100U);
  // Nothing waits for the reader, so it is not late.
  BOOST_TEST(!window.isStalled(10_s));
}

// A lost, repeated or surplus part would damage the body unnoticed.
BOOST_AUTO_TEST_CASE(receipt_rejects_gaps_and_excess)
{
  StreamReceipt receipt(100, 150);
  BOOST_TEST(receipt.onPart(1, 80));
  BOOST_TEST(!receipt.onPart(1, 1));
  BOOST_TEST(!receipt.onPart(3, 1));
  BOOST_TEST(!receipt.onPart(2, 21));
  BOOST_TEST(receipt.onTaken(24) == 0U);
  BOOST_TEST(receipt.onTaken(56) == 80U);
  BOOST_TEST(!receipt.isWhole());
  BOOST_TEST(receipt.onPart(2, 70));
  BOOST_TEST(receipt.isWhole());
  BOOST_TEST(!receipt.onPart(3, 1));
}

BOOST_AUTO_TEST_CASE(body_stream_passes_parts_and_its_end)
{
  const auto memory = std::make_shared<BodyMemory>(1U << 20);
  std::size_t taken = 0;
  int cancelled = 0;
  const auto stream = std::make_shared<BodyStream>(
    memory,
    BodyStream::WriterHooks{ [&](std::size_t aBytes) { taken += aBytes; },
                             [&] { ++cancelled; } });
  std::shared_ptr<BodyStream> reader = BodyStream::makeReader(stream);
  int ready = 0;
  reader->setOnReady([&] { ++ready; });
  const std::vector<std::uint8_t> bytes{ 1, 2, 3, 4, 5 };
  BOOST_TEST(stream->append(bytes));
  BOOST_TEST(stream->append(bytes));
  BOOST_TEST(ready == 1);
  BOOST_TEST(memory->usedBytes() == 10U);
  BodyStream::Part part = reader->take(7);
  BOOST_TEST(part.mData.size() == 7U);
  BOOST_TEST((part.mState == BodyStream::State::Open));
  stream->finish(BodyStream::State::Broken);
  BOOST_TEST(ready == 2);
  part = reader->take(7);
  BOOST_TEST(part.mData.size() == 3U);
  BOOST_TEST((part.mState == BodyStream::State::Broken));
  BOOST_TEST(taken == 7U);
  part = {};
  BOOST_TEST(memory->usedBytes() == 0U);
  reader.reset();
  BOOST_TEST(cancelled == 0);
}

// A reader that is dropped on any path must end the run.
BOOST_AUTO_TEST_CASE(dropped_reader_cancels_the_stream)
{
  int cancelled = 0;
  const auto stream = std::make_shared<BodyStream>(
    nullptr, BodyStream::WriterHooks{ {}, [&] { ++cancelled; } });
  BodyStream::makeReader(stream).reset();
  BOOST_TEST(cancelled == 1);
}

BOOST_AUTO_TEST_SUITE_END()
