#include "common/journal.h"

#include "radishroad/base/millis.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace radishroad::tools {

Journal::Journal(const std::string& aPath)
{
  constexpr int kFileMode = 0644;
  if (!aPath.empty()) {
    mFile = ::open(
      aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  }
}

Journal::~Journal()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

bool
Journal::isOpen() const
{
  return mFile >= 0;
}

void
Journal::write(nlohmann::json aEvent)
{
  if (mFile < 0) {
    return;
  }
  aEvent["ms"] = wallNow().mCount;
  const std::string line = aEvent.dump() + "\n";
  // Each line is a single write to a file opened with O_APPEND, so lines of
  // concurrent writers do not interleave.
  const ssize_t n = ::write(mFile, line.data(), line.size());
  if (n != static_cast<ssize_t>(line.size())) {
    ::_exit(1);
  }
}

}
