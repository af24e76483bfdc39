#include "server/executed_names.h"

namespace rainhook::server {

void ExecutedNames::add(const std::string& name, Time until) {
  remove(name);
  untilByName_.emplace(name, until);
  byExpiry_.emplace(until, name);
  if (untilByName_.size() > maxNames_) remove(std::string(byExpiry_.begin()->second));
}

bool ExecutedNames::contains(const std::string& name, Time now) const {
  const auto entry = untilByName_.find(name);
  return entry != untilByName_.end() && now < entry->second;
}

void ExecutedNames::expire(Time now) {
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= now)
    remove(std::string(byExpiry_.begin()->second));
}

void ExecutedNames::remove(const std::string& name) {
  const auto entry = untilByName_.find(name);
  if (entry == untilByName_.end()) return;
  byExpiry_.erase({entry->second, name});
  untilByName_.erase(entry);
}

}  // namespace rainhook::server
