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

/// An execution engine that runs each execution for a fixed time and that can hang. Half of the time precedes
/// the only downstream call of the execution, and half follows it. It records how often each execution was
/// started and how many executions were open at which time. It runs on a separate thread; its public members
/// may be used on any thread.
class FakeEngine {
 public:
  /// The configuration of the engine.
  struct Behavior {
    std::chrono::milliseconds workDuration{};  ///< duration of an execution without its downstream call
    bool callsDownstream = false;              ///< whether an execution makes a downstream call
    bool startsCold = false;                   ///< whether the engine reports a cold start
  };
  /// The number of open executions after a change.
  struct ConcurrencySample {
    Clock::duration engineAge{};  ///< time since the start of the engine
    std::size_t executions = 0;   ///< open executions, including those in a downstream call
  };

  /// Starts to listen.
  explicit FakeEngine(Behavior behavior);

  /// Returns the listening address.
  [[nodiscard]] const std::string& address() const { return listener_.address(); }
  /// Sets whether the engine hangs. An engine that hangs keeps its connection but neither reads nor sends.
  void setHanging(bool isHanging) { isHanging_ = isHanging; }
  /// Returns how often each execution was started, by name.
  [[nodiscard]] std::map<std::string, int> startCounts() const;
  /// Returns one sample for each change of the number of executions, in order.
  [[nodiscard]] std::vector<ConcurrencySample> concurrencyHistory() const;

 private:
  enum class Phase { beforeCall, inCall, afterCall };
  enum class StepKind { startCall, finish, abandonCall };
  struct Step {
    Clock::time_point dueAt;
    std::string execution;
    StepKind kind = StepKind::startCall;
    // Reversed, so that the step that is due first is at the top of a priority queue.
    bool operator<(const Step& other) const { return dueAt > other.dueAt; }
  };

  void run(const std::stop_token& stop);
  void pollSockets();
  void readCommands();
  void performDueSteps();
  void perform(const Step& step);
  void startCall(const Step& step);
  void abandonCall(const Step& step);
  void finish(const Step& step);
  void onCommand(const std::string& line);
  void sendHandshake();
  void sendGauges(const nlohmann::json& cookie);
  void sendOutcome(const std::string& execution, const char* outcome, const std::string& result);
  void start(const std::string& execution);
  void resume(const std::string& execution);
  [[nodiscard]] bool isInCall(const std::string& execution) const;
  void send(const nlohmann::json& message);
  void recordConcurrency();

  const Behavior behavior_;
  const Clock::time_point startedAt_ = Clock::now();
  LoopbackListener listener_;
  FileDescriptor connection_;  // the connection to the server; a new connection replaces it
  std::string received_;
  std::uint64_t lastNotification_ = 0;
  std::priority_queue<Step> steps_;
  std::map<std::string, Phase> executions_;  // open executions by name
  mutable std::mutex mutex_;
  std::map<std::string, int> startCounts_;             // guarded by mutex_
  std::vector<ConcurrencySample> concurrencyHistory_;  // guarded by mutex_
  std::atomic<bool> isHanging_{false};
  std::jthread thread_;  // declared last, so that the thread ends before the other members are destroyed
};

}  // namespace rainhook::testDoubles
