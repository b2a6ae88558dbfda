#include "unit/peer_transport_fixture.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

using namespace peer_transport_test;

namespace {

/// Ids of answers in the order in which they arrive. Those to requests 1 to 3
/// have 8 MiB and are given first.
std::vector<std::uint64_t>
arrivalOrder(bool aSmallFirst)
{
  constexpr std::size_t kLarge = 8U << 20;
  constexpr std::uint64_t kLargeIds = 3;
  constexpr std::uint64_t kIds = 5;
  TestNode node(1, "127.0.0.1:0", 64U << 20, aSmallFirst);
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(node.address()));
  writeFrame(socket, makeHelloFrame(2));
  for (std::uint64_t id = 1; id <= kIds; ++id) {
    ForwardRequest request = makeRequest(id);
    request.large_response = id <= kLargeIds;
    wire::FrameBodyUnion body;
    body.Set(std::move(request));
    writeFrame(socket, encodeFrame(body));
  }
  for (std::uint64_t id = 1; id <= kIds; ++id) {
    const std::optional<TestNode::Call> call = node.mCalls.pop(kTestTimeout);
    Answer answer;
    answer.body.resize(id <= kLargeIds ? kLarge : 1);
    call->second(std::move(answer));
  }
  // All answers are queued before the first one is read.
  const Millis until = monotonicNow() + kTestTimeout;
  const auto queuedBytes = [&] {
    return node.mTransport->traffic().mAnswerBytesQueued;
  };
  while (queuedBytes() < kLargeIds * kLarge && monotonicNow() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  std::vector<std::uint64_t> order;
  while (order.size() < kIds) {
    Result<wire::FrameBodyUnion> frame = readFrame(socket);
    if (!frame) {
      break;
    }
    if (const wire::ForwardAnswerT* answer = frame->AsForwardAnswer()) {
      order.push_back(answer->id_low);
    }
  }
  return order;
}

}

BOOST_AUTO_TEST_SUITE(peer_transport_faults)

/// Guards against small answers that wait for large ones on a narrow link.
BOOST_AUTO_TEST_CASE(small_answers_overtake_large_ones_that_wait)
{
  const std::vector<std::uint64_t> smallFirst{ 1, 4, 5, 2, 3 };
  const std::vector<std::uint64_t> asGiven{ 1, 2, 3, 4, 5 };
  BOOST_TEST(arrivalOrder(true) == smallFirst,
             boost::test_tools::per_element());
  BOOST_TEST(arrivalOrder(false) == asGiven, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(control_frame_carries_sender_incarnation)
{
  TestNode sender(1);
  TestNode receiver(2);
  sender.mTransport->sendControl(
    receiver.address(), 2, makeRenewBody(1, 77_ms));
  auto frame = receiver.mControl.pop(kTestTimeout);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame->first == 1U);
  BOOST_REQUIRE(frame->second.AsRenew() != nullptr);
  BOOST_TEST(frame->second.AsRenew()->sent_ms == 77);
  const PeerTransport::Traffic sent = sender.mTransport->traffic();
  const PeerTransport::Traffic received = receiver.mTransport->traffic();
  BOOST_TEST(sent.mControlFramesSent == 1U);
  BOOST_TEST(sent.mControlBytesSent > 0U);
  BOOST_TEST(sent.mControlBytesSent == received.mControlBytesReceived);
}

BOOST_AUTO_TEST_CASE(control_frame_for_another_incarnation_is_dropped)
{
  TestNode sender(1);
  TestNode receiver(2);
  sender.mTransport->sendControl(receiver.address(), 3, makeRenewBody(1, 1_ms));
  sender.mTransport->sendControl(receiver.address(), 2, makeRenewBody(1, 2_ms));
  sender.mTransport->sendControl(receiver.address(), 4, makeRenewBody(1, 3_ms));
  sender.mTransport->sendControl(receiver.address(), 0, makeRenewBody(1, 4_ms));
  for (const std::int64_t expected : { 2, 4 }) {
    const auto frame = receiver.mControl.pop(kTestTimeout);
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->second.AsRenew()->sent_ms == expected);
  }
  BOOST_TEST(sender.mTransport->traffic().mControlFramesSent == 2U);
}

BOOST_AUTO_TEST_CASE(control_frames_are_not_delayed_by_large_bodies)
{
  constexpr std::size_t kBytes = 16U << 20;
  constexpr std::uint64_t kBodies = 12;
  // A renewal with a longer delay would use up a large part of the lease.
  constexpr Millis kMaxDelay{ 250 };
  TestNode sender(1);
  TestNode receiver(2);
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<bool> done = false;
  std::thread bodySender([&] {
    for (std::uint64_t id = 1; id <= kBodies; ++id) {
      ForwardRequest request = makeRequest(id);
      request.body.resize(kBytes);
      sender.forward(receiver.address(), std::move(request));
      std::optional<TestNode::Call> call = receiver.mCalls.pop(kTestTimeout);
      if (call) {
        call->second(Answer());
      }
      answered += sender.mAnswers.pop(kTestTimeout) ? 1 : 0;
    }
    done = true;
  });
  Millis maxDelay;
  int frames = 0;
  bool frameLost = false;
  while (!done && !frameLost) {
    const Millis before = monotonicNow();
    sender.mTransport->sendControl(
      receiver.address(), 2, makeRenewBody(1, before));
    frameLost = !receiver.mControl.pop(kTestTimeout).has_value();
    maxDelay = std::max(maxDelay, monotonicNow() - before);
    ++frames;
    // Waits 5 ms, as no frame arrives here, to limit the load of the control
    // frames themselves.
    sender.mControl.pop(5_ms);
  }
  bodySender.join();
  BOOST_TEST(!frameLost);
  BOOST_TEST(answered == kBodies);
  BOOST_TEST_MESSAGE(frames << " control frames during " << kBodies
                            << " bodies of 16 MiB, longest delay "
                            << maxDelay.mCount << " ms");
  BOOST_TEST((maxDelay < kMaxDelay));
}

BOOST_AUTO_TEST_CASE(control_frames_are_sent_while_a_body_write_is_blocked)
{
  TestNode sender(1);
  RawPeer peer;
  ForwardRequest request = makeRequest(1);
  request.body.resize(16U << 20);
  sender.forward(peer.address(), std::move(request));
  Tcp::socket requestSocket = peer.accept();
  writeFrame(requestSocket, makeHelloFrame(2));
  BOOST_REQUIRE(readFrame(requestSocket).has_value());
  // The length prefix of the request's frame: the write has begun.
  std::array<std::uint8_t, kFramePrefixBytes> prefix;
  asio::read(requestSocket, asio::buffer(prefix));
  sender.mTransport->sendControl(peer.address(), 2, makeRenewBody(1, 5_ms));
  Tcp::socket controlSocket = peer.accept();
  writeFrame(controlSocket, makeHelloFrame(2));
  BOOST_REQUIRE(readFrame(controlSocket).has_value());
  const Result<wire::FrameBodyUnion> frame = readFrame(controlSocket);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame->AsRenew() != nullptr);
}

BOOST_AUTO_TEST_CASE(backoff_ends_when_a_frame_arrives_from_the_peer)
{
  std::string address;
  {
    RawPeer peer;
    address = peer.address();
  }
  TestNode node(1);
  std::int64_t retryAfterMs = 0;
  const Millis end = monotonicNow() + kTestTimeout;
  while (retryAfterMs < 400 && monotonicNow() < end) {
    node.forward(address, makeRequest(1));
    const std::optional<Answer> answer = node.mAnswers.pop(kTestTimeout);
    BOOST_REQUIRE(answer.has_value());
    retryAfterMs = answer->retry_after_ms;
  }
  BOOST_TEST(retryAfterMs >= 400);
  TestNode restarted(2, address);
  BOOST_REQUIRE(restarted.mStarted);
  restarted.mTransport->sendControl(node.address(), 1, makeRenewBody(2, 1_ms));
  BOOST_REQUIRE(node.mControl.pop(kTestTimeout).has_value());
  // Refused at once if the backoff is still in effect.
  node.forward(address, makeRequest(2));
  BOOST_TEST(restarted.mCalls.pop(1_s).has_value());
  BOOST_TEST(node.mAnswers.size() == 0U);
}

BOOST_AUTO_TEST_CASE(request_to_an_unresponsive_peer_ends_before_its_deadline)
{
  TestNode caller(1);
  RawPeer peer;
  std::thread unresponsivePeer([&peer] {
    Tcp::socket socket = peer.accept();
    writeFrame(socket, makeHelloFrame(9));
    readUntilClosed(socket);
  });
  const Millis before = monotonicNow();
  caller.forward(peer.address(), makeRequest(1, 60_s));
  const std::optional<Answer> answer = caller.mAnswers.pop(kTestTimeout);
  const Millis elapsed = monotonicNow() - before;
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->kind == AnswerKind::Unknown));
  BOOST_TEST((elapsed > 2_s));
  BOOST_TEST((elapsed < 6_s));
  unresponsivePeer.join();
}

BOOST_AUTO_TEST_CASE(slow_answer_from_a_responsive_peer_is_received)
{
  TestNode caller(1);
  TestNode owner(2);
  caller.forward(owner.address(), makeRequest(1));
  std::optional<TestNode::Call> call = owner.mCalls.pop(kTestTimeout);
  BOOST_REQUIRE(call.has_value());
  // Longer than the timeout of an unresponsive peer.
  BOOST_TEST(!caller.mAnswers.pop(4_s).has_value());
  call->second(Answer());
  const std::optional<Answer> answer = caller.mAnswers.pop(kTestTimeout);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->kind == AnswerKind::Answered));
}

BOOST_AUTO_TEST_CASE(idle_connection_stays_open)
{
  TestNode caller(1);
  TestNode owner(2);
  caller.forward(owner.address(), makeRequest(1));
  std::optional<TestNode::Call> call = owner.mCalls.pop(kTestTimeout);
  BOOST_REQUIRE(call.has_value());
  call->second(Answer());
  BOOST_REQUIRE(caller.mAnswers.pop(kTestTimeout).has_value());
  BOOST_TEST(!owner.mClosed.pop(4_s).has_value());
}

BOOST_AUTO_TEST_CASE(requests_of_an_unresponsive_caller_are_cancelled)
{
  TestNode owner(2);
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(owner.address()));
  writeFrame(socket, makeHelloFrame(1));
  wire::FrameBodyUnion body;
  body.Set(makeRequest(8));
  writeFrame(socket, encodeFrame(body));
  BOOST_REQUIRE(owner.mCalls.pop(kTestTimeout).has_value());
  BOOST_TEST(owner.mCancels.pop(kTestTimeout).value_or(0) == 8U);
  BOOST_TEST((owner.mClosed.pop(kTestTimeout).value_or(ErrorCode::Full) ==
              ErrorCode::Timeout));
}

namespace {

/// Sends aBytes on a new connection and returns why the node closed it.
std::optional<ErrorCode>
sendAndGetCloseReason(TestNode& aNode, std::span<const std::uint8_t> aBytes)
{
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(aNode.address()));
  writeAll(socket, aBytes);
  std::optional<ErrorCode> reason = aNode.mClosed.pop(kTestTimeout);
  return reason;
}

std::vector<std::uint8_t>
toBytes(const FrameBuffer& aFrame)
{
  return { aFrame.data(), aFrame.data() + aFrame.size() };
}

void
append(std::vector<std::uint8_t>& aTo, const FrameBuffer& aFrame)
{
  aTo.insert(aTo.end(), aFrame.data(), aFrame.data() + aFrame.size());
}

void
checkStillServes(TestNode& aNode)
{
  TestNode caller(77);
  caller.forward(aNode.address(), makeRequest(1));
  std::optional<TestNode::Call> call = aNode.mCalls.pop(kTestTimeout);
  BOOST_REQUIRE(call.has_value());
  call->second(Answer());
  BOOST_TEST(caller.mAnswers.pop(kTestTimeout).has_value());
}

}

BOOST_AUTO_TEST_CASE(invalid_first_frames_close_the_connection)
{
  TestNode node(2);
  std::vector<std::vector<std::uint8_t>> invalidFrames;
  invalidFrames.push_back({ 'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P' });
  invalidFrames.push_back({ 0, 0, 0, 0 });
  invalidFrames.push_back({ 0xFF, 0xFF, 0xFF, 0xFF });
  invalidFrames.push_back({ 8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8 });
  invalidFrames.push_back(toBytes(encodeFrame(makeRenewBody(1, 1_ms))));
  for (const std::vector<std::uint8_t>& bytes : invalidFrames) {
    BOOST_TEST((sendAndGetCloseReason(node, bytes) == ErrorCode::Corrupt));
  }
  BOOST_TEST(node.mControl.size() == 0U);
  checkStillServes(node);
}

BOOST_AUTO_TEST_CASE(invalid_later_frames_close_the_connection)
{
  TestNode node(2);
  std::vector<std::uint8_t> bytes = toBytes(makeHelloFrame(1));
  bytes.insert(bytes.end(), { 4, 0, 0, 0, 1, 2, 3, 4 });
  BOOST_TEST((sendAndGetCloseReason(node, bytes) == ErrorCode::Corrupt));
  bytes = toBytes(makeHelloFrame(1));
  bytes.insert(bytes.end(), { 0, 0, 0, 0x7F });
  BOOST_TEST((sendAndGetCloseReason(node, bytes) == ErrorCode::Corrupt));
  checkStillServes(node);
}

BOOST_AUTO_TEST_CASE(mutated_frames_do_not_crash_the_receiver)
{
  constexpr int kRounds = 300;
  TestNode node(2);
  std::mt19937 random(11);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::uint8_t> bytes = toBytes(makeHelloFrame(1));
    const std::size_t start = bytes.size();
    append(bytes, encodeFrame(makeRenewBody(5, 6_ms)));
    for (int n = 0; n < 3; ++n) {
      const std::size_t at =
        start + kFramePrefixBytes +
        random() % (bytes.size() - start - kFramePrefixBytes);
      bytes[at] = static_cast<std::uint8_t>(random());
    }
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(*parsePeerAddress(node.address()));
    writeAll(socket, bytes);
    socket.shutdown(Tcp::socket::shutdown_send);
    BOOST_REQUIRE(node.mClosed.pop(kTestTimeout).has_value());
  }
  checkStillServes(node);
}

BOOST_AUTO_TEST_CASE(frame_received_byte_by_byte_is_read)
{
  TestNode node(2);
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(node.address()));
  socket.set_option(Tcp::no_delay(true));
  std::vector<std::uint8_t> bytes = toBytes(makeHelloFrame(1));
  append(bytes, encodeFrame(makeRenewBody(1, 5_ms)));
  for (const std::uint8_t& byte : bytes) {
    writeAll(socket, { &byte, 1 });
  }
  BOOST_TEST(node.mControl.pop(kTestTimeout).has_value());
}

BOOST_AUTO_TEST_CASE(frames_without_a_valid_body_are_rejected)
{
  wire::FrameBodyUnion none;
  const FrameBuffer empty = encodeFrame(none);
  BOOST_TEST(!decodeFrame({ empty.data(), empty.size() }).has_value());
  wire::FrameBodyUnion body;
  wire::ForwardAnswerT answer;
  answer.kind = static_cast<AnswerKind>(9);
  body.Set(std::move(answer));
  const FrameBuffer unknownKind = encodeFrame(body);
  BOOST_TEST(
    !decodeFrame({ unknownKind.data(), unknownKind.size() }).has_value());
  BOOST_TEST(!decodeFrame({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
