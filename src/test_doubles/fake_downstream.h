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

/// An HTTP service that all servers share. It replies to each call after a fixed time and records the number
/// of open calls. It runs on a separate thread; its public members may be used on any thread.
class FakeDownstream {
 public:
  /// Starts to listen. The service replies to each call after `callDuration`.
  explicit FakeDownstream(std::chrono::milliseconds callDuration);

  /// Returns the listening address.
  [[nodiscard]] const std::string& address() const { return listener_.address(); }
  /// Returns the average number of open calls in each tenth of a second since the start.
  [[nodiscard]] std::vector<double> averageOpenCalls() const;
  /// Returns the number of calls that have arrived.
  [[nodiscard]] std::uint64_t callCount() const { return callCount_; }

 private:
  struct Connection {
    FileDescriptor socket;
    std::string received;
    std::optional<Clock::time_point> replyDueAt;  // set while a call is open
  };

  void run(const std::stop_token& stop);
  void recordOpenCalls(Clock::time_point now);
  // Returns false if the connection has ended, which cancels its call.
  bool readCall(Connection& connection, Clock::time_point now);
  void sendReplies(Clock::time_point now);

  const std::chrono::milliseconds callDuration_;
  const Clock::time_point startedAt_ = Clock::now();
  LoopbackListener listener_;
  std::map<int, Connection> connections_;  // by descriptor; removed when the peer closes the connection
  Clock::time_point recordedUntil_ = startedAt_;
  double callSeconds_ = 0;  // total duration of the open calls within the current interval
  mutable std::mutex mutex_;
  std::vector<double> averageOpenCalls_;  // guarded by mutex_
  std::atomic<std::uint64_t> callCount_{0};
  std::jthread thread_;  // declared last, so that the thread ends before the other members are destroyed
};

}  // namespace rainhook::testDoubles
