#ifndef RADISHROAD_TOOLS_COMMON_JOURNAL_H
#define RADISHROAD_TOOLS_COMMON_JOURNAL_H

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroad::tools {

/// A file of JSON lines, each written whole and at once, so that it is
/// complete up to the moment at which the process is killed.
class Journal
{
public:
  /// Opens the file for appending; an empty path keeps no journal.
  explicit Journal(const std::string& aPath);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  bool isOpen() const;
  /// Adds "ms" (wall time) to the event and writes it. Any thread.
  void write(nlohmann::json aEvent);

private:
  int mFile = -1;
};

}

#endif
