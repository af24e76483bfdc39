#include "test_doubles/fake_downstream.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace rainhook::testDoubles {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds recordingInterval = 100ms;
constexpr int pollTimeoutMs = 1;
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view lengthField = "Content-Length: ";
constexpr const char* reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

double secondsOf(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns the size of the first request, including head and body, or none if it is not complete yet.
std::optional<std::size_t> requestSize(const std::string& received) {
  const std::size_t head = received.find(headEnd);
  const std::size_t length = received.find(lengthField);
  if (head == std::string::npos || length == std::string::npos) return std::nullopt;
  const std::size_t size = head + headEnd.size() + std::stoul(received.substr(length + lengthField.size()));
  if (received.size() < size) return std::nullopt;
  return size;
}

}  // namespace

FakeDownstream::FakeDownstream(std::chrono::milliseconds callDuration)
    : callDuration_(callDuration), thread_([this](const std::stop_token& stop) { run(stop); }) {}

std::vector<double> FakeDownstream::averageOpenCalls() const {
  const std::lock_guard lock(mutex_);
  return averageOpenCalls_;
}

void FakeDownstream::recordOpenCalls(Clock::time_point now) {
  const auto openCalls = std::count_if(connections_.begin(), connections_.end(),
                                       [](const auto& entry) { return entry.second.replyDueAt.has_value(); });
  callSeconds_ += secondsOf(now - std::exchange(recordedUntil_, now)) * static_cast<double>(openCalls);
  const auto intervals = static_cast<std::size_t>((now - startedAt_) / recordingInterval);
  const std::lock_guard lock(mutex_);
  if (averageOpenCalls_.size() >= intervals) return;
  averageOpenCalls_.resize(intervals, 0);
  averageOpenCalls_.back() = std::exchange(callSeconds_, 0) / secondsOf(recordingInterval);
}

bool FakeDownstream::readCall(Connection& connection, Clock::time_point now) {
  if (!receiveAvailable(connection.socket.get(), connection.received)) return false;
  if (connection.replyDueAt) return true;
  if (const auto size = requestSize(connection.received)) {
    connection.received.erase(0, *size);
    connection.replyDueAt = now + callDuration_;
    ++callCount_;
  }
  return true;
}

void FakeDownstream::sendReplies(Clock::time_point now) {
  for (auto& [fd, connection] : connections_) {
    if (!connection.replyDueAt || *connection.replyDueAt > now) continue;
    connection.replyDueAt.reset();
    sendAll(fd, reply);
  }
}

void FakeDownstream::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    std::vector<pollfd> polled{{listener_.fd(), POLLIN, 0}};
    for (const auto& [fd, connection] : connections_) polled.push_back({fd, POLLIN, 0});
    ::poll(polled.data(), polled.size(), pollTimeoutMs);
    const Clock::time_point now = Clock::now();
    recordOpenCalls(now);
    for (std::size_t i = 1; i < polled.size(); ++i) {
      const int fd = polled[i].fd;
      if (polled[i].revents != 0 && !readCall(connections_.at(fd), now)) connections_.erase(fd);
    }
    sendReplies(now);
    if ((polled[0].revents & POLLIN) == 0) continue;
    FileDescriptor accepted = listener_.accept();
    if (!accepted.isOpen()) continue;
    const int fd = accepted.get();
    connections_[fd].socket = std::move(accepted);
  }
}

}  // namespace rainhook::testDoubles
