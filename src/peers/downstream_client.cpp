#include "peers/downstream_client.h"

#include <algorithm>

#include "codec/http.h"

namespace rainhook::net {

using namespace std::chrono_literals;

Servers::Servers(Reactor& reactor, BufferPool& pool, Log& log, Hearer& hearer,
                 std::optional<Connection::Address> address, std::size_t mostOpen)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      hearer_(hearer),
      address_(std::move(address)),
      mostOpen_(mostOpen) {}

void Servers::call(ReqId id, const std::string& name, Span limit, std::string_view body) {
  giveUp(id);
  Call& call = calls_[id];
  call.made = Reactor::Clock::now();
  const bool full = open() > mostOpen_;
  if (full)
    log_.line(Matter::servers, "all {} connections for calls are in use: a call is not made", mostOpen_);
  if (!address_ || full) {
    call.limit = reactor_.after(0s, [this, id] { end(id, Outcome::unreachable, {}); });
    return;
  }
  Callbacks callbacks;
  callbacks.came = [this, id](std::string_view bytes) { return came(id, bytes); };
  callbacks.ended = [this, id](Ending how, const std::string& why) { broke(id, how, why); };
  call.connection = Connection::to(*address_, reactor_, pool_, std::move(callbacks));
  call.limit = reactor_.after(limit, [this, id] { limitReached(id); });
  const auto millis = std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(limit).count());
  call.connection->write(http::request("POST", "/rpc/call", address_->toString(),
                                       {{"Parent-Call", name}, {"Deadline-Ms", std::to_string(millis)}},
                                       body));
}

void Servers::giveUp(ReqId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (it->second.connection) it->second.connection->close();
  calls_.erase(it);
}

std::size_t Servers::came(ReqId id, std::string_view bytes) {
  auto response = http::readResponse(bytes);
  if (!response) return 0;
  const bool turnedAway = response->header("turned-away") == "1";
  Outcome outcome = Outcome::errored;
  if (response->status == 200) outcome = Outcome::done;
  if (response->status == 503 && turnedAway) outcome = Outcome::refused;
  if (response->status == 409 && turnedAway) outcome = Outcome::moot;
  if (response->status == 504) outcome = Outcome::timedOut;
  end(id, outcome, std::move(response->body));
  return bytes.size();
}

void Servers::broke(ReqId id, Ending how, const std::string& why) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // A call of which nothing was sent has surely not run; any other break proves nothing.
  const bool never = how == Ending::unreachable || !it->second.connection->sentAny();
  log_.line(Matter::servers, "a call below {}: {}", never ? "found no server" : "was cut short", why);
  end(id, never ? Outcome::unreachable : Outcome::cutShort, {});
}

// A reply that came in time may lie unread, after a pause of the machine or in a long turn.
void Servers::limitReached(ReqId id) {
  const auto connection = calls_.at(id).connection;
  connection->readNow();
  end(id, Outcome::timedOut, {});
}

void Servers::end(ReqId id, Outcome outcome, std::string&& reply) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Span took = Reactor::Clock::now() - it->second.made;
  giveUp(id);
  hearer_.callEnded(id, outcome, took, std::move(reply));
}

}  // namespace rainhook::net
