// Members in simulated time: the pure part alone, on links that lose, delay and are cut by script. Same seed,
// same course. Nothing here is a stand-in for processes; tests/fleet plays those.
#pragma once

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/message_codec.h"

namespace rainhook::membership {

class World {
 public:
  struct Link {
    double loss = 0;
    Span delay{};
  };
  // What a link does now; changed by the script as time passes.
  std::function<Link(std::size_t from, std::size_t to)> link = [](auto, auto) { return Link{}; };
  // Sees all that a member sends and reports, before the links do.
  std::function<void(std::size_t node, const Membership::Out&)> onOutput = [](auto, const auto&) {};

  struct Node {
    std::unique_ptr<Membership> member;
    Span pausedUntil{-1};
    std::vector<std::pair<std::string, std::size_t>> buffered;  // what the system keeps for a stopped process
    std::vector<std::pair<Span, Change>> changes;
    std::vector<std::uint64_t> lives;  // in which each of them was seen
    std::uint64_t datagrams = 0, bytes = 0, stateBytes = 0, life = 0;
    std::size_t most = 0;  // rumours that waited, at most
    ZoneName zone;
  };

  World(std::size_t count, std::size_t zones, std::uint64_t seed, ProbeTerms terms = {})
      : terms_(terms), chance_(seed) {
    nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) nodes[i].zone = ZoneName{"z" + std::to_string(i % zones)};
  }
  static MemberName name(std::size_t i) { return {"n" + std::to_string(i)}; }
  static Address address(std::size_t i) { return {"n" + std::to_string(i) + ":1"}; }

  void start(std::size_t i, std::size_t seed = 0, Earlier earlier = {}) {
    Node& node = nodes[i];
    const Card self{name(i), address(i), node.zone, {"r"}, Boot{chance_()}, Incarnation{1}};
    std::vector<Address> seeds;
    if (seed != i) seeds.push_back(address(seed));
    node.member = std::make_unique<Membership>(self, seeds, terms_, chance_(), std::move(earlier));
    ++node.life;
    Membership::Out out;
    Digest digest;
    digest.phase = Phase::serving, digest.limit = static_cast<double>(i);
    node.member->say(now, digest);
    node.member->open(now, out);
    carry(i, i, out);
    wakeLater(i);
  }
  void startAll() {
    for (std::size_t i = 0; i < nodes.size(); ++i) start(i);
  }
  // All members know of all others: for measurements that are not about joining.
  void acquaint() {
    for (auto& node : nodes) {
      Message message;
      message.kind = Message::Kind::ping, message.joined = true;
      for (const auto& other : nodes)
        if (other.member != node.member)
          message.rumours.push_back({Rumour::Says::alive, other.member->self(), {}});
      message.from = nodes[&node == &nodes[0] ? 1 : 0].member->self();
      Membership::Out out;
      node.member->hear(now, message, out);
    }
  }
  void kill(std::size_t i) { nodes[i].member.reset(), nodes[i].buffered.clear(), ++nodes[i].life; }
  void pause(std::size_t i, Span by) {
    nodes[i].pausedUntil = now + by;
    wakeLater(i);
  }
  void leave(std::size_t i) {
    Membership::Out out;
    nodes[i].member->leave(now, out);
    carry(i, i, out);
  }
  bool up(std::size_t i) const { return nodes[i].member != nullptr; }

  void run(Span by) {
    const Span until = now + by;
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      Node& node = nodes[event.to];
      if (!node.member || node.life != event.life) continue;
      if (now < node.pausedUntil) {
        if (!event.wake && node.buffered.size() < 200)
          node.buffered.emplace_back(std::move(event.bytes), event.from);
        if (event.wake) events_.push({node.pausedUntil, ++number_, event.to, 0, event.life, true, {}});
        continue;
      }
      Membership::Out out;
      if (!event.wake) {
        deliver(event.to, event.from, event.bytes);
      } else {
        const auto buffered = std::exchange(node.buffered, {});
        for (const auto& [bytes, from] : buffered) deliver(event.to, from, bytes);
        if (!node.member) continue;
        node.member->turn(now, out);
        carry(event.to, event.to, out);
        wakeLater(event.to);
      }
    }
    now = until;
  }
  // Runs until it holds; false where that takes longer.
  bool until(Span most, const std::function<bool()>& holds) {
    for (const Span end = now + most; now < end; run(std::chrono::milliseconds(100)))
      if (holds()) return true;
    return holds();
  }

  std::optional<State> seen(std::size_t by, std::size_t of) const {
    if (!up(by)) return std::nullopt;
    const auto& members = nodes[by].member->members();
    const auto it = members.find(name(of));
    if (it == members.end()) return std::nullopt;
    return it->second.state;
  }
  // Every living one has every living one as alive, and no other as living.
  bool agreed() const {
    for (std::size_t by = 0; by < nodes.size(); ++by)
      for (std::size_t of = 0; of < nodes.size(); ++of) {
        if (by == of || !up(by)) continue;
        const auto state = seen(by, of);
        if (up(of) ? state != State::alive : (state == State::alive || state == State::suspect)) return false;
      }
    return true;
  }
  std::size_t verdictsOn(std::size_t of, Span from = {}) const {
    std::size_t out = 0;
    for (const auto& node : nodes)
      for (const auto& [at, change] : node.changes)
        out += at >= from && change.what == Change::What::state && change.state == State::dead &&
               change.who.name == name(of);
    return out;
  }
  std::size_t verdicts() const {
    std::size_t out = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) out += verdictsOn(i);
    return out;
  }
  // Incarnations in each view only go up, within the life of the viewer.
  std::string check() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::map<std::pair<std::uint64_t, MemberName>, Incarnation> last;
      for (std::size_t c = 0; c < nodes[i].changes.size(); ++c) {
        const Change& change = nodes[i].changes[c].second;
        if (change.what != Change::What::state) continue;
        auto& before = last[{nodes[i].lives[c], change.who.name}];
        if (change.who.incarnation < before)
          return name(i).text + " saw the incarnation of " + change.who.name.text + " go back";
        before = change.who.incarnation;
      }
      if (nodes[i].most > 2 * nodes.size() + 8) return name(i).text + " held too many rumours";
    }
    return {};
  }

  Span now{};
  std::vector<Node> nodes;

 private:
  struct Event {
    Span at;
    std::uint64_t number;
    std::size_t to, from;
    std::uint64_t life;
    bool wake;
    std::string bytes;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void deliver(std::size_t to, std::size_t from, const std::string& bytes) {
    const auto message = unpacked(bytes);
    if (!message || !nodes[to].member) return;
    if (!message->to.text.empty() && message->to != name(to)) return;
    Membership::Out out;
    nodes[to].member->hear(now, *message, out);
    carry(to, from, out);
  }
  void carry(std::size_t i, std::size_t asker, Membership::Out& out) {
    Node& node = nodes[i];
    onOutput(i, out);
    for (auto& change : out.changes)
      node.changes.emplace_back(now, std::move(change)), node.lives.push_back(node.life);
    node.most = std::max(node.most, node.member->waitingRumours());
    for (auto& send : out.sends) {
      const bool datagram = send.way == Membership::Send::Way::datagram;
      const std::size_t to = send.way == Membership::Send::Way::back
                                 ? asker
                                 : static_cast<std::size_t>(std::stoul(send.address.text.substr(1)));
      if (datagram)
        ++node.datagrams, node.bytes += send.bytes.size();
      else
        node.stateBytes += send.bytes.size();
      if (to >= nodes.size()) continue;
      const Link is = link(i, to);
      if (is.loss >= 1 || (datagram && is.loss > 0 && std::uniform_real_distribution<>()(chance_) < is.loss))
        continue;
      const Span travel = is.delay + std::chrono::microseconds(200 + chance_(800));
      events_.push({now + travel, ++number_, to, i, nodes[to].life, false, std::move(send.bytes)});
    }
    if (node.member->refused()) return;
  }
  void wakeLater(std::size_t i) {
    Node& node = nodes[i];
    events_.push({std::max(node.member->wake(), now), ++number_, i, 0, node.life, true, {}});
  }

  const ProbeTerms terms_;
  pcg32 chance_;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0;
};

}  // namespace rainhook::membership
