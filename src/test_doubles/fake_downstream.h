/// @file
/// A fake of the downstream service.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

/// An HTTP service that all servers share: answers each call after a fixed time and records how many calls
/// were open. Runs on a thread of its own; its public members may be used from any thread.
class FakeDownstream {
 public:
  /// Starts to listen.
  explicit FakeDownstream(std::chrono::milliseconds callDuration);

  /// Where it listens.
  [[nodiscard]] const std::string& address() const { return listener_.address(); }
  /// The average number of open calls in each tenth of a second since the start.
  [[nodiscard]] std::vector<double> averageOpenCalls() const;
  /// How many calls have arrived.
  [[nodiscard]] std::uint64_t callCount() const { return callCount_; }

 private:
  struct Connection {
    FileDescriptor socket;
    std::string received;
    std::optional<Clock::time_point> replyDue;  // set while a call is open
  };

  void run(const std::stop_token& stop);
  void recordOpenCalls(Clock::time_point now);
  // False at the end of the connection, by which a call is given up.
  bool readCall(Connection& connection, Clock::time_point now);
  void sendReplies(Clock::time_point now);

  const std::chrono::milliseconds callDuration_;
  const Clock::time_point startedAt_ = Clock::now();
  LoopbackListener listener_;
  std::map<int, Connection> connections_;  // by descriptor; until the peer closes
  Clock::time_point recordedUntil_ = startedAt_;
  double callSeconds_ = 0;  // in the interval that has not ended
  mutable std::mutex mutex_;
  std::vector<double> averageOpenCalls_;  // guarded by mutex_
  std::atomic<std::uint64_t> callCount_{0};
  std::jthread thread_;  // the last member: it ends before the others do
};

}  // namespace rainhook::testDoubles
