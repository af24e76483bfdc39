/// @file
/// A test fleet in which all members know each other.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "fleet/fleet.h"

namespace rainhook::fleet {

/// Starts all processes and waits until their views agree. The destructor checks the invariants and keeps the
/// fleet's folder with its logs if the test has failed.
class ConvergedFleet : public Fleet {
 public:
  /// Changes the fleet before the first start.
  using Preparation = std::function<void(ConvergedFleet&)>;

  ConvergedFleet(std::size_t count, std::size_t zones, std::uint64_t seed,
                 milliseconds probeInterval = std::chrono::milliseconds(200), const Preparation& prepare = {})
      : Fleet(count, zones, seed, probeInterval) {
    if (prepare) prepare(*this);
    startAll();
    expectConvergence();
    convergedAt = now();
  }
  ~ConvergedFleet() {
    for (const auto& violation : violations()) ADD_FAILURE() << violation;
    if (!testing::Test::HasFailure()) return;
    keepFolder();
    std::cerr << "logs: " << folder() << std::endl;
  }
  ConvergedFleet(const ConvergedFleet&) = delete;
  ConvergedFleet& operator=(const ConvergedFleet&) = delete;

  /// Expects that all views agree within a minute.
  void expectConvergence() {
    EXPECT_TRUE(waitUntil([&] { return viewsAgree(); }));
  }
  /// Waits for `count` probe intervals.
  void waitIntervals(int count) const { sleepFor(probeInterval() * count); }
  /// Returns how many times a member logged the event since the time `since`.
  std::size_t eventCount(std::size_t member, const std::string& event, std::int64_t since) {
    const auto& entries = log(member).entries;
    const auto matches = [&](const LogEntry& entry) { return entry.time >= since && entry.event == event; };
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), matches));
  }

  /// Time, as now() returns it, at which the views agreed first.
  std::int64_t convergedAt = 0;
};

}  // namespace rainhook::fleet
