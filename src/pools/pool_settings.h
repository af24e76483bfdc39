/// @file
/// The values that work pools are told: settings, loads and reports of executions.
#pragma once

#include <cstdint>
#include <string>

namespace rainhook::pools {

/// A pool's index in the settings that WorkPools was made with.
enum class PoolId : std::uint8_t {};

/// What an operator states of one pool, which holds one handler or several.
struct PoolSettings {
  std::string name;           ///< as the operator states it
  double priorityWeight = 1;  ///< of one answer within its latency objective
  /// Ratio of the total limit that the pool keeps under any load, from 0 to under 1; of all pools together
  /// under 1.
  double reservedRatio = 0;
  /// Core seconds that one execution takes, as assumed until executions have been measured.
  double initialServiceSeconds = 0.1;
};

/// What a pool has at this moment.
struct PoolLoad {
  int queued = 0;     ///< requests that wait for their execution
  int executing = 0;  ///< requests that execute
};

/// What is known of an execution at its end.
struct ExecutionReport {
  double coreSeconds = 0;   ///< time on the cores
  double latencyRatio = 0;  ///< its latency over the least latency of its handler
  double earnedWeight = 0;  ///< 0 if it ended after its latency objective or nobody waits for its answer
};

}  // namespace rainhook::pools
