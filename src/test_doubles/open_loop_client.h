/// @file
/// A client that sends requests at a fixed rate, as open-loop load generators do.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>

#include "test_doubles/socket_helpers.h"

namespace rainhook::testDoubles {

/// Sends a request to one server in each interval, whatever becomes of those before, and records how each was
/// answered. When its connection is lost it opens another. Runs on a thread of its own; its public members
/// may be used from any thread.
class OpenLoopClient {
 public:
  /// What it sends.
  struct Options {
    std::string address;                   ///< of the server
    std::string handler;                   ///< that all requests name
    std::chrono::milliseconds interval{};  ///< between two requests
    std::chrono::milliseconds timeout{};   ///< that each request states
    int clientNumber = 0;                  ///< under which servers know it; part of the requests' names
  };
  /// What became of a request.
  struct RequestRecord {
    Clock::time_point sentAt{};            ///< when it was handed to the socket
    int responseCount = 0;                 ///< one is right
    bool isCompleted = false;              ///< whether it was answered with a result
    bool isConnectionLost = false;         ///< whether the connection was lost before the answer
    std::chrono::milliseconds latency{0};  ///< until the answer
  };

  /// Starts to send.
  explicit OpenLoopClient(Options options);

  /// Sends no more, and waits for the answers of what was sent, at most one and a half timeouts.
  void stopAndWait();
  /// What became of each request, by its name.
  [[nodiscard]] std::map<std::string, RequestRecord> history() const;
  /// How many answers arrived that no open request had asked for, as where one is answered twice.
  [[nodiscard]] int unexpectedResponses() const { return unexpectedResponses_; }

 private:
  void run(const std::stop_token& stop);
  void connect();
  void sendRequest(Clock::time_point now);
  void receiveAnswers();
  void readAnswers();
  void onConnectionLost();

  const Options options_;
  FileDescriptor connection_;
  std::int32_t lastSequence_ = 0;  // on this connection
  std::uint64_t lastRequest_ = 0;
  std::string received_;
  std::map<std::int32_t, std::string> openRequests_;  // names by their sequence on this connection
  mutable std::mutex mutex_;
  std::map<std::string, RequestRecord> history_;  // guarded by mutex_
  std::atomic<int> unexpectedResponses_{0};
  std::atomic<bool> isStopping_{false};
  std::jthread thread_;  // the last member: it ends before the others do
};

}  // namespace rainhook::testDoubles
