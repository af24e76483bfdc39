#include "peers/downstream_client.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "codec/http.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;

/// The names in the protocol of the downstream service.
constexpr std::string_view callPath = "/rpc/call";
constexpr std::string_view requestNameHeader = "Parent-Call";
constexpr std::string_view deadlineHeader = "Deadline-Ms";
/// Has the value "1" if the service did not start the call.
constexpr const char* notExecutedHeader = "turned-away";

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

Outcome outcomeOf(const codec::http::Response& response) {
  const bool wasNotExecuted = response.header(notExecutedHeader) == "1";
  if (response.status == statusOk) return Outcome::completed;
  if (response.status == statusServiceUnavailable && wasNotExecuted) return Outcome::rejected;
  if (response.status == statusConflict && wasNotExecuted) return Outcome::superseded;
  if (response.status == statusGatewayTimeout) return Outcome::timedOut;
  return Outcome::failed;
}

std::string encodeCall(const net::Connection::Address& address, const std::string& requestName,
                       Duration timeout, std::string_view body) {
  const auto timeoutMs =
      std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(timeout).count());
  return codec::http::encodeRequest(
      "POST", callPath, address.toString(),
      {{requestNameHeader, requestName}, {deadlineHeader, std::to_string(timeoutMs)}}, body);
}

}  // namespace

DownstreamClient::DownstreamClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                   Listener& listener, std::optional<net::Connection::Address> address,
                                   std::size_t maxOpenCalls)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      listener_(listener),
      address_(std::move(address)),
      maxOpenCalls_(maxOpenCalls) {}

void DownstreamClient::call(RequestId id, const std::string& requestName, Duration timeout,
                            std::string_view body) {
  cancel(id);
  Call& call = calls_[id];
  call.startedAt = net::Reactor::Clock::now();
  const bool isFull = openCalls() > maxOpenCalls_;
  if (isFull)
    log_.message(logging::LogCategory::downstream,
                 "downstream call of request {} not made: all {} downstream connections are in use",
                 requestName, maxOpenCalls_);
  if (!address_ || isFull) {
    call.timeoutTimer = reactor_.after(0s, [this, id] { finish(id, Outcome::unreachable, {}); });
    return;
  }
  connect(call, id, *address_);
  call.timeoutTimer = reactor_.after(timeout, [this, id] { onTimeout(id); });
  call.connection->write(encodeCall(*address_, requestName, timeout, body));
}

void DownstreamClient::connect(Call& call, RequestId id, const net::Connection::Address& address) {
  net::ConnectionCallbacks callbacks;
  callbacks.onData = [this, id](std::string_view bytes) { return onData(id, bytes); };
  callbacks.onClosed = [this, id](net::CloseReason reason, const std::string& detail) {
    onConnectionClosed(id, reason, detail);
  };
  call.connection = net::Connection::connectTo(address, reactor_, pool_, std::move(callbacks));
}

void DownstreamClient::cancel(RequestId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (it->second.connection) it->second.connection->close();
  calls_.erase(it);
}

std::size_t DownstreamClient::onData(RequestId id, std::string_view bytes) {
  auto response = codec::http::readResponse(bytes);
  if (!response) return 0;
  finish(id, outcomeOf(*response), std::move(response->body));
  return bytes.size();
}

void DownstreamClient::onConnectionClosed(RequestId id, net::CloseReason reason, const std::string& detail) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // If nothing was sent, the service cannot have executed the call. In all other cases it may have.
  const bool wasNeverSent = reason == net::CloseReason::unreachable || !it->second.connection->hasSentData();
  log_.message(logging::LogCategory::downstream, "downstream call failed, {}: {}",
               wasNeverSent ? "service unreachable" : "connection lost", detail);
  finish(id, wasNeverSent ? Outcome::unreachable : Outcome::connectionLost, {});
}

// Reads once more before the call times out: a reply that arrived in time may be unread because the machine
// was paused or the current iteration of the event loop is long. If the read ends the call, `finish` does
// nothing.
void DownstreamClient::onTimeout(RequestId id) {
  const auto connection = calls_.at(id).connection;
  connection->readNow();
  finish(id, Outcome::timedOut, {});
}

void DownstreamClient::finish(RequestId id, Outcome outcome, std::string&& reply) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Duration duration = net::Reactor::Clock::now() - it->second.startedAt;
  cancel(id);
  listener_.onDownstreamCallEnded(id, outcome, duration, std::move(reply));
}

}  // namespace rainhook::peers
