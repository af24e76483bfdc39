/// @file
/// Executions for which it is unknown whether the engine received the reply to their downstream call.
#pragma once

#include <map>
#include <vector>

#include "decision/ids.h"

namespace rainhook {

/// Holds the executions whose downstream reply was sent shortly before the connection to the engine was lost.
/// If the engine received the reply, the execution continues and sooner or later reports something; if not,
/// it waits forever. Nothing else distinguishes the two, so an execution that reports nothing in the time in
/// which executions usually do is given up.
///
/// Bounds: at most one entry for each execution. An entry is removed when it is taken, and by `remove`.
class UncertainReplies {
 public:
  /// Adds an execution that should report something before `expectedBy`.
  void add(RequestId id, Duration expectedBy) { expectedBy_.insert_or_assign(id, expectedBy); }

  /// Removes an execution that has reported something or has ended; does nothing if it is unknown.
  void remove(RequestId id) { expectedBy_.erase(id); }

  /// Removes and returns, by id, the executions that should have reported something by `now`.
  [[nodiscard]] std::vector<RequestId> takeOverdue(Duration now);

 private:
  std::map<RequestId, Duration> expectedBy_;
};

}  // namespace rainhook
