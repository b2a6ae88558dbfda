#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_PLATFORM_UPSTREAM_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_PLATFORM_UPSTREAM_H

#include "radishroad/base/millis.h"
#include "support/fake_upstream.h"
#include "support/hold_journal.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace radishroad::test {

/// An answer of an upstream before it is framed.
struct UpstreamAnswer
{
  std::string mStatus = "200 OK";
  /// "Name: value" lines.
  std::vector<std::string> mHeaders;
  std::string mBody;
  /// The upstream has run the request.
  bool mIsRun = false;
};

enum class Framing
{
  Length,
  Chunked,
  /// The body ends with the connection.
  Connection,
};

/// The bytes of an answer.
std::string
frame(const UpstreamAnswer& aAnswer, Framing aFraming);

/// A request that an upstream has begun to run.
struct PlatformRun
{
  std::string mRequestId;
  std::string mVm;
  Millis mAt;
  /// How long the upstream works on it, and the time that it was given.
  Millis mRunTime;
  Millis mDeadline;
};

/// What becomes of an order to hold or to release keys.
struct OrderFate
{
  bool mIsAnswered = true;
  /// The order is carried out so much later; a hold still counts from its
  /// arrival.
  Millis mCarriedOutAfter{};
};

/// An upstream that speaks the platform's protocol: it reports to the daemon
/// beside it and runs requests whose keys it holds.
class PlatformUpstream
{
public:
  using Reply = FakeUpstream::Reply;
  /// Turns an answer to a request of a caller into bytes.
  using SendFn = std::function<Reply(const UpstreamAnswer&)>;
  /// Whether a request is refused although it could be run. Called on several
  /// threads.
  using RefusesFn = std::function<bool(const std::string& aRequestId)>;

  using RunTimeFn = std::function<Millis(const std::string& aTarget)>;

  /// By the call's path. Called on several threads.
  using OrderFateFn = std::function<OrderFate(const std::string& aPath)>;

  struct Options
  {
    std::string mVm;
    std::string mZone;
    std::string mService;
    bool mKeyed = false;
    bool mGrantsByReport = false;
    /// Address of the daemon's listener for reports.
    std::uint32_t mReportIp = 0;
    std::uint16_t mReportPort = 0;
    /// By the request's target; 15 ms by default.
    RunTimeFn mRunTime;
    int mSlots = 9;
    SendFn mSend;
    /// Handover tokens begin with this.
    std::string mTokenPrefix = "t";
    RefusesFn mRefuses;
    /// Work that outlasts the hold on its key ends with an error.
    bool mEndsWorkWithHold = false;
    /// A run takes as long again for each run beyond so many at its start; 0
    /// for never.
    int mSlowsBeyond = 0;
    /// May be null.
    std::shared_ptr<HoldJournal> mHolds;
  };

  explicit PlatformUpstream(Options aOptions);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  const Options& options() const { return mOptions; }
  std::string address() const { return mServer.address(); }
  const FakeUpstream& server() const { return mServer; }
  std::vector<PlatformRun> runs() const;
  /// The whole body of the answer to a request.
  static std::string bodyOf(const std::string& aRequestId);
  void setOrderFate(OrderFateFn aFate);
  /// Reports from now on that it drains, or that it is ready.
  void setDraining(bool aIsDraining);

private:
  using Request = FakeUpstream::Request;

  struct Key
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mHighestEpoch = 0;
    Millis mHeldUntil;
    int mRunning = 0;
    /// End of the last hold, which a release does not bring forward.
    Millis mWorkUntil;
  };

  Reply handle(const Request& aRequest);
  Reply takeOrder(const Request& aRequest);
  Reply grant(const nlohmann::json& aOrder, Millis aArrivedAt);
  Reply release(const nlohmann::json& aOrder);
  void carryOutLate(const Request& aRequest, Millis aArrivedAt, Millis aAfter);
  Reply run(const Request& aRequest);
  /// Sleeps until the work is done; false if the hold on its key ended before.
  bool work(std::unique_lock<std::mutex>& aLock, const Key* aKey, Millis aEnd);
  void reportUntilStopped();
  /// Returns false if the report was not acknowledged.
  bool report();
  nlohmann::json reportBody();
  void applyReportAnswer(const nlohmann::json& aAnswer, Millis aSentAt);
  nlohmann::json heldRows(Millis aNow) const;
  /// Moves released rows without running work to mReleased.
  void collectReleased();

  const Options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<Key> mKeys;
  /// Rows that are to be released, and rows that were.
  std::vector<nlohmann::json> mReleasing;
  std::vector<nlohmann::json> mReleased;
  std::vector<PlatformRun> mRuns;
  int mActiveRuns = 0;
  std::uint64_t mSequence = 0;
  bool mStopped = false;
  bool mIsDraining = false;
  OrderFateFn mOrderFate;
  std::vector<std::thread> mLateOrders;
  const std::int64_t mBornMs;
  FakeUpstream mServer;
  std::thread mReporter;
};

}

#endif
