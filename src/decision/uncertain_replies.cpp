#include "decision/uncertain_replies.h"

namespace rainhook {

std::vector<RequestId> UncertainReplies::takeOverdue(Duration now) {
  std::vector<RequestId> overdue;
  for (const auto& [id, expectedBy] : expectedBy_)
    if (expectedBy <= now) overdue.push_back(id);
  for (const RequestId id : overdue) remove(id);
  return overdue;
}

}  // namespace rainhook
