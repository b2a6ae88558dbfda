#include "fake_log_server.h"

#include "radishroad/log/append_rate_limiter.h"
#include "radishroad/log/backoff.h"
#include "radishroad/log/log_appender.h"
#include "radishroad/log/log_client.h"
#include "radishroad/log/log_follower.h"
#include "radishroad/log/read_body.h"
#include "radishroad/state/fold.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <set>

using namespace radishroad;
using namespace radishroad::literals;
using radishroad::testing::FakeLogServer;

namespace {

constexpr std::string_view kStream = "cell-catalog";
constexpr std::chrono::seconds kTestTimeout{ 20 };

/// Collects the records and errors of a follower and the results of an
/// appender.
class EventRecorder
{
public:
  void update(const std::function<void()>& aChange)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    aChange();
    mChanged.notify_all();
  }

  bool wait(const std::function<bool()>& aCondition)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    return mChanged.wait_for(lock, kTestTimeout, aCondition);
  }

  LogFollower::Hooks followerHooks()
  {
    return {
      [this](std::span<const LogRecord> aRecords, Millis) {
        update([&] {
          mPolls += 1;
          mRecords.insert(mRecords.end(), aRecords.begin(), aRecords.end());
        });
      },
      [this](const Error&) { update([this] { mErrors += 1; }); },
      [this](std::uint64_t aFrom) { update([&] { mGaps.push_back(aFrom); }); }
    };
  }

  LogAppender::DoneFn doneFn()
  {
    return [this](Result<std::uint64_t> aOffset) {
      update([&] { mDone.push_back(std::move(aOffset)); });
    };
  }

  std::vector<LogRecord> mRecords;
  std::vector<std::uint64_t> mGaps;
  std::vector<Result<std::uint64_t>> mDone;
  int mPolls = 0;
  int mErrors = 0;

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
};

wire::RecordT
drainRecord(std::uint64_t aId)
{
  wire::DrainT change;
  change.vm = "vm-" + std::to_string(aId);
  change.on = true;
  return makeRecord(change, { 1, aId }, Millis{});
}

double
fixedRandom()
{
  return 0.5;
}

}

BOOST_AUTO_TEST_SUITE(log_client)

BOOST_AUTO_TEST_CASE(appends_and_reads)
{
  FakeLogServer log;
  LogClient client(log.address());
  BOOST_TEST(client.append(kStream, Bytes{ 1, 2 }, 5_s).value() == 0U);
  BOOST_TEST(client.append(kStream, Bytes{}, 5_s).value() == 1U);
  const std::vector<LogRecord> records =
    client.read(kStream, 0, 0_ms, 5_s).value();
  BOOST_REQUIRE(records.size() == 2U);
  BOOST_CHECK((records[0].mData == Bytes{ 1, 2 }));
  BOOST_TEST(records[1].mOffset == 1U);
  BOOST_TEST(records[1].mWallTime.mCount == 77);
  BOOST_TEST(client.read(kStream, 2, 10_ms, 5_s).value().empty());
  BOOST_TEST(client.bounds(kStream, 5_s).value().mNext == 2U);
  const Bytes large(kMaxRecordBytes + 1);
  BOOST_CHECK(client.append(kStream, large, 5_s).error().mCode ==
              ErrorCode::TooLarge);
}

BOOST_AUTO_TEST_CASE(
  append_fails_in_an_outage_and_is_unknown_after_a_lost_response)
{
  FakeLogServer log;
  LogClient client(log.address());
  log.setFaults({ true, false, 0 });
  BOOST_CHECK(client.append(kStream, Bytes{ 1 }, 5_s).error().mCode ==
              ErrorCode::Unavailable);
  BOOST_CHECK(client.read(kStream, 0, 0_ms, 5_s).error().mCode ==
              ErrorCode::Unavailable);
  BOOST_TEST(log.records().empty());
  log.setFaults({ false, false, 1 });
  BOOST_CHECK(client.append(kStream, Bytes{ 1 }, 5_s).error().mCode ==
              ErrorCode::Unknown);
  BOOST_TEST(log.records().size() == 1U);
  BOOST_TEST(log.appends() == 2U);
  log.setFaults({ false, true, 0 });
  BOOST_CHECK(client.append(kStream, Bytes{ 1 }, 50_ms).error().mCode ==
              ErrorCode::Unknown);
  BOOST_CHECK(client.read(kStream, 0, 0_ms, 50_ms).error().mCode ==
              ErrorCode::Timeout);
}

BOOST_AUTO_TEST_CASE(append_without_a_listener_is_unavailable)
{
  std::optional<FakeLogServer> log(std::in_place);
  LogClient client(log->address());
  BOOST_TEST(client.append(kStream, Bytes{ 1 }, 5_s).has_value());
  log.reset();
  BOOST_CHECK(client.append(kStream, Bytes{ 1 }, 5_s).error().mCode ==
              ErrorCode::Unavailable);
}

BOOST_AUTO_TEST_CASE(append_is_unavailable_if_connecting_timed_out)
{
  // A full accept queue drops further handshakes, as a network partition does.
  const boost::asio::ip::tcp::endpoint loopbackAnyPort(
    boost::asio::ip::address_v4::loopback(), 0);
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, loopbackAnyPort.protocol());
  acceptor.bind(loopbackAnyPort);
  acceptor.listen(0);
  boost::asio::ip::tcp::socket queued(io);
  queued.connect(acceptor.local_endpoint());
  LogClient client("127.0.0.1:" +
                   std::to_string(acceptor.local_endpoint().port()));
  BOOST_CHECK(client.append(kStream, Bytes{ 1 }, 200_ms).error().mCode ==
              ErrorCode::Unavailable);
  BOOST_CHECK(client.read(kStream, 0, 0_ms, 200_ms).error().mCode ==
              ErrorCode::Timeout);
}

BOOST_AUTO_TEST_CASE(read_of_an_expired_offset_is_reported)
{
  FakeLogServer log;
  for (int i = 0; i < 5; ++i) {
    log.appendDirectly({ 1 });
  }
  log.expireBelow(3);
  LogClient client(log.address());
  BOOST_CHECK(client.read(kStream, 2, 0_ms, 5_s).error().mCode ==
              ErrorCode::Expired);
  BOOST_TEST(client.read(kStream, 3, 0_ms, 5_s).value().size() == 2U);
  BOOST_TEST(client.oldestOffset() == 3U);
}

BOOST_AUTO_TEST_CASE(corrupt_read_bodies_are_rejected)
{
  std::string body(21, '\0');
  body[16] = 1;
  BOOST_TEST(parseReadBody(body, 0).value().size() == 1U);
  BOOST_TEST(!parseReadBody(body, 1).has_value());
  BOOST_TEST(!parseReadBody(body.substr(0, 20), 0).has_value());
  BOOST_TEST(!parseReadBody(body.substr(0, 9), 0).has_value());
  BOOST_TEST(!parseReadBody(body + body, 0).has_value());
}

BOOST_AUTO_TEST_CASE(follower_resumes_without_gaps_after_an_outage)
{
  FakeLogServer log;
  EventRecorder recorder;
  log.appendDirectly({ 0 });
  LogFollower follower(
    log.address(), std::string(kStream), recorder.followerHooks(), fixedRandom);
  follower.setPollWait(20_ms);
  follower.start(0);
  BOOST_TEST(recorder.wait([&] { return recorder.mPolls >= 2; }));
  log.setFaults({ true, false, 0 });
  BOOST_TEST(recorder.wait([&] { return recorder.mErrors >= 3; }));
  log.appendDirectly({ 1 });
  log.setFaults({});
  BOOST_TEST(recorder.wait([&] { return recorder.mRecords.size() == 2; }));
  follower.stop();
  for (std::size_t i = 0; i < recorder.mRecords.size(); ++i) {
    BOOST_TEST(recorder.mRecords[i].mOffset == i);
  }
}

BOOST_AUTO_TEST_CASE(follower_restarts_at_the_oldest_record_after_a_gap)
{
  FakeLogServer log;
  EventRecorder recorder;
  for (int i = 0; i < 6; ++i) {
    log.appendDirectly({ 1 });
  }
  log.expireBelow(4);
  LogFollower follower(
    log.address(), std::string(kStream), recorder.followerHooks());
  follower.start(1);
  BOOST_TEST(recorder.wait([&] { return recorder.mRecords.size() == 2; }));
  follower.stop();
  BOOST_CHECK((recorder.mGaps == std::vector<std::uint64_t>{ 4 }));
  BOOST_TEST(recorder.mRecords[0].mOffset == 4U);
  BOOST_TEST(follower.oldestOffset() == 4U);
}

BOOST_AUTO_TEST_CASE(follower_skips_records_received_from_a_peer)
{
  FakeLogServer log;
  EventRecorder recorder;
  log.setFaults({ false, true, 0 });
  LogFollower follower(
    log.address(), std::string(kStream), recorder.followerHooks());
  follower.start(0);
  while (log.reads() == 0) {
    std::this_thread::yield();
  }
  follower.skipTo(3);
  for (int i = 0; i < 5; ++i) {
    log.appendDirectly({ 1 });
  }
  log.setFaults({});
  BOOST_TEST(recorder.wait([&] { return recorder.mRecords.size() == 2; }));
  follower.stop();
  BOOST_TEST(recorder.mRecords[0].mOffset == 3U);
}

BOOST_AUTO_TEST_CASE(stop_interrupts_a_long_poll)
{
  FakeLogServer log;
  EventRecorder recorder;
  LogFollower follower(
    log.address(), std::string(kStream), recorder.followerHooks());
  follower.setPollWait(60_s);
  follower.start(0);
  while (log.reads() == 0) {
    std::this_thread::yield();
  }
  const Millis start = monotonicNow();
  follower.stop();
  BOOST_TEST((monotonicNow() - start < 1_s));
  BOOST_TEST(recorder.mPolls == 0);
}

BOOST_AUTO_TEST_CASE(appender_retries_a_lost_append_with_the_same_id)
{
  FakeLogServer log;
  EventRecorder recorder;
  log.setFaults({ false, false, 2 });
  LogAppender appender(log.address(), 8, fixedRandom);
  BOOST_TEST(appender.submit(
    std::string(kStream), drainRecord(1), 20_s, recorder.doneFn()));
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == 1; }));
  BOOST_TEST(recorder.mDone[0].value() == 2U);
  CellState state;
  std::vector<FoldVerdict> verdicts;
  for (const Bytes& data : log.records()) {
    verdicts.push_back(fold(state, { state.mNextOffset, {}, data }));
  }
  BOOST_CHECK((verdicts == std::vector<FoldVerdict>{ FoldVerdict::Applied,
                                                     FoldVerdict::Duplicate,
                                                     FoldVerdict::Duplicate }));
}

BOOST_AUTO_TEST_CASE(appender_keeps_order_across_an_outage)
{
  FakeLogServer log;
  EventRecorder recorder;
  log.setFaults({ true, false, 0 });
  LogAppender appender(log.address(), 2, fixedRandom);
  appender.submit(
    std::string(kStream), drainRecord(1), 20_s, recorder.doneFn());
  appender.submit(
    std::string(kStream), drainRecord(2), 20_s, recorder.doneFn());
  while (log.appends() < 3) {
    std::this_thread::yield();
  }
  log.setFaults({});
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == 2; }));
  BOOST_TEST(recorder.mDone[0].value() == 0U);
  BOOST_TEST(recorder.mDone[1].value() == 1U);
}

BOOST_AUTO_TEST_CASE(appender_distinguishes_unavailable_from_unknown)
{
  FakeLogServer log;
  EventRecorder recorder;
  log.setFaults({ true, false, 0 });
  LogAppender appender(log.address(), 1, fixedRandom);
  appender.submit(
    std::string(kStream), drainRecord(1), 100_ms, recorder.doneFn());
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == 1; }));
  BOOST_CHECK(recorder.mDone[0].error().mCode == ErrorCode::Unavailable);
  log.setFaults({ false, true, 0 });
  const std::size_t before = log.appends();
  appender.submit(
    std::string(kStream), drainRecord(2), 60_s, recorder.doneFn());
  while (log.appends() == before) {
    std::this_thread::yield();
  }
  appender.submit(
    std::string(kStream), drainRecord(3), 60_s, recorder.doneFn());
  BOOST_TEST(!appender.submit(
    std::string(kStream), drainRecord(4), 60_s, recorder.doneFn()));
  appender.stop();
  BOOST_REQUIRE(recorder.mDone.size() == 3U);
  BOOST_CHECK(recorder.mDone[1].error().mCode == ErrorCode::Unknown);
  BOOST_CHECK(recorder.mDone[2].error().mCode == ErrorCode::Unavailable);
  BOOST_TEST(!appender.submit(
    std::string(kStream), drainRecord(5), 60_s, recorder.doneFn()));
}

BOOST_AUTO_TEST_CASE(appender_probe_reports_whether_the_log_responds)
{
  FakeLogServer log;
  EventRecorder recorder;
  LogAppender appender(log.address(), 2, fixedRandom);
  appender.submit(
    std::string(kStream), drainRecord(1), 20_s, recorder.doneFn());
  appender.probe(std::string(kStream), 20_s, recorder.doneFn());
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == 2; }));
  BOOST_TEST(recorder.mDone[1].value() == 1U);
  log.setFaults({ true, false, 0 });
  appender.probe(std::string(kStream), 100_ms, recorder.doneFn());
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == 3; }));
  BOOST_TEST(!recorder.mDone[2].has_value());
  BOOST_TEST(log.appends() == 1U);
}

BOOST_AUTO_TEST_CASE(appender_respects_its_rate_limit)
{
  constexpr std::size_t kRecords = 40;
  FakeLogServer log;
  EventRecorder recorder;
  const Millis start = monotonicNow();
  LogAppender appender(log.address(), kRecords, fixedRandom);
  for (std::uint64_t id = 1; id <= kRecords; ++id) {
    appender.submit(
      std::string(kStream), drainRecord(id), 60_s, recorder.doneFn());
  }
  BOOST_TEST(recorder.wait([&] { return recorder.mDone.size() == kRecords; }));
  const double seconds =
    static_cast<double>((monotonicNow() - start).mCount) / 1000;
  BOOST_TEST(log.appends() == kRecords);
  BOOST_TEST(kRecords <= kAppendBurst + kAppendsPerSecond * (seconds + 0.01));
}

BOOST_AUTO_TEST_CASE(rate_limit_holds_under_constant_demand)
{
  AppendRateLimiter limit(20, 20, 0_ms);
  std::size_t taken = 0;
  for (Millis now; now < 60_s; now += 1_ms) {
    taken += limit.acquire(now) == Millis{} ? 1 : 0;
  }
  BOOST_TEST(taken <= 20 + 20 * 60U);
  BOOST_TEST(taken >= 20 * 60U);
  BOOST_TEST((limit.acquire(60_s) <= 50_ms));
}

BOOST_AUTO_TEST_CASE(backoff_spreads_clients_that_failed_together)
{
  constexpr int kClients = 1000;
  std::uint64_t lcgState = 1;
  const Backoff::RandomFn random = [&lcgState] {
    lcgState = lcgState * 6364136223846793005U + 1442695040888963407U;
    return static_cast<double>(lcgState >> 11U) / 9007199254740992.0;
  };
  std::set<std::int64_t> delays;
  for (int i = 0; i < kClients; ++i) {
    Backoff backoff(100_ms, 2000_ms, random);
    BOOST_TEST((backoff.next() <= 100_ms));
    Millis last;
    for (int attempt = 0; attempt < 8; ++attempt) {
      last = backoff.next();
    }
    BOOST_TEST((last >= 1000_ms && last <= 2000_ms));
    delays.insert(last.mCount / 100);
    backoff.reset();
    BOOST_TEST((backoff.next() <= 100_ms));
  }
  BOOST_TEST(delays.size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
