#include "unit/link_fixture.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

using namespace link_test;

BOOST_AUTO_TEST_SUITE(peer_link_faults)

BOOST_AUTO_TEST_CASE(control_frame_names_its_sender)
{
  Node sender(1);
  Node receiver(2);
  sender.mLink->sendControl(receiver.address(), 2, renewFrame(1, 77_ms));
  auto frame = receiver.mControl.pop(kPatience);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame->first == 1U);
  BOOST_REQUIRE(frame->second.AsRenew() != nullptr);
  BOOST_TEST(frame->second.AsRenew()->sent_ms == 77);
  const PeerLink::Traffic sent = sender.mLink->traffic();
  const PeerLink::Traffic received = receiver.mLink->traffic();
  BOOST_TEST(sent.mControlFramesSent == 1U);
  BOOST_TEST(sent.mControlBytesSent > 0U);
  BOOST_TEST(sent.mControlBytesSent == received.mControlBytesReceived);
}

BOOST_AUTO_TEST_CASE(control_frame_for_another_incarnation_is_dropped)
{
  Node sender(1);
  Node receiver(2);
  sender.mLink->sendControl(receiver.address(), 3, renewFrame(1, 1_ms));
  sender.mLink->sendControl(receiver.address(), 2, renewFrame(1, 2_ms));
  sender.mLink->sendControl(receiver.address(), 4, renewFrame(1, 3_ms));
  sender.mLink->sendControl(receiver.address(), 0, renewFrame(1, 4_ms));
  for (const std::int64_t expected : { 2, 4 }) {
    const auto frame = receiver.mControl.pop(kPatience);
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->second.AsRenew()->sent_ms == expected);
  }
  BOOST_TEST(sender.mLink->traffic().mControlFramesSent == 2U);
}

BOOST_AUTO_TEST_CASE(large_bodies_do_not_delay_control_frames)
{
  constexpr std::size_t kBytes = 16U << 20;
  constexpr std::uint64_t kBodies = 12;
  // A renewal later than this would cost a good part of the lease.
  constexpr Millis kLongestDelay{ 250 };
  Node sender(1);
  Node receiver(2);
  std::atomic<std::uint64_t> passed = 0;
  std::atomic<bool> done = false;
  std::thread bodies([&] {
    for (std::uint64_t id = 1; id <= kBodies; ++id) {
      ForwardRequest request = makeRequest(id);
      request.body.resize(kBytes);
      sender.forward(receiver.address(), std::move(request));
      std::optional<Node::Call> call = receiver.mCalls.pop(kPatience);
      if (call) {
        call->second(Answer());
      }
      passed += sender.mAnswers.pop(kPatience) ? 1 : 0;
    }
    done = true;
  });
  Millis worst;
  int frames = 0;
  bool lost = false;
  while (!done && !lost) {
    const Millis before = monotonicNow();
    sender.mLink->sendControl(receiver.address(), 2, renewFrame(1, before));
    lost = !receiver.mControl.pop(kPatience).has_value();
    worst = std::max(worst, monotonicNow() - before);
    ++frames;
    // Nothing comes here: a pause, so that the frames are no load themselves.
    sender.mControl.pop(5_ms);
  }
  bodies.join();
  BOOST_TEST(!lost);
  BOOST_TEST(passed == kBodies);
  BOOST_TEST_MESSAGE(frames << " control frames beside " << kBodies
                            << " bodies of 16 MiB, longest delay "
                            << worst.mCount << " ms");
  BOOST_TEST((worst < kLongestDelay));
}

BOOST_AUTO_TEST_CASE(control_frames_pass_a_body_that_is_stuck)
{
  Node sender(1);
  RawPeer peer;
  ForwardRequest request = makeRequest(1);
  request.body.resize(16U << 20);
  sender.forward(peer.address(), std::move(request));
  Tcp::socket stuck = peer.accept();
  writeFrame(stuck, helloFrame(2));
  BOOST_REQUIRE(readFrame(stuck).has_value());
  // The length of the body's frame: its writing has begun.
  std::array<std::uint8_t, kFramePrefixBytes> prefix;
  asio::read(stuck, asio::buffer(prefix));
  sender.mLink->sendControl(peer.address(), 2, renewFrame(1, 5_ms));
  Tcp::socket control = peer.accept();
  writeFrame(control, helloFrame(2));
  BOOST_REQUIRE(readFrame(control).has_value());
  const Result<wire::FrameBodyUnion> frame = readFrame(control);
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST(frame->AsRenew() != nullptr);
}

BOOST_AUTO_TEST_CASE(peer_that_is_heard_again_is_reached_despite_back_off)
{
  std::string address;
  {
    RawPeer peer;
    address = peer.address();
  }
  Node node(1);
  std::int64_t wait = 0;
  const Millis end = monotonicNow() + kPatience;
  while (wait < 400 && monotonicNow() < end) {
    node.forward(address, makeRequest(1));
    const std::optional<Answer> answer = node.mAnswers.pop(kPatience);
    BOOST_REQUIRE(answer.has_value());
    wait = answer->retry_after_ms;
  }
  BOOST_TEST(wait >= 400);
  Node back(2, address);
  BOOST_REQUIRE(back.mStarted);
  back.mLink->sendControl(node.address(), 1, renewFrame(2, 1_ms));
  BOOST_REQUIRE(node.mControl.pop(kPatience).has_value());
  // Refused at once if the back-off still holds.
  node.forward(address, makeRequest(2));
  BOOST_TEST(back.mCalls.pop(1_s).has_value());
  BOOST_TEST(node.mAnswers.size() == 0U);
}

BOOST_AUTO_TEST_CASE(request_to_a_silent_peer_ends_before_its_deadline)
{
  Node caller(1);
  RawPeer peer;
  std::thread silent([&peer] {
    Tcp::socket socket = peer.accept();
    writeFrame(socket, helloFrame(9));
    drain(socket);
  });
  const Millis before = monotonicNow();
  caller.forward(peer.address(), makeRequest(1, 60_s));
  const std::optional<Answer> answer = caller.mAnswers.pop(kPatience);
  const Millis taken = monotonicNow() - before;
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->kind == AnswerKind::Unknown));
  BOOST_TEST((taken > 2_s));
  BOOST_TEST((taken < 6_s));
  silent.join();
}

BOOST_AUTO_TEST_CASE(slow_answer_of_a_live_peer_is_waited_for)
{
  Node caller(1);
  Node owner(2);
  caller.forward(owner.address(), makeRequest(1));
  std::optional<Node::Call> call = owner.mCalls.pop(kPatience);
  BOOST_REQUIRE(call.has_value());
  // Longer than a silent peer's connection lasts.
  BOOST_TEST(!caller.mAnswers.pop(4_s).has_value());
  call->second(Answer());
  const std::optional<Answer> answer = caller.mAnswers.pop(kPatience);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->kind == AnswerKind::Answered));
}

BOOST_AUTO_TEST_CASE(idle_connection_stays_open)
{
  Node caller(1);
  Node owner(2);
  caller.forward(owner.address(), makeRequest(1));
  std::optional<Node::Call> call = owner.mCalls.pop(kPatience);
  BOOST_REQUIRE(call.has_value());
  call->second(Answer());
  BOOST_REQUIRE(caller.mAnswers.pop(kPatience).has_value());
  BOOST_TEST(!owner.mClosed.pop(4_s).has_value());
}

BOOST_AUTO_TEST_CASE(caller_that_fell_silent_has_its_requests_cancelled)
{
  Node owner(2);
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(owner.address()));
  writeFrame(socket, helloFrame(1));
  wire::FrameBodyUnion body;
  body.Set(makeRequest(8));
  writeFrame(socket, encodeFrame(body));
  BOOST_REQUIRE(owner.mCalls.pop(kPatience).has_value());
  BOOST_TEST(owner.mCancels.pop(kPatience).value_or(0) == 8U);
  BOOST_TEST((owner.mClosed.pop(kPatience).value_or(ErrorCode::Full) ==
              ErrorCode::Timeout));
}

namespace {

/// Sends aBytes on a new connection and tells why the node closed it.
std::optional<ErrorCode>
closeReason(Node& aNode, std::span<const std::uint8_t> aBytes)
{
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(aNode.address()));
  writeAll(socket, aBytes);
  std::optional<ErrorCode> reason = aNode.mClosed.pop(kPatience);
  return reason;
}

std::vector<std::uint8_t>
bytesOf(const FrameBuffer& aFrame)
{
  return { aFrame.data(), aFrame.data() + aFrame.size() };
}

void
append(std::vector<std::uint8_t>& aTo, const FrameBuffer& aFrame)
{
  aTo.insert(aTo.end(), aFrame.data(), aFrame.data() + aFrame.size());
}

void
expectServing(Node& aNode)
{
  Node caller(77);
  caller.forward(aNode.address(), makeRequest(1));
  std::optional<Node::Call> call = aNode.mCalls.pop(kPatience);
  BOOST_REQUIRE(call.has_value());
  call->second(Answer());
  BOOST_TEST(caller.mAnswers.pop(kPatience).has_value());
}

}

BOOST_AUTO_TEST_CASE(bad_first_frames_close_the_connection)
{
  Node node(2);
  std::vector<std::vector<std::uint8_t>> bad;
  bad.push_back({ 'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P' });
  bad.push_back({ 0, 0, 0, 0 });
  bad.push_back({ 0xFF, 0xFF, 0xFF, 0xFF });
  bad.push_back({ 8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8 });
  bad.push_back(bytesOf(encodeFrame(renewFrame(1, 1_ms))));
  for (const std::vector<std::uint8_t>& bytes : bad) {
    BOOST_TEST((closeReason(node, bytes) == ErrorCode::Corrupt));
  }
  BOOST_TEST(node.mControl.size() == 0U);
  expectServing(node);
}

BOOST_AUTO_TEST_CASE(bad_later_frames_close_the_connection)
{
  Node node(2);
  std::vector<std::uint8_t> bytes = bytesOf(helloFrame(1));
  bytes.insert(bytes.end(), { 4, 0, 0, 0, 1, 2, 3, 4 });
  BOOST_TEST((closeReason(node, bytes) == ErrorCode::Corrupt));
  bytes = bytesOf(helloFrame(1));
  bytes.insert(bytes.end(), { 0, 0, 0, 0x7F });
  BOOST_TEST((closeReason(node, bytes) == ErrorCode::Corrupt));
  expectServing(node);
}

BOOST_AUTO_TEST_CASE(mutated_frames_do_no_harm)
{
  constexpr int kRounds = 300;
  Node node(2);
  std::mt19937 random(11);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::uint8_t> bytes = bytesOf(helloFrame(1));
    const std::size_t start = bytes.size();
    append(bytes, encodeFrame(renewFrame(5, 6_ms)));
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
    BOOST_REQUIRE(node.mClosed.pop(kPatience).has_value());
  }
  expectServing(node);
}

BOOST_AUTO_TEST_CASE(frame_in_single_bytes_is_read)
{
  Node node(2);
  asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(*parsePeerAddress(node.address()));
  socket.set_option(Tcp::no_delay(true));
  std::vector<std::uint8_t> bytes = bytesOf(helloFrame(1));
  append(bytes, encodeFrame(renewFrame(1, 5_ms)));
  for (const std::uint8_t& byte : bytes) {
    writeAll(socket, { &byte, 1 });
  }
  BOOST_TEST(node.mControl.pop(kPatience).has_value());
}

BOOST_AUTO_TEST_CASE(frames_without_a_usable_body_do_not_decode)
{
  wire::FrameBodyUnion none;
  const FrameBuffer empty = encodeFrame(none);
  BOOST_TEST(!decodeFrame({ empty.data(), empty.size() }).has_value());
  wire::FrameBodyUnion body;
  Answer answer;
  answer.kind = static_cast<AnswerKind>(9);
  body.Set(std::move(answer));
  const FrameBuffer odd = encodeFrame(body);
  BOOST_TEST(!decodeFrame({ odd.data(), odd.size() }).has_value());
  BOOST_TEST(!decodeFrame({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
