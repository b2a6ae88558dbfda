#ifndef RADISHROAD_TOOLS_COMMON_REPLY_H
#define RADISHROAD_TOOLS_COMMON_REPLY_H

#include <memory>
#include <pistache/http.h>
#include <string_view>

namespace radishroad::tools {

/// The response to one HTTP request. May be copied into timers and used from
/// any thread. Exactly one of send, sendRaw and drop must be called, once.
class Reply
{
public:
  explicit Reply(Pistache::Http::ResponseWriter aWriter);

  void header(std::string_view aName, std::string_view aValue) const;
  void send(int aStatus,
            std::string_view aBody,
            std::string_view aContentType = "application/json") const;
  /// Writes the bytes unchanged and closes the connection.
  void sendRaw(std::string_view aBytes) const;
  /// Closes the connection without a response.
  void drop() const;
  /// Process-wide unique number of the connection; 0 if it is closed.
  std::size_t connectionId() const;

private:
  std::shared_ptr<Pistache::Http::ResponseWriter> mWriter;
};

}

#endif
