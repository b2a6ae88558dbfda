#include "replay_trace.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace radishroad::testing {

namespace {

using nlohmann::json;

/// Tolerance for clock values, which are recorded in whole milliseconds.
constexpr Millis kClockTolerance{ 2 };
/// Maximum time from the decision to run a request to its start as recorded in
/// the upstream's journal.
constexpr Millis kMaxDeliveryTime{ 50 };

LogRecord
toRecord(const json& aLine)
{
  LogRecord record;
  record.mOffset = aLine.at("offset");
  record.mWallTime = Millis{ aLine.at("ms") };
  const std::string data = aLine.at("data");
  boost::algorithm::unhex(data, std::back_inserter(record.mData));
  return record;
}

bool
isConfig(const json& aLine)
{
  return aLine.at("stream") == kConfigStream;
}

bool
isKind(const json& aLine, std::string_view aKind)
{
  return aLine.at("kind") == aKind;
}

std::uint64_t
parseNumber(const json& aLine, const char* aName)
{
  return std::stoull(aLine.at(aName).get<std::string>());
}

}

ReplayTrace::Lines
ReplayTrace::read(const std::string& aName)
{
  const std::string path =
    std::string(RADISHROAD_SOURCE_DIR) + "/tests/traces/" + aName + ".jsonl";
  std::ifstream in(path);
  Lines lines;
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(json::parse(line));
  }
  if (lines.empty()) {
    throw std::runtime_error("trace file is missing or empty: " + path);
  }
  return lines;
}

ReplayTrace::ReplayTrace(Lines aLines)
  : mLines(std::move(aLines))
{
  for (const json& line : mLines) {
    if (isKind(line, "about")) {
      mHolderVm = line.at("holder_vm");
      mTakeoverWait = Millis{ line.at("takeover_wait_ms") };
    } else if (isKind(line, "clock")) {
      mWallMinusMonotonic = Millis{ line.at("wall_minus_monotonic_ms") };
    }
  }
  CellState state;
  TakeoverGuard guard;
  for (const json& line : mLines) {
    if (!isKind(line, "record") || isConfig(line)) {
      continue;
    }
    const CellState before = state;
    const LogRecord record = toRecord(line);
    fold(state, record);
    mHistory.recordState(state, record.mWallTime);
    mStates.push_back({ record.mWallTime, state });
    const Millis now = toMonotonic(record.mWallTime.mCount);
    guard.onStateChange(before, state, now, mTakeoverWait);
    for (Shard shard = 0; shard < kShardCount; ++shard) {
      const Ownership& ownership = state.mShards[shard];
      if (ownership != before.mShards[shard]) {
        mServeFrom[{ shard, ownership.mEpoch }] = guard.serveFrom(shard);
      }
    }
    for (const auto& [incarnation, member] : state.mMembers) {
      if (mHolder == 0 && member.mVm == mHolderVm) {
        mHolder = incarnation;
      }
    }
    const auto holder = state.mMembers.find(mHolder);
    if (holder != state.mMembers.end()) {
      mWitnessSets.try_emplace(holder->second.mWitnessVersion, holder->second);
    }
  }
}

Millis
ReplayTrace::toMonotonic(std::int64_t aWallMs) const
{
  return Millis{ aWallMs } - mWallMinusMonotonic;
}

ReplayTrace::Mismatches
ReplayTrace::checkRecords() const
{
  Mismatches mismatches;
  CellState cell;
  ConfigState config;
  for (const json& line : mLines) {
    if (!isKind(line, "record")) {
      continue;
    }
    const LogRecord record = toRecord(line);
    const CellState before = cell;
    const FoldVerdict verdict =
      isConfig(line) ? fold(config, record) : fold(cell, record);
    const bool same =
      verdictName(verdict) == line.at("verdict") &&
      (isConfig(line) ? line.at("config_version") == config.mVersion
                      : line.at("changes") == describeChanges(before, cell));
    if (!same) {
      mismatches.push_back("record " + line.at("stream").get<std::string>() +
                           " " + std::to_string(record.mOffset) + ": " +
                           verdictName(verdict) + " " +
                           describeChanges(before, cell).dump());
    }
  }
  return mismatches;
}

ReplayTrace::Mismatches
ReplayTrace::checkExecutions() const
{
  Mismatches mismatches;
  for (const json& line : mLines) {
    if (!isKind(line, "runs")) {
      continue;
    }
    const std::uint64_t key = parseNumber(line, "key");
    const Epoch epoch = line.at("epoch");
    const Millis first{ line.at("first_ms") };
    const OwnerHistory::Entry* entry = mHistory.find(key, epoch);
    if (entry == nullptr || entry->mVm != line.at("vm") ||
        first + kClockTolerance < entry->mSince) {
      mismatches.push_back("run by a VM that is not the owner: " + line.dump());
      continue;
    }
    const auto from = mServeFrom.find({ shardOf(key), epoch });
    if (from != mServeFrom.end() &&
        toMonotonic(first.mCount) + kClockTolerance < from->second) {
      mismatches.push_back("run before the takeover wait ended: " +
                           line.dump());
    }
  }
  return mismatches;
}

std::vector<ReplayTrace::Event>
ReplayTrace::holderEvents() const
{
  std::vector<Event> events;
  std::uint32_t version = 0;
  bool adopted = false;
  for (const RecordedState& state : mStates) {
    const auto it = state.mState.mMembers.find(mHolder);
    if (it == state.mState.mMembers.end() ||
        (adopted && it->second.mWitnessVersion == version)) {
      continue;
    }
    adopted = true;
    version = it->second.mWitnessVersion;
    Event event;
    event.mAt = toMonotonic(state.mWallTime.mCount);
    event.mAdopted = &mWitnessSets.at(version);
    events.push_back(event);
  }
  for (const json& line : mLines) {
    if (isKind(line, "promise_received") || isKind(line, "lease_held") ||
        isKind(line, "lease_lapsed")) {
      events.push_back({ Millis{ line.at("now_ms") }, &line });
    } else if (isKind(line, "served")) {
      for (const std::int64_t ms : line.at("ms")) {
        events.push_back({ toMonotonic(ms), &line, nullptr, true });
      }
    }
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const Event& aFirst, const Event& aSecond) {
                     return aFirst.mAt < aSecond.mAt;
                   });
  return events;
}

void
ReplayTrace::receivePromise(const json& aLine, LeaseHolder& aHolder)
{
  const std::uint64_t witness = parseNumber(aLine, "witness");
  const std::uint32_t version = aLine.at("version");
  const Millis sentAt{ aLine.at("sent_ms") };
  if (aLine.at("withheld")) {
    aHolder.onWithheld(witness, version, sentAt);
  } else {
    aHolder.onPromise(witness, version, sentAt, Millis{ aLine.at("now_ms") });
  }
}

/// A daemon collects promises for its next witness set before it proposes that
/// set.
void
ReplayTrace::prepareNextWitnessSet(LeaseHolder& aHolder,
                                   std::uint32_t aVersion) const
{
  const auto next = mWitnessSets.find(aVersion + 1);
  if (next != mWitnessSets.end()) {
    aHolder.prepareChange(next->second.mWitnesses);
  }
}

void
ReplayTrace::checkHolderEvent(const Event& aEvent,
                              LeaseHolder& aHolder,
                              Mismatches& aMismatches) const
{
  const std::string at = " at " + std::to_string(aEvent.mAt.mCount);
  if (aEvent.mAdopted != nullptr) {
    aHolder.adopt(aEvent.mAdopted->mWitnessVersion,
                  aEvent.mAdopted->mWitnesses);
    prepareNextWitnessSet(aHolder, aEvent.mAdopted->mWitnessVersion);
    return;
  }
  if (aEvent.mServed) {
    if (!aHolder.holds(aEvent.mAt - kMaxDeliveryTime)) {
      aMismatches.push_back("request served without a lease" + at);
    }
    return;
  }
  const json& line = *aEvent.mLine;
  if (isKind(line, "promise_received")) {
    receivePromise(line, aHolder);
  } else if (isKind(line, "lease_held") && !aHolder.holds(aEvent.mAt)) {
    aMismatches.push_back("lease held by the daemon but not in the replay" +
                          at);
  } else if (isKind(line, "lease_lapsed") &&
             aHolder.holds(aEvent.mAt + kClockTolerance)) {
    aMismatches.push_back("lease lapsed in the daemon but not in the replay" +
                          at);
  }
}

std::optional<Millis>
ReplayTrace::expelledAt() const
{
  for (const RecordedState& state : mStates) {
    const auto it = state.mState.mMembers.find(mHolder);
    if (it != state.mState.mMembers.end() &&
        it->second.mStatus == MemberStatus::Expelled) {
      return toMonotonic(state.mWallTime.mCount);
    }
  }
  return std::nullopt;
}

ReplayTrace::Mismatches
ReplayTrace::checkHolder() const
{
  Mismatches mismatches;
  LeaseHolder holder(mHolder);
  const std::optional<Millis> expelled = expelledAt();
  for (const Event& event : holderEvents()) {
    checkHolderEvent(event, holder, mismatches);
    if (expelled && event.mAt <= *expelled &&
        holder.heldUntil(event.mAt) > *expelled + kClockTolerance) {
      mismatches.push_back("lease held after the expulsion at " +
                           std::to_string(expelled->mCount));
      break;
    }
  }
  return mismatches;
}

ReplayTrace::Mismatches
ReplayTrace::checkWitnesses() const
{
  Mismatches mismatches;
  std::map<std::uint64_t, Witness> witnesses;
  for (const json& line : mLines) {
    const bool promised = isKind(line, "promise_sent");
    if (!promised && !isKind(line, "consent_sent")) {
      continue;
    }
    Witness& witness = witnesses[parseNumber(line, "witness")];
    const LeaseId label{ parseNumber(line, "holder"), line.at("version") };
    const Millis now{ line.at("now_ms") };
    if (promised) {
      const ReceivedRenewal renewal{ label,
                                     Millis{ line.at("sent_ms") },
                                     Millis{ line.at("heard_ms") } };
      if (line.at("withheld")) {
        witness.onAcknowledgement(renewal);
      } else if (!witness.onRenew(renewal, now)) {
        mismatches.push_back("promise given after a consent: " + line.dump());
      }
      continue;
    }
    const Witness::ConsentAnswer answer = witness.onConsentAsk(label, now);
    const Millis wait{ line.at("wait_ms") };
    const bool granted = line.at("granted");
    // A consent that was refused within the last millisecond of the wait may be
    // granted in the replay.
    const bool same =
      answer.mGranted == granted || (!granted && wait <= kClockTolerance);
    if (!same) {
      mismatches.push_back(
        "consent granted or refused differently in the replay: " + line.dump());
    }
  }
  return mismatches;
}

ReplayTrace::Mismatches
ReplayTrace::checkConfig() const
{
  Mismatches mismatches;
  std::map<std::uint64_t, Millis> published;
  ConfigState config;
  for (const json& line : mLines) {
    if (isKind(line, "record") && isConfig(line)) {
      const LogRecord record = toRecord(line);
      fold(config, record);
      published.try_emplace(config.mVersion, record.mWallTime);
    }
  }
  std::map<std::string, std::uint64_t> inForce;
  for (const json& line : mLines) {
    if (!isKind(line, "config_in_force")) {
      continue;
    }
    const std::uint64_t version = line.at("version");
    std::uint64_t& before = inForce[line.at("vm")];
    const auto it = published.find(version);
    if (version < before || it == published.end() ||
        Millis{ line.at("ms") } + kClockTolerance < it->second) {
      mismatches.push_back("unexpected configuration version in force: " +
                           line.dump());
    }
    before = version;
  }
  for (const auto& [vm, version] : inForce) {
    if (version != config.mVersion && vm != mHolderVm) {
      mismatches.push_back(
        vm +
        " did not reach the newest configuration version; it is at version " +
        std::to_string(version));
    }
  }
  return mismatches;
}

ReplayTrace::Mismatches
ReplayTrace::check() const
{
  Mismatches all;
  for (const Mismatches& mismatches : { checkRecords(),
                                        checkExecutions(),
                                        checkHolder(),
                                        checkWitnesses(),
                                        checkConfig() }) {
    all.insert(all.end(), mismatches.begin(), mismatches.end());
  }
  return all;
}

}
