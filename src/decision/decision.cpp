// The decisions of one server. Callers open an instance with openDecision() and hand decide() whatever
// happened, batch by batch; it returns what is to be done. The interface is decision.h. A req's ordinary path
// is Server::path(), top to bottom: read, held, started under the climber's limit, calling, ended.
// docs/design.md tells what comes from the paper.
#include "decision/decision.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration spanOf(double secs) {
  return Duration(static_cast<Duration::rep>(std::clamp(secs, 0.0, 1e6) * 1e9));
}
template <typename Id>
std::size_t index(Id id) {
  return static_cast<std::size_t>(id);
}

// The four rules with their accumulator: the limit on reqs on the cores.
class Climber {
 public:
  Climber(int cores) : floor_(cores), limit_(cores) {}

  double limit() const { return limit_; }
  void answered(double scaledLatency) { sum_ += scaledLatency, ++answers_; }
  void heldBack() { binding_ = true; }
  // Cores idle with work held: the limit is what stands in the way, whatever the latency says.
  void climbQuickly(double ceiling) { limit_ = std::min(ceiling, limit_ + 1); }
  void cap(double ceiling) { limit_ = std::clamp(limit_, floor_, std::max(floor_, ceiling)); }

  void step(Duration now) {
    // An interval lasts until enough answers tell of it; it teaches only if the limit held something back.
    if (now < next_ || answers_ < answersPerCore * floor_) return;
    next_ = now + interval;
    const double mean = sum_ / answers_;
    if (binding_) {
      if (mean_ == 0) {
        asked_ = 1;  // the first step, up one core
      } else {
        const double out = fuzzyStep(asked_ * stepGain, (mean - mean_) * latencyGain) / stepGain;
        // A step of 0 would be the last one; with no opinion the least step leans to fewer reqs.
        asked_ = std::abs(out) >= leastStep ? out : out > 0 ? leastStep : -leastStep;
      }
      mean_ = mean;
      limit_ += asked_;
    }
    sum_ = 0, answers_ = 0, binding_ = false;
  }

 private:
  static constexpr Duration interval = 1s;
  static constexpr double stepGain = 1.0 / 2;     // a step of two reqs counts fully
  static constexpr double latencyGain = 1.0 / 2;  // so does a change by twice the least latency
  static constexpr double leastStep = 0.25, answersPerCore = 10;
  const double floor_;
  double limit_, asked_ = 0, mean_ = 0, sum_ = 0;
  int answers_ = 0;
  bool binding_ = false;
  Duration next_ = interval;
};

// A rate from time spent and things ended, both fading: it sees a stall while nothing has ended yet.
class Meter {
 public:
  void fade(double secs, double halfLife, double running) {
    const double keep = std::exp2(-secs / halfLife);
    spent_ = spent_ * keep + running * secs;
    ended_ *= keep;
  }
  void end(double amount) { ended_ += amount; }
  // Time spent for each unit ended, leaning on `usual` with the weight of `prior` units.
  double each(double usual, double prior) const { return (spent_ + usual * prior) / (ended_ + prior); }

 private:
  double spent_ = 0, ended_ = 0;
};

// What runs and calls take here now. One row a handler; nothing grows with reqs.
class Pace {
 public:
  explicit Pace(const std::vector<HandlerPolicy>& handlers) {
    for (const auto& terms : handlers) rows_.push_back({seconds(terms.latencyObjective) * firstGuess});
  }
  void pass(double secs, int onCore, int calling) {
    cores_.fade(secs, halfLife, onCore);
    calls_.fade(secs, halfLife, calling);
    for (auto& row : rows_) row.least *= 1 + secs * leastAges;
  }
  void ran(const RequestArrived& read, Duration onCore, int calls) {
    Row& row = rows_[index(read.handler)];
    cores_.end(row.core * size(read));
    row.seen = std::min(row.seen + 1, 50.0);
    row.core += (seconds(onCore) - row.core) / (row.seen + 1);
    row.calls += (calls - row.calls) / row.seen;
    if (read.estimatedWork) row.hint += (seconds(*read.estimatedWork) - row.hint) / row.seen;
  }
  void called(Duration took) {
    calls_.end(1);
    callsSeen_ = std::min(callsSeen_ + 1, 200.0);
    usualCall_ += (seconds(took) - usualCall_) / callsSeen_;
  }
  double slowness() const { return cores_.each(1, 0.5); }
  double core(HandlerId id) const { return rows_[index(id)].core * slowness(); }
  // A req's own work over its handler's mean, where it came with a hint.
  double size(const RequestArrived& read) const {
    const double usual = rows_[index(read.handler)].hint;
    return read.estimatedWork && usual > 0 ? seconds(*read.estimatedWork) / usual : 1;
  }
  double core(const RequestArrived& read) const { return core(read.handler) * size(read); }
  double callSlowness() const { return usualCall_ > 0 ? call() / usualCall_ : 1; }
  Duration longestCall() const { return callsSeen_ < 10 ? Duration::max() : spanOf(farOut * call()); }
  double call() const { return calls_.each(usualCall_, 1); }
  double calls(HandlerId id) const { return rows_[index(id)].calls; }
  bool callsOut(HandlerId id) const { return calls(id) >= 0.1; }
  double below(HandlerId id) const { return calls(id) * call(); }
  // Latency over the handler's least; the least ages upward so that it can be forgotten.
  double scaled(HandlerId id, double latency) {
    Row& row = rows_[index(id)];
    if (row.least == 0 || latency < row.least) row.least = std::max(latency, 0.001);
    return latency / row.least;
  }

 private:
  struct Row {
    double core = 0, calls = 0, seen = 0, least = 0, hint = 0;
  };
  static constexpr double firstGuess = 0.1, halfLife = 1.5, leastAges = 0.02, farOut = 8;
  std::vector<Row> rows_;
  Meter cores_, calls_;
  double usualCall_ = 0, callsSeen_ = 0;
};

// Memory and the crowd on the cores, with the cold line. Guards only cap.
class Guard {
 public:
  explicit Guard(const MachineProfile& machine) : m_(machine) {}
  void started(bool cold, Duration at) { m_.coldStart = cold, startedAt_ = at; }

  bool fits(double moreKb) const { return kb_ + moreKb <= m_.memoryKb * memoryMargin; }
  bool over() const { return !fits(0); }
  void take(double kb) { kb_ += kb; }
  double runKb(double heldKb) const { return heldKb * m_.executionMemoryFactor; }
  double keyKb() const { return m_.cachedEntryKb; }
  // Reqs started and not ended, at calls too, since these come back to the cores unasked.
  double crowd(Duration now) const {
    const double warmth =
        m_.warmUpDuration > 0s ? std::min(1.0, seconds(now - startedAt_) / seconds(m_.warmUpDuration)) : 1.0;
    const double speed = m_.coldStart ? m_.initialSpeed + (1 - m_.initialSpeed) * warmth : 1.0;
    return std::max(1.0, m_.cores * (1 + (m_.maxExecutionsPerCore - 1) * speed) * crowdMargin - 1);
  }
  bool mayStop() const { return m_.cancellation == CancellationMode::discardWork; }

 private:
  static constexpr double memoryMargin = 0.94, crowdMargin = 0.9;
  MachineProfile m_;
  Duration startedAt_{};
  double kb_ = 0;
};

// The cap on calls in hand, in count and in time, and what a call's end proves. A share of the dependency
// under one call is kept in time: calls in hand fill a bucket that leaks at the width, and a call is cut
// short before the bucket holds more than the margin left under the stated share.
class Calls {
 public:
  explicit Calls(const DownstreamProfile& below) : b_(below), stated_(below.concurrentCallQuota) {}

  // A share that shrinks leaves the calls in hand to end; none is made before there is room again.
  void allow(double part) { b_.concurrentCallQuota = stated_ * std::clamp(part, 0.0, 1.0); }

  void pass(double secs, double slowdown) {
    used_ = std::clamp(mostUsed * crowdedAt / slowdown, leastUsed, mostUsed);
    spent_ = std::max(0.0, spent_ + secs * (inHand() - width()));
  }
  bool room(Duration now) {
    while (!given_.empty() && given_.front() <= now) given_.pop_front();
    return inHand() + 1 <= std::max(1.0, width()) && (width() >= 1 || spent_ < bucket() / 2);
  }
  double width() const { return shared() ? b_.concurrentCallQuota * used_ : 1e6; }
  Duration longest() const {
    return width() >= 1 ? Duration::max()
                        : spanOf((bucket() - spent_) / (1 - width())) - b_.abandonedCallLinger;
  }
  int inHand() const { return made_ + static_cast<int>(given_.size()); }
  int made() const { return made_; }
  void make() { ++made_; }
  void ended(Duration now, bool mayLinger) {
    --made_;
    if (mayLinger && b_.abandonedCallLinger > 0s) given_.push_back(now + b_.abandonedCallLinger);
  }
  bool shared() const { return stated_ > 0; }
  static bool provesNotRun(Outcome o) {
    return o == Outcome::rejected || o == Outcome::unreachable || o == Outcome::superseded;
  }

 private:
  static constexpr double mostUsed = 0.8, leastUsed = 0.3, crowdedAt = 2;
  double bucket() const { return b_.concurrentCallQuota * (1 - mostUsed) * seconds(b_.quotaWindow); }
  DownstreamProfile b_;
  const double stated_;
  int made_ = 0;
  double used_ = mostUsed;
  double spent_ = 0;            // seconds of calls in hand beyond what the width has leaked
  std::deque<Duration> given_;  // calls given up that may linger below; each leaves after the stated linger
};

// Uniqued reqs, and reads whose answer may serve others, by the id that a repeat will name.
class Repeats {
 public:
  bool knows(RequestId id) const { return entries_.contains(id); }
  void keep(RequestId id, Duration until) {
    drop(id);
    entries_.emplace(id, until);
    ends_.emplace(until, id);
  }
  bool drop(RequestId id) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return false;
    ends_.erase({it->second, id});
    entries_.erase(it);
    return true;
  }
  // Emptied by time: an entry goes when its window has passed. Returns how many went.
  int expire(Duration now) {
    int went = 0;
    for (; !ends_.empty() && ends_.begin()->first <= now; ++went) drop(ends_.begin()->second);
    return went;
  }

 private:
  std::map<RequestId, Duration> entries_;
  std::set<std::pair<Duration, RequestId>> ends_;  // the same by time: a turn goes through none that stays
};

// Reqs read and not started. Starts are oldest first, newest first once the hold has stood full a while.
class Hold {
 public:
  bool empty() const { return ids_.empty(); }
  std::size_t size() const { return ids_.size(); }
  auto begin() const { return ids_.begin(); }
  auto end() const { return ids_.end(); }
  RequestId newest() const { return ids_.back(); }
  void add(RequestId id) { ids_.push_back(id); }
  void putBack(RequestId id) { ids_.push_front(id); }
  RequestId takeOldest() {
    const RequestId id = ids_.front();
    ids_.pop_front();
    return id;
  }
  template <typename Stays>
  void keepOnly(Stays stays) {
    std::erase_if(ids_, [&](RequestId id) { return !stays(id); });
  }
  std::vector<RequestId> oldestFirst() const { return {ids_.begin(), ids_.end()}; }
  std::vector<RequestId> inOrderOfStart(Duration now) const {
    std::vector<RequestId> order = oldestFirst();
    if (now - fullSince_ > fullAWhile) std::reverse(order.begin(), order.end());
    return order;
  }
  void stood(Duration now, bool full) {
    if (full) lastFull_ = now;
    if (now - lastFull_ > fullFades) fullSince_ = now;
  }

 private:
  static constexpr Duration fullAWhile = 1s, fullFades = 500ms;
  std::deque<RequestId> ids_;  // a req leaves when it starts or is answered
  Duration lastFull_ = -1s, fullSince_{};
};

// How hard the server is pressed: from the wait that a req read now would have, 0 at rest, 1 when all is too
// much, and from the share of late reqs that it shed, which tells where a hold of one or two feels nothing.
class Pressure {
 public:
  void feel(double secs, double wait, double bearable) {
    const double strain = wait / std::max(bearable, 1e-3) - ease;
    level_ = std::clamp(level_ + secs * (strain > 0 ? std::min(strain, 2.0) * rise : -fall), 0.0, 1.0);
  }
  void read() { sheds_ -= sheds_ / lately; }
  void shed() { sheds_ += 1 / lately; }
  bool some() const { return level_ > 0 || sheds_ > fewSheds; }
  bool much() const { return level_ > 0.1 || sheds_ > manySheds; }
  double strain() const { return std::max(level_, std::min(sheds_, 1.0)); }

 private:
  static constexpr double ease = 0.5, rise = 0.8, fall = 0.3;
  static constexpr double lately = 20, fewSheds = 0.1, manySheds = 0.4;
  double level_ = 0, sheds_ = 0;
};

// The notice to leave, and what may still run after it.
class Drain {
 public:
  explicit Drain(Duration grace) : grace_(grace) {}
  void notice(Duration now, Duration left) { told_ = now, stop_ = now + left; }
  bool leaving() const { return stop_ < Duration::max(); }
  bool mayRun(Duration arrived) const { return !leaving() || arrived <= told_ + grace_; }
  Duration stop() const { return stop_; }

 private:
  const Duration grace_;
  Duration told_{}, stop_ = Duration::max();
};

// How long callers wait for a try, as shares of the client timeout: habits show as values that come again and
// again. Another value is what is left of the timeout, and tells the age of a further try.
class Waits {
 public:
  Duration age(Duration patience, Duration timeout) {
    const double share = seconds(patience) / seconds(timeout);
    Habit *rarest = &habits_.front(), *known = nullptr;
    for (auto& h : habits_) {
      h.seen *= 0.995;
      if (!known && std::abs(h.share - share) < 0.003) known = &h;
      if (h.seen < rarest->seen) rarest = &h;
    }
    if (!known && rarest->seen < 0.9) *rarest = {share, 1};
    const bool habit = known && ++known->seen > 4;  // one row a habit: a common one leaves room to the others
    habitual_ += ((habit ? 1.0 : 0.0) - habitual_) * 0.03;
    return habit || habitual_ < 0.6 ? 0s : spanOf((1 - share) * seconds(timeout));
  }

 private:
  struct Habit {
    double share = 0, seen = 0;
  };
  std::array<Habit, 8> habits_;  // the rarest gives way
  double habitual_ = 0;
};

enum class Stage { fresh, held, echoing, onCore, wanting, calling };

struct Req {
  RequestArrived read;
  Duration arrived{}, due{}, target{};
  Stage stage = Stage::fresh;
  Duration started{}, offCore{}, off{};  // off: when it left the cores for a call
  int calls = 0, callFails = 0;          // the call's failures, in a row
  bool owed = true, ran = false, reuses = false;
  Outcome lastCall = Outcome::completed;
};

class Server final : public AdmissionPolicy {
 public:
  Server(const MachineProfile& machine, const std::vector<HandlerPolicy>& handlers,
         const DownstreamProfile& below, const ProtocolLimits& duties, const SignalingProfile& voice,
         const ResultSharing& trade, const FleetProfile& fleet)
      : handlers_(handlers),
        voice_(voice),
        trade_(trade),
        fleet_(fleet),
        cores_(machine.cores),
        climber_(machine.cores),
        pace_(handlers),
        guard_(machine),
        calls_(below),
        drain_(duties.drainGrace) {}

  std::vector<Action> onEvents(Duration now, std::span<const Event> happened) override {
    out_.clear();
    const double secs = seconds(now - now_);
    now_ = now;
    pace_.pass(secs, onCores(), calls_.made());
    calls_.pass(secs, pace_.callSlowness());
    const int forgotten = repeats_.expire(now);
    guard_.take(-guard_.keyKb() * forgotten);
    looks_ += static_cast<std::size_t>(forgotten) + happened.size();
    if (!opened_) {
      opened_ = true;
      say(PublishHealth{true, true});
      say(SetTimer{tick, tickEvery});
    }
    for (const auto& event : happened) std::visit([this](const auto& e) { take(e); }, event);
    path(secs);
    return std::move(out_);
  }
  std::uint64_t entriesScanned() const override { return looks_; }
  double concurrencyLimit() const override { return climber_.limit(); }

 private:
  // What happened, taken into the books.
  void take(const RequestArrived& e) {
    const HandlerPolicy& terms = handlers_[index(e.handler)];
    Req req{.read = e};
    req.arrived = now_ - e.readDelay;
    req.due = std::max(now_, e.timeRemaining ? now_ + *e.timeRemaining : req.arrived + terms.clientTimeout);
    const Duration stretch = spanOf(terms.objectiveWorkFactor * pace_.core(e));
    const Duration age =
        e.timeRemaining ? waits_.age(*e.timeRemaining + e.readDelay, terms.clientTimeout) : 0s;
    req.target = std::min(req.arrived + terms.latencyObjective + stretch - age, req.due);
    pressure_.read();
    guard_.take(e.queuedMemoryKb);
    reqs_.insert_or_assign(e.id, req);
    dues_.emplace(req.due, e.id);
    fresh_.push_back(e.id);
    unread_ += (seconds(std::min(e.readDelay, terms.clientTimeout)) - unread_) * 0.1;
    leastUnread_ = std::min(leastUnread_, seconds(e.readDelay));
  }
  void take(const ExecutionEnded& e) {
    Req* req = find(e.id);
    if (!req) return;
    if (req->stage == Stage::echoing || e.outcome == Outcome::superseded) return gone(e.id);
    if (req->stage == Stage::calling) calls_.ended(now_, true);
    if (req->stage == Stage::onCore && e.outcome == Outcome::completed) {
      pace_.ran(req->read, now_ - req->started - req->offCore, req->calls);
      // Shed and errored reqs must not pass for low latency; time in calls is not the limit's doing.
      if (req->owed)
        climber_.answered(pace_.scaled(req->read.handler, seconds(now_ - req->arrived - req->offCore)));
    }
    if (e.outcome == Outcome::cancelled && req->owed) {  // back in the hold, its work lost
      move(*req, Stage::held);
      --started_;
      guard_.take(req->read.queuedMemoryKb - guard_.runKb(req->read.queuedMemoryKb));
      replayable(*req) ? hold_.putBack(e.id) : giveUp(*req);
      return;
    }
    gone(e.id);
  }
  void take(const DownstreamCallRequested& e) {
    Req* req = find(e.id);
    if (!req || req->stage != Stage::onCore) return;
    move(*req, Stage::wanting);
    wants_.push_back(e.id);
  }
  void take(const DownstreamCallEnded& e) {
    Req* req = find(e.id);
    if (!req || req->stage != Stage::calling) return;
    calls_.ended(now_, e.outcome == Outcome::timedOut || e.outcome == Outcome::connectionLost);
    pace_.called(e.duration);
    req->lastCall = e.outcome;
    if (e.outcome == Outcome::completed) {
      ++req->calls, req->callFails = 0;
      move(*req, Stage::onCore);
    } else {
      req->stage = Stage::wanting;
      ++req->callFails;
      wants_.push_back(e.id);
    }
  }
  void take(const ClientDisconnected& e) {
    Req* req = find(e.id);
    if (!req) return;
    letGo(*req);
  }
  void take(const ShutdownNotice& e) {
    drain_.notice(now_, e.timeRemaining);
    say(PublishHealth{false, true});
    say(DiagnosticMessage{"leaving: health withdrawn, held " + std::to_string(hold_.size())});
  }
  void take(const DownstreamQuotaChanged& e) { calls_.allow(e.share); }
  void take(const ExecutionEngineStarted& e) { guard_.started(e.coldStart, now_ - e.elapsed); }
  void take(const TimerFired& e) {
    if (e.timer != tick) return;
    say(SetTimer{tick, tickEvery});
    if (e.runnableTasks) notRuns_ += (*e.runnableTasks - onCores() - notRuns_) * 0.02;
    if (e.openConnections) trimConnections(*e.openConnections);
    // Idle cores with work held: told at this moment by the gauge, against what this server has on its cores.
    idle_ = e.cpuUtilization && e.runnableTasks && *e.cpuUtilization < idleBelow &&
            *e.runnableTasks < cores_ && !hold_.empty() && onCores() >= climber_.limit();
  }

  // Open connections take from the cores, a full table turns callers away and a new one costs work, none of
  // it told: idle ones are closed the sooner the more stand open. In a storm of reading and connecting they
  // stay open: opening them anew feeds it, and a full table keeps it out for nothing. Harms where a
  // connection costs far more to open than to keep.
  void trimConnections(double open) {
    if (now_ < nextTrim_) return;
    nextTrim_ = now_ + 1s;
    const bool storm = notRuns_ > stormPerCore * cores_;
    const double factor = storm ? 2 : open > connectionsPerCore * cores_ ? 0.5 : 1.25;
    const Duration idle = std::clamp(spanOf(seconds(idleFor_) * factor), shortestIdle,
                                     std::max(shortestIdle, fleet_.maxIdleTime));
    if (idle != idleFor_) say(SetIdleConnectionTimeout{idleFor_ = idle});
  }

  // The path of a req.
  void path(double secs) {
    const double ceiling = guard_.crowd(now_), mayWait = bearable();
    climber_.step(now_);
    climber_.cap(ceiling);

    // Read: a repeat joins its first, one that can't be served is shed at once, the others are held.
    for (const RequestId id : std::exchange(fresh_, {})) {
      Req* req = find(id);
      if (!req || joinsFirst(*req)) continue;
      if (!drain_.mayRun(req->arrived) || tooLate(*req) || !keepMark(*req)) {
        giveUp(*req);
        continue;
      }
      req->stage = Stage::held;
      hold_.add(id);
    }

    // Held: what can't be done in time is shed, and so is what would wait too long for room at a call.
    dropGone();
    double callsAhead = static_cast<double>(wants_.size());
    for (const RequestId id : hold_) callsAhead += pace_.calls(find(id)->read.handler);
    for (const RequestId id : hold_.oldestFirst()) {
      Req& req = *find(id);
      const bool forBelow =
          pace_.callsOut(req.read.handler) && callsAhead * pace_.call() / calls_.width() > mayWait;
      if (!forBelow && !tooLate(req)) continue;
      callsAhead -= pace_.calls(req.read.handler);
      giveUp(req, forBelow);
    }
    dropGone();

    // Started: while the limit, the crowd and the memory allow; newest first once the hold has stood full a
    // while. While calls wait for room, a run that calls would only stand waiting: it stays held.
    const bool callsWait = !wants_.empty();
    // Reqs that stand unread can't be shed, and wait for the cores that runs share: reading gets one more.
    // Covers slow cores and popular subjects; harms where reading is cheap but late for other reasons.
    const double unread = std::max(0.0, unread_ - 2 * leastUnread_);
    const double limit = std::max(1.0, climber_.limit() - (unread > unreadLong ? 1 : 0));
    for (const RequestId id : hold_.inOrderOfStart(now_)) {
      Req& req = *find(id);
      if (callsWait && pace_.callsOut(req.read.handler)) continue;
      if (onCores() + 1 > limit) {
        climber_.heldBack();
        if (!idle_ || now_ < nextQuick_) break;
        nextQuick_ = now_ + quickEvery;
        climber_.climbQuickly(ceiling);
      }
      const double moreKb = guard_.runKb(req.read.queuedMemoryKb) - req.read.queuedMemoryKb;
      if (started_ + 1 > ceiling || !guard_.fits(moreKb)) break;
      guard_.take(moreKb);
      move(req, Stage::onCore);
      req.ran = true;
      req.started = now_;
      ++started_;
      say(StartExecution{id});
    }
    dropGone();

    // Cut from the oldest end: the newest held req is not to wait longer than is bearable for those ahead.
    double ahead = 0;
    for (const RequestId id : hold_)
      if (!callsWait || !pace_.callsOut(find(id)->read.handler)) ahead += pace_.core(find(id)->read);
    if (!hold_.empty()) ahead -= pace_.core(find(hold_.newest())->read);
    const double width = std::max(1.0, climber_.limit());
    bool full = false;
    while (!hold_.empty() && (ahead / width > mayWait || guard_.over())) {
      Req& oldest = *find(hold_.takeOldest());
      ahead -= pace_.core(oldest.read);
      giveUp(oldest);
      full = true;
    }
    hold_.stood(now_, full);

    // At a call: made within the cap, skipped where that earns something, given up where it comes too late.
    for (const RequestId id : std::exchange(wants_, {})) {
      Req* req = find(id);
      if (!req || req->stage != Stage::wanting || !req->owed) continue;
      const HandlerPolicy& terms = handlers_[index(req->read.handler)];
      const bool repeatable =
          terms.idempotency == Idempotency::idempotent || Calls::provesNotRun(req->lastCall);
      const bool late = now_ + spanOf(pace_.call() * 1.5) > req->target;
      // While calls are quick and take no share, one that breaks or stays out is worth another try.
      const bool calm = !calls_.shared() && pace_.callSlowness() < slowCalls && repeatable;
      const bool again = calm && req->callFails < 2 && req->lastCall != Outcome::rejected;
      if (terms.degradedWeight > 0 && (late || (req->callFails > 0 && !again))) {
        move(*req, Stage::onCore);
        say(SkipDownstreamCall{id});
      } else if ((req->callFails > 0 && !repeatable) || req->callFails > 1 || (late && callsWait)) {
        giveUp(*req, true);
      } else if (!calls_.room(now_)) {
        wants_.push_back(id);
      } else {
        req->stage = Stage::calling;
        calls_.make();
        Duration rest = std::min((now_ < req->target ? req->target : req->due) - now_, calls_.longest());
        if (calm && req->callFails == 0) rest = std::min(rest, pace_.longestCall());
        say(CallDownstream{id, std::max<Duration>(rest, 1ms)});
      }
    }

    // Due: whatever is still owed is answered before its time, running or not.
    std::set<RequestId> over;
    for (const auto& [due, id] : dues_) {
      if (std::min(due, drain_.stop() - tickEvery) - now_ > dueMargin) break;
      over.insert(id);
    }
    // A run past its target that can earn nothing more and can be stopped only keeps others from the cores.
    if (guard_.mayStop())
      for (const RequestId id : onCore_)
        if (const Req& req = *find(id); req.owed && now_ > req.target && mayStop(req) &&
                                        handlers_[index(req.read.handler)].lateWeight <= 0)
          over.insert(id);
    looks_ += over.size() + (guard_.mayStop() ? onCore_.size() : 0);
    for (const RequestId id : over) giveUp(*find(id), now_ > find(id)->target);

    pressure_.feel(secs, std::max(0.0, ahead) / width + unread, mayWait);
    leastUnread_ *= 1 + 0.02 * secs;
    speak();
  }

  // Not in time even if it ran at once: judged by what runs and calls take here now. Where little is turned
  // away a doubtful one is tried, and one that still earns when late.
  bool tooLate(const Req& req) const {
    const HandlerPolicy& terms = handlers_[index(req.read.handler)];
    const bool pressed = pressure_.some();
    const Duration takes =
        spanOf((pressed ? 1 : doubt) * pace_.core(req.read) + pace_.below(req.read.handler));
    if (now_ + takes <= req.target) return false;
    return pressed || terms.lateWeight <= 0 || now_ + takes > req.due;
  }

  // A repeat of a uniqued req that may have run, or of a read under way, waits for its first.
  bool joinsFirst(Req& req) {
    if (!req.read.duplicateOf) return false;
    const Idempotency effect = handlers_[index(req.read.handler)].idempotency;
    if (effect != Idempotency::keyed && !repeats_.knows(*req.read.duplicateOf)) return false;
    req.reuses = true;
    req.stage = Stage::echoing;
    say(AnswerFromOriginal{req.read.id});
    return true;
  }

  // Keeps the req's mark so that a repeat is known; false where memory has no room for it.
  bool keepMark(const Req& req) {
    const HandlerPolicy& terms = handlers_[index(req.read.handler)];
    const bool uniqued = terms.idempotency == Idempotency::keyed;
    const bool shares = terms.idempotency == Idempotency::idempotent && trade_.sharingDuration > 0s &&
                        !req.read.isWrite && req.read.resourceKey != ResourceKey{};
    if (!uniqued && !shares) return true;
    if (!guard_.fits(guard_.keyKb())) return !uniqued;
    const Duration keepFor = uniqued ? req.arrived + terms.deduplicationWindow + keepMargin - now_
                                     : trade_.sharingDuration + terms.latencyObjective;
    guard_.take(guard_.keyKb());
    repeats_.keep(req.read.id, now_ + keepFor);
    say(RetainResult{req.read.id, keepFor});
    return true;
  }
  void unkeep(const Req& req) {
    if (req.ran || !repeats_.drop(req.read.id)) return;
    guard_.take(-guard_.keyKb());
    say(DropResult{req.read.id});
  }

  // Answers a req for good. What has run, or repeats one that has, is never said to have not run.
  void giveUp(Req& req, bool forBelow = false) {
    const RequestId id = req.read.id;
    if (!forBelow) pressure_.shed();
    if (replayable(req) || (!req.ran && !req.reuses))
      say(ShedRequest{id, forBelow ? Duration{} : stayAway(), forBelow || lastTry()});
    else
      say(FailRequest{id});
    letGo(req);
  }
  // No answer is owed any more: what has not run is gone, a run ends by itself unless it can be stopped.
  void letGo(Req& req) {
    req.owed = false;
    dues_.erase({req.due, req.read.id});
    if (req.stage == Stage::onCore && mayStop(req)) say(CancelExecution{req.read.id});
    if (req.stage >= Stage::onCore) return;
    unkeep(req);
    gone(req.read.id);
  }
  bool replayable(const Req& req) const {
    return handlers_[index(req.read.handler)].idempotency == Idempotency::idempotent;
  }
  bool mayStop(const Req& req) const { return guard_.mayStop() && replayable(req); }
  Duration stayAway() const {
    if (drain_.leaving()) return voice_.maxRetryAfter;
    return spanOf(seconds(voice_.maxRetryAfter) * pressure_.strain());
  }
  // Other tries are as bad where all are full; a slow server can't tell its own trouble from a storm of
  // reading and connections that its sheds feed, so only one that leaves lets them go on.
  bool lastTry() const { return !drain_.leaving() && pressure_.much(); }

  // Signals, said only when they change enough to matter.
  void speak() {
    if (voice_.signalKind == LoadSignalKind::none) return;
    const double open = drain_.leaving() ? 0 : 1 - 0.95 * pressure_.strain();
    double value = open;
    if (voice_.signalKind == LoadSignalKind::level) value = 1 - open;
    if (voice_.signalKind == LoadSignalKind::credit)
      value = open * std::max(0.2, 2 * climber_.limit() / fleet_.clients);
    if (std::abs(value - said_) < 0.03 && (value == said_ || !drain_.leaving())) return;
    said_ = value;
    say(PublishLoadSignal{value});
  }

  // The wait that the hold may stand for: a part of the time to spare of the handler with least.
  double bearable() const {
    double least = 1e9;
    for (std::size_t i = 0; i < handlers_.size(); ++i) {
      const HandlerId id{static_cast<std::uint8_t>(i)};
      least = std::min(least, seconds(handlers_[i].latencyObjective) - pace_.core(id) - pace_.below(id));
    }
    return std::max(holdPart * least, 0.05);
  }

  Req* find(RequestId id) {
    const auto it = reqs_.find(id);
    return it == reqs_.end() ? nullptr : &it->second;
  }
  int onCores() const { return static_cast<int>(onCore_.size()); }
  void dropGone() {
    looks_ += hold_.size();
    hold_.keepOnly([this](RequestId id) { return find(id) && find(id)->stage == Stage::held; });
  }
  // Counts who is on the cores, and how long each was off them at calls.
  void move(Req& req, Stage to) {
    if (req.stage == Stage::onCore) onCore_.erase(req.read.id), req.off = now_;
    if (to == Stage::onCore) onCore_.insert(req.read.id);
    if (to == Stage::onCore && req.stage > Stage::onCore) req.offCore += now_ - req.off;
    req.stage = to;
  }
  void gone(RequestId id) {
    const Req& req = *find(id);
    onCore_.erase(id);
    dues_.erase({req.due, id});
    const bool running = req.stage >= Stage::onCore;
    if (running) --started_;
    guard_.take(-(running ? guard_.runKb(req.read.queuedMemoryKb) : req.read.queuedMemoryKb));
    reqs_.erase(id);
  }
  void say(Action action) { out_.push_back(std::move(action)); }

  static constexpr TimerId tick{1};
  static constexpr Duration tickEvery = 25ms, dueMargin = 30ms;
  // The protocol's slack, and what times of arrival in whole milliseconds may be off, at either end.
  static constexpr Duration keepMargin = 52ms;
  static constexpr Duration quickEvery = 100ms, shortestIdle = 100ms;
  static constexpr double connectionsPerCore = 6, stormPerCore = 1;
  static constexpr double idleBelow = 0.85, holdPart = 0.3, doubt = 0.5, unreadLong = 0.3;
  static constexpr double slowCalls = 2;

  const std::vector<HandlerPolicy> handlers_;
  const SignalingProfile voice_;
  const ResultSharing trade_;
  const FleetProfile fleet_;
  const int cores_;
  Climber climber_;
  Pace pace_;
  Guard guard_;
  Calls calls_;
  Repeats repeats_;
  Pressure pressure_;
  Drain drain_;
  std::map<RequestId, Req> reqs_;                  // a req leaves when its answer and its run have both ended
  std::set<std::pair<Duration, RequestId>> dues_;  // those of them that are owed an answer, by due time
  std::set<RequestId> onCore_;
  Hold hold_;
  Waits waits_;
  std::vector<RequestId> fresh_, wants_;
  std::vector<Action> out_;
  Duration now_{}, nextQuick_{}, nextTrim_{}, idleFor_ = 2s;
  int started_ = 0;
  double notRuns_ = 0;  // what wants a core of late and is no run: reading, connecting
  double unread_ = 0, leastUnread_ = 1, said_ = -1;
  std::uint64_t looks_ = 0;
  bool opened_ = false, idle_ = false;
};

}  // namespace

double fuzzyStep(double lastStep, double latencyChange) {
  const auto pos = [](double x) { return (1 + std::clamp(x, -1.0, 1.0)) / 2; };
  const double up = pos(lastStep), down = 1 - up, worse = pos(latencyChange), better = 1 - worse;
  const double more = std::min(down, worse) + std::min(up, better);
  const double fewer = std::min(down, better) + std::min(up, worse);
  return (more - fewer) / (more + fewer);
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(Seed, const MachineProfile& machine,
                                                     const std::vector<HandlerPolicy>& handlers,
                                                     const DownstreamProfile& below,
                                                     const ProtocolLimits& duties,
                                                     const SignalingProfile& voice,
                                                     const ResultSharing& trade, const FleetProfile& fleet) {
  return std::make_unique<Server>(machine, handlers, below, duties, voice, trade, fleet);
}

}  // namespace rainhook
