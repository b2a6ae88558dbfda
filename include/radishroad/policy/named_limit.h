#ifndef RADISHROAD_POLICY_NAMED_LIMIT_H
#define RADISHROAD_POLICY_NAMED_LIMIT_H

#include "radishroad/base/millis.h"
#include "radishroad/policy/send_bucket.h"

#include <optional>

namespace radishroad {

/// Holds an upstream to the request rate that it names in its responses. The
/// limit is for all VMs together, and all requests to an upstream pass the
/// daemon beside it, which alone enforces it.
///
/// Load pattern: an upstream in need names a fraction of what it is asked for,
/// for many seconds. Does no I/O and reads no clock.
class NamedLimit
{
public:
  /// Requests a second that are sent even if the upstream names less. Only a
  /// response shows that the limit has ended.
  static constexpr double kMinPerSecond = 0.25;

  /// The upstream names aPerSecond, or no limit.
  void set(std::optional<double> aPerSecond, Millis aNow);
  /// Requests a second that may be sent; 0 for no limit.
  double perSecond() const;
  bool maySend(Millis aNow);
  void onSent(Millis aNow);
  /// Returns the time from which the next request may be sent.
  Millis nextSend(Millis aNow);

private:
  std::optional<double> mPerSecond;
  SendBucket mBucket;
};

}

#endif
