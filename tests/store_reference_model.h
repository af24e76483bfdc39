/// @file
/// What a store may serve, by the writes that were made: the model that the store's tests compare it with.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store/log_structured_store.h"

namespace rainhook::store {

/// Holds for each key the values that may be served: one once a write of it is acknowledged, more where it is
/// open whether a write took effect.
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
  /// What expired once stays so.
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
  /// The keys that the store serves wrongly, as text; those of `mayBeMissing` may have no value.
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
