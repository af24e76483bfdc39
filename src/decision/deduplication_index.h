/// @file
/// The retained requests that duplicates may refer to.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "decision/ids.h"

namespace rainhook {

/// Holds the ids of retained requests, to which duplicates refer: keyed requests, and reads whose result may
/// answer other requests. Entries are removed when they expire, at a cost proportional to the number removed.
class DeduplicationIndex {
 public:
  /// Whether the index has an entry for the request.
  [[nodiscard]] bool contains(RequestId id) const { return retainedUntil_.contains(id); }

  /// Adds an entry that expires at `until`, or replaces the existing one.
  void retain(RequestId id, Duration until);

  /// Removes the entry of the request; returns false if there was none.
  bool remove(RequestId id);

  /// Removes the entries that have expired by `now` and returns their number.
  [[nodiscard]] int removeExpired(Duration now);

 private:
  std::map<RequestId, Duration> retainedUntil_;
  /// The same entries in order of expiry, so that removal scans no entry that has not expired.
  std::set<std::pair<Duration, RequestId>> byExpiry_;
};

}  // namespace rainhook
