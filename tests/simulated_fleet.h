/// @file
/// Runs the membership protocol of several members in simulated time. A test controls the loss, the delay and
/// the cuts of each link. The same seed gives the same sequence of events. tests/fleet tests real processes.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"
#include "membership/message_codec.h"

namespace rainhook::membership {

class SimulatedFleet {
 public:
  struct Link {
    double loss = 0;  ///< share of lost datagrams; 1 cuts connections too
    Duration delay{};
  };
  struct Node {
    std::unique_ptr<Membership> member;  ///< null while the process does not run
    Duration pausedUntil{-1};
    /// The messages, with their senders, in the socket buffer of a paused process.
    std::vector<std::pair<std::string, std::size_t>> buffered;
    std::vector<std::pair<Duration, MembershipEvent>> events;
    std::vector<std::uint64_t> processes;  ///< for each event, the number of the process that reported it
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::uint64_t stateBytes = 0;
    std::uint64_t process = 0;  ///< increases with each start and each end of a process
    std::size_t maxQueuedUpdates = 0;
    ZoneName zone;
  };

  /// Returns the current behaviour of a link; a test may replace it at any time.
  std::function<Link(std::size_t from, std::size_t to)> link = [](auto, auto) { return Link{}; };
  /// Receives all messages and events of a member before the links handle the messages.
  std::function<void(std::size_t node, const Effects&)> onEffects = [](auto, const auto&) {};
  Duration now{};
  std::vector<Node> nodes;

  SimulatedFleet(std::size_t count, std::size_t zones, std::uint64_t seed, ProtocolSettings settings = {})
      : settings_(settings), random_(seed) {
    nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) nodes[i].zone = ZoneName{"z" + std::to_string(i % zones)};
  }
  static MemberName name(std::size_t i) { return {"n" + std::to_string(i)}; }
  static Address address(std::size_t i) { return {"n" + std::to_string(i) + ":1"}; }
  static std::size_t indexOf(const Address& address) { return std::stoul(address.text.substr(1)); }

  // Faults
  void start(std::size_t i, std::size_t seedNode = 0, const PersistedIdentity& identity = {}) {
    Node& node = nodes[i];
    const MemberRecord self{name(i), address(i), node.zone, {"r"}, ProcessId{random_()}, Incarnation{1}};
    std::vector<Address> seeds;
    if (seedNode != i) seeds.push_back(address(seedNode));
    node.member = std::make_unique<Membership>(self, seeds, settings_, random_(), identity);
    ++node.process;
    MemberStatus status;
    status.phase = Phase::serving;
    status.concurrencyLimit = static_cast<double>(i);
    node.member->publishStatus(status);
    Effects effects;
    node.member->open(now, effects);
    applyEffects(i, i, effects);
    scheduleTimer(i);
  }
  void startAll() {
    for (std::size_t i = 0; i < nodes.size(); ++i) start(i);
  }
  /// Introduces all members to each other, for measurements that do not concern joining.
  void introduceAll() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      Message message;
      message.kind = Message::Kind::ping;
      message.hasSenderJoined = true;
      message.sender = nodes[i == 0 ? 1 : 0].member->self();
      for (std::size_t other = 0; other < nodes.size(); ++other)
        if (other != i)
          message.updates.push_back({GossipUpdate::Kind::alive, nodes[other].member->self(), {}});
      Effects effects;
      nodes[i].member->onMessage(now, message, effects);
    }
  }
  void kill(std::size_t i) {
    nodes[i].member.reset();
    nodes[i].buffered.clear();
    ++nodes[i].process;
  }
  void pause(std::size_t i, Duration duration) {
    nodes[i].pausedUntil = now + duration;
    scheduleTimer(i);
  }
  void leave(std::size_t i) {
    Effects effects;
    nodes[i].member->leave(now, effects);
    applyEffects(i, i, effects);
  }
  void healAllLinks() {
    link = [](auto, auto) { return Link{}; };
  }

  // Time
  void runFor(Duration duration) {
    const Duration end = now + duration;
    while (!queue_.empty() && queue_.top().at <= end) {
      Delivery delivery = queue_.top();
      queue_.pop();
      now = std::max(now, delivery.at);
      perform(std::move(delivery));
    }
    now = end;
  }
  /// Runs until the condition holds; returns false if it does not hold within `limit`.
  bool runUntil(Duration limit, const std::function<bool()>& condition) {
    for (const Duration end = now + limit; now < end; runFor(std::chrono::milliseconds(100)))
      if (condition()) return true;
    return condition();
  }

  // Observations
  bool isRunning(std::size_t i) const { return nodes[i].member != nullptr; }
  const Membership& member(std::size_t i) const { return *nodes[i].member; }
  /// Returns the state of one member in the view of another.
  std::optional<MemberState> stateSeen(std::size_t viewer, std::size_t subject) const {
    if (!isRunning(viewer)) return std::nullopt;
    const auto& members = nodes[viewer].member->members();
    const auto it = members.find(name(subject));
    if (it == members.end()) return std::nullopt;
    return it->second.state;
  }
  /// Returns whether every running member sees all running members as alive and no stopped member as present.
  bool hasConverged() const {
    for (std::size_t viewer = 0; viewer < nodes.size(); ++viewer)
      for (std::size_t subject = 0; subject < nodes.size(); ++subject)
        if (viewer != subject && isRunning(viewer) && !isSeenCorrectly(viewer, subject)) return false;
    return true;
  }
  std::size_t deathsDeclaredOf(std::size_t subject, Duration since = {}) const {
    std::size_t out = 0;
    for (const auto& node : nodes)
      for (const auto& [at, event] : node.events)
        out += at >= since && event.type == MembershipEvent::Type::stateChanged &&
               event.state == MemberState::dead && event.member.name == name(subject);
    return out;
  }
  std::size_t deathsDeclared() const {
    std::size_t out = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) out += deathsDeclaredOf(i);
    return out;
  }
  /// Returns a description of a violated invariant, or an empty text. The invariants: within one process of a
  /// viewer, the incarnations in its view never decrease, and its queue of updates is bounded.
  std::string findInvariantViolation() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      std::map<std::pair<std::uint64_t, MemberName>, Incarnation> last;
      for (std::size_t k = 0; k < nodes[i].events.size(); ++k) {
        const MembershipEvent& event = nodes[i].events[k].second;
        if (event.type != MembershipEvent::Type::stateChanged) continue;
        auto& before = last[{nodes[i].processes[k], event.member.name}];
        if (event.member.incarnation < before)
          return name(i).text + " saw the incarnation of " + event.member.name.text + " decrease";
        before = event.member.incarnation;
      }
      const std::size_t updateLimit = 2 * nodes.size() + 8;
      if (nodes[i].maxQueuedUpdates > updateLimit)
        return name(i).text + " queued " + std::to_string(nodes[i].maxQueuedUpdates) +
               " updates, more than the limit of " + std::to_string(updateLimit);
    }
    return {};
  }

 private:
  /// The arrival of a message or the expiry of a timer.
  struct Delivery {
    Duration at;
    std::uint64_t number;
    std::size_t to;
    std::size_t from;
    std::uint64_t process;
    bool isTimer;
    std::string bytes;
    bool operator<(const Delivery& other) const {  // the priority queue returns the earliest delivery first
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  bool isSeenCorrectly(std::size_t viewer, std::size_t subject) const {
    const auto state = stateSeen(viewer, subject);
    if (isRunning(subject)) return state == MemberState::alive;
    return state != MemberState::alive && state != MemberState::suspect;
  }
  void perform(Delivery delivery) {
    Node& node = nodes[delivery.to];
    if (!node.member || node.process != delivery.process) return;
    if (now < node.pausedUntil) {
      bufferForPaused(std::move(delivery));
      return;
    }
    if (!delivery.isTimer) {
      deliver(delivery.to, delivery.from, delivery.bytes);
      return;
    }
    const auto buffered = std::exchange(node.buffered, {});
    for (const auto& [bytes, from] : buffered) deliver(delivery.to, from, bytes);
    if (!node.member) return;
    Effects effects;
    node.member->onTimer(now, effects);
    applyEffects(delivery.to, delivery.to, effects);
    scheduleTimer(delivery.to);
  }
  void bufferForPaused(Delivery delivery) {
    constexpr std::size_t maxBufferedMessages = 200;
    Node& node = nodes[delivery.to];
    if (delivery.isTimer)
      queue_.push({node.pausedUntil, ++number_, delivery.to, 0, delivery.process, true, {}});
    else if (node.buffered.size() < maxBufferedMessages)
      node.buffered.emplace_back(std::move(delivery.bytes), delivery.from);
  }
  void deliver(std::size_t to, std::size_t from, const std::string& bytes) {
    const auto message = decodeMessage(bytes);
    if (!message || !nodes[to].member) return;
    if (!message->recipient.text.empty() && message->recipient != name(to)) return;
    Effects effects;
    nodes[to].member->onMessage(now, *message, effects);
    applyEffects(to, from, effects);
  }
  /// @param replyTo the node that receives replies
  void applyEffects(std::size_t i, std::size_t replyTo, Effects& effects) {
    Node& node = nodes[i];
    onEffects(i, effects);
    for (auto& event : effects.events) {
      node.events.emplace_back(now, std::move(event));
      node.processes.push_back(node.process);
    }
    node.maxQueuedUpdates = std::max(node.maxQueuedUpdates, node.member->queuedUpdates());
    for (auto& message : effects.messages) send(i, replyTo, std::move(message));
  }
  void send(std::size_t from, std::size_t replyTo, OutgoingMessage message) {
    using Channel = OutgoingMessage::Channel;
    Node& node = nodes[from];
    const bool isDatagram = message.channel == Channel::datagram;
    const std::size_t to = message.channel == Channel::reply ? replyTo : indexOf(message.address);
    if (isDatagram) {
      ++node.datagrams;
      node.bytes += message.bytes.size();
    } else {
      node.stateBytes += message.bytes.size();
    }
    if (to >= nodes.size()) return;
    const Link on = link(from, to);
    if (on.loss >= 1) return;
    if (isDatagram && on.loss > 0 && std::uniform_real_distribution<>()(random_) < on.loss) return;
    const Duration travel = on.delay + std::chrono::microseconds(200 + random_(800));
    queue_.push({now + travel, ++number_, to, from, nodes[to].process, false, std::move(message.bytes)});
  }
  void scheduleTimer(std::size_t i) {
    const Node& node = nodes[i];
    queue_.push({std::max(node.member->nextDeadline(), now), ++number_, i, 0, node.process, true, {}});
  }

  const ProtocolSettings settings_;
  pcg32 random_;
  std::priority_queue<Delivery> queue_;
  std::uint64_t number_ = 0;
};

}  // namespace rainhook::membership
