/// @file
/// The names of requests that were executed and must not be executed again.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace rainhook::server {

/// Remembers the names of executed requests that have no idempotency key and may not be repeated, for as long
/// as a copy of the request could still be accepted.
///
/// Bounds: at most `maxNames` names. With more, the name that expires first is removed.
///
/// Must be used on the event-loop thread only.
class ExecutedNames {
 public:
  /// The Unix clock, by which requests are accepted or rejected as too old.
  using Time = std::chrono::system_clock::time_point;

  /// Creates an empty set.
  explicit ExecutedNames(std::size_t maxNames) : maxNames_(maxNames) {}

  /// Remembers the name until the given time.
  void add(const std::string& name, Time until);
  /// Returns whether the name is remembered at `now`.
  [[nodiscard]] bool contains(const std::string& name, Time now) const;
  /// Removes the names whose time has passed.
  void expire(Time now);
  /// Returns the number of names.
  [[nodiscard]] std::size_t size() const { return untilByName_.size(); }

 private:
  void remove(const std::string& name);

  const std::size_t maxNames_;
  std::map<std::string, Time> untilByName_;
  std::set<std::pair<Time, std::string>> byExpiry_;
};

}  // namespace rainhook::server
