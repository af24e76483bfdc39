// The table of reqs in hand, and of the marks by which repeats are known. It decides nothing.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "net/clients.h"
#include "net/reactor.h"

namespace rainhook::server {

using Moment = net::Reactor::Clock::time_point;

enum class Course { held, waitingForFirst, running, wantsCall, calling };

struct InHand {
  net::ArrivedReq req;
  bool owed = true;
  Course course = Course::held;
  Moment since{};  // of the start, or of the wait for the first
  // What the engine was told last, when, and whether there was a link to say it on.
  enum class Said { nothing, launch, deliver, forgo } said = Said::nothing;
  Moment saidAt{};
  bool sent = false;
  std::optional<ReqId> repeats;
  std::string reply;  // delivered, or the call's body while it is wanted
  std::uint64_t notice = 0;
};

class Table {
 public:
  InHand& add(ReqId id, net::ArrivedReq&& req);
  InHand* find(ReqId id);
  std::optional<ReqId> named(const std::string& name) const;
  void drop(ReqId id);
  void waitFor(ReqId first, ReqId id) { waiting_.emplace(first, id); }
  std::vector<ReqId> waitingFor(ReqId first) const;
  std::size_t size() const { return inHand_.size(); }
  const std::map<ReqId, InHand>& all() const { return inHand_; }

 private:
  std::map<ReqId, InHand> inHand_;  // a req leaves when its answer and its run have both ended
  std::map<std::string, ReqId> names_;
  std::set<std::pair<ReqId, ReqId>> waiting_;  // by their first
};

// What is remembered of kept reqs. An entry is forgotten, or goes by time: its result when its time has
// passed, its key somewhat later, since a repeat that came in time may be read late.
class Marks {
 public:
  // Uniqued reqs are known by their mark, reads by their subject.
  struct Key {
    HandlerId handler{};
    std::string mark;
    SubjectId subject{};
    auto operator<=>(const Key&) const = default;
  };
  enum class End { none, done, errored };

  // What is kept of results takes no more than this; a repeat of one beyond it is errored.
  explicit Marks(std::size_t mostResults) : mostResults_(mostResults) {}

  static std::optional<Key> keyOf(const net::ArrivedReq& req, const std::vector<HandlerTerms>& handlers);

  // The req that one with this key repeats, kept or read earlier in the same turn. A read repeats only what
  // is under way, or ended well no longer ago than its answer may be shared.
  std::optional<ReqId> firstOf(const Key& key, ReqId id, Moment arrived, Moment now, Span shareFor);
  void turnEnds() { turn_.clear(); }
  void keep(const Key& key, ReqId id, Moment until);
  void forget(ReqId id);
  void ended(ReqId id, End end, Moment at, const std::string& result);
  void expire(Moment now);
  struct Kept {
    ReqId holder{};
    Moment until{}, endedAt{};
    End end = End::none;
    std::string result;
  };
  const Kept* find(ReqId id) const;
  std::size_t size() const { return kept_.size(); }
  // How many entries expire() has gone through so far.
  std::uint64_t looks() const { return looks_; }

 private:
  void dropResult(Kept& kept);
  void unplan(const Kept& kept);

  const std::size_t mostResults_;
  std::size_t results_ = 0;  // bytes
  std::map<Key, Kept> kept_;
  std::map<ReqId, Key> keys_;
  std::map<Key, ReqId> turn_;                // what was read in this turn
  std::set<std::pair<Moment, ReqId>> ends_;  // when each is to be looked at next: its time, then its last
  std::uint64_t looks_ = 0;
  static constexpr Span readLate = std::chrono::seconds(10);
};

}  // namespace rainhook::server
