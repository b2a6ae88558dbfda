#ifndef RADISHROAD_TOOLS_COMMON_REPLY_H
#define RADISHROAD_TOOLS_COMMON_REPLY_H

#include <memory>
#include <pistache/http.h>
#include <string_view>

namespace radishroad::tools {

/// The answer to one HTTP request. May be copied into timers and used from
/// any thread; send, sendRaw or drop is called once.
class Reply
{
public:
  explicit Reply(Pistache::Http::ResponseWriter aWriter);

  void header(std::string_view aName, std::string_view aValue) const;
  void send(int aStatus,
            std::string_view aBody,
            std::string_view aContentType = "application/json") const;
  /// Writes bytes as they are and closes the connection.
  void sendRaw(std::string_view aBytes) const;
  /// Closes the connection without an answer.
  void drop() const;
  /// Number of the connection, unique in the process; 0 if it has gone.
  std::size_t connection() const;

private:
  std::shared_ptr<Pistache::Http::ResponseWriter> mWriter;
};

}

#endif
