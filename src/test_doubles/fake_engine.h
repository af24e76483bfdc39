/// @file
/// A fake of the execution engine.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <queue>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

/// An execution engine that runs each execution for a fixed time, half before and half after its one
/// downstream call, and that can hang. Records how often each execution was started and how many there were
/// at which time. Runs on a thread of its own; its public members may be used from any thread.
class FakeEngine {
 public:
  /// How the engine behaves.
  struct Behavior {
    std::chrono::milliseconds workDuration{};  ///< of an execution, its downstream call not counted
    bool callsDownstream = false;              ///< whether an execution makes a call
    bool startsCold = false;                   ///< what it says of its start
  };
  /// How many executions there were from a time on.
  struct ConcurrencySample {
    Clock::duration engineAge{};  ///< since the start of the engine
    std::size_t executions = 0;   ///< started and not ended; those at their call are counted
  };

  /// Starts to listen.
  explicit FakeEngine(Behavior behavior);

  /// Where it listens.
  [[nodiscard]] const std::string& address() const { return listener_.address(); }
  /// While it hangs it keeps its connection, and neither reads nor sends.
  void setHanging(bool isHanging) { isHanging_ = isHanging; }
  /// How often each execution was started, by its name.
  [[nodiscard]] std::map<std::string, int> startCounts() const;
  /// One sample after each change, in order.
  [[nodiscard]] std::vector<ConcurrencySample> concurrencyHistory() const;

 private:
  enum class Phase { beforeCall, atCall, afterCall };
  enum class StepKind { reachCall, finish, abandonCall };
  struct Step {
    Clock::time_point due;
    std::string execution;
    StepKind kind = StepKind::reachCall;
    // The earliest stands at the top of a priority queue.
    bool operator<(const Step& other) const { return due > other.due; }
  };

  void run(const std::stop_token& stop);
  void pollSockets();
  void readCommands();
  void carryOutDueSteps();
  void carryOut(const Step& step);
  void reachCall(const Step& step);
  void abandonCall(const Step& step);
  void finish(const Step& step);
  void onCommand(const std::string& line);
  void sendHandshake();
  void sendGauges(const nlohmann::json& cookie);
  void sendOutcome(const std::string& execution, const char* how, const std::string& result);
  void start(const std::string& execution);
  void resume(const std::string& execution);
  [[nodiscard]] bool isAtCall(const std::string& execution) const;
  void send(const nlohmann::json& message);
  void recordConcurrency();

  const Behavior behavior_;
  const Clock::time_point startedAt_ = Clock::now();
  LoopbackListener listener_;
  FileDescriptor connection_;  // of the server; a new one takes the place of the old
  std::string received_;
  std::uint64_t notifications_ = 0;
  std::priority_queue<Step> steps_;
  std::map<std::string, Phase> executions_;  // until their end
  mutable std::mutex mutex_;
  std::map<std::string, int> startCounts_;             // guarded by mutex_
  std::vector<ConcurrencySample> concurrencyHistory_;  // guarded by mutex_
  std::atomic<bool> isHanging_{false};
  std::jthread thread_;  // the last member: it ends before the others do
};

}  // namespace rainhook::testDoubles
