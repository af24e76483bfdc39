/// @file
/// The queue of requests that wait for their execution to start.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <vector>

#include "decision/ids.h"

namespace rainhook {

/// Holds the admitted requests that have not started, oldest first.
///
/// Requests start oldest first. Once the queue has been full for more than a second, they start newest first,
/// since the oldest are then the least likely to be answered in time (adaptive LIFO).
class AdmissionQueue {
 public:
  /// Whether the queue is empty.
  [[nodiscard]] bool isEmpty() const { return ids_.empty(); }
  /// The number of queued requests.
  [[nodiscard]] std::size_t size() const { return ids_.size(); }
  /// The position of the oldest request.
  [[nodiscard]] auto begin() const { return ids_.begin(); }
  /// The position past the newest request.
  [[nodiscard]] auto end() const { return ids_.end(); }

  /// The request that was added last; the queue must not be empty.
  [[nodiscard]] RequestId newest() const { return ids_.back(); }

  /// Adds a request at the newest end.
  void push(RequestId id) { ids_.push_back(id); }

  /// Puts a request whose execution was cancelled back at the oldest end.
  void pushFront(RequestId id) { ids_.push_front(id); }

  /// Removes and returns the oldest request; the queue must not be empty.
  [[nodiscard]] RequestId popOldest();

  /// Removes the requests for which the predicate is false.
  template <typename Predicate>
  void retainIf(Predicate isQueued) {
    std::erase_if(ids_, [&isQueued](RequestId id) { return !isQueued(id); });
  }

  /// Returns a copy, for loops that change the queue.
  [[nodiscard]] std::vector<RequestId> oldestFirst() const { return {ids_.begin(), ids_.end()}; }

  /// Returns a copy in the order in which requests should start.
  [[nodiscard]] std::vector<RequestId> startOrder(Duration now) const;

  /// Records whether the queue is full at `now`, that is, whether it had to be trimmed.
  void recordFullness(Duration now, bool isFull);

 private:
  std::deque<RequestId> ids_;
  Duration lastFullAt_ = std::chrono::seconds(-1);
  Duration fullSince_{};
};

}  // namespace rainhook
