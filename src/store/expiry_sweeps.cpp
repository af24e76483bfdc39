#include "store/expiry_sweeps.h"

#include <algorithm>

namespace rainhook::store {

void ExpirySweeps::add(ExpirySweep sweep) {
  while (!sweeps_.empty() && sweeps_.back().expiredBy <= sweep.expiredBy) sweeps_.pop_back();
  sweeps_.push_back(sweep);
  if (sweeps_.size() > maxSweeps) sweeps_.erase(sweeps_.begin());
}

bool ExpirySweeps::cover(const IndexEntry& entry) const {
  return std::any_of(sweeps_.begin(), sweeps_.end(), [&](const ExpirySweep& sweep) {
    return entry.sequence < sweep.before && entry.expiry <= sweep.expiredBy;
  });
}

}  // namespace rainhook::store
