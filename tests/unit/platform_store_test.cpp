#include "platform/store.h"

#include "cell_log.h"
#include "platform/wire_names.h"
#include "radishroad/base/json_text.h"
#include "radishroad/log/state_writer.h"
#include "radishroad/state/snapshot_codec.h"
#include "radishroad/state/state_change.h"
#include "support/fake_store.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <thread>

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

std::uint64_t
versionOf(std::uint64_t aEra, std::uint64_t aEnd)
{
  return platform::TopicPosition{ aEra, aEnd }.toNumber();
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
              mState = aState;
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

  CellState state()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mState;
  }

  /// Takes over a state as daemons do that receive it from a peer.
  void observe(Writer& aOther)
  {
    mWriter.observeState(kStream, aOther.mVersion, aOther.state());
  }

  std::size_t memberCount()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mMembers;
  }

  std::mutex mMutex;
  std::uint64_t mVersion = 0;
  std::size_t mMembers = 0;
  CellState mState;
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
    BOOST_TEST(stored->mVersion == versionOf(1, 2));
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
  const Result<StoredState> stored =
    reader.mRead(kStream, versionOf(1, 1), 0_ms, 2000_ms);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->mVersion == versionOf(1, 40));
  // The reader receives the next version, and the newest one in base64.
  BOOST_TEST(store.bytesSent() - bytesBefore < 3 * stored->mData.size() + 1024);
  const Result<StoredState> again =
    reader.mRead(kStream, versionOf(1, 40), 0_ms, 2000_ms);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->mVersion == versionOf(1, 40));
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
  BOOST_TEST(first->mNext == versionOf(1, 1));
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

// The store comes back from an older copy, so that offsets are given out again,
// and a version that an operator writes then has one that was read before.
BOOST_AUTO_TEST_CASE(operator_entries_of_a_restored_store_are_newer)
{
  for (const int rewritten : { 0, 1, 2, 3 }) {
    FakeStore store;
    store.put(platform::kOperatorTopic, "config", "1");
    store.copy();
    store.put(platform::kOperatorTopic, "config", "2");
    store.put(platform::kOperatorTopic, "config", "3");
    OperatorFeed feed = platform::openOperatorFeed(store.address());
    const Result<OperatorEntries> before = feed.mRead(0, 0_ms, 2000_ms);
    BOOST_REQUIRE(before.has_value());
    store.restore();
    for (int n = 0; n < rewritten; ++n) {
      store.put(platform::kOperatorTopic, "config", std::to_string(4 + n));
    }
    const Result<OperatorEntries> after =
      feed.mRead(before->mNext, 0_ms, 2000_ms);
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(after->mNext > before->mNext);
    BOOST_TEST(after->mIsComplete);
    BOOST_TEST(after->mIsRestored);
    const std::string newest =
      rewritten == 0 ? "1" : std::to_string(3 + rewritten);
    BOOST_REQUIRE(after->mEntries.size() == 1U);
    BOOST_TEST((after->mEntries[0].mValue == toBytes(newest)));
    const Result<OperatorEntries> next =
      feed.mRead(after->mNext, 0_ms, 2000_ms);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->mEntries.empty());
    BOOST_TEST(!next->mIsRestored);
  }
}

// The store comes back from an older copy. Daemons that go on write their newer
// state again, and one that has just started does not build on the copy.
BOOST_AUTO_TEST_CASE(members_known_to_running_daemons_survive_a_restore)
{
  FakeStore store;
  Writer first(store);
  Writer second(store);
  BOOST_REQUIRE(first.submit(makeJoin(1), 5000_ms).has_value());
  store.copy();
  BOOST_REQUIRE(first.submit(makeJoin(2), 5000_ms).has_value());
  BOOST_REQUIRE(first.submit(makeJoin(3), 5000_ms).has_value());
  second.observe(first);
  store.restore();
  Writer started(store);
  std::future<Result<FoldVerdict>> joined =
    std::async(std::launch::async,
               [&started] { return started.submit(makeJoin(4), 5000_ms); });
  // Within the time that a daemon takes to notice the restore.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  std::promise<void> probed;
  BOOST_REQUIRE(second.mWriter.probe(
    kStream, 2000_ms, [&probed](bool) { probed.set_value(); }));
  probed.get_future().wait();
  BOOST_REQUIRE(first.submit(makeJoin(5), 5000_ms).has_value());
  BOOST_REQUIRE(joined.get().has_value());
  StateStore reader = platform::openStateStore(store.address());
  const Result<StoredState> stored = reader.mRead(kStream, 0, 0_ms, 2000_ms);
  BOOST_REQUIRE(stored.has_value());
  CellState state;
  BOOST_REQUIRE(decodeState(stored->mData, state).has_value());
  for (Incarnation n = 1; n <= 5; ++n) {
    BOOST_TEST(state.mMembers.contains(n), n);
  }
}

// All daemons were lost together with what the store had: the copy is all that
// is left, and a daemon that has just started builds on it after a while.
BOOST_AUTO_TEST_CASE(the_copy_is_used_if_no_daemon_knows_more)
{
  FakeStore store;
  {
    Writer before(store);
    BOOST_REQUIRE(before.submit(makeJoin(1), 5000_ms).has_value());
    store.copy();
    BOOST_REQUIRE(before.submit(makeJoin(2), 5000_ms).has_value());
  }
  store.restore();
  Writer started(store);
  BOOST_REQUIRE(started.submit(makeJoin(3), 5000_ms).has_value());
  BOOST_TEST(started.state().mMembers.contains(1));
  BOOST_TEST(!started.state().mMembers.contains(2));
  BOOST_TEST(started.state().mMembers.contains(3));
}

// A write that is based on a state from before the restore must not replace
// what was written since, although the log has grown to the same length.
BOOST_AUTO_TEST_CASE(a_write_from_before_a_restore_conflicts)
{
  FakeStore store;
  store.copy();
  StateStore writer = platform::openStateStore(store.address());
  const Bytes data = encodeState(CellState{});
  const Result<StoredState> empty = writer.mRead(kStream, 0, 0_ms, 2000_ms);
  BOOST_REQUIRE(empty.has_value());
  const Result<std::uint64_t> written =
    writer.mReplace(kStream, empty->mVersion, data, 2000_ms);
  BOOST_REQUIRE(written.has_value());
  store.restore();
  StateStore other = platform::openStateStore(store.address());
  const Result<StoredState> restored = other.mRead(kStream, 0, 0_ms, 2000_ms);
  BOOST_REQUIRE(restored.has_value());
  BOOST_TEST(restored->mVersion > *written);
  BOOST_REQUIRE(
    other.mReplace(kStream, restored->mVersion, data, 2000_ms).has_value());
  BOOST_REQUIRE(writer.mRead(kStream, *written, 0_ms, 2000_ms).has_value());
  const Result<std::uint64_t> late =
    writer.mReplace(kStream, *written, data, 2000_ms);
  BOOST_REQUIRE(!late.has_value());
  BOOST_TEST((late.error().mCode == ErrorCode::Conflict));
}

// Failed each read, so that nothing newer was ever followed.
BOOST_AUTO_TEST_CASE(a_malformed_item_hides_no_other_entry)
{
  FakeStore store;
  store.put("keyed.op", "config", "x");
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  for (const char* item : { R"(7)",
                            R"({})",
                            R"({"Key":7,"Value":"YQ==","Offset":0})",
                            R"({"Key":"a","Value":"Y*==","Offset":0})",
                            R"({"Key":"a","Value":[],"Offset":0})",
                            R"({"Key":"a","Value":"YQ==","Offset":-1})",
                            R"({"Key":"a","Value":"YQ==","Offset":1e15})",
                            R"({"Key":"a","Value":"YQ==",)"
                            R"("Offset":18446744073709551615})" }) {
    store.setOddItem(item);
    const Result<OperatorEntries> read = feed.mRead(0, 0_ms, 2000_ms);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->mEntries.size() == 1U);
    BOOST_TEST(read->mEntries[0].mKey == "config");
    BOOST_TEST(read->mNext == versionOf(1, 1));
  }
}

// Was read again and again.
BOOST_AUTO_TEST_CASE(pages_that_do_not_advance_end_the_read)
{
  FakeStore store;
  store.put("keyed.op", "config", "x");
  store.setEndlessPages(true);
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  BOOST_TEST(!feed.mRead(0, 0_ms, 2000_ms).has_value());
  BOOST_TEST(store.calls() < 5);
}

// The feed stayed before such a record.
BOOST_AUTO_TEST_CASE(a_record_without_a_key_does_not_stop_the_feed)
{
  FakeStore store;
  store.put("keyed.op", "config", "x");
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  Result<OperatorEntries> read = feed.mRead(0, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  store.putRaw("keyed.op", "\xFFodd");
  store.putRaw("keyed.op", "");
  read = feed.mRead(read->mNext, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->mEntries.empty());
  BOOST_TEST(read->mNext == versionOf(1, 3));
  store.put("keyed.op", "evacuate/z", "{}");
  read = feed.mRead(read->mNext, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->mEntries.size() == 1U);
  BOOST_TEST(read->mEntries[0].mKey == "evacuate/z");
}

// Was taken for the state, or for a state that was lost.
BOOST_AUTO_TEST_CASE(another_key_in_the_topic_of_a_state_is_not_the_state)
{
  for (const bool isRaw : { false, true }) {
    FakeStore store;
    Writer writer(store);
    Writer other(store);
    BOOST_REQUIRE(writer.submit(makeJoin(1), 5000_ms).has_value());
    StateStore reader = platform::openStateStore(store.address());
    const Result<StoredState> before = reader.mRead(kStream, 0, 0_ms, 2000_ms);
    BOOST_REQUIRE(before.has_value());
    const std::string topic = platform::kStateTopicPrefix + kStream;
    if (isRaw) {
      store.putRaw(topic, "\xFFodd");
    } else {
      store.put(topic, "odd", "odd");
    }
    for (const std::uint64_t known : { before->mVersion, std::uint64_t{ 0 } }) {
      const Result<StoredState> read =
        reader.mRead(kStream, known, 0_ms, 2000_ms);
      BOOST_REQUIRE(read.has_value());
      if (read->mVersion != known) {
        BOOST_TEST((read->mData == before->mData));
      }
    }
    // Both a writer that knows the state and one that does not go on.
    BOOST_TEST((writer.submit(makeJoin(2), 3000_ms) == FoldVerdict::Applied));
    BOOST_TEST((other.submit(makeJoin(3), 3000_ms) == FoldVerdict::Applied));
    BOOST_TEST(other.memberCount() == 3U);
  }
}

// Made the whole list unreadable, and so the configuration.
BOOST_AUTO_TEST_CASE(a_key_that_is_not_utf8_hides_no_other_entry)
{
  FakeStore store;
  store.put("keyed.op", "\xFF\xE9", "x");
  store.put("keyed.op", "config", "x");
  OperatorFeed feed = platform::openOperatorFeed(store.address());
  const Result<OperatorEntries> read = feed.mRead(0, 0_ms, 2000_ms);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->mEntries.size() == 2U);
  BOOST_TEST(read->mEntries[0].mKey == "config");
  BOOST_TEST(isUtf8(read->mEntries[1].mKey));
}

BOOST_AUTO_TEST_SUITE_END()
