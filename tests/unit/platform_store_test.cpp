#include "platform/store.h"

#include "cell_log.h"
#include "platform/wire_names.h"
#include "radishroad/log/state_writer.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"
#include "support/store_standin.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace radishroad;
using namespace radishroad::literals;
using test::StoreStandin;

namespace {

const std::string kStream = "cell-s";

wire::RecordT
joinOf(Incarnation aIncarnation)
{
  wire::JoinT change;
  change.vm = "vm-" + std::to_string(aIncarnation);
  change.zone = "z";
  change.incarnation = aIncarnation;
  return makeRecord(std::move(change), { 1, aIncarnation }, {});
}

Bytes
bytesOf(std::string_view aText)
{
  return { aText.begin(), aText.end() };
}

/// A writer before a store, with the newest state that it told of.
struct Writer
{
  explicit Writer(const StoreStandin& aStore)
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
          .mOnStore = [](bool, const std::string&) {} },
        [] { return 0.5; })
  {
  }

  Result<FoldVerdict> submit(const wire::RecordT& aRecord, Millis aGiveUp)
  {
    std::promise<Result<FoldVerdict>> done;
    BOOST_REQUIRE(mWriter.submit(
      kStream, aRecord, aGiveUp, [&done](Result<FoldVerdict> aVerdict) {
        done.set_value(std::move(aVerdict));
      }));
    return done.get_future().get();
  }

  std::size_t members()
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

BOOST_AUTO_TEST_CASE(records_keep_their_bytes)
{
  const Bytes raw = platform::encodeKeyedRecord("key", bytesOf("value"));
  const std::string body =
    std::string(16, '\0') + std::string(raw.begin(), raw.end());
  const Result<platform::KeyedRecords> read =
    platform::parseKeyedRecords(body, 12);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->mRecords.size() == 1U);
  BOOST_TEST(read->mRecords[0].mOffset == 12U);
  BOOST_TEST(read->mRecords[0].mKey == "key");
  BOOST_TEST((read->mRecords[0].mValue == bytesOf("value")));
  for (std::size_t n = 0; n < body.size(); ++n) {
    const bool whole = n == 16;
    BOOST_TEST(platform::parseKeyedRecords(body.substr(0, n), 12).has_value() ==
               whole);
  }
}

BOOST_AUTO_TEST_CASE(base64_is_read_with_and_without_padding)
{
  BOOST_TEST((*platform::decodeBase64("") == Bytes()));
  BOOST_TEST((*platform::decodeBase64("YQ==") == bytesOf("a")));
  BOOST_TEST((*platform::decodeBase64("YWI=") == bytesOf("ab")));
  BOOST_TEST((*platform::decodeBase64("YWJj") == bytesOf("abc")));
  BOOST_TEST(!platform::decodeBase64("YWJ").has_value());
  BOOST_TEST(!platform::decodeBase64("Y*==").has_value());
}

BOOST_AUTO_TEST_CASE(racing_writers_lose_no_record)
{
  StoreStandin store;
  Writer first(store);
  Writer second(store);
  std::vector<std::future<void>> done;
  for (Writer* writer : { &first, &second }) {
    done.push_back(std::async(std::launch::async, [writer, &first] {
      const Incarnation base = writer == &first ? 100 : 200;
      for (Incarnation n = 0; n < 10; ++n) {
        const Result<FoldVerdict> verdict =
          writer->submit(joinOf(base + n), 10000_ms);
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

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_answer_counts_once)
{
  StoreStandin store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(joinOf(1), 5000_ms).has_value());
  store.setFault(StoreStandin::Fault::LosesAnswers);
  const Result<FoldVerdict> verdict = writer.submit(joinOf(2), 5000_ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict == FoldVerdict::Applied));
  BOOST_TEST(writer.members() == 2U);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_out_is_given_up_as_not_written)
{
  StoreStandin store;
  Writer writer(store);
  store.setFault(StoreStandin::Fault::Busy);
  const Result<FoldVerdict> verdict = writer.submit(joinOf(1), 300_ms);
  BOOST_REQUIRE(!verdict.has_value());
  BOOST_TEST((verdict.error().mCode == ErrorCode::Unavailable));
  store.setFault(StoreStandin::Fault::None);
  BOOST_TEST(writer.submit(joinOf(1), 5000_ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_state_outlives_the_loss_of_all_history)
{
  StoreStandin store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(joinOf(1), 5000_ms).has_value());
  BOOST_REQUIRE(writer.submit(joinOf(2), 5000_ms).has_value());
  store.compact(std::string(platform::kStateTopicPrefix) + kStream);
  StateStore reader = platform::openStateStore(store.address());
  // One that had read an older version, and one that has read nothing.
  for (const std::uint64_t known : { 1, 0 }) {
    const Result<StoredState> stored =
      reader.mRead(kStream, known, 0_ms, 2000_ms);
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->mVersion == 2U);
  }
  // A whole fleet that starts anew writes on from there.
  Writer next(store);
  BOOST_REQUIRE(next.submit(joinOf(3), 5000_ms).has_value());
  BOOST_TEST(next.members() == 3U);
}

// All daemons of a cell read its state while dozens of them write it at the
// start: the versions between are not to be sent to each of them.
BOOST_AUTO_TEST_CASE(a_reader_far_behind_is_sent_the_newest_state_only)
{
  StoreStandin store;
  Writer writer(store);
  for (Incarnation n = 1; n <= 40; ++n) {
    BOOST_REQUIRE(writer.submit(joinOf(n), 5000_ms).has_value());
  }
  StateStore reader = platform::openStateStore(store.address());
  const std::uint64_t before = store.bytesSent();
  const Result<StoredState> stored = reader.mRead(kStream, 1, 0_ms, 2000_ms);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->mVersion == 40U);
  // The next and the newest, the latter in base64.
  BOOST_TEST(store.bytesSent() - before < 3 * stored->mData.size() + 1024);
  const Result<StoredState> again = reader.mRead(kStream, 40, 0_ms, 2000_ms);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->mVersion == 40U);
  BOOST_TEST(again->mData.empty());
}

BOOST_AUTO_TEST_CASE(a_refused_record_changes_nothing_and_is_not_written)
{
  StoreStandin store;
  Writer writer(store);
  BOOST_REQUIRE(writer.submit(joinOf(1), 5000_ms).has_value());
  wire::LeaveT leave;
  leave.incarnation = 99;
  const Result<FoldVerdict> verdict =
    writer.submit(makeRecord(leave, { 5, 5 }, {}), 5000_ms);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((*verdict == FoldVerdict::Refused));
  BOOST_TEST(writer.mWrites == 1);
}

// All daemons start before operators have written anything.
BOOST_AUTO_TEST_CASE(an_empty_topic_of_operators_is_waited_on)
{
  StoreStandin store;
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  const Result<OperatorEntries> none = feed.mRead(0, 20_ms, 2000_ms);
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(none->mEntries.empty());
  BOOST_TEST(store.waits() == 1);
  store.put(platform::kOperatorTopic, "config", "{}");
  const Result<OperatorEntries> first = feed.mRead(0, 20_ms, 2000_ms);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->mWhole);
  BOOST_TEST(first->mNext == 1U);
  BOOST_TEST(first->mEntries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(operators_entries_come_whole_and_then_one_by_one)
{
  StoreStandin store;
  store.put(platform::kOperatorTopic, "config", "{}");
  store.put(platform::kOperatorTopic, "evacuate/z", "{}");
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  Result<OperatorEntries> read = feed.mRead(0, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mWhole);
  BOOST_TEST(read->mEntries.size() == 2U);
  store.put(platform::kOperatorTopic, "evacuate/z", "");
  read = feed.mRead(read->mNext, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->mWhole);
  BOOST_REQUIRE(read->mEntries.size() == 1U);
  BOOST_TEST(read->mEntries[0].mValue.empty());
  const std::uint64_t next = read->mNext;
  store.put(platform::kOperatorTopic, "config", "{1}");
  store.compact(platform::kOperatorTopic);
  read = feed.mRead(next, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mWhole);
  BOOST_TEST(read->mEntries.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
