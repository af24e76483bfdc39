// Sockets of the stand-ins: plain, on loopback, each stand-in on a thread of its own that waits in poll.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <string>

namespace rainhook::testDoubles {

using Clock = std::chrono::steady_clock;

inline sockaddr_in addressOf(const std::string& text) {
  sockaddr_in out{};
  const auto colon = text.rfind(':');
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}
inline const sockaddr* plain(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// Listens at a port that the system names.
class Listener {
 public:
  Listener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at = addressOf("127.0.0.1:0");
    socklen_t size = sizeof at;
    if (::bind(fd_, plain(at), sizeof at) != 0 || ::listen(fd_, 64) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
      throw std::runtime_error("a stand-in can't listen");
    address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~Listener() { ::close(fd_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  int fd() const { return fd_; }
  int accept() const { return ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC); }
  const std::string& address() const { return address_; }

 private:
  const int fd_;
  std::string address_;
};

inline bool send(int fd, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const auto size = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}
// What is there; false at the end of the connection.
inline bool receive(int fd, std::string& bytes) {
  char part[8192];
  const auto size = ::recv(fd, part, sizeof part, MSG_DONTWAIT);
  if (size > 0) bytes.append(part, static_cast<std::size_t>(size));
  return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

}  // namespace rainhook::testDoubles
