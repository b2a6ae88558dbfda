#include "gate_impl.h"

#include "radishroad/base/hash.h"
#include "radishroad/base/json_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace radishroad {

RoomRequest
Gate::Impl::makeRoomRequest(const QueuedRequest& aQueued) const
{
  const ForwardRequest& request = aQueued.mRequest;
  RoomRequest room;
  room.mEntry = makeQueueEntry(aQueued);
  room.mQueueId = aQueued.mQueueId;
  room.mKind = request.kind;
  room.mRequestHash = request.request_id.empty()
                        ? hashPair(request.id_high, request.id_low)
                        : hash64(request.request_id);
  room.mWorkspaceHash = hash64(request.workspace);
  room.mIsFromOtherService = !request.caller_service.empty() &&
                             request.caller_service != request.service;
  return room;
}

std::vector<RoomVerdict>
Gate::Impl::decideRoom(std::span<const QueuedRequest* const> aQueue,
                       Millis aNow)
{
  if (!mService.mSharesRoom) {
    return {};
  }
  std::vector<RoomRequest> waiting;
  for (const QueuedRequest* queued : aQueue) {
    waiting.push_back(makeRoomRequest(*queued));
  }
  return mRoom.decide(waiting, currentStats(aNow), aNow);
}

void
Gate::Impl::logRoomRefusal(const QueuedRequest& aQueued,
                           Millis aRetryAfter,
                           Millis aNow) const
{
  const RoomRequest room = makeRoomRequest(aQueued);
  const RoomAllocator::Recent recent = mRoom.recent(room, aNow);
  // The time of this pass may be older than the arrival.
  const Millis waited = std::max(Millis{}, aNow - aQueued.mQueuedAt);
  logRequest("room_refused",
             aQueued.mRequest.request_id,
             { { "kind", room.mKind },
               { "rank", room.mEntry.mPriorityRank },
               { "call_of_run", mRoom.isCallOfRun(room) },
               { "caller_service", aQueued.mRequest.caller_service },
               { "workspace", aQueued.mRequest.workspace },
               { "waited_ms", waited.mCount },
               { "retry_after_ms", aRetryAfter.mCount },
               { "queued", mQueue.size() },
               { "running", occupiedSlots() },
               { "recent_offered", recent.mOffered },
               { "recent_served", recent.mServed },
               { "recent_refused", recent.mRefused } });
}

void
Gate::Impl::publishRoom()
{
  for (const auto& [rank, totals] : mRoom.totals()) {
    RoomAllocator::Totals& counted = mRoomCounted[rank];
    const std::string label = "{rank=\"" + std::to_string(rank) + "\"}";
    mMetrics.count("radishroad_room_offered_total" + label,
                   totals.mOffered - counted.mOffered);
    mMetrics.count("radishroad_room_served_total" + label,
                   totals.mServed - counted.mServed);
    mMetrics.count("radishroad_room_refused_total" + label,
                   totals.mRefused - counted.mRefused);
    counted = totals;
  }
}

}
