#include "membership_transport/membership_transport.h"

#include <Poco/Exception.h>

#include <nlohmann/json.hpp>

#include "codec/protocol_error.h"
#include "membership/message_codec.h"
#include "membership/sums.h"

namespace rainhook::membershipTransport {

using membership::Membership;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t lengthBytes = 4,
                      mostFrame = membership::mostState + MessageAuthenticator::overhead + 16;
constexpr int figuresEach = 10;  // periods

json row(const membership::Card& card, const char* state, bool reachable, const membership::Digest& digest) {
  return {{"name", card.name.text},
          {"address", card.address.text},
          {"zone", card.zone.text},
          {"region", card.region.text},
          {"state", state},
          {"incarnation", static_cast<std::uint64_t>(card.incarnation)},
          {"reachable", reachable},
          {"phase", digest.version == 0 ? "unknown" : membership::nameOf(digest.phase)},
          {"warmth", digest.warmth},
          {"limit", digest.limit},
          {"running", digest.running},
          {"read_a_second", digest.read},
          {"done_a_second", digest.done},
          {"held_back", digest.heldBack}};
}

json row(const membership::ZoneSum& sum) {
  return {{"zone", sum.zone.text},
          {"region", sum.region.text},
          {"silent", sum.silent},
          {"members", sum.members},
          {"suspected", sum.suspected},
          {"unreachable", sum.unreachable},
          {"unsaid", sum.unsaid},
          {"serving", sum.serving},
          {"cold", sum.cold},
          {"draining", sum.draining},
          {"unfit", sum.unfit},
          {"observers", sum.observers},
          {"limit", sum.limit},
          {"running", sum.running},
          {"read_a_second", sum.read},
          {"done_a_second", sum.done},
          {"warmth", sum.warmth},
          {"held_back", sum.heldBack},
          {"oldest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(sum.oldest).count()}};
}

}  // namespace

std::optional<Poco::Net::SocketAddress> literal(const std::string& text) {
  const auto colon = text.rfind(':');
  Poco::Net::IPAddress host;
  if (colon == std::string::npos || !Poco::Net::IPAddress::tryParse(text.substr(0, colon), host))
    return std::nullopt;
  const auto digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() > 5 || digits.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  const int port = std::stoi(digits);
  if (port < 1 || port > 65535) return std::nullopt;
  return Poco::Net::SocketAddress(host, static_cast<Poco::UInt16>(port));
}

std::string framed(std::string_view sealed) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(sealed.size() >> shift & 0xff));
  return out.append(sealed);
}

MembershipTransport::MembershipTransport(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                         membership::MembersPlace place, const membership::Earlier& earlier,
                                         std::uint64_t chance, Changed changed)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      place_(std::move(place)),
      core_(
          {place_.name, place_.advertise, place_.zone, place_.region, membership::Boot{chance}, earlier.from},
          place_.seeds, {.every = place_.probeEvery}, chance, earlier),
      seal_(place_.keys, chance),
      changed_(std::move(changed)) {}

MembershipTransport::~MembershipTransport() {
  if (!open_) return;
  reactor_.removeEventHandler(datagrams_, onRead_);
  reactor_.removeEventHandler(listener_, onAccept_);
}

membership::Span MembershipTransport::now() { return net::Reactor::Clock::now().time_since_epoch(); }

void MembershipTransport::open() {
  const auto at = *literal(place_.listen.text);
  datagrams_.bind(at, false);
  datagrams_.setBlocking(false);
  listener_.bind(at, true);
  listener_.listen(64);
  listener_.setBlocking(false);
  reactor_.addEventHandler(datagrams_, onRead_);
  reactor_.addEventHandler(listener_, onAccept_);
  open_ = true;
  log_.message(logging::LogCategory::membership, "{} is a member at {}, zone {}, region {}, {} seeds",
               place_.name.text, place_.listen.text, place_.zone.text, place_.region.text,
               place_.seeds.size());
  Membership::Out out;
  core_.open(now(), out);
  carry(out, 0);
}

void MembershipTransport::leave() {
  Membership::Out out;
  core_.leave(now(), out);
  carry(out, 0);
}

void MembershipTransport::turn() {
  Membership::Out out;
  core_.turn(now(), out);
  carry(out, 0);
  if (now() - figuresAt_ >= place_.probeEvery * figuresEach) figures();
}

// What this member holds and sends, against which its bounds can be held.
void MembershipTransport::figures() {
  const auto at = now();
  if (figuresAt_ != membership::Span{}) {
    const auto whole = [](std::uint64_t number) { return static_cast<std::int64_t>(number); };
    const auto over = std::chrono::duration_cast<std::chrono::milliseconds>(at - figuresAt_).count();
    log_.event(logging::LogCategory::membership, "figures",
               {{"over_ms", static_cast<std::int64_t>(over)},
                {"members", whole(core_.members().size())},
                {"rumours", whole(core_.waitingRumours())},
                {"talks", whole(talks_.size())},
                {"datagrams", whole(counts_.sent - before_.sent)},
                {"bytes", whole(counts_.sentBytes - before_.sentBytes)},
                {"state_bytes", whole(counts_.stateBytes - before_.stateBytes)},
                {"heard", whole(counts_.datagrams - before_.datagrams)},
                {"spoilt", whole(counts_.spoilt - before_.spoilt)},
                {"ill", static_cast<std::int64_t>(core_.health())}});
  }
  figuresAt_ = at, before_ = counts_;
}

void MembershipTransport::set() {
  if (core_.refused()) return;
  next_ = reactor_.after(core_.wake() - now(), [this] { turn(); });
}

void MembershipTransport::readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  char bytes[2048];
  for (std::size_t i = 0; i < readsATurn; ++i) {
    int got = -1;
    try {
      Poco::Net::SocketAddress from;
      got = datagrams_.receiveFrom(bytes, sizeof bytes, from);
    } catch (const Poco::Exception&) {  // nothing more, or an earlier one of ours found no one
      return;
    }
    if (got < 0) return;
    ++counts_.datagrams;
    heard({bytes, static_cast<std::size_t>(got)}, 0);
  }
}

// A sealed message, from a datagram (talk 0) or a connection.
void MembershipTransport::heard(std::string_view bytes, std::uint64_t talk) {
  const auto message = seal_.opened(bytes);
  if (!message || message->empty()) {
    ++counts_.spoilt;
    return talk ? end(talk) : void();
  }
  if (talk && message->front() == question) return asked(message->substr(1), talk);
  const auto read = message->front() == forMembers ? membership::unpacked(message->substr(1)) : std::nullopt;
  // A word for another name that went astray, or was sent on by someone, is not ours to answer.
  if (!read || (!read->to.text.empty() && read->to != place_.name)) {
    ++counts_.spoilt;
    return talk ? end(talk) : void();
  }
  Membership::Out out;
  core_.hear(now(), *read, out);
  if (talk && read->kind == membership::Message::Kind::stateBack) end(talk);
  carry(out, talk);
}

std::optional<net::Connection::Address> MembershipTransport::whereIs(
    const membership::MemberName& to, const membership::Address& address) const {
  const auto it = place_.reach.find(to);
  return literal(it == place_.reach.end() ? address.text : it->second.text);
}

void MembershipTransport::carry(const Membership::Out& out, std::uint64_t talk) {
  for (const auto& send : out.sends) {
    const auto sealed = seal_.sealed(std::string(1, forMembers) + send.bytes);
    if (send.way == Membership::Send::Way::back) {
      const auto it = talks_.find(talk);
      if (it != talks_.end())
        it->second.connection->write(framed(sealed)), counts_.stateBytes += sealed.size();
      continue;
    }
    const auto where = whereIs(send.to, send.address);
    if (!where) continue;
    if (send.way == Membership::Send::Way::datagram) {
      try {
        datagrams_.sendTo(sealed.data(), static_cast<int>(sealed.size()), *where);
        ++counts_.sent, counts_.sentBytes += sealed.size();
      } catch (const Poco::Exception&) {  // as good as lost on the way
        ++counts_.unsent;
      }
      continue;
    }
    if (talks_.size() >= mostTalks) {
      ++counts_.turnedAway;
      continue;
    }
    const auto number = ++numbered_;
    auto connection = net::Connection::connectTo(*where, reactor_, pool_, talking(number));
    connection->write(framed(sealed));
    counts_.stateBytes += sealed.size();
    enter(number).connection = std::move(connection);
  }
  for (const auto& change : out.changes) {
    const auto& card = change.who;
    log_.event(logging::LogCategory::membership, membership::nameOf(change.what),
               {{"about", card.name.text},
                {"zone", card.zone.text},
                {"address", card.address.text},
                {"state", std::string(membership::nameOf(change.state))},
                {"incarnation", static_cast<std::int64_t>(card.incarnation)},
                {"why", change.why}});
    if (changed_) changed_(change);
  }
  set();
}

MembershipTransport::Talk& MembershipTransport::enter(std::uint64_t number) {
  Talk& talk = talks_[number];
  talk.late = reactor_.after(connectionLasts, [this, number] { end(number); });
  return talk;
}

net::ConnectionCallbacks MembershipTransport::talking(std::uint64_t number) {
  net::ConnectionCallbacks out;
  out.onData = [this, number](std::string_view bytes) { return came(number, bytes); };
  out.onClosed = [this, number](net::CloseReason, const std::string&) { end(number); };
  return out;
}

void MembershipTransport::acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
  try {
    for (int i = 0; i < 16 && listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); ++i) {
      auto socket = listener_.acceptConnection();
      if (talks_.size() >= mostTalks) {  // a flood of connections ends here
        ++counts_.turnedAway;
        continue;
      }
      const auto number = ++numbered_;
      auto connection = net::Connection::fromAccepted(reactor_, pool_, socket, talking(number));
      enter(number).connection = std::move(connection);
    }
  } catch (const Poco::Exception& error) {
    log_.message(logging::LogCategory::membership, "can't accept: {}", error.displayText());
  }
}

std::size_t MembershipTransport::came(std::uint64_t number, std::string_view bytes) {
  const auto it = talks_.find(number);
  if (it == talks_.end()) return bytes.size();
  std::string& whole = it->second.bytes;
  whole.append(bytes);
  if (whole.size() < lengthBytes) return bytes.size();
  std::size_t length = 0;
  for (std::size_t i = 0; i < lengthBytes; ++i) length = length << 8 | static_cast<unsigned char>(whole[i]);
  if (length > mostFrame) throw codec::ProtocolError("a message longer than a full state");
  if (whole.size() < lengthBytes + length) return bytes.size();
  const std::string message = whole.substr(lengthBytes, length);
  whole.clear();
  heard(message, number);
  return bytes.size();
}

void MembershipTransport::end(std::uint64_t number) {
  const auto it = talks_.find(number);
  if (it == talks_.end()) return;
  const auto connection = std::move(it->second.connection);
  talks_.erase(it);
  if (connection) connection->close();
}

// Those who ask what we see: the members command, under the key as all.
void MembershipTransport::asked(std::string_view bytes, std::uint64_t talk) {
  const auto it = talks_.find(talk);
  if (it == talks_.end()) return;
  const auto given = json::parse(bytes, nullptr, false);
  if (!given.is_object()) return end(talk);
  const auto answer = told(given.value("what", ""), given.value("name", ""));
  it->second.connection->write(framed(seal_.sealed(std::string(1, answerTo) + answer)));
}

std::string MembershipTransport::told(const std::string& what, const std::string& name) const {
  json out{{"asked", place_.name.text}, {"doubtful", core_.doubtful(now())}, {"joined", core_.joined()}};
  if (what == "explain") {
    out["lines"] = core_.explain({name}, now());
  } else if (what == "zones") {
    out["zones"] = json::array();
    for (const auto& sum : membership::zoneSums(core_, now())) out["zones"].push_back(row(sum));
  } else {
    const auto& seen = seal_.counts();
    out["counts"] = {{"datagrams", counts_.datagrams},   {"sent", counts_.sent},
                     {"unsent", counts_.unsent},         {"spoilt", counts_.spoilt},
                     {"untagged", seen.untagged},        {"replayed", seen.replayed},
                     {"pauses", core_.counts().pauses},  {"turned_away", counts_.turnedAway},
                     {"rumours", core_.waitingRumours()}};
    json members = json::array();
    members.push_back(row(core_.self(), core_.left() ? "left" : "alive", true, core_.digest()));
    for (const auto& [of, member] : core_.members())
      members.push_back(row(member.card, membership::nameOf(member.state),
                            member.reached() && member.state == membership::State::alive, member.digest));
    out["members"] = std::move(members);
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace rainhook::membershipTransport
