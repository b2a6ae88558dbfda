#ifndef RADISHROAD_TESTS_UNIT_PEER_TRANSPORT_FIXTURE_H
#define RADISHROAD_TESTS_UNIT_PEER_TRANSPORT_FIXTURE_H

#include "radishroad/base/bounded_queue.h"
#include "radishroad/peer/address.h"
#include "radishroad/peer/frame.h"
#include "radishroad/peer/peer_transport.h"

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace peer_transport_test {

using namespace radishroad;
using namespace radishroad::literals;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Millis kTestTimeout{ 10'000 };

inline ForwardRequest
makeRequest(std::uint64_t aId, Millis aTimeLeft = kTestTimeout)
{
  ForwardRequest request;
  request.id_low = aId;
  request.time_left_ms = aTimeLeft.mCount;
  request.method = "GET";
  request.target = "/page?n=" + std::to_string(aId);
  return request;
}

/// A transport whose received frames, requests and answers are queued for the
/// test.
struct TestNode
{
  using Call = std::pair<ForwardRequest, AnswerFn>;

  explicit TestNode(std::uint64_t aIncarnation,
                    std::string aAddress = "127.0.0.1:0",
                    std::size_t aMaxQueuedBytes = 64U << 20,
                    bool aSmallFirst = false)
  {
    PeerTransport::Options options;
    options.mListenAddress = std::move(aAddress);
    options.mIncarnation = aIncarnation;
    options.mVm = "vm" + std::to_string(aIncarnation);
    options.mMaxQueuedBytes = aMaxQueuedBytes;
    options.mSmallFirst = aSmallFirst;
    PeerTransport::Hooks hooks;
    hooks.mOnControl = [this](std::uint64_t aFrom, wire::FrameBodyUnion aBody) {
      mControl.tryPush({ aFrom, std::move(aBody) });
    };
    hooks.mOnRequest = [this](ForwardRequest aRequest, AnswerFn aAnswer) {
      mCalls.tryPush({ std::move(aRequest), std::move(aAnswer) });
    };
    hooks.mOnCancel = [this](RandomId aId) {
      mCancels.tryPush(std::uint64_t(aId.mLow));
    };
    hooks.mOnClosed = [this](std::uint64_t, const Error& aReason) {
      mClosed.tryPush(ErrorCode(aReason.mCode));
    };
    mTransport =
      std::make_unique<PeerTransport>(std::move(options), std::move(hooks));
    mStarted = mTransport->start().has_value();
  }
  ~TestNode() { mTransport->stop(); }

  void forward(const std::string& aTo, ForwardRequest aRequest)
  {
    mTransport->forward(aTo, std::move(aRequest), [this](Answer aAnswer) {
      mAnswers.tryPush(std::move(aAnswer));
    });
  }
  std::string address() const { return mTransport->listenAddress(); }

  BoundedQueue<std::pair<std::uint64_t, wire::FrameBodyUnion>> mControl{ 1024 };
  BoundedQueue<Call> mCalls{ 1024 };
  BoundedQueue<std::uint64_t> mCancels{ 1024 };
  BoundedQueue<ErrorCode> mClosed{ 1024 };
  BoundedQueue<Answer> mAnswers{ 1024 };
  std::unique_ptr<PeerTransport> mTransport;
  bool mStarted = false;
};

/// A listening socket that is driven by the test.
struct RawPeer
{
  RawPeer()
    : mAcceptor(mContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
  }
  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  Tcp::socket accept() { return mAcceptor.accept(); }

  asio::io_context mContext;
  Tcp::acceptor mAcceptor;
};

inline FrameBuffer
makeHelloFrame(std::uint64_t aIncarnation)
{
  wire::HelloT hello;
  hello.incarnation = aIncarnation;
  wire::FrameBodyUnion body;
  body.Set(std::move(hello));
  return encodeFrame(body);
}

inline void
writeAll(Tcp::socket& aSocket, std::span<const std::uint8_t> aBytes)
{
  asio::write(aSocket, asio::buffer(aBytes.data(), aBytes.size()));
}

inline void
writeFrame(Tcp::socket& aSocket, const FrameBuffer& aFrame)
{
  writeAll(aSocket, { aFrame.data(), aFrame.size() });
}

/// Reads one frame; fails with the read error or the error of the decoder.
inline Result<wire::FrameBodyUnion>
readFrame(Tcp::socket& aSocket)
{
  std::vector<std::uint8_t> bytes(kFramePrefixBytes);
  boost::system::error_code ec;
  asio::read(aSocket, asio::buffer(bytes), ec);
  if (!ec) {
    const std::size_t length = frameLength(bytes);
    bytes.resize(kFramePrefixBytes + length);
    asio::read(
      aSocket, asio::buffer(bytes.data() + kFramePrefixBytes, length), ec);
  }
  if (ec) {
    return fail(ErrorCode::Unavailable, ec.message());
  }
  return decodeFrame(bytes);
}

/// Reads until the peer closes the connection.
inline void
readUntilClosed(Tcp::socket& aSocket)
{
  std::array<std::uint8_t, 4096> buf;
  boost::system::error_code ec;
  while (!ec) {
    aSocket.read_some(asio::buffer(buf), ec);
  }
}

inline wire::FrameBodyUnion
makeRenewBody(std::uint64_t aIncarnation, Millis aSentAt)
{
  wire::RenewT renew;
  renew.incarnation = aIncarnation;
  renew.sent_ms = aSentAt.mCount;
  wire::FrameBodyUnion body;
  body.Set(renew);
  return body;
}

}

#endif
