#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/message_codec.h"

namespace rainhook::membership {

using namespace std::chrono_literals;
using Says = Rumour::Says;
using Kind = Message::Kind;
using What = Change::What;

const char* nameOf(State state) {
  constexpr const char* names[] = {"alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(state)];
}
const char* nameOf(Phase phase) {
  constexpr const char* names[] = {"observer", "cold", "serving", "draining", "unfit"};
  return names[static_cast<std::size_t>(phase)];
}
const char* nameOf(Change::What what) {
  constexpr const char* names[] = {"joined",      "refused",    "astray", "state",    "unreachable",
                                   "reachable",   "refuted",    "paused", "doubtful", "settled",
                                   "zone-silent", "zone-heard", "moved",  "twin"};
  return names[static_cast<std::size_t>(what)];
}

Membership::Membership(Card self, std::vector<Address> seeds, const ProbeTerms& terms, std::uint64_t seed,
                       Earlier earlier)
    : self_(std::move(self)), stated_(seeds.size()), ceiling_(earlier.ceiling), terms_(terms), chance_(seed) {
  self_.incarnation = earlier.from;
  for (auto& address : seeds) seeds_.emplace_back(MemberName{}, std::move(address));
  seeds_.insert(seeds_.end(), earlier.known.begin(), earlier.known.end());
}

void Membership::open(Span now, Out& out) {
  opened_ = true;
  now_ = heardAny_ = now;
  probeAt_ =
      now + Span(static_cast<Span::rep>(below(1000)) * terms_.every.count() / 1000);  // not all in step
  syncAt_ = now + terms_.every * terms_.syncEach;
  seedAt_ = now;
  if (seeds_.empty()) admit(now, out);
  turn(now, out);
}

Span Membership::wake() const { return wake_; }

// Own health, 0 to 8 (Lifeguard, section IV.A): the worse it is, the longer we wait before we doubt others.
void Membership::ill(int by) {
  if (terms_.ownHealth) ill_ = std::clamp(ill_ + by, 0, mostIll);
}

bool Membership::deaf(Span now) const {
  return living() > 1 && now - heardAny_ > terms_.every * terms_.deafAfter;
}

bool Membership::doubtful(Span now) const {
  if (!joined_ || deaf(now) || now < regardUntil_) return true;
  if (suspicions_.empty() && buried_.empty()) return false;
  // More than half of those that were there lately are lost to us: it may be we who are cut off.
  std::size_t there = 1, well = 1;
  for (const auto& [name, member] : members_) {
    const bool lately = member.state == State::dead && now - member.since < terms_.every * terms_.verdictOver;
    there += member.state == State::alive || member.state == State::suspect || lately;
    well += member.state == State::alive;
  }
  return well * 2 < there;
}

// Whether we were stopped: the time since the last turn against what it was to be. A stopped process has
// heard nothing and rung no timer, so all that ran out meanwhile runs anew, and nobody is judged before two
// periods of listening.
void Membership::look(Span now, Out& out) {
  now_ = now;
  const Span late = now - wake_;
  if (!terms_.ownPause || wake_ == Span{} || late < std::max<Span>(terms_.every / 2, 100ms)) return;
  ++counts_.pauses;
  ill(late > terms_.every ? 2 : 1);
  for (auto& [nonce, probe] : probes_) probe.askAt += late, probe.endAt += late;
  for (auto& [nonce, help] : helps_) help.until += late;
  heardAny_ = std::max(heardAny_ + late, heardAny_);
  for (auto& [name, member] : members_) {
    if (member.heardAt >= 0s) member.heardAt += late;
    if (member.provedAt >= 0s) member.provedAt += late;
    if (member.vouchedAt >= 0s) member.vouchedAt += late;
    if (member.suspicion) {
      Suspicion& suspicion = *member.suspicion;
      suspicion.since += late;
      retime(name, suspicion, std::max(suspicion.until + late, now + patience(0, 2)));
    }
  }
  regardUntil_ = now + 2 * terms_.every;
  probeAt_ = std::max(probeAt_, now);
  Change change{What::paused, self_, State::alive, {}};
  change.why = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(late).count()) + " ms";
  out.changes.push_back(std::move(change));
  wake_ = now;
}

// What is due.
void Membership::turn(Span now, Out& out) {
  if (!opened_ || refused_) return;
  look(now, out);
  // Those that got no answer straight ask others; then they fail.
  std::vector<Probe> over;
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (now >= probe.endAt) {
      over.push_back(std::move(probe));
      it = probes_.erase(it);
      continue;
    }
    if (now >= probe.askAt && probe.asked == 0 && !probe.courtesy) ask(it->first, probe, out);
    ++it;
  }
  for (const auto& probe : over) failed(now, probe, out);
  std::erase_if(helps_, [&](const auto& entry) {
    const auto& [nonce, help] = entry;
    if (now < help.until) return false;
    const auto asker = members_.find(help.asker);
    // Lifeguard's nack: the helper lives, the target did not answer it.
    if (asker != members_.end())
      send(Send::Way::datagram, help.asker, asker->second.card.address,
           fresh(Kind::nack, help.asker, help.theirs), out);
    return true;
  });
  if (!joined_) {
    if (now >= seedAt_) {
      // The seeds in turn, three rounds, then once those known from earlier; where none answers we are the
      // first.
      if (seedsTried_ >= 3 * stated_ + (seeds_.size() - stated_) && !contesting_)
        admit(now, out);
      else if (!contesting_)
        askASeed(now, out);
    }
  } else if (!left_) {
    judge(now, out);
    if (now >= probeAt_) nextProbe(now, out);
    if (now >= syncAt_) askForState(now, out);
    lookAtDoubt(now, out);
  } else if (now >= leaveAt_) {
    leaveAt_ = now + terms_.every / 4;
    for (const auto& name : some(4, {}))
      send(Send::Way::datagram, name, members_.at(name).card.address, fresh(Kind::ping, name, Nonce{}), out);
  }
  while (!buried_.empty() && now - buried_.begin()->first >= terms_.forgetAfter) {
    const MemberName name = buried_.begin()->second;
    rumours_.forget(name);
    members_.erase(name);
    buried_.erase(buried_.begin());
  }
  wake_ = now + terms_.every / 4;
  for (const auto& [nonce, probe] : probes_)
    wake_ = std::min(wake_,
                     probe.asked == 0 && !probe.courtesy ? std::min(probe.askAt, probe.endAt) : probe.endAt);
  for (const auto& [nonce, help] : helps_) wake_ = std::min(wake_, help.until);
  if (joined_ && !left_) wake_ = std::min(wake_, probeAt_);
  wake_ = std::max(wake_, now + 1ms);
}

// One member a period, in a shuffled round that starts anywhere (SWIM, section 4.3): the time until a dead
// one is probed is bounded by the size of the fleet. Beside it one of the buried now and then, who may be
// there after a split.
void Membership::nextProbe(Span now, Out& out) {
  probeAt_ = now + terms_.every;  // never slower, as Lifeguard has it: whoever falls silent is taken for dead
  std::size_t passed = 0;
  for (;;) {
    if (at_ >= round_.size()) {
      if (passed++ > 0) break;
      round_.clear();
      for (const auto& [name, member] : members_)
        if (member.state == State::alive || member.state == State::suspect) round_.push_back(name);
      for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[below(i)]);
      at_ = 0;
      if (round_.empty()) break;
    }
    const auto it = members_.find(round_[at_++]);
    if (it == members_.end() || it->second.state == State::dead || it->second.state == State::left) continue;
    probe(now, it->second.card, out, false, false);
    break;
  }
  std::vector<const Card*> dead;
  for (const auto& [since, name] : buried_)
    if (members_.at(name).state == State::dead) dead.push_back(&members_.at(name).card);
  if (!dead.empty()) probe(now, *dead[below(dead.size())], out, false, true);
  if (living() == 1 && !seeds_.empty() && now >= seedAt_) askASeed(now, out);  // they may be there by now
}

void Membership::askASeed(Span now, Out& out) {
  seedAt_ = now + terms_.every;
  const std::size_t rounds = 3 * stated_, turn = seedsTried_++;
  const auto& [name, address] =
      seeds_[turn < rounds ? turn % stated_ : (turn - rounds + stated_) % seeds_.size()];
  send(Send::Way::connection, name, address, fresh(Kind::state, {}, Nonce{}), out);
}

void Membership::probe(Span now, const Card& card, Out& out, bool contest, bool courtesy) {
  if (probes_.size() >= mostProbes) return;
  const Nonce nonce{(std::uint64_t{chance_()} << 32) | chance_()};
  Probe probe{card.name, card,    now,     now + slowed(terms_.every) * 2 / 5, now + slowed(terms_.every), 0,
              0,         contest, courtesy};
  probes_.emplace(nonce, std::move(probe));
  ++counts_.probes;
  send(Send::Way::datagram, card.name, card.address, fresh(Kind::ping, card.name, nonce), out);
}

void Membership::ask(Nonce nonce, Probe& probe, Out& out) {
  for (const auto& name : some(terms_.helpers, probe.target)) {
    auto message = fresh(Kind::ask, name, nonce);
    message.about = probe.card;
    send(Send::Way::datagram, name, members_.at(name).card.address, std::move(message), out);
    ++probe.asked;
  }
  if (probe.asked == 0) probe.askAt = probe.endAt;  // nobody to ask
}

// Members that live and answer us, by chance, at most so many.
std::vector<MemberName> Membership::some(std::size_t most, const MemberName& but) {
  std::vector<MemberName> all;
  for (const bool reached : {true, false}) {
    if (!all.empty()) break;  // where nobody answers us, somebody may hear us
    for (const auto& [name, member] : members_)
      if (member.state == State::alive && member.reached() == reached && name != but) all.push_back(name);
  }
  for (std::size_t i = 0; i < all.size() && i < most; ++i) std::swap(all[i], all[i + below(all.size() - i)]);
  if (all.size() > most) all.resize(most);
  return all;
}

void Membership::failed(Span now, const Probe& probe, Out& out) {
  if (probe.courtesy) return;
  if (probe.contest) {  // nobody else has our name any more
    contesting_ = false;
    raise(beyond(probe.card.incarnation));
    return joined_ ? say(Says::alive, self_, {}) : admit(now, out);
  }
  ++counts_.failed;
  const auto it = members_.find(probe.target);
  if (it == members_.end()) return;
  Member& member = it->second;
  // Helpers that did not even answer that they could not reach it tell of ourselves.
  if (probe.asked > probe.nacks)
    ill(static_cast<int>(probe.asked - probe.nacks) > 1 ? 2 : 1);
  else
    ill(1);
  miss(member, "three probes without an answer", out);
  if (terms_.ownPause && (deaf(now) || now < regardUntil_)) return;  // it may be we who hear nothing
  // It speaks to us, or to one of our helpers: it lives, whatever became of our probe.
  if (terms_.witnesses && (member.heardAt >= probe.started || member.vouchedAt >= probe.started)) return;
  if (member.state != State::alive && member.state != State::suspect) return;
  Rumour rumour{Says::suspect, member.card, {ourselves()}};
  suspect(now, member, rumour, out);
}

void Membership::acked(Span now, const Message& message, Out& out) {
  if (const auto help = helps_.find(message.nonce); help != helps_.end()) {
    const auto asker = members_.find(help->second.asker);
    if (asker != members_.end()) {
      auto forwarded = fresh(Kind::ack, help->second.asker, help->second.theirs);
      forwarded.about = message.from;
      send(Send::Way::datagram, help->second.asker, asker->second.card.address, std::move(forwarded), out);
    }
    helps_.erase(help);
    return;
  }
  const auto it = probes_.find(message.nonce);
  if (it == probes_.end()) return;
  const Probe probe = it->second;
  const bool straight = message.from.name == probe.target;
  const Card& reached = straight ? message.from : message.about;
  if (reached.name != probe.target) return;
  if (probe.contest) {
    if (reached.boot == self_.boot) return;
    probes_.erase(it);
    contesting_ = false;
    // Whoever is not in yet gives way; of two that are, the one with the greater number.
    if (!joined_ || (message.joined && self_.boot > reached.boot)) return refuse(reached, out);
    raise(beyond(reached.incarnation));
    return say(Says::alive, self_, {});
  }
  probes_.erase(it);
  ill(-1);
  const auto found = members_.find(probe.target);
  if (found == members_.end()) return;
  Member& member = found->second;
  member.provedAt = now;
  if (straight) {
    member.missed = 0;
    if (unreached_.erase(member.card.name) > 0)
      out.changes.push_back({What::reachable, member.card, member.state, "it answers"});
  } else {
    miss(member, "answers others only", out);
    alive(now, {Says::alive, reached, {}}, out);
  }
}

// It did not answer us straight, for the third time in a row: it is unreachable from here, whatever it is for
// others.
void Membership::miss(Member& member, const char* why, Out& out) {
  if (++member.missed != 3 || member.state != State::alive) return;
  unreached_.insert(member.card.name);
  out.changes.push_back({What::unreachable, member.card, member.state, why});
}

// A verified word straight from a member.
void Membership::heardFrom(Span now, const Message& message, Out& out) {
  if (!message.joined) return;
  alive(now, {Says::alive, message.from, {}}, out);
  const auto it = members_.find(message.from.name);
  if (it == members_.end() || it->second.card.boot != message.from.boot) return;
  Member& member = it->second;
  member.heardAt = member.provedAt = now;
  member.unheard = message.unheard;
  // Others miss it, and may be cut off from it, or it may hear nothing itself: we hear it, so it lives.
  if (member.suspicion && now - member.vouchedAt > terms_.every / 2)
    heardAfterAll(member, ourselves(), now);
  else
    return;
  // Those who are about to judge hear of it at once.
  for (const auto& witness : std::set<Witness>(member.suspicion->by))
    if (const auto judge = members_.find(witness.name); judge != members_.end())
      send(Send::Way::datagram, witness.name, judge->second.card.address,
           fresh(Kind::ping, witness.name, Nonce{}), out);
}

// Somebody heard it then: whoever does not may be cut off from it. The verdict waits.
void Membership::heardAfterAll(Member& member, const Witness& by, Span at) {
  if (!terms_.witnesses || (member.vouchedAt >= 0s && at - member.vouchedAt < terms_.every / 2)) return;
  member.vouchedAt = at;
  rumours_.add({Says::heard, member.card, {by}, at});
  if (!member.suspicion) return;
  Suspicion& suspicion = *member.suspicion;
  suspicion.heardAt = at;
  retime(member.card.name, suspicion, std::max(suspicion.until, at + grace(member)));
}

// How long after it was heard last nobody is buried; longer where that was after it was suspected, since
// whoever was killed is not heard then any more.
Span Membership::grace(const Member& member) const {
  const Span least = patience(mostWitnesses, mostWitnesses);
  return member.suspicion && member.vouchedAt > member.suspicion->since ? 3 * least : least;
}

void Membership::hear(Span now, const Message& message, Out& out) {
  if (!opened_ || refused_) return;
  look(now, out);
  heardAny_ = now;
  if (message.from.name == self_.name) {
    if (message.from.boot == self_.boot) return;  // our own, come back
    out.changes.push_back({What::twin, message.from, State::alive, "speaks under our name"});
    if (message.kind == Kind::ack) return acked(now, message, out);
    // A second instance asks whether we are there; or asks for the state, in which it finds us.
    if (message.kind == Kind::ping)
      return send(Send::Way::datagram, {}, message.from.address, fresh(Kind::ack, {}, message.nonce), out);
    if (message.kind != Kind::state) return;
  } else {
    heardFrom(now, message, out);
  }
  for (const auto& rumour : message.rumours) apply(now, rumour, out);
  for (const auto& of : message.digests) {
    const auto it = members_.find(of.name);
    if (it == members_.end() || it->second.card.incarnation > of.incarnation) continue;
    Member& member = it->second;
    const bool newer = of.digest.version > member.digest.version || of.incarnation > member.card.incarnation;
    if (newer && of.digest.version > 0) member.digest = of.digest, member.digestAt = now;
  }
  const auto known = members_.find(message.from.name);
  const Address& address = known == members_.end() ? message.from.address : known->second.card.address;
  switch (message.kind) {
    case Kind::ping:
      if (message.nonce != Nonce{})
        send(Send::Way::datagram, message.from.name, address,
             fresh(Kind::ack, message.from.name, message.nonce), out);
      break;
    case Kind::ack:
      acked(now, message, out);
      break;
    case Kind::ask:
      if (helps_.size() < mostProbes && known != members_.end() && message.about.name != self_.name) {
        const Nonce nonce{(std::uint64_t{chance_()} << 32) | chance_()};
        // Whom we hear we vouch for, whether it answers now or not.
        if (const auto it = members_.find(message.about.name);
            it != members_.end() && it->second.state != State::dead && it->second.state != State::left &&
            it->second.heardAt >= 0s && now - it->second.heardAt < 2 * terms_.every && !deaf(now))
          heardAfterAll(it->second, ourselves(), it->second.heardAt);
        helps_.emplace(nonce,
                       Help{message.from.name, message.about.name, message.nonce, now + terms_.every / 2});
        wake_ = std::min(wake_, now + terms_.every / 2);
        send(Send::Way::datagram, message.about.name, message.about.address,
             fresh(Kind::ping, message.about.name, nonce), out);
      }
      break;
    case Kind::nack:
      if (const auto it = probes_.find(message.nonce); it != probes_.end()) ++it->second.nacks;
      break;
    case Kind::state:
      send(Send::Way::back, message.from.name, address, fresh(Kind::stateBack, message.from.name, Nonce{}),
           out);
      break;
    case Kind::stateBack:
      if (!joined_ && !contesting_) admit(now, out);
      break;
  }
}

// We are in, unless the seeds' state told of another who has our name.
void Membership::admit(Span now, Out& out) {
  if (joined_ || contesting_) return;
  // A zone in two regions: whoever sums up by either would be wrong. The one who comes gives way.
  for (const auto& [name, member] : members_)
    if (member.state == State::alive && member.card.zone == self_.zone &&
        member.card.region != self_.region) {
      refused_ = true;
      out.changes.push_back({What::astray, member.card, State::alive, "our zone stands in another region"});
      return;
    }
  joined_ = true;
  heardAny_ = now;
  out.changes.push_back(
      {What::joined, self_, State::alive, std::to_string(members_.size()) + " others known"});
  say(Says::alive, self_, {});
}

void Membership::refuse(const Card& other, Out& out) {
  refused_ = true;
  out.changes.push_back({What::refused, other, State::alive, "the name is held by a living instance"});
}

// Somebody has our name at another address: an earlier life of ours that nobody has missed yet, or another
// instance that lives. Only its own answer tells.
void Membership::contest(Span now, const Card& other, Out& out) {
  if (contesting_) return;
  contesting_ = true;
  probe(now, other, out, true, false);
}

void Membership::apply(Span now, const Rumour& rumour, Out& out) {
  if (rumour.says == Says::zoneSilent || rumour.says == Says::zoneDead) return zoneRumour(now, rumour, out);
  if (rumour.who.name == self_.name) return ofOurselves(now, rumour, out);
  if (rumour.says == Says::alive) return alive(now, rumour, out);
  auto it = members_.find(rumour.who.name);
  if (it == members_.end()) {
    if (rumour.says != Says::suspect || members_.size() >= terms_.mostMembers)
      return;  // of the gone nothing is kept
    alive(now, {Says::alive, rumour.who, {}}, out);
    it = members_.find(rumour.who.name);
    if (it == members_.end()) return;
  }
  Member& member = it->second;
  if (rumour.who.incarnation < member.card.incarnation) return;
  switch (rumour.says) {
    case Says::suspect:
      if (member.state == State::alive || member.state == State::suspect) suspect(now, member, rumour, out);
      break;
    case Says::dead:
    case Says::left:
      gone(now, member, rumour, out);
      break;
    case Says::heard:
      if (rumour.who.incarnation == member.card.incarnation && rumour.by.size() == 1)
        heardAfterAll(member, rumour.by.front(), now - rumour.heard);
      break;
    default:
      break;
  }
}

// No further than what is on the disk.
void Membership::raise(Incarnation to) {
  wanted_ = std::max(wanted_, to);
  self_.incarnation = std::max(self_.incarnation, std::min(to, ceiling_));
}

// What others say of us. Only we may raise our incarnation, and do so to take back what is not true.
void Membership::ofOurselves(Span now, const Rumour& rumour, Out& out) {
  const Card& who = rumour.who;
  if (left_ || who.incarnation < self_.incarnation || rumour.says == Says::heard) return;
  if (rumour.says == Says::alive && who.boot == self_.boot) return;
  // Under our own address it can only be an earlier life of ours: no two can be bound to it.
  const bool over = rumour.says == Says::dead || rumour.says == Says::left;
  if (who.boot != self_.boot && who.address != self_.address && !over) return contest(now, who, out);
  const bool earlier = who.boot != self_.boot;
  raise(beyond(who.incarnation));
  // The disk has to keep it first; the word on us comes again until we have answered it.
  if (self_.incarnation <= who.incarnation) {
    ++counts_.unsaid;
    return;
  }
  say(Says::alive, self_, {});
  if (earlier) return;
  ++counts_.refutations;
  ill(1);
  out.changes.push_back({What::refuted, self_, State::alive,
                         rumour.by.empty() ? "" : "said by " + rumour.by.front().name.text});
}

void Membership::alive(Span now, const Rumour& rumour, Out& out) {
  const Card& who = rumour.who;
  if (who.name == self_.name || who.name.text.empty()) return;
  auto it = members_.find(who.name);
  if (it == members_.end()) {
    if (members_.size() >= terms_.mostMembers) {
      ++counts_.refusedMembers;
      return;
    }
    it = members_.emplace(who.name, Member{}).first;
    Member& member = it->second;
    member.card = who;
    member.since = now;
    ++living_;
    round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(at_ + below(round_.size() - at_ + 1)),
                  who.name);
    say(Says::alive, who, {});
    out.changes.push_back({What::state, who, State::alive, "new"});
    return;
  }
  Member& member = it->second;
  if (who.incarnation <= member.card.incarnation) return;
  const bool moved = who.boot != member.card.boot || who.address != member.card.address;
  if (moved) unreached_.erase(who.name);
  if (moved) member.missed = 0, member.digest = {}, member.digestAt = Span{-1};
  member.card = who;
  say(Says::alive, who, {});
  if (moved) out.changes.push_back({What::moved, who, State::alive, "another process or address"});
  if (member.state != State::alive) become(now, member, State::alive, "said so itself", out);
}

void Membership::suspect(Span now, Member& member, const Rumour& rumour, Out& out) {
  const Card& who = member.card;
  const bool first = !member.suspicion;
  if (first) {
    member.card.incarnation = std::max(who.incarnation, rumour.who.incarnation);
    become(now, member, State::suspect,
           "by " + (rumour.by.empty() ? std::string("a rumour") : rumour.by.front().name.text), out);
    member.suspicion = Suspicion{};
    member.suspicion->since = now;
  } else if (rumour.who.incarnation > who.incarnation) {
    member.card.incarnation = rumour.who.incarnation;
    member.suspicion->by.clear();
  }
  Suspicion& suspicion = *member.suspicion;
  const std::size_t before = suspicion.by.size();
  for (const auto& witness : rumour.by)
    if (suspicion.by.size() < mostWitnesses && witness.name != who.name) suspicion.by.insert(witness);
  if (!first && suspicion.by.size() == before) return;
  // Each witness more shortens what is left (Lifeguard, section IV.B).
  const Span until = suspicion.since + patience(suspicion.by.size(), living() - 1);
  const Span heard = member.vouchedAt < 0s ? now : member.vouchedAt + grace(member);
  retime(who.name, suspicion, std::max({now, heard, first ? until : std::min(suspicion.until, until)}));
  if (!silent_.contains(who.zone)) say(Says::suspect, who, {suspicion.by.begin(), suspicion.by.end()});
  if (!first || suspicion.by.contains(ourselves())) return;
  // We hear it: that is worth more than what others miss.
  if (member.heardAt >= 0s && now - member.heardAt < terms_.every && !deaf(now))
    return heardAfterAll(member, ourselves(), member.heardAt);
  // Some of those who hear of it look for themselves, so that verdicts need not wait until the round comes to
  // it; more in zones from which no witness comes yet.
  if (!terms_.confirms) return;
  std::size_t ours = 1;
  bool witnessed = false;
  for (const auto& witness : suspicion.by) witnessed = witnessed || witness.zone == self_.zone;
  for (const auto& [name, other] : members_)
    ours += other.state == State::alive && other.card.zone == self_.zone;
  if (below(ours) < (witnessed ? 1u : 3u)) probe(now, member.card, out, false, false);
}

void Membership::gone(Span now, Member& member, const Rumour& rumour, Out& out) {
  if (member.state == State::left || (member.state == State::dead && rumour.says == Says::dead)) return;
  // We hear it: no verdict of others takes that from us. What we say gives it time to speak for itself.
  const auto lately = [&](Span at) { return at >= 0s && now - at < 2 * terms_.every; };
  if (rumour.says == Says::dead && terms_.witnesses && !deaf(now) &&
      (lately(member.heardAt) || lately(member.vouchedAt))) {
    if (!member.suspicion) suspect(now, member, rumour, out);
    if (lately(member.heardAt)) heardAfterAll(member, ourselves(), member.heardAt);
    return;
  }
  member.card.incarnation = std::max(member.card.incarnation, rumour.who.incarnation);
  member.by = rumour.by;
  become(now, member, rumour.says == Says::left ? State::left : State::dead,
         rumour.says == Says::left ? "said so itself" : "verdict of others", out);
  say(rumour.says, member.card, rumour.by);
}

void Membership::become(Span now, Member& member, State state, std::string why, Out& out) {
  if (member.suspicion) suspicions_.erase({member.suspicion->until, member.card.name});
  member.suspicion.reset();
  if (member.state == State::dead || member.state == State::left)
    buried_.erase({member.since, member.card.name});
  member.state = state;
  member.since = now;
  if (state == State::dead || state == State::left) buried_.insert({now, member.card.name});
  if (state == State::dead) ++counts_.verdicts, verdicts_.push_back(now);
  if (state == State::alive) member.by.clear(), member.missed = 0;
  if (state == State::alive && std::find(round_.begin() + static_cast<std::ptrdiff_t>(at_), round_.end(),
                                         member.card.name) == round_.end())
    round_.push_back(member.card.name);
  out.changes.push_back({What::state, member.card, state, std::move(why)});
}

void Membership::retime(const MemberName& name, Suspicion& suspicion, Span until) {
  suspicions_.erase({suspicion.until, name});
  suspicion.until = until;
  suspicions_.insert({until, name});
}

// Between a least and six times that, by how many have confirmed (Lifeguard, section IV.B); the least grows
// with the logarithm of the fleet, as the spreading of a word does (SWIM, section 4.2).
Span Membership::patience(std::size_t witnesses, std::size_t candidates) const {
  const double least = 4 * std::max(1.0, std::log10(static_cast<double>(living())));
  const double wanted = std::min(3.0, static_cast<double>(candidates) - 1);
  double periods = least;
  if (terms_.confirms && wanted > 0) {
    const double share =
        std::log(static_cast<double>(std::max<std::size_t>(witnesses, 1))) / std::log(wanted + 1);
    periods = std::max(least, 6 * least - 5 * least * std::min(1.0, share));
  }
  return std::chrono::duration_cast<Span>(terms_.every * periods);
}

// Why the verdict on a suspected member has to wait; empty where it has not.
std::string Membership::holds(Span now, const Member& member) const {
  if (!terms_.witnesses) return {};
  if (deaf(now)) return "we hear nobody: it may be we who are cut off";
  if (now < regardUntil_) return "we were stopped ourselves a moment ago";
  const Suspicion& suspicion = *member.suspicion;
  std::set<ZoneName> could{self_.zone}, did;
  std::size_t candidates = 1, there = 1;
  for (const auto& [name, other] : members_) {
    const bool lately = other.state == State::dead && now - other.since < terms_.every * terms_.verdictOver;
    there += other.state == State::alive || other.state == State::suspect || lately;
    if (other.state != State::alive) continue;
    ++candidates;
    could.insert(other.card.zone);
  }
  for (const auto& witness : suspicion.by) did.insert(witness.zone);
  if (candidates < 2) return "there is no second witness";
  if (suspicion.by.size() < 2) return "a second witness is waited for";
  if (could.size() >= 2 && did.size() < 2) return "a witness of a second zone is waited for";
  const Span zoneWait = patience(mostWitnesses, mostWitnesses) * 2;
  if (const auto it = silent_.find(member.card.zone); it != silent_.end() && now - it->second < zoneWait)
    return "its whole zone is silent";
  if (mateToAsk(member)) return "another of its zone is asked first";
  const auto most =
      std::max<std::size_t>(1, static_cast<std::size_t>(terms_.verdictShare * static_cast<double>(there)));
  if (verdicts_.size() >= most) return "more would be buried than can be believed";
  const auto second =
      std::count_if(verdicts_.begin(), verdicts_.end(), [&](Span at) { return now - at < 1s; });
  if (static_cast<std::size_t>(second) >= terms_.verdictsASecond) return "too many verdicts within a second";
  return {};
}

// Whether it is one or its whole zone: before a verdict another of the zone has given proof since, or was
// asked for it a few times and is missed too, which makes it the zone's silence. Null where nobody is to be
// asked.
const Membership::Member* Membership::mateToAsk(const Member& member) const {
  constexpr int mostAsked = 4;
  const Suspicion& suspicion = *member.suspicion;
  if (suspicion.zoneAsked >= mostAsked || silent_.contains(member.card.zone)) return nullptr;
  const Member* out = nullptr;
  for (const auto& [name, other] : members_) {
    if (other.card.zone != member.card.zone || other.state != State::alive) continue;
    if (other.provedAt > suspicion.since) return nullptr;
    if (!out || other.provedAt < out->provedAt) out = &other;
  }
  return out;
}

void Membership::judge(Span now, Out& out) {
  std::erase_if(verdicts_, [&](Span at) { return now - at >= terms_.every * terms_.verdictOver; });
  if (terms_.witnesses && (!suspicions_.empty() || !silent_.empty())) lookAtZones(now, out);
  while (!suspicions_.empty() && suspicions_.begin()->first <= now) {
    const MemberName name = suspicions_.begin()->second;
    Member& member = members_.at(name);
    if (auto why = holds(now, member); !why.empty()) {
      if (member.suspicion->waits != why) ++counts_.held;
      member.suspicion->waits = std::move(why);
      retime(name, *member.suspicion, now + terms_.every);
      // What others saw may not have reached us, nor ours them.
      probe(now, member.card, out, false, false);
      if (const Member* mate = mateToAsk(member)) {
        ++member.suspicion->zoneAsked;
        probe(now, mate->card, out, false, false);
      }
      if (!silent_.contains(member.card.zone))
        say(Says::suspect, member.card, {member.suspicion->by.begin(), member.suspicion->by.end()});
      continue;
    }
    member.by.assign(member.suspicion->by.begin(), member.suspicion->by.end());
    const bool zoneToo = silent_.contains(member.card.zone);
    become(now, member, State::dead, "nobody reaches it", out);
    if (!zoneToo)
      say(Says::dead, member.card, member.by);
    else  // one fact for the whole zone
      say(Says::zoneDead, Card{{}, {}, member.card.zone, member.card.region, {}, {}}, member.by);
  }
}

// A zone of which several are suspected and nobody was heard since is silent as a whole: one event, one
// rumour.
void Membership::lookAtZones(Span now, Out& out) {
  struct Sum {
    std::size_t there = 0, suspected = 0;
    Span proved{-1};
    RegionName region;
  };
  std::map<ZoneName, Sum> sums;
  for (const auto& [name, member] : members_) {
    if (member.state != State::alive && member.state != State::suspect) continue;
    Sum& sum = sums[member.card.zone];
    ++sum.there, sum.suspected += member.state == State::suspect;
    sum.proved = std::max(sum.proved, member.provedAt);
    sum.region = member.card.region;
  }
  for (const auto& [zone, sum] : sums) {
    // Where all of it are missed, however unwell we are: else a verdict on one might come first.
    const bool all = sum.suspected == sum.there;
    const bool quiet = now - sum.proved > (all ? terms_.every : slowed(terms_.every)) * 3;
    const bool silent =
        quiet && sum.suspected >= std::max<std::size_t>(2, (sum.there + 2) / 3) && zone != self_.zone;
    if (!silent || silent_.contains(zone) || silent_.size() >= mostZones || deaf(now)) continue;
    silence(now, zone, sum.region, {ourselves()}, out);
  }
  std::erase_if(silent_, [&](const auto& entry) {
    const auto it = sums.find(entry.first);
    if (entry.second == now) return false;
    const bool heard =
        it != sums.end() && (it->second.proved > entry.second || it->second.suspected < it->second.there);
    if (heard)
      out.changes.push_back(
          {What::zoneHeard, Card{{}, {}, entry.first, it->second.region, {}, {}}, State::alive, {}});
    return heard || (it == sums.end() && now - entry.second > terms_.every * terms_.verdictOver);
  });
}

// All of a zone are suspected at once, on the word of these: one event, one rumour, and none of the single
// ones.
void Membership::silence(Span now, const ZoneName& zone, const RegionName& region,
                         const std::vector<Witness>& by, Out& out) {
  std::size_t there = 0;
  if (!silent_.emplace(zone, now).second) return;
  for (auto& [name, member] : members_) {
    if (member.card.zone != zone || (member.state != State::alive && member.state != State::suspect))
      continue;
    ++there;
    rumours_.forget(name);
    suspect(now, member, {Says::suspect, member.card, by}, out);
  }
  const Card about{{}, {}, zone, region, {}, {}};
  out.changes.push_back({What::zoneSilent, about, State::suspect, std::to_string(there) + " members"});
  say(Says::zoneSilent, about, by);
}

// The word on a whole zone. It holds only where we hear none of it ourselves.
void Membership::zoneRumour(Span now, const Rumour& rumour, Out& out) {
  const ZoneName& zone = rumour.who.zone;
  if (zone == self_.zone || rumour.by.empty()) return;
  std::vector<Member*> of;
  bool ours = false;
  for (auto& [name, member] : members_) {
    if (member.card.zone != zone) continue;
    if (member.heardAt >= 0s && now - member.heardAt < 2 * terms_.every && !deaf(now))
      return heardAfterAll(member, ourselves(), member.heardAt);
    ours = ours || (member.suspicion && member.suspicion->by.contains(ourselves()));
    of.push_back(&member);
  }
  bool news = false;
  if (rumour.says == Says::zoneDead) {
    for (Member* member : of)
      if (member->state == State::suspect) {
        become(now, *member, State::dead, "verdict of others on its zone", out);
        member->by = rumour.by;
        news = true;
      }
  } else if (!silent_.contains(zone)) {
    return silence(now, zone, rumour.who.region, rumour.by, out);
  } else {
    for (Member* member : of)
      if (member->suspicion) {
        const auto before = member->suspicion->by.size();
        suspect(now, *member, {Says::suspect, member->card, rumour.by}, out);
        news = news || member->suspicion->by.size() > before;
      }
  }
  if (!news) return;
  auto by = rumour.by;
  // We are a witness too where we have found one of them silent ourselves.
  if (ours && by.size() < mostWitnesses && std::find(by.begin(), by.end(), ourselves()) == by.end())
    by.push_back(ourselves());
  say(rumour.says, rumour.who, std::move(by));
}

void Membership::lookAtDoubt(Span now, Out& out) {
  const bool is = doubtful(now);
  if (is == wasDoubtful_) return;
  wasDoubtful_ = is;
  out.changes.push_back({is ? What::doubtful : What::settled, self_, State::alive,
                         !is                  ? ""
                         : deaf(now)          ? "we hear nobody"
                         : now < regardUntil_ ? "we were stopped"
                                              : "more than half are not heard"});
}

void Membership::say(Says says, const Card& who, std::vector<Witness> by) {
  if (by.size() > mostWitnesses) by.resize(mostWitnesses);
  rumours_.add({says, who, std::move(by)});
}

void Membership::say(Span, const Digest& digest) {
  const auto version = digest_.version + 1;
  digest_ = digest;
  digest_.version = version;
}

void Membership::askForState(Span now, Out& out) {
  syncAt_ = now + terms_.every * terms_.syncEach;
  const auto with = some(1, {});
  if (with.empty()) return;
  send(Send::Way::connection, with.front(), members_.at(with.front()).card.address,
       fresh(Kind::state, with.front(), Nonce{}), out);
}

Message Membership::fresh(Kind kind, const MemberName& to, Nonce nonce) {
  Message out;
  out.kind = kind;
  out.from = self_;
  out.joined = joined_;
  out.to = to;
  out.nonce = nonce;
  return out;
}

// What rides along: the word on the one who is written to first (Lifeguard's buddy notice), then what was
// sent least; our own digest and, in turn, a few of others.
void Membership::send(Send::Way way, const MemberName& to, const Address& address, Message message,
                      Out& out) {
  const bool whole = message.kind == Kind::state || message.kind == Kind::stateBack;
  for (const auto& name : unreached_) {
    if (message.unheard.size() >= mostUnheard) break;
    message.unheard.push_back(name);
  }
  if (digest_.version > 0) message.digests.push_back({self_.name, self_.incarnation, digest_});
  const auto digestOf = [&](const Member& member) {
    if (member.digest.version > 0)
      message.digests.push_back({member.card.name, member.card.incarnation, member.digest});
  };
  if (whole) {
    for (const auto& [name, member] : members_) {
      constexpr Says says[] = {Says::alive, Says::suspect, Says::dead, Says::left};
      Rumour rumour{says[static_cast<std::size_t>(member.state)], member.card, member.by};
      if (member.suspicion) rumour.by.assign(member.suspicion->by.begin(), member.suspicion->by.end());
      message.rumours.push_back(std::move(rumour));
      digestOf(member);
    }
    if (left_) message.rumours.push_back({Says::left, self_, {}});
    return out.sends.push_back({way, to, address, packed(message, mostState)});
  }
  const auto about = members_.find(to);
  message.rumours = rumours_.next(mostRumours, to);
  if (about != members_.end() && about->second.state != State::alive &&
      (message.rumours.empty() || message.rumours.front().who.name != to)) {
    const Member& member = about->second;
    Rumour notice{member.state == State::suspect ? Says::suspect
                  : member.state == State::dead  ? Says::dead
                                                 : Says::left,
                  member.card, member.by};
    if (member.suspicion) notice.by.assign(member.suspicion->by.begin(), member.suspicion->by.end());
    message.rumours.insert(message.rumours.begin(), std::move(notice));
  }
  for (int i = 0; i < 2 && !round_.empty(); ++i)
    if (const auto it = members_.find(round_[below(round_.size())]); it != members_.end())
      digestOf(it->second);
  for (auto& rumour : message.rumours)
    if (rumour.says == Says::heard) rumour.heard = std::max(now_ - rumour.heard, Span{});
  std::size_t taken = 0;
  auto bytes = packed(message, mostDatagram - 64, &taken);
  rumours_.sent(message.rumours, taken, living());
  out.sends.push_back({way, to, address, std::move(bytes)});
}

void Membership::leave(Span now, Out& out) {
  if (left_ || !opened_ || refused_) return;
  left_ = true;
  now_ = leaveAt_ = now;
  say(Says::left, self_, {});
  turn(now, out);
}

std::vector<std::string> Membership::explain(const MemberName& name, Span now) const {
  const auto ago = [now](Span at) {
    if (at < 0s) return std::string("never");
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count()) +
           " ms ago";
  };
  const auto list = [](const auto& witnesses) {
    std::string out;
    for (const auto& witness : witnesses)
      out += (out.empty() ? "" : ", ") + witness.name.text + " (" + witness.zone.text + ")";
    return out.empty() ? std::string("nobody") : out;
  };
  if (name == self_.name)
    return {"that is the instance asked; incarnation " +
            std::to_string(static_cast<std::uint64_t>(self_.incarnation))};
  const auto it = members_.find(name);
  if (it == members_.end()) return {};
  const Member& member = it->second;
  std::vector<std::string> out;
  out.push_back(std::string(nameOf(member.state)) + " since " + ago(member.since) + ", incarnation " +
                std::to_string(static_cast<std::uint64_t>(member.card.incarnation)));
  out.push_back("heard straight from it " + ago(member.heardAt) + ", last proof that it lives " +
                ago(member.provedAt));
  out.push_back(std::to_string(member.missed) +
                " probes of ours in a row without an answer straight from it");
  if (member.suspicion) {
    const Suspicion& suspicion = *member.suspicion;
    out.push_back("suspected by " + list(suspicion.by));
    if (suspicion.heardAt >= 0s) out.push_back("heard by another witness " + ago(suspicion.heardAt));
    out.push_back(
        "verdict in " +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(suspicion.until - now).count()) +
        " ms at the earliest" + (suspicion.waits.empty() ? "" : ", it has waited since " + suspicion.waits));
  }
  if (member.state == State::dead) out.push_back("buried on the word of " + list(member.by));
  if (silent_.contains(member.card.zone))
    out.push_back("its whole zone is silent since " + ago(silent_.at(member.card.zone)));
  std::string deafTo;
  for (const auto& other : member.unheard) deafTo += (deafTo.empty() ? "" : ", ") + other.text;
  if (!deafTo.empty()) out.push_back("it does not reach " + deafTo);
  for (const auto& [other, one] : members_)
    if (std::find(one.unheard.begin(), one.unheard.end(), name) != one.unheard.end())
      out.push_back(other.text + " does not reach it");
  return out;
}

}  // namespace rainhook::membership
