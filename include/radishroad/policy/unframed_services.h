#ifndef RADISHROAD_POLICY_UNFRAMED_SERVICES_H
#define RADISHROAD_POLICY_UNFRAMED_SERVICES_H

#include "radishroad/base/millis.h"

#include <map>
#include <string>

namespace radishroad {

/// Remembers which services answer without a length, so that the answer ends
/// its caller's connection. Does no I/O and reads no clock.
///
/// Load pattern: callers pipeline requests, and an upstream leaves out the
/// lengths of some answers. Requests that run behind such an answer are lost
/// with the connection.
class UnframedServices
{
public:
  void onAnswer(const std::string& aService,
                bool aEndsWithConnection,
                Millis aNow);
  /// Whether the next answer of the service may end its connection: one did so
  /// lately, or there was none yet.
  bool mayEndConnection(const std::string& aService, Millis aNow) const;

private:
  /// When the last answer without a length came; 0 for never. By service.
  std::map<std::string, Millis> mLastUnframed;
};

}

#endif
