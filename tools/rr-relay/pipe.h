#ifndef RADISHROAD_TOOLS_RR_RELAY_PIPE_H
#define RADISHROAD_TOOLS_RR_RELAY_PIPE_H

#include "radishroad/base/millis.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace radishroad::tools {

/// Copies bytes in one direction between two sockets. Runs on the relay's
/// thread.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
  using SocketPtr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  struct Hooks
  {
    std::function<bool()> mIsHeld;
    std::function<Millis()> mDelay;
    /// Called when the connection has ended.
    std::function<void()> mOnEnd;
  };

  Pipe(SocketPtr aFrom, SocketPtr aTo, Hooks aHooks);

  void start();
  /// Delivers the chunks that are due. Must be called when a rule has changed.
  void deliver();
  /// Drops the hooks, which hold references to the session.
  void stop();

private:
  struct Chunk
  {
    boost::asio::steady_timer::time_point mDue;
    /// Empty at the end of the stream.
    std::string mBytes;
  };

  void read();
  void onRead(std::size_t aCount);
  void queue(std::string aBytes);
  void onWritten();
  void end();

  SocketPtr mFrom;
  SocketPtr mTo;
  Hooks mHooks;
  boost::asio::steady_timer mTimer;
  std::array<char, 65536> mBuf{};
  std::deque<Chunk> mChunks;
  std::size_t mQueuedBytes = 0;
  bool mWriting = false;
  bool mReadPaused = false;
  bool mStopped = false;
};

}

#endif
