/// @file
/// Socket functions for the test doubles. The doubles use blocking sockets on loopback, and each double has a
/// separate thread that waits in poll.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

namespace rainhook::testDoubles {

/// The clock of all test doubles.
using Clock = std::chrono::steady_clock;

/// Parses `a.b.c.d:port`.
[[nodiscard]] inline sockaddr_in parseSocketAddress(const std::string& text) {
  sockaddr_in address{};
  const std::size_t colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/// Returns the address as the pointer type that system calls require.
[[nodiscard]] inline const sockaddr* asSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

/// Owns a file descriptor and closes it.
class FileDescriptor {
 public:
  /// Takes ownership of `fd`, or of nothing if `fd` is negative.
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  /// Takes ownership of the other object's descriptor.
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  /// Closes the current descriptor and takes ownership of the other object's descriptor.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) reset(std::exchange(other.fd_, -1));
    return *this;
  }

  /// Returns the descriptor, or a negative number if there is none.
  [[nodiscard]] int get() const { return fd_; }
  /// Returns whether there is a descriptor.
  [[nodiscard]] bool isOpen() const { return fd_ >= 0; }
  /// Closes the descriptor and takes ownership of `fd`.
  void reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  int fd_;
};

/// Creates a stream socket that child processes do not inherit after exec.
[[nodiscard]] inline FileDescriptor makeStreamSocket() {
  return FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

/// Listens on loopback at a port that the operating system chooses.
class LoopbackListener {
 public:
  /// @throws std::runtime_error if the socket cannot be bound or cannot listen.
  LoopbackListener() : socket_(makeStreamSocket()) {
    constexpr int backlog = 64;
    sockaddr_in address = parseSocketAddress("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (::bind(socket_.get(), asSockaddr(address), sizeof address) != 0 ||
        ::listen(socket_.get(), backlog) != 0 ||
        ::getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
      throw std::runtime_error("test double cannot listen on 127.0.0.1: " +
                               std::generic_category().message(errno));
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

  /// Returns the listening socket.
  [[nodiscard]] int fd() const { return socket_.get(); }
  /// Accepts the next connection. The result is not open if the call fails.
  [[nodiscard]] FileDescriptor accept() const {
    return FileDescriptor(::accept4(socket_.get(), nullptr, nullptr, SOCK_CLOEXEC));
  }
  /// Returns the listening address, `127.0.0.1:port`.
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  FileDescriptor socket_;
  std::string address_;
};

/// Sends all bytes. Returns false if the connection is lost.
inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// Appends the available input to `bytes`. Returns false if the connection has ended.
[[nodiscard]] inline bool receiveAvailable(int fd, std::string& bytes) {
  constexpr std::size_t maxBytes = 8192;
  std::array<char, maxBytes> buffer{};
  const ssize_t size = ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size > 0) bytes.append(buffer.data(), static_cast<std::size_t>(size));
  return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

}  // namespace rainhook::testDoubles
