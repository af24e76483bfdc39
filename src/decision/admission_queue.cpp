#include "decision/admission_queue.h"

#include <algorithm>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// A queue that has been full for longer than this starts the newest request first.
constexpr Duration newestFirstAfter = 1s;
/// A queue that was last full longer ago than this counts as not full.
constexpr Duration notFullAfter = 500ms;

}  // namespace

RequestId AdmissionQueue::popOldest() {
  const RequestId id = ids_.front();
  ids_.pop_front();
  return id;
}

std::vector<RequestId> AdmissionQueue::startOrder(Duration now) const {
  std::vector<RequestId> order = oldestFirst();
  if (now - fullSince_ > newestFirstAfter) std::reverse(order.begin(), order.end());
  return order;
}

void AdmissionQueue::recordFullness(Duration now, bool isFull) {
  if (isFull) lastFullAt_ = now;
  if (now - lastFullAt_ > notFullAfter) fullSince_ = now;
}

}  // namespace rainhook
