/// @file
/// The retained requests that duplicates may name.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "decision/ids.h"

namespace rainhook {

/// Knows keyed requests, and reads whose result may answer others, by the id that a duplicate will name.
/// Each entry is removed when its time is over; the cost of that is the number of entries removed.
class DeduplicationIndex {
 public:
  /// Whether there is an entry for the request.
  [[nodiscard]] bool contains(RequestId id) const { return retainedUntil_.contains(id); }

  /// Adds an entry, or replaces it.
  void retain(RequestId id, Duration until);

  /// Returns whether there was an entry.
  bool remove(RequestId id);

  /// Removes the entries whose time is over and returns their number.
  [[nodiscard]] int removeExpired(Duration now);

 private:
  std::map<RequestId, Duration> retainedUntil_;
  /// The same entries by time, so that those that stay are not scanned.
  std::set<std::pair<Duration, RequestId>> byExpiry_;
};

}  // namespace rainhook
