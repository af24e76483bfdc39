#include "decision/active_requests.h"

namespace rainhook {

void ActiveRequests::add(const RequestRecord& request) {
  records_.insert_or_assign(request.arrival.id, request);
  deadlines_.emplace(request.deadline, request.arrival.id);
}

RequestRecord* ActiveRequests::find(RequestId id) {
  const auto entry = records_.find(id);
  return entry == records_.end() ? nullptr : &entry->second;
}

void ActiveRequests::start(RequestRecord& request, Duration now) {
  moveTo(request, RequestStage::executing, now);
  request.wasEverStarted = true;
  request.startedAt = now;
  ++startedCount_;
}

void ActiveRequests::requeue(RequestRecord& request, Duration now) {
  moveTo(request, RequestStage::queued, now);
  --startedCount_;
}

void ActiveRequests::moveTo(RequestRecord& request, RequestStage stage, Duration now) {
  if (request.stage == RequestStage::executing) {
    executing_.erase(request.arrival.id);
    request.leftCoresAt = now;
  }
  if (stage == RequestStage::executing) {
    executing_.insert(request.arrival.id);
    const bool isReturning = request.stage > RequestStage::executing;
    if (isReturning) request.offCoreTime += now - request.leftCoresAt;
  }
  request.stage = stage;
}

void ActiveRequests::clearPendingResponse(RequestRecord& request) {
  request.isResponsePending = false;
  deadlines_.erase({request.deadline, request.arrival.id});
}

void ActiveRequests::remove(RequestId id) {
  const RequestRecord& request = at(id);
  executing_.erase(id);
  deadlines_.erase({request.deadline, id});
  if (isStarted(request.stage)) --startedCount_;
  records_.erase(id);
}

}  // namespace rainhook
