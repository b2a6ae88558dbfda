#ifndef RADISHROAD_TOOLS_COMMON_JOURNAL_H
#define RADISHROAD_TOOLS_COMMON_JOURNAL_H

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroad::tools {

/// An event log of JSON lines. Each line is written immediately and with one
/// call, so that the file is complete up to the moment when the process is
/// killed.
class Journal
{
public:
  /// Opens the file for appending; with an empty path, events are discarded.
  explicit Journal(const std::string& aPath);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  bool isOpen() const;
  /// Adds "ms" (wall-clock time) to the event and writes it. Thread-safe.
  void write(nlohmann::json aEvent);

private:
  int mFile = -1;
};

}

#endif
