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

/// Sends one request per interval to one server, without waiting for the responses to earlier requests, and
/// records the response to each request. It reconnects when its connection is lost. It runs on a separate
/// thread; its public members may be used on any thread.
class OpenLoopClient {
 public:
  /// The configuration of the client.
  struct Options {
    std::string address;                   ///< address of the server
    std::string handler;                   ///< handler that all requests call
    std::chrono::milliseconds interval{};  ///< time between two requests
    std::chrono::milliseconds timeout{};   ///< time remaining that each request states
    int clientNumber = 0;                  ///< number of the client; also part of the requests' names
  };
  /// The record of one request.
  struct RequestRecord {
    Clock::time_point sentAt{};            ///< when it was passed to the socket
    int responseCount = 0;                 ///< number of responses; exactly one is correct
    bool isCompleted = false;              ///< whether the response contained a result
    bool isConnectionLost = false;         ///< whether the connection was lost before the response
    std::chrono::milliseconds latency{0};  ///< time from the request to the response
  };

  /// Starts to send requests.
  explicit OpenLoopClient(Options options);

  /// Stops sending requests and waits for the responses to the open ones, at most one and a half timeouts.
  void stopAndWait();
  /// Returns the records of all requests by name.
  [[nodiscard]] std::map<std::string, RequestRecord> history() const;
  /// Returns how many responses belonged to no open request, for example a second response to one request.
  [[nodiscard]] int unexpectedResponses() const { return unexpectedResponses_; }

 private:
  void run(const std::stop_token& stop);
  void connect();
  void sendRequest(Clock::time_point now);
  void receiveResponses();
  void processResponses();
  void onConnectionLost();

  const Options options_;
  FileDescriptor connection_;
  std::int32_t lastSequenceNumber_ = 0;  // on the current connection
  std::uint64_t lastRequest_ = 0;
  std::string received_;
  std::map<std::int32_t, std::string> openRequests_;  // names by sequence number on the current connection
  mutable std::mutex mutex_;
  std::map<std::string, RequestRecord> history_;  // guarded by mutex_
  std::atomic<int> unexpectedResponses_{0};
  std::atomic<bool> isStopping_{false};
  std::jthread thread_;  // declared last, so that the thread ends before the other members are destroyed
};

}  // namespace rainhook::testDoubles
