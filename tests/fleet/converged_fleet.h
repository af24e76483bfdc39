/// @file
/// A fleet whose members all know each other, for tests.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>

#include "fleet/fleet.h"

namespace rainhook::fleet {

/// Starts all processes and waits until their views agree. At its end it holds the histories against the
/// invariants and, if the test has failed, keeps the fleet's folder with its logs.
class ConvergedFleet : public Fleet {
 public:
  /// What is set before the first start.
  using Preparation = std::function<void(ConvergedFleet&)>;

  ConvergedFleet(std::size_t count, std::size_t zones, std::uint64_t seed,
                 milliseconds every = std::chrono::milliseconds(200), const Preparation& prepare = {})
      : Fleet(count, zones, seed, every) {
    if (prepare) prepare(*this);
    startAll();
    expectConvergence();
    from = clock();
  }
  ~ConvergedFleet() {
    for (const auto& breach : breaches()) ADD_FAILURE() << breach;
    if (!testing::Test::HasFailure()) return;
    keep();
    std::cerr << "logs: " << folder() << std::endl;
  }
  ConvergedFleet(const ConvergedFleet&) = delete;
  ConvergedFleet& operator=(const ConvergedFleet&) = delete;

  void expectConvergence() {
    EXPECT_TRUE(until([&] { return agreed(); }));
  }
  /// Waits for so many probe intervals, in which something must not happen.
  void waitIntervals(int count) const { pass(every() * count); }
  /// How often the member has logged the event since this time.
  std::size_t said(std::size_t by, const std::string& event, std::int64_t since) {
    const auto& all = history(by).all;
    const auto isMeant = [&](const Seen& seen) { return seen.at >= since && seen.event == event; };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), isMeant));
  }

  /// When the fleet had converged for the first time, by clock().
  std::int64_t from = 0;
};

}  // namespace rainhook::fleet
