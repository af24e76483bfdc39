#include "decision/deduplication_index.h"

namespace rainhook {

void DeduplicationIndex::retain(RequestId id, Duration until) {
  remove(id);
  retainedUntil_.emplace(id, until);
  byExpiry_.emplace(until, id);
}

bool DeduplicationIndex::remove(RequestId id) {
  const auto entry = retainedUntil_.find(id);
  if (entry == retainedUntil_.end()) return false;
  byExpiry_.erase({entry->second, id});
  retainedUntil_.erase(entry);
  return true;
}

int DeduplicationIndex::removeExpired(Duration now) {
  int removed = 0;
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= now) {
    remove(byExpiry_.begin()->second);
    ++removed;
  }
  return removed;
}

}  // namespace rainhook
