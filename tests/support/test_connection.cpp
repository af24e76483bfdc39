#include "support/test_connection.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rainhook {
namespace {

Poco::Timespan pocoTimeout() { return std::chrono::microseconds(TestConnection::timeout).count(); }

}  // namespace

Poco::Net::ServerSocket listenOnAnyPort() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
}

TestConnection::TestConnection(Poco::Net::StreamSocket socket) : socket_(std::move(socket)) {
  socket_.setReceiveTimeout(pocoTimeout());
}

TestConnection TestConnection::accept(Poco::Net::ServerSocket& listener) {
  if (!listener.poll(pocoTimeout(), Poco::Net::Socket::SELECT_READ)) return {};
  return TestConnection(listener.acceptConnection());
}

void TestConnection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const int sent = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

bool TestConnection::waitUntilClosed() {
  while (readMore()) {
  }
  return isClosed_;
}

void TestConnection::closeWithReset() {
  socket_.setLinger(true, 0);
  socket_.close();
}

bool TestConnection::readMore() {
  std::array<char, 4096> part{};
  try {
    const int count = socket_.receiveBytes(part.data(), static_cast<int>(part.size()));
    isClosed_ = count <= 0;
    received_.append(part.data(), static_cast<std::size_t>(std::max(count, 0)));
  } catch (const Poco::TimeoutException&) {
    return false;
  } catch (const Poco::Exception&) {
    isClosed_ = true;
    wasReset_ = true;
  }
  return !isClosed_;
}

}  // namespace rainhook
