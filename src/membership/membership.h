// Who is there, as one member sees it: no I/O, clock, threads or chance of its own. Messages, the time and a
// seed go in; bytes to send and changes come out.
//
// Published parts: SWIM (Das, Gupta, Motivala, DSN 2002): probes in a shuffled round, help of others,
// suspicion, incarnations, rumours on the probes. Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018,
// arXiv:1707.00788): own health, suspicion that shortens as others confirm, the suspected hear of it first.
// Ours: docs/membership.md.
//
// Invariants: an incarnation never goes back; only the member itself raises it. `left` is never taken for
// `dead`. A verdict of death has two witnesses, of two zones where two zones can bear witness; none is passed
// while our own view is in doubt, nor past a bounded rate and share of the fleet.
//
// Bounds: members mostMembers (the buried and the left go after forgetAfter), probes and helps mostProbes
// each, rumours one a member and one a zone, witnesses mostWitnesses.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "membership/messages.h"
#include "membership/rumours.h"

namespace rainhook::membership {

struct ProbeTerms {
  Span every = std::chrono::seconds(1);  // one probe in this time
  std::size_t helpers = 3;               // asked where a probe gets no answer
  int syncEach = 10;                     // periods between two exchanges of the full state
  int deafAfter = 3;                     // periods without any word, after which it is we who are deaf
  double verdictShare = 0.5;             // of the fleet, within verdictOver periods, at most
  int verdictOver = 60;
  std::size_t verdictsASecond = 10;
  Span forgetAfter = std::chrono::minutes(10);
  std::size_t mostMembers = 2048;
  // What the measurements take out to see what it is worth; all on in a real instance.
  bool ownHealth = true, ownPause = true, witnesses = true, confirms = true;
};

struct Change {
  enum class What : std::uint8_t {
    joined,       // let in under our name
    refused,      // another instance has our name; this one is to stop
    astray,       // our zone stands in another region for who is there; this one is to stop
    state,        // a member's state
    unreachable,  // lives, but does not answer us
    reachable,
    refuted,  // we were suspected or buried, and said that we live
    paused,   // we were stopped for a while
    doubtful,
    settled,
    zoneSilent,
    zoneHeard,
    moved,  // a member came back under another address or in another process
    twin    // somebody else speaks under our name
  };
  What what = What::state;
  Card who;
  State state = State::alive;
  std::string why;
};
const char* nameOf(Change::What what);

// What an instance knows of its earlier life, where it keeps a state on a disk.
struct Earlier {
  static constexpr std::size_t mostKnown = 8;
  Incarnation from{1};                                // where to start: beyond what was ever said
  Incarnation ceiling{~std::uint64_t{0}};             // what is on the disk: nothing beyond it is said
  std::vector<std::pair<MemberName, Address>> known;  // asked where no seed answers, mostKnown at most
};

class Membership {
 public:
  struct Send {
    enum class Way : std::uint8_t { datagram, connection, back };  // back: on the connection that is answered
    Way way = Way::datagram;
    MemberName to;  // empty: only the address is known
    Address address;
    std::string bytes;
  };
  struct Out {
    std::vector<Send> sends;
    std::vector<Change> changes;
  };

  struct Suspicion {
    Span since{}, until{};
    std::set<Witness> by;
    Span heardAt{-1};   // when a witness said last that it hears the member
    std::string waits;  // why there is no verdict although its time is over
    int zoneAsked = 0;  // times that another of its zone was asked before the verdict
  };
  struct Member {
    Card card;
    State state = State::alive;
    Span since{};
    Span heardAt{-1}, provedAt{-1};  // a word straight from it; a proof that it lives, by any way
    Span vouchedAt{-1};              // another said that it hears it, although we may not
    int missed = 0;                  // probes in a row without an answer straight from it
    std::optional<Suspicion> suspicion;
    std::vector<Witness> by;  // of the verdict
    Digest digest;
    Span digestAt{-1};
    std::vector<MemberName> unheard;
    bool reached() const { return missed < 3; }
  };

  // The card's incarnation is that of `earlier`.
  Membership(Card self, std::vector<Address> seeds, const ProbeTerms& terms, std::uint64_t seed,
             Earlier earlier = {});

  // Begins to ask the seeds. Without any, the first member of a fleet.
  void open(Span now, Out& out);
  // A message that has been verified.
  void hear(Span now, const Message& message, Out& out);
  // What is due; wanted again at wake().
  void turn(Span now, Out& out);
  Span wake() const;
  // What rides along about us from now on.
  void say(Span now, const Digest& digest);
  // Tells that we leave; the host goes on with turns for leaveTakes().
  void leave(Span now, Out& out);
  Span leaveTakes() const { return terms_.every; }
  // So far is kept on the disk by now.
  void mayGoTo(Incarnation ceiling) { ceiling_ = std::max(ceiling_, ceiling); }
  // As far as it has to go, to be past all that was said of it; the disk may not have it yet.
  Incarnation wanted() const { return std::max(wanted_, self_.incarnation); }

  const Card& self() const { return self_; }
  const Digest& digest() const { return digest_; }
  bool joined() const { return joined_; }
  bool refused() const { return refused_; }
  bool left() const { return left_; }
  // Our own view may be wrong: users of it wait.
  bool doubtful(Span now) const;
  const std::map<MemberName, Member>& members() const { return members_; }
  std::size_t living() const { return living_; }  // with ourselves, the suspected counted
  // Why a member is in its state, a line each.
  std::vector<std::string> explain(const MemberName& name, Span now) const;
  struct Counts {
    std::uint64_t probes = 0, failed = 0, pauses = 0, verdicts = 0, held = 0, refutations = 0,
                  refusedMembers = 0, unsaid = 0;  // unsaid: no word beyond the ceiling
  };
  const Counts& counts() const { return counts_; }
  bool silent(const ZoneName& zone) const { return silent_.contains(zone); }
  std::size_t waitingRumours() const { return rumours_.size(); }
  int health() const { return ill_; }  // 0 well to 8: how much slower we judge

 private:
  struct Probe {
    MemberName target;
    Card card;
    Span started{}, askAt{}, endAt{};
    std::size_t asked = 0, nacks = 0;
    bool contest = false, courtesy = false;  // of one who has our name; of one who is buried
  };
  struct Help {
    MemberName asker, target;
    Nonce theirs{};
    Span until{};
  };

  void look(Span now, Out& out);
  void probe(Span now, const Card& card, Out& out, bool contest, bool courtesy);
  void ask(Nonce nonce, Probe& probe, Out& out);
  void failed(Span now, const Probe& probe, Out& out);
  void acked(Span now, const Message& message, Out& out);
  void miss(Member& member, const char* why, Out& out);
  void heardFrom(Span now, const Message& message, Out& out);
  void heardAfterAll(Member& member, const Witness& by, Span at);
  void apply(Span now, const Rumour& rumour, Out& out);
  void ofOurselves(Span now, const Rumour& rumour, Out& out);
  void alive(Span now, const Rumour& rumour, Out& out);
  void suspect(Span now, Member& member, const Rumour& rumour, Out& out);
  void gone(Span now, Member& member, const Rumour& rumour, Out& out);
  void silence(Span now, const ZoneName& zone, const RegionName& region, const std::vector<Witness>& by,
               Out& out);
  void zoneRumour(Span now, const Rumour& rumour, Out& out);
  void admit(Span now, Out& out);
  void contest(Span now, const Card& other, Out& out);
  void refuse(const Card& other, Out& out);
  void become(Span now, Member& member, State state, std::string why, Out& out);
  void judge(Span now, Out& out);
  std::string holds(Span now, const Member& member) const;
  void lookAtZones(Span now, Out& out);
  void lookAtDoubt(Span now, Out& out);
  void retime(const MemberName& name, Suspicion& suspicion, Span until);
  Span grace(const Member& member) const;
  Span patience(std::size_t witnesses, std::size_t candidates) const;
  void say(Rumour::Says says, const Card& who, std::vector<Witness> by);
  void askForState(Span now, Out& out);
  Message fresh(Message::Kind kind, const MemberName& to, Nonce nonce);
  void send(Send::Way way, const MemberName& to, const Address& address, Message message, Out& out);
  void nextProbe(Span now, Out& out);
  std::vector<MemberName> some(std::size_t most, const MemberName& but);
  std::size_t below(std::size_t n) { return chance_(static_cast<std::uint32_t>(n)); }
  void ill(int by);
  Span slowed(Span span) const { return span * (1 + ill_); }
  void raise(Incarnation to);
  void askASeed(Span now, Out& out);
  const Member* mateToAsk(const Member& member) const;
  bool deaf(Span now) const;
  Witness ourselves() const { return {self_.name, self_.zone}; }

  static constexpr std::size_t mostProbes = 128, mostUnheard = 8, mostRumours = 24, mostZones = 64;
  static constexpr int mostIll = 8;

  Card self_;
  std::vector<std::pair<MemberName, Address>> seeds_;  // by address alone, then those known from earlier
  std::size_t stated_ = 0;                             // so many of them are stated
  Incarnation ceiling_, wanted_{};
  const ProbeTerms terms_;
  pcg32 chance_;
  std::map<MemberName, Member> members_;
  Rumours rumours_;
  std::vector<MemberName> round_;  // the order of probes, made anew at its end
  std::size_t at_ = 0;
  std::map<Nonce, Probe> probes_;                     // leave at their end
  std::map<Nonce, Help> helps_;                       // leave when answered or over
  std::set<std::pair<Span, MemberName>> suspicions_;  // by the time of their verdict
  std::set<std::pair<Span, MemberName>> buried_;      // dead and left, by since; forgotten in time
  std::vector<Span> verdicts_;                        // within verdictOver
  std::map<ZoneName, Span> silent_;                   // since when
  std::size_t living_ = 1;
  std::set<MemberName> unreached_;  // alive, but three probes or more were not answered
  Digest digest_;
  Span now_{};  // of the call under way
  Span wake_{}, probeAt_{}, syncAt_{}, heardAny_{}, regardUntil_{-1}, leaveAt_{}, seedAt_{};
  std::size_t seedsTried_ = 0;
  int ill_ = 0;
  bool opened_ = false, joined_ = false, refused_ = false, left_ = false, wasDoubtful_ = false,
       contesting_ = false;
  Counts counts_;
};

}  // namespace rainhook::membership
