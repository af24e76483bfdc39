/// @file
/// The requests that the admission controller is currently handling.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "decision/ids.h"
#include "decision/request_record.h"

namespace rainhook {

/// Holds the records of all requests that are waiting for a response or still have an execution. Two indexes
/// avoid scans of all records: one by deadline, and one of the requests on the cores.
///
/// References and pointers to a record stay valid until the record is removed or replaced.
class ActiveRequests {
 public:
  /// Pairs of a deadline and the request that has it, in ascending order.
  using DeadlineIndex = std::set<std::pair<Duration, RequestId>>;

  /// Adds a request whose response is pending, or replaces the record of the same id.
  void add(const RequestRecord& request);

  /// Returns the record, or null if the request was removed or never added.
  [[nodiscard]] RequestRecord* find(RequestId id);

  /// Returns the record of a request, which must exist.
  [[nodiscard]] RequestRecord& at(RequestId id) { return records_.at(id); }
  /// Returns the record of a request, which must exist, for reading.
  [[nodiscard]] const RequestRecord& at(RequestId id) const { return records_.at(id); }

  /// Records that the execution of a queued request starts.
  void start(RequestRecord& request, Duration now);

  /// Puts the request of a cancelled execution back into the queued stage; the work done is lost.
  void requeue(RequestRecord& request, Duration now);

  /// Moves an execution off the cores or back onto them and adds up the time that it spent off them.
  void moveTo(RequestRecord& request, RequestStage stage, Duration now);

  /// Records that the request needs no response any more.
  void clearPendingResponse(RequestRecord& request);

  /// Removes a request, which must exist.
  void remove(RequestId id);

  /// The number of requests on the cores.
  [[nodiscard]] int executingCount() const { return static_cast<int>(executing_.size()); }
  /// The requests on the cores in ascending order of their ids.
  [[nodiscard]] const std::set<RequestId>& executing() const { return executing_; }

  /// The number of started executions that have not ended, including those that wait for downstream calls.
  [[nodiscard]] int startedCount() const { return startedCount_; }

  /// The requests whose response is pending, earliest deadline first.
  [[nodiscard]] const DeadlineIndex& deadlines() const { return deadlines_; }

 private:
  std::map<RequestId, RequestRecord> records_;
  DeadlineIndex deadlines_;
  std::set<RequestId> executing_;
  int startedCount_ = 0;
};

}  // namespace rainhook
