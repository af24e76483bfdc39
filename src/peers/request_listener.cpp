#include "peers/request_listener.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

#include "codec/protocol_error.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;
using codec::thrift::Kind;
using codec::thrift::Type;
using codec::thrift::Writer;

constexpr std::int16_t success = 0, overloaded = 1, internal = 2;

template <typename T>
std::optional<T> parsed(std::string_view text, int base = 10) {
  T value{};
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>)
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size())
    return std::nullopt;
  if constexpr (std::is_floating_point_v<T>)
    if (!std::isfinite(value)) return std::nullopt;
  return value;
}

// The fields of one call, each read once and checked; the first fault is kept.
class Given {
 public:
  Given(const codec::thrift::Fields& fields, std::string& fault) : fields_(fields), fault_(fault) {}

  std::string_view text(const char* name) const {
    const auto it = fields_.find(name);
    return it == fields_.end() ? std::string_view{} : it->second;
  }
  template <typename T>
  T number(const char* name, T least, T most, int base = 10) {
    const auto value = parsed<T>(text(name), base);
    if (value && *value >= least && *value <= most) return *value;
    wrong(name);
    return least;
  }
  std::size_t place(const char* name, const std::vector<std::string>& known) {
    const auto it = std::find(known.begin(), known.end(), text(name));
    if (it == known.end()) wrong(name);
    return static_cast<std::size_t>(it - known.begin());
  }
  void wrong(const char* name) {
    if (fault_.empty())
      fault_ = fmt::format("field {}: {}", name, fields_.contains(name) ? "impossible" : "missing");
  }

 private:
  const codec::thrift::Fields& fields_;
  std::string& fault_;
};

std::string exception(const codec::thrift::Message& message, std::string_view why, std::int32_t type) {
  return Writer(Kind::exception, message.name, message.sequence)
      .field(1, Type::text)
      .text(why)
      .field(2, Type::i32)
      .i32(type)
      .stop()
      .whole();
}

}  // namespace

RequestListener::RequestListener(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                 Listener& hearer, RequestRules terms, Limits most)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      hearer_(hearer),
      terms_(std::move(terms)),
      mostOpen_(most.connections),
      mostOutput_(most.outputBytes),
      longestWait_(terms_.clientTimeouts.empty() ? wholeWithin
                                                 : *std::ranges::max_element(terms_.clientTimeouts)) {}

void RequestListener::listen(const Poco::Net::SocketAddress& address) {
  listener_.bind(address, true);
  listener_.listen(512);
  listener_.setBlocking(false);
  listening_ = true;
  wantAccepting(true);
  sweeping_ = reactor_.after(sweepEvery, [this] { sweep(); });
}

void RequestListener::wantAccepting(bool wanted) {
  if (wanted == accepting_) return;
  accepting_ = wanted;
  wanted ? reactor_.addEventHandler(listener_, onAccept_) : reactor_.removeEventHandler(listener_, onAccept_);
}

// Takes what waits to be accepted. Where descriptors run out an idle connection gives way, or accepting rests
// until the next sweep.
void RequestListener::acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  try {
    for (int i = 0; i < 64; ++i) {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      if (clients_.size() >= mostOpen_ && !closeOneIdle(silent_) && !closeOneIdle(spoken_)) {
        log_.message(logging::LogCategory::clients, "{} connections open, none idle: accepting rests",
                     clients_.size());
        return wantAccepting(false);
      }
      take(listener_.acceptConnection());
    }
  } catch (const Poco::Exception& error) {
    log_.message(logging::LogCategory::clients, "can't accept: {}", error.displayText());
    if (!closeOneIdle(silent_) && !closeOneIdle(spoken_)) wantAccepting(false);
  }
}

// Set up first, entered then: where the system refuses the set-up, nothing of it stays.
void RequestListener::take(Poco::Net::StreamSocket socket) {
  const ConnectionId id{++numbered_};
  net::Callbacks callbacks;
  callbacks.onData = [this, id](std::string_view bytes) { return came(id, bytes); };
  callbacks.onClosed = [this, id](net::CloseReason how, const std::string& why) { left(id, how, why); };
  callbacks.onSent = [this, id] { readOn(id); };
  // Answers may still be read by a caller that sends no more: only a break says that it has gone.
  callbacks.onHalfClosed = [this, id] {
    Client& client = clients_.at(id);
    client.sendsNoMore = true;
    if (quiet(client)) left(id, net::CloseReason::closedByPeer, "closed");
  };
  socket.setSendBufferSize(kernelHolds);
  socket.setReceiveBufferSize(kernelHolds);
  auto connection = net::Connection::fromAccepted(reactor_, pool_, socket, std::move(callbacks));
  Client& client = clients_[id];
  client.connection = std::move(connection);
  client.usedAt = net::Reactor::Clock::now();
  client.place = silent_.insert(silent_.end(), id);
}

std::size_t RequestListener::came(ConnectionId id, std::string_view bytes) {
  try {
    return takeFrame(id, bytes);
  } catch (const codec::ProtocolError& nonsense) {
    // Reqs that came whole before it are answered still; the rest of what it sends is not looked at.
    log_.message(logging::LogCategory::clients, "a connection is closed: {}", nonsense.what());
    Client& client = clients_.at(id);
    client.condemned = true;
    client.begunAt.reset();
    client.connection->discardInput();
    return bytes.size();
  }
}

std::size_t RequestListener::takeFrame(ConnectionId id, std::string_view bytes) {
  Client& client = clients_.at(id);
  // A caller that does not read its answers is not read until it does.
  if (full(client)) {
    client.connection->pauseReading();
    return 0;
  }
  const auto frame = codec::thrift::readFrame(bytes, longestFrame);
  const auto now = net::Reactor::Clock::now();
  if (!frame) {
    if (!client.begunAt) client.begunAt = now;
    client.heardAt = now;
    return 0;
  }
  client.begunAt.reset();
  used(client);
  message(id, codec::thrift::readMessage(frame->content));
  return frame->size;
}

void RequestListener::readOn(ConnectionId id) {
  const auto it = clients_.find(id);
  if (it != clients_.end() && !full(it->second) && !it->second.condemned)
    it->second.connection->resumeReading();
}

void RequestListener::message(ConnectionId id, const codec::thrift::Message& message) {
  Client& client = clients_.at(id);
  if (message.kind == Kind::call && message.name == "call") return call(id, message);
  if (message.kind == Kind::call && message.name == "health") {
    // `full` asks for real work in the check, for which the engine's protocol has no word: the word said last
    // answers both kinds.
    codec::thrift::Reader(message.body).structure([](auto, auto, auto&) { return false; });
    return client.connection->write(good(message.name, message.sequence, {}));
  }
  if (message.kind == Kind::oneway && message.name == "cancel") {
    std::int32_t number = 0;
    codec::thrift::Reader(message.body)
        .structure([&](std::int16_t field, Type type, codec::thrift::Reader& in) {
          if (field != 1 || type != Type::i32) return false;
          number = in.i32();
          return true;
        });
    const auto owed = client.owed.find(number);
    if (owed == client.owed.end()) return;  // answered meanwhile, or never asked
    const RequestId req = owed->second;
    client.owed.erase(owed);
    return hearer_.onClientDisconnected(req);
  }
  if (message.kind != Kind::call)
    throw codec::ProtocolError("an unexpected message: " + message.name.substr(0, 40));
  constexpr std::int32_t unknownMethod = 1;
  client.connection->write(exception(message, "unknown method", unknownMethod));
}

bool RequestListener::readReq(const codec::thrift::Message& message, IncomingRequest& req,
                              std::string& fault) const {
  codec::thrift::Fields fields;
  codec::thrift::Reader(message.body)
      .structure([&](std::int16_t field, Type type, codec::thrift::Reader& in) {
        if (field == 1 && type == Type::map) return fields = in.fields(), true;
        if (field == 2 && type == Type::text) return req.body = in.text(), true;
        return false;
      });
  Given given(fields, fault);
  req.name = given.text("rid");
  if (req.name.size() != 16 || !parsed<std::uint64_t>(req.name, 16)) given.wrong("rid");
  req.handler = HandlerId{static_cast<std::uint8_t>(given.place("method", terms_.handlers))};
  if (!terms_.tenants.empty())
    req.tenant = TenantId{static_cast<std::uint16_t>(given.place("acct", terms_.tenants))};
  req.client = ClientId{given.number<std::uint64_t>("peer", 0, ~0ULL)};
  constexpr std::int64_t longTime = 4'000'000'000'000;  // counts in nanoseconds, too
  const std::chrono::milliseconds came(given.number<std::int64_t>("t0", 0, longTime));
  if (terms_.clientsSendTimeRemaining)
    req.timeRemaining = std::chrono::milliseconds(given.number<std::int64_t>("budget", 0, 86'400'000));
  req.queuedMemoryKb = given.number<double>("mem", 0, 2000);
  if (req.queuedMemoryKb <= 0 || req.queuedMemoryKb >= 2000) given.wrong("mem");
  req.rank = given.number<double>("prio", 0, 1);
  if (req.rank >= 1) given.wrong("prio");
  if (!given.text("obj").empty())
    req.resourceKey = ResourceKey{given.number<std::uint64_t>("obj", 0, ~0ULL, 16)};
  // Sites with uniqued handlers and hints name them so; PROTOCOL leaves both out of its table.
  req.idempotencyKey = given.text("token");
  if (!given.text("est").empty())
    req.estimatedWork = Duration(std::chrono::microseconds(
        static_cast<std::int64_t>(given.number<double>("est", 0, 86'400'000) * 1000)));
  if (req.body.size() > 2048) fault = "a body over 2 KiB";
  if (!fault.empty()) return false;
  // One that nobody has waited for this long, or that is yet to come, would only mislead about the load.
  const Duration waits =
      req.timeRemaining.value_or(terms_.clientTimeouts[static_cast<std::size_t>(req.handler)]);
  req.readAt = std::chrono::system_clock::now();
  const Duration now = req.readAt.time_since_epoch();
  if (came + waits + longPast < now || came > now + clocksDiffer) given.wrong("t0");
  if (!fault.empty()) return false;
  req.readDelay = std::max<Duration>(now - came, 0s);
  if (req.timeRemaining) req.timeRemaining = std::clamp<Duration>(came + waits - now, 0s, waits);
  return true;
}

void RequestListener::call(ConnectionId id, const codec::thrift::Message& message) {
  Client& client = clients_.at(id);
  // An answer under this number would be taken for the open one's, so not even that is given any more.
  if (client.owed.contains(message.sequence)) throw std::invalid_argument("a number that is open already");
  IncomingRequest req;
  req.response = {id, message.sequence};
  std::string fault;
  if (client.owed.size() >= mostOwed) fault = "more open than the protocol allows";
  if (!fault.empty() || !readReq(message, req, fault)) {
    constexpr std::int32_t internalError = 6;
    log_.message(logging::LogCategory::clients, "a req that can't be served: {}", fault);
    return client.connection->write(exception(message, fault, internalError));
  }
  // Entered first, so that an answer given at once finds it.
  client.owed.emplace(message.sequence, RequestId{});
  const ResponseHandle ticket = req.response;
  const auto taken = hearer_.onRequest(std::move(req));
  if (const auto* entered = std::get_if<RequestId>(&taken))
    client.owed[message.sequence] = *entered;
  else
    sendFailure(ticket, std::get<std::string_view>(taken));
}

void RequestListener::left(ConnectionId id, net::CloseReason how, const std::string& why) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  if (how == net::CloseReason::protocolError)
    log_.message(logging::LogCategory::clients, "a connection is closed: {}", why);
  Client client = std::move(it->second);
  clients_.erase(it);
  (client.spoke ? spoken_ : silent_).erase(client.place);
  client.connection->close();
  for (const auto& [number, req] : client.owed) hearer_.onClientDisconnected(req);
  if (listening_) wantAccepting(true);
}

codec::thrift::Fields RequestListener::spoken() const {
  if (!signal_) return {};
  return {{"hint", fmt::format("{:.4f}", *signal_)}};
}

void RequestListener::answer(ResponseHandle ticket, std::string_view message) {
  const auto it = clients_.find(ticket.connection);
  if (it == clients_.end() || it->second.owed.erase(ticket.sequenceNumber) == 0) return;
  used(it->second);
  it->second.connection->write(message);
}

std::string RequestListener::good(std::string_view method, std::int32_t number,
                                  std::string_view result) const {
  return Writer(Kind::reply, method, number)
      .field(success, Type::structure)
      .field(1, Type::text)
      .text(result)
      .field(2, Type::map)
      .fields(spoken())
      .field(3, Type::boolean)
      .boolean(good_)
      .stop()
      .stop()
      .whole();
}

void RequestListener::sendResult(ResponseHandle ticket, std::string_view result) {
  answer(ticket, good("call", ticket.sequenceNumber, result));
}

void RequestListener::declared(ResponseHandle ticket, std::int16_t exception,
                               const codec::thrift::Fields& fields) {
  answer(ticket, Writer(Kind::reply, "call", ticket.sequenceNumber)
                     .field(exception, Type::structure)
                     .field(1, Type::map)
                     .fields(fields)
                     .stop()
                     .stop()
                     .whole());
}

void RequestListener::sendShed(ResponseHandle ticket, Duration stayAway, bool lastTry) {
  auto fields = spoken();
  if (const auto millis = std::chrono::round<std::chrono::milliseconds>(stayAway); millis > 0ms)
    fields.emplace("backoff", std::to_string(millis.count()));
  if (lastTry) fields.emplace("final", "1");
  declared(ticket, overloaded, fields);
}

void RequestListener::sendFailure(ResponseHandle ticket, std::string_view why) {
  auto fields = spoken();
  fields.emplace("why", why);
  declared(ticket, internal, fields);
}

void RequestListener::askToLeave(Client& client) {
  if (client.askedAt) return;
  client.askedAt = net::Reactor::Clock::now();
  client.connection->write(Writer(Kind::oneway, "closing", 0).stop().whole());
}

void RequestListener::startDraining() {
  draining_ = true;
  for (auto& [id, client] : clients_) askToLeave(client);
}

bool RequestListener::stopListening() {
  if (!listening_) return true;
  const auto before = numbered_;
  acceptable(nullptr);
  if (numbered_ != before || listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return false;
  wantAccepting(false);
  listener_.close();
  listening_ = false;
  return true;
}

void RequestListener::closeIdleConnections() {
  std::vector<ConnectionId> all;
  for (const auto& [id, client] : clients_) all.push_back(id);
  for (const ConnectionId id : all) endOrderly(id);
}

// The one way in which a connection is ended that the peer has not ended and that is not broken. All that the
// peer has sent is read first, since a close over unread bytes is a reset that takes answers under way with
// it; a req among it is served and the connection stays. Then our side ends, what still comes is not served,
// and the socket goes when the peer has ended its side, or has not for a while.
bool RequestListener::endOrderly(ConnectionId id) {
  auto it = clients_.find(id);
  if (it == clients_.end() || it->second.shutDownAt) return it == clients_.end();
  const auto heardAt = it->second.heardAt;
  it->second.connection->readNow();
  it = clients_.find(id);
  if (it == clients_.end()) return true;
  Client& client = it->second;
  if (!quiet(client) || client.heardAt != heardAt) return false;
  if (client.sendsNoMore) return left(id, net::CloseReason::closedByPeer, "closed"), true;
  client.shutDownAt = net::Reactor::Clock::now();
  client.connection->shutdownSend();
  return true;
}

bool RequestListener::quiet(const Client& client) {
  return client.owed.empty() && client.connection->pendingBytes() == 0;
}

bool RequestListener::full(const Client& client) { return client.connection->pendingBytes() > mostWaiting; }

void RequestListener::used(Client& client) {
  client.usedAt = net::Reactor::Clock::now();
  spoken_.splice(spoken_.end(), client.spoke ? spoken_ : silent_, client.place);
  client.spoke = true;
}

// A connection on which nothing is open may be closed at any time; first those that have never said anything,
// the one used longest ago. Those passed over are in use and go behind the others, so that a herd of new
// connections does not go through all that are open for each.
bool RequestListener::closeOneIdle(Order& order) {
  for (std::size_t left = order.size(); left > 0 && !order.empty(); --left) {
    const ConnectionId id = order.front();
    ++looks_;
    // Its place is wanted now: what it has sent is read first, but its end is not waited for.
    if (quiet(clients_.at(id))) clients_.at(id).connection->readNow();
    const auto it = clients_.find(id);
    if (it == clients_.end()) return true;
    if (quiet(it->second)) return this->left(id, net::CloseReason::closedByPeer, "idle"), true;
    if (!order.empty() && order.front() == id) order.splice(order.end(), order, order.begin());
  }
  return false;
}

// Callers that do not read what they are sent give way, the furthest behind first.
void RequestListener::boundOutput() {
  std::size_t all = 0;
  for (const auto& [id, client] : clients_) all += client.connection->pendingBytes();
  while (all > mostOutput_) {
    const auto most = std::max_element(clients_.begin(), clients_.end(), [](const auto& a, const auto& b) {
      return a.second.connection->pendingBytes() < b.second.connection->pendingBytes();
    });
    all -= most->second.connection->pendingBytes();
    log_.message(logging::LogCategory::clients, "a caller that does not read is closed, {} bytes behind",
                 most->second.connection->pendingBytes());
    left(most->first, net::CloseReason::closedByPeer, "does not read");
  }
}

// Idle connections are asked to leave; those that were asked and have not are ended, and so are those that
// say nothing at first, that stop within a message, and that sent nonsense; paused ones are read on.
void RequestListener::sweep() {
  sweeping_ = reactor_.after(sweepEvery, [this] { sweep(); });
  const auto now = net::Reactor::Clock::now();
  std::vector<ConnectionId> over, gone, ready;
  for (auto& [id, client] : clients_) {
    ready.push_back(id);
    if (client.shutDownAt) {
      if (now - *client.shutDownAt > lingers) gone.push_back(id);
      continue;
    }
    if (!client.owed.empty()) continue;
    // Slow is not stuck: a message may take as long as anybody waits for it, while bytes come.
    const bool stuck =
        client.begunAt && !full(client) &&
        (now - *client.heardAt > wholeWithin || now - *client.begunAt > wholeWithin + longestWait_);
    const bool silent = !client.spoke && !client.begunAt && now - client.usedAt > wholeWithin;
    if (!quiet(client)) continue;
    const bool asked = client.askedAt &&
                       now - std::max(*client.askedAt, client.usedAt) > (client.spoke ? askingLasts : heeded);
    if (stuck || client.sendsNoMore || client.condemned || (asked && !client.begunAt))
      over.push_back(id);
    else if (silent || (idleAfter_ && now - client.usedAt > *idleAfter_) || draining_)
      askToLeave(client);
  }
  for (const ConnectionId id : over) endOrderly(id);
  for (const ConnectionId id : gone) left(id, net::CloseReason::closedByPeer, "idle");
  boundOutput();
  for (const ConnectionId id : ready) readOn(id);
  // Accepting goes on where there is a place, or one that an idle connection may give way for.
  const auto idle = [](const auto& entry) { return quiet(entry.second); };
  if (listening_ && (clients_.size() < mostOpen_ || std::ranges::any_of(clients_, idle))) wantAccepting(true);
}

}  // namespace rainhook::peers
