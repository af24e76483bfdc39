/// @file
/// A blocking TCP connection for tests.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook {

/// Returns a socket that listens on a free port of the loopback interface.
Poco::Net::ServerSocket listenOnAnyPort();

/// One end of a connection. Every wait is bounded by `timeout`.
class TestConnection {
 public:
  static constexpr std::chrono::milliseconds timeout{4000};

  TestConnection() = default;
  explicit TestConnection(Poco::Net::StreamSocket socket);
  /// Waits for a connection. The returned connection is not open if none arrives before the timeout.
  static TestConnection accept(Poco::Net::ServerSocket& listener);

  void send(std::string_view bytes);

  /// Reads until `parse` returns a message, and consumes as many bytes as the message's member `size` states.
  /// Returns none if the connection ends or the timeout expires first.
  template <typename Parse>
  auto receive(Parse parse) -> decltype(parse(std::string_view())) {
    for (;;) {
      if (auto message = parse(std::string_view(received_))) {
        received_.erase(0, message->size);
        return message;
      }
      if (!readMore()) return std::nullopt;
    }
  }

  /// Reads and discards input until the peer closes the connection. Returns false if the timeout expires
  /// first.
  bool waitUntilClosed();
  bool wasReset() const { return wasReset_; }
  bool isOpen() const { return socket_.impl()->initialized(); }
  void close() { socket_.close(); }
  /// Closes the connection with a reset instead of an orderly shutdown.
  void closeWithReset();
  Poco::Net::StreamSocket& socket() { return socket_; }

 private:
  bool readMore();

  Poco::Net::StreamSocket socket_;
  std::string received_;
  bool isClosed_ = false;
  bool wasReset_ = false;
};

}  // namespace rainhook
