// The table of reqs in hand, and of the marks by which repeats are known. It decides nothing.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "net/reactor.h"
#include "peers/request_listener.h"

namespace rainhook::server {

using Moment = net::Reactor::Clock::time_point;

enum class RequestState { held, waitingForFirst, running, wantsCall, calling };

struct InFlightRequest {
  peers::IncomingRequest req;
  bool owed = true;
  bool started = false;  // the engine may have it: told once, or more often, to run it
  RequestState course = RequestState::held;
  Moment since{};  // of the start, or of the wait for the first
  // What the engine was told last, when, and whether there was a link to say it on.
  enum class Said { nothing, launch, deliver, forgo } said = Said::nothing;
  Moment saidAt{};
  bool sent = false;
  std::optional<RequestId> repeats;
  std::string reply;  // delivered, or the call's body while it is wanted
  std::uint64_t notice = 0;
};

class RequestTable {
 public:
  InFlightRequest& add(RequestId id, peers::IncomingRequest&& req);
  InFlightRequest* find(RequestId id);
  std::optional<RequestId> named(const std::string& name) const;
  void drop(RequestId id);
  void waitNoMore(RequestId id, InFlightRequest& req);
  void waitFor(RequestId first, RequestId id) { waiting_.emplace(first, id); }
  std::vector<RequestId> waitingFor(RequestId first) const;
  std::size_t size() const { return inHand_.size(); }
  const std::map<RequestId, InFlightRequest>& all() const { return inHand_; }

 private:
  std::map<RequestId, InFlightRequest> inHand_;  // a req leaves when its answer and its run have both ended
  std::map<std::string, RequestId> names_;
  std::set<std::pair<RequestId, RequestId>> waiting_;  // by their first
};

// What is remembered of kept reqs. An entry is forgotten, or goes by time: its result when its time has
// passed, its key somewhat later, since a repeat that came in time may be read late.
class DeduplicationCache {
 public:
  // Uniqued reqs are known by their mark, reads by their subject.
  struct Key {
    HandlerId handler{};
    std::string mark;
    ResourceKey subject{};
    auto operator<=>(const Key&) const = default;
  };
  enum class End { none, done, errored };

  // What two tries of one req have in common; for reads, whose answers are shared by subject, nothing.
  struct Content {
    std::uint64_t high = 0, low = 0;
    bool operator==(const Content&) const = default;
  };
  // Times are the protocol's, of the Unix clock, so that the ends of a window are the caller's and ours
  // alike.
  using Time = std::chrono::system_clock::time_point;

  // What is kept of results takes no more than this; a repeat of one beyond it is errored. A repeat may be
  // read this long after it came.
  DeduplicationCache(std::size_t mostResults, Duration readLate)
      : mostResults_(mostResults), readLate_(readLate) {}

  static std::optional<Key> keyOf(const peers::IncomingRequest& req,
                                  const std::vector<HandlerPolicy>& handlers);
  static Content contentOf(const peers::IncomingRequest& req);

  // The req that one with this key repeats, kept or read earlier in the same turn; its key may also have come
  // with another content. A read repeats only what is under way, or ended well no longer ago than its answer
  // may be shared.
  struct Known {
    std::optional<RequestId> first;
    bool conflicts = false;
  };
  Known firstOf(const Key& key, const Content& content, RequestId id, Time arrived, Time now,
                Duration shareFor);
  void turnEnds() { turn_.clear(); }
  void keep(const Key& key, const Content& content, RequestId id, Time until);
  void forget(RequestId id);
  void ended(RequestId id, End end, Time at, const std::string& result);
  void expire(Time now);
  struct Kept {
    RequestId holder{};
    Content content;
    Time until{}, endedAt{};
    End end = End::none;
    std::string result;
    // Of an earlier one with this key, which may have run: tries that came before this are its repeats still.
    Time earlierUntil{};
  };
  const Kept* find(RequestId id) const;
  std::size_t size() const { return kept_.size(); }
  // How many entries expire() has gone through so far.
  std::uint64_t looks() const { return looks_; }

 private:
  void dropResult(Kept& kept);
  void unplan(const Kept& kept);

  const std::size_t mostResults_;
  const Duration readLate_;
  std::size_t results_ = 0;  // bytes
  std::map<Key, Kept> kept_;
  std::map<RequestId, Key> keys_;
  std::map<Key, std::pair<RequestId, Content>> turn_;  // what was read in this turn
  std::set<std::pair<Time, RequestId>> ends_;  // when each is to be looked at next: its time, then its last
  std::uint64_t looks_ = 0;
};

}  // namespace rainhook::server
