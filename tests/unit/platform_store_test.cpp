#include "platform/store.h"

#include "cell_log.h"
#include "platform/wire_names.h"
#include "radishroad/log/state_writer.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"
#include "support/fake_store.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace radishroad;
using namespace radishroad::literals;
using test::FakeStore;

namespace {

const std::string kStream = "cell-s";

wire::RecordT
makeJoin(Incarnation aIncarnation)
{
  wire::JoinT change;
  change.vm = "vm-" + std::to_string(aIncarnation);
  change.zone = "z";
  change.incarnation = aIncarnation;
  return makeRecord(std::move(change), { 1, aIncarnation }, {});
}

Bytes
toBytes(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

/// A writer to a store, with the newest state that it has reported.
struct Writer
{
  explicit Writer(const FakeStore& aStore)
    : mWriter(
        [address = aStore.address()] {
          return platform::openStateStore(address);
        },
        64,
        { .mOnState =
            [this](const std::string&,
                   std::uint64_t aVersion,
                   const CellState& aState) {
              const std::lock_guard<std::mutex> lock(mMutex);
              mVersion = aVersion;
              mMembers = aState.mMembers.size();
            },
          .mOnWritten = [this](const std::string&,
                               std::uint64_t,
                               std::uint64_t,
                               const std::vector<Bytes>&) { ++mWrites; },
          .mOnStoreResult = [](bool, const std::string&) {} },
        [] { return 0.5; })
  {
  }

  Result<FoldVerdict> submit(const wire::RecordT& aRecord, Millis aTimeout)
  {
    std::promise<Result<FoldVerdict>> done;
    BOOST_REQUIRE(mWriter.submit(
      kStream, aRecord, aTimeout, [&done](Result<FoldVerdict> aVerdict) {
        done.set_value(std::move(aVerdict));
      }));
    return done.get_future().get();
  }

  std::size_t memberCount()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMembers;
  }

  std::mutex mMutex;
  std::uint64_t mVersion = 0;
  std::size_t mMembers = 0;
  std::atomic<int> mWrites{ 0 };
  StateWriter mWriter;
};

}

BOOST_AUTO_TEST_SUITE(platform_store)

BOOST_AUTO_TEST_CASE(keyed_records_round_trip)
{
  const Bytes raw = platform::encodeKeyedRecord("key", toBytes("value"));
  const std::string body =
    std::string(16, '\0') + std::string(raw.begin(), raw.end());
  const Result<platform::KeyedRecords> read =
    platform::parseKeyedRecords(body, 12);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->mRecords.size() == 1U);
  BOOST_TEST(read->mRecords[0].mOffset == 12U);
  BOOST_TEST(read->mRecords[0].mKey == "key");
  BOOST_TEST((read->mRecords[0].mValue == toBytes("value")));
  for (std::size_t n = 0; n < body.size(); ++n) {
    const bool whole = n == 16;
    BOOST_TEST(platform::parseKeyedRecords(body.substr(0, n), 12).has_value() ==
               whole);
  }
}

BOOST_AUTO_TEST_CASE(base64_is_decoded_with_and_without_padding)
{
  BOOST_TEST((*platform::decodeBase64("") == Bytes()));
  BOOST_TEST((*platform::decodeBase64("YQ==") == toBytes("a")));
  BOOST_TEST((*platform::decodeBase64("YWI=") == toBytes("ab")));
  BOOST_TEST((*platform::decodeBase64("YWJj") == toBytes("abc")));
  BOOST_TEST(!platform::decodeBase64("YWJ").has_value());
  BOOST_TEST(!platform::decodeBase64("Y*==").has_value());
}

BOOST_AUTO_TEST_CASE(concurrent_writers_lose_no_record)
{
  FakeStore store;
  Writer first(store);
  Writer second(store);
  std::vector<std::future<void>> done;
  for (Writer* writer : { &first, &second }) {
    done.push_back(std::async(std::launch::async, [writer, &first] {
      const Incarnation firstIncarnation = writer == &first ? 100 : 200;
      for (Incarnation n = 0; n < 10; ++n) {
        const Result<FoldVerdict> verdict =
          writer->submit(makeJoin(firstIncarnation + n), 10000_ms);
        if (!verdict || *verdict != FoldVerdict::Applied) {
          throw std::runtime_error("not applied");
        }
      }
    }));
  }
  for (std::future<void>& each : done) {
    each.get();
  }
  StateStore reader = platform::openStateStore(store.address());
  const Result<StoredState> stored = reader.mRead(kStream, 0, 0_ms, 2000_ms);
  BOOST_REQUIRE(stored.has_value());
  CellState state;
  BOOST_REQUIRE(decodeState(stored->mData, state).has_value());
  BOOST_TEST(state.mMembers.size() == 20U);
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_answer_is_applied_once)
{
  FakeStore store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(makeJoin(1), 5000_ms).has_value());
  store.setFault(FakeStore::Fault::LosesAnswers);
  const Result<FoldVerdict> verdict = writer.submit(makeJoin(2), 5000_ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict == FoldVerdict::Applied));
  BOOST_TEST(writer.memberCount() == 2U);
}

BOOST_AUTO_TEST_CASE(a_write_to_an_unavailable_store_fails_as_not_written)
{
  FakeStore store;
  Writer writer(store);
  store.setFault(FakeStore::Fault::Busy);
  const Result<FoldVerdict> verdict = writer.submit(makeJoin(1), 300_ms);
  BOOST_REQUIRE(!verdict.has_value());
  BOOST_TEST((verdict.error().mCode == ErrorCode::Unavailable));
  store.setFault(FakeStore::Fault::None);
  BOOST_TEST(writer.submit(makeJoin(1), 5000_ms).has_value());
}

BOOST_AUTO_TEST_CASE(state_survives_topic_compaction)
{
  FakeStore store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(makeJoin(1), 5000_ms).has_value());
  BOOST_REQUIRE(writer.submit(makeJoin(2), 5000_ms).has_value());
  store.compact(std::string(platform::kStateTopicPrefix) + kStream);
  StateStore reader = platform::openStateStore(store.address());
  // A reader of an older version, and a reader without any state.
  for (const std::uint64_t known : { 1, 0 }) {
    const Result<StoredState> stored =
      reader.mRead(kStream, known, 0_ms, 2000_ms);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->mVersion == 2U);
  }
  // A restarted fleet continues from this state.
  Writer next(store);
  BOOST_REQUIRE(next.submit(makeJoin(3), 5000_ms).has_value());
  BOOST_TEST(next.memberCount() == 3U);
}

// When a cell starts, dozens of daemons write its state while all of them read
// it. Each reader must receive the newest version, not all versions in between.
BOOST_AUTO_TEST_CASE(a_lagging_reader_receives_only_the_newest_state)
{
  FakeStore store;
  Writer writer(store);
  for (Incarnation n = 1; n <= 40; ++n) {
    BOOST_REQUIRE(writer.submit(makeJoin(n), 5000_ms).has_value());
  }
  StateStore reader = platform::openStateStore(store.address());
  const std::uint64_t bytesBefore = store.bytesSent();
  const Result<StoredState> stored = reader.mRead(kStream, 1, 0_ms, 2000_ms);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->mVersion == 40U);
  // The reader receives the next version, and the newest one in base64.
  BOOST_TEST(store.bytesSent() - bytesBefore < 3 * stored->mData.size() + 1024);
  const Result<StoredState> again = reader.mRead(kStream, 40, 0_ms, 2000_ms);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->mVersion == 40U);
  BOOST_TEST(again->mData.empty());
}

BOOST_AUTO_TEST_CASE(a_refused_record_is_not_written)
{
  FakeStore store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(makeJoin(1), 5000_ms).has_value());
  wire::LeaveT leave;
  leave.incarnation = 99;
  const Result<FoldVerdict> verdict =
    writer.submit(makeRecord(leave, { 5, 5 }, {}), 5000_ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict == FoldVerdict::Refused));
  BOOST_TEST(writer.mWrites == 1);
}

// Daemons may start before operators have written anything. They must not poll
// the empty topic in a busy loop.
BOOST_AUTO_TEST_CASE(an_empty_operator_topic_is_long_polled)
{
  FakeStore store;
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  const Result<OperatorEntries> none = feed.mRead(0, 20_ms, 2000_ms);
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(none->mEntries.empty());
  BOOST_TEST(store.longPolls() == 1);
  store.put(platform::kOperatorTopic, "config", "{}");
  const Result<OperatorEntries> first = feed.mRead(0, 20_ms, 2000_ms);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->mIsComplete);
  BOOST_TEST(first->mNext == 1U);
  BOOST_TEST(first->mEntries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(operator_entries_are_read_in_full_and_then_incrementally)
{
  FakeStore store;
  store.put(platform::kOperatorTopic, "config", "{}");
  store.put(platform::kOperatorTopic, "evacuate/z", "{}");
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  Result<OperatorEntries> read = feed.mRead(0, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mIsComplete);
  BOOST_TEST(read->mEntries.size() == 2U);
  store.put(platform::kOperatorTopic, "evacuate/z", "");
  read = feed.mRead(read->mNext, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->mIsComplete);
  BOOST_REQUIRE(read->mEntries.size() == 1U);
  BOOST_TEST(read->mEntries[0].mValue.empty());
  const std::uint64_t next = read->mNext;
  store.put(platform::kOperatorTopic, "config", "{1}");
  store.compact(platform::kOperatorTopic);
  read = feed.mRead(next, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mIsComplete);
  BOOST_TEST(read->mEntries.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
