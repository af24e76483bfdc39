#include "test_doubles/open_loop_client.h"

#include <fmt/format.h>

#include <cstddef>
#include <utility>

#include "codec/thrift.h"

namespace rainhook::testDoubles {
namespace {

using codec::thrift::Kind;
using codec::thrift::Type;

constexpr std::size_t maxOpenRequests = 32;  // the protocol's limit for one connection
constexpr std::size_t maxFrameBytes = 1 << 20;
constexpr int pollTimeoutMs = 1;
constexpr std::int16_t fieldsField = 1;
constexpr std::int16_t bodyField = 2;
constexpr std::int16_t resultField = 0;  // the field of a reply that contains the result

std::string requestName(int clientNumber, std::uint64_t request) {
  return fmt::format("{:04x}{:012x}", static_cast<unsigned>(clientNumber), request);
}

std::string unixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

codec::thrift::Fields requestFields(const OpenLoopClient::Options& options, const std::string& name) {
  return {{"method", options.handler},
          {"rid", name},
          {"t0", unixMilliseconds()},
          {"peer", std::to_string(options.clientNumber)},
          {"acct", "acme"},
          {"mem", "24.5"},
          {"prio", "0.5000"},
          {"budget", std::to_string(options.timeout.count())}};
}

std::string requestFrame(std::int32_t sequenceNumber, const codec::thrift::Fields& fields) {
  return codec::thrift::Writer(Kind::call, "call", sequenceNumber)
      .field(fieldsField, Type::map)
      .fields(fields)
      .field(bodyField, Type::text)
      .text("body")
      .stop()
      .finish();
}

bool isResult(const codec::thrift::Message& message) {
  bool hasResult = false;
  codec::thrift::Reader(message.body).readStruct([&](std::int16_t field, Type, codec::thrift::Reader&) {
    hasResult = message.kind == Kind::reply && field == resultField;
    return false;
  });
  return hasResult;
}

}  // namespace

OpenLoopClient::OpenLoopClient(Options options)
    : options_(std::move(options)), thread_([this](const std::stop_token& stop) { run(stop); }) {}

void OpenLoopClient::stopAndWait() {
  isStopping_ = true;
  if (thread_.joinable()) thread_.join();
}

std::map<std::string, OpenLoopClient::RequestRecord> OpenLoopClient::history() const {
  const std::lock_guard lock(mutex_);
  return history_;
}

void OpenLoopClient::onConnectionLost() {
  const std::lock_guard lock(mutex_);
  for (const auto& [sequenceNumber, name] : openRequests_) history_[name].isConnectionLost = true;
  openRequests_.clear();
  received_.clear();
  connection_.reset();
}

void OpenLoopClient::connect() {
  const sockaddr_in address = parseSocketAddress(options_.address);
  connection_ = makeStreamSocket();
  lastSequenceNumber_ = 0;
  if (::connect(connection_.get(), asSockaddr(address), sizeof address) != 0) connection_.reset();
}

void OpenLoopClient::sendRequest(Clock::time_point now) {
  if (!connection_.isOpen()) connect();
  // A request beyond the protocol's limit is neither sent nor counted.
  if (!connection_.isOpen() || openRequests_.size() >= maxOpenRequests) return;
  const std::string name = requestName(options_.clientNumber, ++lastRequest_);
  const codec::thrift::Fields fields = requestFields(options_, name);
  {
    const std::lock_guard lock(mutex_);
    history_[name].sentAt = now;
  }
  openRequests_[++lastSequenceNumber_] = name;
  if (!sendAll(connection_.get(), requestFrame(lastSequenceNumber_, fields))) onConnectionLost();
}

void OpenLoopClient::receiveResponses() {
  pollfd polled{connection_.get(), POLLIN, 0};
  ::poll(&polled, connection_.isOpen() ? 1 : 0, pollTimeoutMs);
  if (!connection_.isOpen() || polled.revents == 0) return;
  if (!receiveAvailable(connection_.get(), received_)) onConnectionLost();
  processResponses();
}

void OpenLoopClient::processResponses() {
  while (const auto frame = codec::thrift::readFrame(received_, maxFrameBytes)) {
    const codec::thrift::Message message = codec::thrift::readMessage(frame->content);
    const std::lock_guard lock(mutex_);
    const auto open = openRequests_.find(message.sequence);
    if (open != openRequests_.end() && message.kind != Kind::oneway) {
      RequestRecord& request = history_[open->second];
      ++request.responseCount;
      request.latency = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - request.sentAt);
      request.isCompleted = isResult(message);
      openRequests_.erase(open);
    } else if (message.kind == Kind::reply) {
      ++unexpectedResponses_;
    }
    received_.erase(0, frame->size);
  }
}

void OpenLoopClient::run(const std::stop_token& stop) {
  Clock::time_point nextRequest = Clock::now();
  Clock::time_point waitEnd = Clock::time_point::max();
  while (!stop.stop_requested() && Clock::now() < waitEnd) {
    const Clock::time_point now = Clock::now();
    if (isStopping_) {
      if (openRequests_.empty()) return;
      if (waitEnd == Clock::time_point::max()) waitEnd = now + options_.timeout * 3 / 2;
    } else if (now >= nextRequest) {
      nextRequest += options_.interval;
      sendRequest(now);
    }
    receiveResponses();
  }
}

}  // namespace rainhook::testDoubles
