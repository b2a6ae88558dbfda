#include "common/reply.h"

#include <ostream>
#include <pistache/peer.h>
#include <string>
#include <sys/socket.h>

namespace radishroad::tools {

namespace {

/// A header with an arbitrary name. The library writes only headers that have a
/// type.
class CustomHeader : public Pistache::Http::Header::Header
{
public:
  CustomHeader(std::string_view aName, std::string_view aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }

  const char* name() const override { return mName.c_str(); }
  uint64_t hash() const override
  {
    return Pistache::Http::Header::detail::hash(mName.c_str());
  }
  void write(std::ostream& aStream) const override { aStream << mValue; }

private:
  std::string mName;
  std::string mValue;
};

using Pistache::Http::Header::Connection;

/// Sets "Connection: Keep-Alive". Unless the client has asked for keep-alive
/// explicitly, the library announces the close of a connection that it keeps
/// open; HTTP/1.1 connections are persistent by default.
void
setKeepAlive(Pistache::Http::Header::Collection& aHeaders)
{
  aHeaders.remove<Connection>();
  aHeaders.add<Connection>(Pistache::Http::ConnectionControl::KeepAlive);
}

}

Reply::Reply(Pistache::Http::ResponseWriter aWriter)
  : mWriter(
      std::make_shared<Pistache::Http::ResponseWriter>(std::move(aWriter)))
{
  setKeepAlive(mWriter->headers());
}

void
Reply::header(std::string_view aName, std::string_view aValue) const
{
  mWriter->headers().add(std::make_shared<CustomHeader>(aName, aValue));
}

void
Reply::send(int aStatus,
            std::string_view aBody,
            std::string_view aContentType) const
{
  header("Content-Type", aContentType);
  try {
    mWriter->send(
      static_cast<Pistache::Http::Code>(aStatus), aBody.data(), aBody.size());
  } catch (const std::exception&) {
    // The client has disconnected.
    drop();
  }
}

void
Reply::sendRaw(std::string_view aBytes) const
{
  const std::shared_ptr<Pistache::Tcp::Peer> peer = mWriter->getPeer();
  if (peer) {
    ::send(peer->fd(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    ::shutdown(peer->fd(), SHUT_RDWR);
  }
}

void
Reply::drop() const
{
  const std::shared_ptr<Pistache::Tcp::Peer> peer = mWriter->getPeer();
  if (peer) {
    ::shutdown(peer->fd(), SHUT_RDWR);
  }
}

std::size_t
Reply::connectionId() const
{
  const std::shared_ptr<Pistache::Tcp::Peer> peer = mWriter->getPeer();
  return peer ? peer->getID() + 1 : 0;
}

}
