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

/// A socket that listens on a free port of the loopback interface.
Poco::Net::ServerSocket listenOnAnyPort();

/// One end of a connection. Every wait is bounded by `timeout`.
class TestConnection {
 public:
  static constexpr std::chrono::milliseconds timeout{4000};

  TestConnection() = default;
  explicit TestConnection(Poco::Net::StreamSocket socket);
  /// Waits for a connection; one that is not open where none comes in time.
  static TestConnection accept(Poco::Net::ServerSocket& listener);

  void send(std::string_view bytes);

  /// Reads until `parse` makes a message of the bytes so far, and consumes as many as its member `size` says.
  /// None where the connection ends or the time is over first.
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

  /// Reads and discards what comes until the peer ends the connection; false where it does not in time.
  bool waitUntilClosed();
  bool wasReset() const { return wasReset_; }
  bool isOpen() const { return socket_.impl()->initialized(); }
  void close() { socket_.close(); }
  /// Closes with a reset in place of an orderly end.
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
