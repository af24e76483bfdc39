#include "membership_transport/membership_transport.h"

#include <Poco/Exception.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/protocol_error.h"
#include "membership/explain.h"
#include "membership/message_codec.h"
#include "membership_transport/address.h"
#include "membership_transport/framing.h"
#include "membership_transport/view_report.h"

namespace rainhook::membershipTransport {

using logging::LogCategory;
using membership::Effects;
using membership::OutgoingMessage;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxExchanges = 24;
constexpr net::Reactor::Wait exchangeTimeout = 5s;
constexpr std::size_t maxDatagramsPerIteration = 256;
constexpr std::size_t datagramBufferBytes = 2048;
constexpr int maxAcceptsPerIteration = 16;
constexpr int acceptBacklog = 64;
constexpr int statisticsPeriods = 10;

std::int64_t toSigned(std::uint64_t number) { return static_cast<std::int64_t>(number); }

}  // namespace

MembershipTransport::MembershipTransport(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                         membership::MembershipSettings settings,
                                         const membership::PersistedIdentity& identity,
                                         std::uint64_t processId, EventCallback onEvent)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      settings_(std::move(settings)),
      membership_({settings_.name, settings_.advertise, settings_.zone, settings_.region,
                   membership::ProcessId{processId}, identity.firstIncarnation},
                  settings_.seeds, {.probeInterval = settings_.probeInterval}, processId, identity),
      authenticator_(settings_.keys, processId),
      onEvent_(std::move(onEvent)) {}

MembershipTransport::~MembershipTransport() {
  if (!isOpen_) return;
  reactor_.removeEventHandler(datagrams_, datagramObserver_);
  reactor_.removeEventHandler(listener_, acceptObserver_);
}

membership::Duration MembershipTransport::now() { return net::Reactor::Clock::now().time_since_epoch(); }

void MembershipTransport::open() {
  const auto address = *parseAddress(settings_.listen.text);
  datagrams_.bind(address, false);
  datagrams_.setBlocking(false);
  listener_.bind(address, true);
  listener_.listen(acceptBacklog);
  listener_.setBlocking(false);
  reactor_.addEventHandler(datagrams_, datagramObserver_);
  reactor_.addEventHandler(listener_, acceptObserver_);
  isOpen_ = true;
  log_.message(LogCategory::membership,
               "{} is a member at {}, zone {}, region {}; it joins through {} configured seeds",
               settings_.name.text, settings_.listen.text, settings_.zone.text, settings_.region.text,
               settings_.seeds.size());
  Effects effects;
  membership_.open(now(), effects);
  applyEffects(effects, noExchange);
}

void MembershipTransport::leave() {
  Effects effects;
  membership_.leave(now(), effects);
  applyEffects(effects, noExchange);
}

// --- Events of the event loop ---

void MembershipTransport::onTimer() {
  Effects effects;
  membership_.onTimer(now(), effects);
  applyEffects(effects, noExchange);
  if (now() - lastStatisticsAt_ >= settings_.probeInterval * statisticsPeriods) reportStatistics();
}

void MembershipTransport::scheduleTimer() {
  if (membership_.isRejected()) return;
  timer_ = reactor_.after(membership_.nextDeadline() - now(), [this] { onTimer(); });
}

void MembershipTransport::onDatagramsReadable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  std::array<char, datagramBufferBytes> bytes{};
  for (std::size_t i = 0; i < maxDatagramsPerIteration; ++i) {
    int size = -1;
    try {
      Poco::Net::SocketAddress from;
      size = datagrams_.receiveFrom(bytes.data(), static_cast<int>(bytes.size()), from);
    } catch (const Poco::Exception&) {  // no more datagrams, or an earlier one was undeliverable
      return;
    }
    if (size < 0) return;
    ++counters_.datagramsReceived;
    onSignedMessage({bytes.data(), static_cast<std::size_t>(size)}, noExchange);
  }
}

void MembershipTransport::onConnectionsAcceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  try {
    for (int i = 0; i < maxAcceptsPerIteration; ++i) {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      auto socket = listener_.acceptConnection();
      if (exchanges_.size() >= maxExchanges) {
        ++counters_.rejectedExchanges;
        continue;
      }
      const auto id = ++lastExchange_;
      beginExchange(id, net::Connection::fromAccepted(reactor_, pool_, socket, callbacksOf(id)));
    }
  } catch (const Poco::Exception& error) {
    log_.message(LogCategory::membership,
                 "cannot accept a membership connection at {}: {}; the listener stays open",
                 settings_.listen.text, error.displayText());
  }
}

std::size_t MembershipTransport::onExchangeData(ExchangeId id, std::string_view bytes) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return bytes.size();
  std::string& received = it->second.received;
  received.append(bytes);
  if (received.size() < frameHeaderBytes) return bytes.size();
  const std::size_t length = frameLength(received);
  if (length > maxFrameBytes)
    throw codec::ProtocolError("membership message of " + std::to_string(length) +
                               " bytes exceeds the limit of " + std::to_string(maxFrameBytes) + " bytes");
  if (received.size() < frameHeaderBytes + length) return bytes.size();
  const std::string signedMessage = received.substr(frameHeaderBytes, length);
  received.clear();
  onSignedMessage(signedMessage, id);
  return bytes.size();
}

// --- Messages ---

void MembershipTransport::onSignedMessage(std::string_view bytes, ExchangeId exchange) {
  const auto verified = authenticator_.verify(bytes);
  if (!verified || verified->empty()) return dropInvalid(exchange);
  if (exchange != noExchange)
    if (const auto query = payloadOf(MessageTag::query, *verified)) return onQuery(*query, exchange);
  const auto payload = payloadOf(MessageTag::membership, *verified);
  const auto message = payload ? membership::decodeMessage(*payload) : std::nullopt;
  if (!message) return dropInvalid(exchange);
  // This member does not answer a misdirected or forwarded message for another name.
  const bool isForThisMember = message->recipient.text.empty() || message->recipient == settings_.name;
  if (!isForThisMember) return dropInvalid(exchange);
  Effects effects;
  membership_.onMessage(now(), *message, effects);
  const bool isAnswered = message->kind == membership::Message::Kind::stateResponse;
  if (isAnswered) endExchange(exchange);
  applyEffects(effects, exchange);
}

void MembershipTransport::dropInvalid(ExchangeId exchange) {
  ++counters_.invalidMessages;
  endExchange(exchange);
}

void MembershipTransport::onQuery(std::string_view payload, ExchangeId exchange) {
  const auto it = exchanges_.find(exchange);
  if (it == exchanges_.end()) return;
  const auto query = json::parse(payload, nullptr, false);
  if (!query.is_object()) return endExchange(exchange);
  const auto answer = answerTo(query.value("what", ""), query.value("name", ""));
  it->second.connection->write(frame(authenticator_.sign(tagPayload(MessageTag::answer, answer))));
}

std::string MembershipTransport::answerTo(const std::string& query, const std::string& memberName) const {
  json out{{"asked", settings_.name.text},
           {"doubtful", membership_.isViewUncertain(now())},
           {"joined", membership_.hasJoined()}};
  if (query == "explain") {
    out["lines"] = membership::explainMember(membership_, {memberName}, now());
  } else if (query == "zones") {
    out["zones"] = zoneRows(membership_, now());
  } else {
    const auto& authentication = authenticator_.counters();
    out["counts"] = {{"datagrams", counters_.datagramsReceived}, {"sent", counters_.datagramsSent},
                     {"unsent", counters_.datagramsUnsent},      {"spoilt", counters_.invalidMessages},
                     {"untagged", authentication.invalidTags},   {"replayed", authentication.replayed},
                     {"pauses", membership_.counters().pauses},  {"turned_away", counters_.rejectedExchanges},
                     {"rumours", membership_.queuedUpdates()}};
    out["members"] = memberRows(membership_);
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

// --- Exchanges ---

void MembershipTransport::beginExchange(ExchangeId id, std::shared_ptr<net::Connection> connection) {
  Exchange& exchange = exchanges_[id];
  exchange.connection = std::move(connection);
  exchange.timeout = reactor_.after(exchangeTimeout, [this, id] { endExchange(id); });
}

void MembershipTransport::endExchange(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const auto connection = std::move(it->second.connection);
  exchanges_.erase(it);
  if (connection) connection->close();
}

net::ConnectionCallbacks MembershipTransport::callbacksOf(ExchangeId id) {
  net::ConnectionCallbacks out;
  out.onData = [this, id](std::string_view bytes) { return onExchangeData(id, bytes); };
  out.onClosed = [this, id](net::CloseReason, const std::string&) { endExchange(id); };
  return out;
}

// --- Effects ---

void MembershipTransport::applyEffects(const Effects& effects, ExchangeId exchange) {
  for (const auto& message : effects.messages) send(message, exchange);
  for (const auto& event : effects.events) report(event);
  scheduleTimer();
}

void MembershipTransport::send(const OutgoingMessage& message, ExchangeId exchange) {
  const auto signedMessage = authenticator_.sign(tagPayload(MessageTag::membership, message.bytes));
  if (message.channel == OutgoingMessage::Channel::reply) return sendReply(signedMessage, exchange);
  const auto address = addressOf(message);
  if (!address) return;
  if (message.channel == OutgoingMessage::Channel::datagram)
    sendDatagram(signedMessage, *address);
  else
    sendByConnection(signedMessage, *address);
}

std::optional<net::Connection::Address> MembershipTransport::addressOf(const OutgoingMessage& message) const {
  const auto it = settings_.addressOverrides.find(message.recipient);
  return parseAddress(it == settings_.addressOverrides.end() ? message.address.text : it->second.text);
}

void MembershipTransport::sendReply(const std::string& signedMessage, ExchangeId exchange) {
  const auto it = exchanges_.find(exchange);
  if (it == exchanges_.end()) return;
  it->second.connection->write(frame(signedMessage));
  counters_.stateBytesSent += signedMessage.size();
}

void MembershipTransport::sendDatagram(const std::string& signedMessage,
                                       const net::Connection::Address& address) {
  try {
    datagrams_.sendTo(signedMessage.data(), static_cast<int>(signedMessage.size()), address);
    ++counters_.datagramsSent;
    counters_.bytesSent += signedMessage.size();
  } catch (const Poco::Exception&) {  // handled like a lost datagram
    ++counters_.datagramsUnsent;
  }
}

void MembershipTransport::sendByConnection(const std::string& signedMessage,
                                           const net::Connection::Address& address) {
  if (exchanges_.size() >= maxExchanges) {
    ++counters_.rejectedExchanges;
    return;
  }
  const auto id = ++lastExchange_;
  auto connection = net::Connection::connectTo(address, reactor_, pool_, callbacksOf(id));
  connection->write(frame(signedMessage));
  counters_.stateBytesSent += signedMessage.size();
  beginExchange(id, std::move(connection));
}

void MembershipTransport::report(const membership::MembershipEvent& event) {
  const auto& member = event.member;
  log_.event(LogCategory::membership, membership::nameOf(event.type),
             {{"about", member.name.text},
              {"zone", member.zone.text},
              {"address", member.address.text},
              {"state", std::string(membership::nameOf(event.state))},
              {"incarnation", static_cast<std::int64_t>(member.incarnation)},
              {"why", event.reason}});
  if (onEvent_) onEvent_(event);
}

/// Logs the numbers of stored and sent items, which operators can compare with the bounds.
void MembershipTransport::reportStatistics() {
  const auto at = now();
  if (lastStatisticsAt_ != membership::Duration{}) {
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(at - lastStatisticsAt_);
    log_.event(
        LogCategory::membership, "statistics",
        {{"interval_ms", static_cast<std::int64_t>(interval.count())},
         {"members", toSigned(membership_.members().size())},
         {"queued_updates", toSigned(membership_.queuedUpdates())},
         {"exchanges", toSigned(exchanges_.size())},
         {"datagrams_sent", toSigned(counters_.datagramsSent - lastReported_.datagramsSent)},
         {"bytes_sent", toSigned(counters_.bytesSent - lastReported_.bytesSent)},
         {"state_bytes_sent", toSigned(counters_.stateBytesSent - lastReported_.stateBytesSent)},
         {"datagrams_received", toSigned(counters_.datagramsReceived - lastReported_.datagramsReceived)},
         {"invalid_messages", toSigned(counters_.invalidMessages - lastReported_.invalidMessages)},
         {"local_health", static_cast<std::int64_t>(membership_.localHealthMultiplier())}});
  }
  lastStatisticsAt_ = at;
  lastReported_ = counters_;
}

}  // namespace rainhook::membershipTransport
