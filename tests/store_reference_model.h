/// @file
/// The model of a store's permitted contents, with which the store's tests compare its reads.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store/log_structured_store.h"

namespace rainhook::store {

/// Holds the values that a store may return for each key: a single value after an acknowledged write, several
/// values after writes that may or may not have taken effect.
class ReferenceModel {
 public:
  struct State {
    std::optional<std::string> value;
    UnixTime expiry = neverExpires;
    bool operator==(const State&) const = default;
  };

  void recordWrite(const WriteRequest& write, bool isAcknowledged) {
    auto& states = states_[write.key];
    if (states.empty()) states.push_back({});
    if (isAcknowledged) states.clear();
    states.push_back(write.isErase() ? State{} : State{write.value, write.expiry});
  }
  /// Removes the values that have expired at `now`; they never return.
  void expire(UnixTime now) {
    for (auto& [key, states] : states_)
      for (State& state : states)
        if (state.expiry <= now) state = {};
  }
  bool allows(const std::string& key, const std::optional<std::string>& value) const {
    const auto found = states_.find(key);
    if (found == states_.end()) return !value;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const State& state) { return state.value == value; });
  }
  /// Describes the keys for which the store returns wrong results; the keys in `mayBeMissing` may have no
  /// value.
  std::string contradictions(const LogStructuredStore& store, UnixTime now,
                             const std::set<std::string>& mayBeMissing = {}) {
    expire(now);
    std::string out;
    for (const auto& [key, states] : states_) {
      const auto read = store.get(key, now);
      if (!read.value && mayBeMissing.contains(key)) continue;
      if (!read.status.isOk()) out += key + " (" + read.status.message + ") ";
      if (!allows(key, read.value)) out += key + "=" + read.value.value_or("(none)") + " ";
    }
    return out;
  }
  const std::map<std::string, std::vector<State>>& states() const { return states_; }

 private:
  std::map<std::string, std::vector<State>> states_;
};

}  // namespace rainhook::store
