#include "peers/downstream_client.h"

#include <algorithm>

#include "codec/http.h"

namespace rainhook::peers {

using namespace std::chrono_literals;

DownstreamClient::DownstreamClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                   Listener& hearer, std::optional<net::Connection::Address> address,
                                   std::size_t mostOpen)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      hearer_(hearer),
      address_(std::move(address)),
      maxOpenCalls_(mostOpen) {}

void DownstreamClient::call(RequestId id, const std::string& name, Duration limit, std::string_view body) {
  cancel(id);
  Call& call = calls_[id];
  call.made = net::Reactor::Clock::now();
  const bool full = openCalls() > maxOpenCalls_;
  if (full)
    log_.message(logging::LogCategory::servers, "all {} connections for calls are in use: a call is not made",
                 maxOpenCalls_);
  if (!address_ || full) {
    call.limit = reactor_.after(0s, [this, id] { end(id, Outcome::unreachable, {}); });
    return;
  }
  net::Callbacks callbacks;
  callbacks.onData = [this, id](std::string_view bytes) { return came(id, bytes); };
  callbacks.onClosed = [this, id](net::CloseReason how, const std::string& why) { broke(id, how, why); };
  call.connection = net::Connection::connectTo(*address_, reactor_, pool_, std::move(callbacks));
  call.limit = reactor_.after(limit, [this, id] { limitReached(id); });
  const auto millis = std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(limit).count());
  call.connection->write(
      codec::http::request("POST", "/rpc/call", address_->toString(),
                           {{"Parent-Call", name}, {"Deadline-Ms", std::to_string(millis)}}, body));
}

void DownstreamClient::cancel(RequestId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (it->second.connection) it->second.connection->close();
  calls_.erase(it);
}

std::size_t DownstreamClient::came(RequestId id, std::string_view bytes) {
  auto response = codec::http::readResponse(bytes);
  if (!response) return 0;
  const bool turnedAway = response->header("turned-away") == "1";
  Outcome outcome = Outcome::failed;
  if (response->status == 200) outcome = Outcome::completed;
  if (response->status == 503 && turnedAway) outcome = Outcome::rejected;
  if (response->status == 409 && turnedAway) outcome = Outcome::superseded;
  if (response->status == 504) outcome = Outcome::timedOut;
  end(id, outcome, std::move(response->body));
  return bytes.size();
}

void DownstreamClient::broke(RequestId id, net::CloseReason how, const std::string& why) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // A call of which nothing was sent has surely not run; any other break proves nothing.
  const bool never = how == net::CloseReason::unreachable || !it->second.connection->hasSentData();
  log_.message(logging::LogCategory::servers, "a call below {}: {}",
               never ? "found no server" : "was cut short", why);
  end(id, never ? Outcome::unreachable : Outcome::connectionLost, {});
}

// A reply that came in time may lie unread, after a pause of the machine or in a long turn.
void DownstreamClient::limitReached(RequestId id) {
  const auto connection = calls_.at(id).connection;
  connection->readNow();
  end(id, Outcome::timedOut, {});
}

void DownstreamClient::end(RequestId id, Outcome outcome, std::string&& reply) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Duration took = net::Reactor::Clock::now() - it->second.made;
  cancel(id);
  hearer_.onDownstreamCallEnded(id, outcome, took, std::move(reply));
}

}  // namespace rainhook::peers
