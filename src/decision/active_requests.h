/// @file
/// The requests in the hands of the admission controller.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "decision/ids.h"
#include "decision/request_record.h"

namespace rainhook {

/// Holds the records of all requests that are not over, with the indexes that keep event handling from
/// scanning them: by deadline, and those on the cores.
///
/// References and pointers to records stay valid until the record is removed or replaced.
class ActiveRequests {
 public:
  /// Deadlines with the requests that have them, in ascending order.
  using DeadlineIndex = std::set<std::pair<Duration, RequestId>>;

  /// Adds a request that is owed an answer, or replaces the record of the same id.
  void add(const RequestRecord& request);

  /// The record, or null where the request is over or was never known.
  [[nodiscard]] RequestRecord* find(RequestId id);

  /// The record of a request that must be there.
  [[nodiscard]] RequestRecord& at(RequestId id) { return records_.at(id); }
  /// The record of a request that must be there, for reading.
  [[nodiscard]] const RequestRecord& at(RequestId id) const { return records_.at(id); }

  /// Starts the execution of a queued request.
  void start(RequestRecord& request, Duration now);

  /// Takes back a cancelled execution: the request is queued again and its work is lost.
  void requeue(RequestRecord& request, Duration now);

  /// Takes an execution off the cores or back to them and counts its time off them.
  void moveTo(RequestRecord& request, RequestStage stage, Duration now);

  /// No answer is owed any more.
  void settleAnswer(RequestRecord& request);

  /// Removes a request that must be there.
  void remove(RequestId id);

  /// Requests on the cores.
  [[nodiscard]] int executingCount() const { return static_cast<int>(executing_.size()); }
  /// The requests on the cores, in the order of their ids.
  [[nodiscard]] const std::set<RequestId>& executing() const { return executing_; }

  /// Requests that were started, at downstream calls too.
  [[nodiscard]] int startedCount() const { return startedCount_; }

  /// Requests that are owed an answer, earliest deadline first.
  [[nodiscard]] const DeadlineIndex& deadlines() const { return deadlines_; }

 private:
  std::map<RequestId, RequestRecord> records_;
  DeadlineIndex deadlines_;
  std::set<RequestId> executing_;
  int startedCount_ = 0;
};

}  // namespace rainhook
