#ifndef RADISHROAD_TESTS_SUPPORT_FAKE_STORE_H
#define RADISHROAD_TESTS_SUPPORT_FAKE_STORE_H

#include "radishroad/base/metrics.h"
#include "radishroad/caller/server.h"
#include "radishroad/state/records.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishroad::test {

/// A fake of the platform's store that follows its published protocol: keyed
/// topics of one partition, appends at an expected end offset, reads, the
/// newest record of each key, and compaction. Long polls are answered
/// immediately, unless they are held.
class FakeStore
{
public:
  enum class Fault
  {
    None,
    /// Rejects every call without effect.
    Busy,
    /// Appends take effect, but are answered with an error.
    LosesAnswers,
    /// Answers each call after kSlowAnswer.
    Slow,
    /// Rejects appends without effect and serves reads.
    RejectsAppends,
  };
  static constexpr Millis kSlowAnswer{ 1500 };

  enum class LongPolls
  {
    AnsweredAtOnce,
    /// Held until there is a record or their time has passed.
    Held,
  };

  /// What becomes of an append.
  enum class AppendFate
  {
    Taken,
    /// Rejected without effect.
    Rejected,
    /// Gets no answer and waits for carryOutKept().
    Kept,
  };
  /// aValue: the value of the record, without its key.
  using AppendFilterFn = std::function<AppendFate(const std::string& aKey,
                                                  const std::string& aValue)>;

  explicit FakeStore(LongPolls aLongPolls = LongPolls::AnsweredAtOnce);
  ~FakeStore();

  std::string address() const;
  void setFault(Fault aFault) { mFault = aFault; }
  /// Answers each call for a topic after kSlowAnswer; none if empty.
  void setSlowTopic(const std::string& aTopic);
  /// Decides on each append that nothing else rejects; nullptr takes all.
  void setAppendFilter(AppendFilterFn aFilter);
  /// Carries out the appends that were kept, as far as the log still ends where
  /// they expect it. Returns how many took effect.
  int carryOutKept();
  /// While set, long polls are never answered; nor are those that are held when
  /// it is set. Other calls are.
  void setLongPollsSilent(bool aSilent);
  /// Writes a record as an operator does; an empty value deletes the key.
  void put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  /// Writes a record that has no key, as another writer may.
  void putRaw(const std::string& aTopic, const std::string& aRecord);
  /// Puts a JSON value before the items of each list of the newest records.
  void setOddItem(const std::string& aJson);
  /// While set, each read returns one record at most.
  void setOneRecordAtATime(bool aIsOne) { mIsOneRecordAtATime = aIsOne; }
  /// Each list of the newest records says that there are more.
  void setEndlessPages(bool aEndless) { mEndlessPages = aEndless; }
  /// Deletes all records from the log; the newest record of each key remains
  /// available.
  void compact(const std::string& aTopic);
  /// Keeps a copy of all topics.
  void copy();
  /// Comes back from the copy, in the next era.
  void restore();
  int calls() const { return mCalls; }
  /// Number of reads that asked for a long poll.
  int longPolls() const { return mLongPolls; }
  std::uint64_t bytesSent() const { return mBytesSent; }

private:
  struct Item
  {
    std::uint64_t mOffset = 0;
    std::string mKey;
    std::string mValue;
    /// The whole record is mValue.
    bool mIsRaw = false;
  };
  struct Topic
  {
    std::uint64_t mEndOffset = 0;
    std::uint64_t mFirstOffset = 0;
    std::deque<Item> mItems;
    std::map<std::string, Item> mNewest;
  };

  struct HeldPoll
  {
    CallerRequest mRequest;
    AnswerFn mAnswer;
    Millis mUntil;
    /// Answered at mUntil, whatever happens before.
    bool mIsDelayed = false;
  };

  void handle(const CallerRequest& aRequest, const AnswerFn& aAnswer);
  /// Adds the headers that all answers have.
  Answer complete(Answer aAnswer) const;
  static bool isLongPoll(const CallerRequest& aRequest);
  bool mayHold(const CallerRequest& aRequest);
  /// Answers the held polls whose topic has grown or whose time has passed.
  void answerHeldPolls();
  Answer answerCall(const CallerRequest& aRequest);
  AppendFate appendFate(const CallerRequest& aRequest) const;
  Answer append(Topic& aTopic, const CallerRequest& aRequest);
  Answer read(const Topic& aTopic, const CallerRequest& aRequest) const;
  Answer newest(const Topic& aTopic) const;
  static void add(Topic& aTopic, std::string aKey, std::string aValue);

  std::atomic<Fault> mFault{ Fault::None };
  std::atomic<bool> mEndlessPages{ false };
  std::atomic<bool> mIsOneRecordAtATime{ false };
  std::atomic<int> mCalls{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<int> mLongPolls{ 0 };
  std::mutex mMutex;
  std::map<std::string, Topic> mTopics;
  std::map<std::string, Topic> mCopy;
  std::string mOddItem;
  std::uint64_t mEra = 1;
  const LongPolls mLongPollMode;
  std::vector<HeldPoll> mHeldPolls;
  bool mAreLongPollsSilent = false;
  /// Never answered.
  std::vector<HeldPoll> mSilentPolls;
  std::string mSlowTopic;
  AppendFilterFn mAppendFilter;
  /// Never answered; mIsDelayed until they were carried out.
  std::vector<HeldPoll> mKeptAppends;
  std::atomic<bool> mStopped{ false };
  std::thread mPollThread;
  Metrics mMetrics;
  CallerServer mServer;
};

}

#endif
