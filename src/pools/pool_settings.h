/// @file
/// The inputs of work pools: settings, loads and reports of executions.
#pragma once

#include <cstdint>
#include <string>

namespace rainhook::pools {

/// The index of a pool in the settings from which `WorkPools` was created.
enum class PoolId : std::uint8_t {};

/// The operator's settings of one pool, which holds one or more handlers.
struct PoolSettings {
  std::string name;           ///< name of the pool
  double priorityWeight = 1;  ///< weight of one response within its latency objective
  /// Share of the total limit that is reserved for the pool under any load, from 0 to below 1. The sum over
  /// all pools must be below 1.
  double reservedRatio = 0;
  /// Core seconds that one execution takes, assumed until executions have been measured.
  double initialServiceSeconds = 0.1;
};

/// The current requests of a pool.
struct PoolLoad {
  int queued = 0;     ///< requests that wait for their execution to start
  int executing = 0;  ///< requests in execution
};

/// The measurements of an execution at its end.
struct ExecutionReport {
  double coreSeconds = 0;      ///< time on the cores
  double relativeLatency = 0;  ///< its latency over the minimum latency of its handler
  /// Weight of its response; 0 if it ended after its latency objective or its client no longer waits.
  double earnedWeight = 0;
};

}  // namespace rainhook::pools
