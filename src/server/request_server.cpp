#include "server/request_server.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace rainhook::server {
namespace {

using namespace std::chrono_literals;

std::optional<net::Connection::Address> addressOf(const std::string& text) {
  if (text.empty()) return std::nullopt;
  return net::Connection::Address(text);
}

net::Clients::Terms termsOf(const Facts& facts) {
  net::Clients::Terms out{facts.handlerNames, facts.customerNames, {}, facts.tellsPatience};
  for (const auto& terms : facts.handlers) out.clientTimeouts.push_back(terms.clientTimeout);
  return out;
}

// A repeat is read at the latest once nobody waits for it any more; older ones are refused unread.
Span longestWait(const Facts& facts) {
  Span out = net::Clients::longPast;
  for (const auto& terms : facts.handlers) out = std::max(out, terms.clientTimeout + net::Clients::longPast);
  return out;
}

// Descriptors: half of them are the balancers' to open, and a few more for what they have closed and we have
// not yet; some are for the listener, the links, signals and the log; all others are for calls.
constexpr std::size_t ownDescriptors = 14, fewestForCalls = 2;
std::size_t forBalancers(std::size_t all) {
  return std::min(all / 2 + all / 16, all - ownDescriptors - fewestForCalls);
}
std::size_t forCalls(std::size_t all) { return all - forBalancers(all) - ownDescriptors; }

// Memory: a quarter of it for reqs in hand, each with a body of 2 kB and a reply of 4 kB at most; an eighth
// for what waits to be sent, and one for the results that are kept.
constexpr std::size_t inHandBytes = 8 * 1024;
constexpr std::string_view otherContent = "its key came with another content";
std::size_t megabytes(int count) { return static_cast<std::size_t>(count) << 20; }

}  // namespace

Server::Server(net::Reactor& reactor, net::Log& log, Configured configured)
    : reactor_(reactor),
      log_(log),
      configured_(std::move(configured)),
      clients_(reactor, pool_, log, *this, termsOf(facts_),
               {forBalancers(place_.descriptors), megabytes(place_.memoryMb) / 8}),
      servers_(reactor, pool_, log, *this, addressOf(place_.next), forCalls(place_.descriptors)),
      engine_(reactor, pool_, log, *this, net::Connection::Address(place_.engine)),
      marks_(megabytes(place_.memoryMb) / 8, longestWait(facts_)) {
  if (const auto address = addressOf(place_.list))
    list_ = std::make_unique<net::List>(reactor, pool_, log, *address, place_.name, chance());
}

Server::~Server() {
  reactor_.atTurnEnd({});
  reactor_.letGo();  // its connections hold buffers of our pool
}

void Server::open() {
  clients_.listen(net::Connection::Address(place_.listen));
  reactor_.atTurnEnd([this] { endTurn(); });
  engine_.connect();
  if (list_) list_->takesWork(true);
  report();
  log_.line(net::Matter::start, "{} serves at {}", place_.name, place_.listen);
}

void Server::reload(const Configured& offered) {
  Place& place = configured_.place;
  const auto left = leftByReload(configured_, offered);
  place.engine = offered.place.engine, place.next = offered.place.next, place.list = offered.place.list;
  place.stopAfter = offered.place.stopAfter;
  log_.line(net::Matter::start, "configuration read again: engine {}, next tier {}, list {}{}{}",
            place.engine, place.next.empty() ? "none" : place.next, place.list.empty() ? "none" : place.list,
            left.empty() ? "" : "; left as it is until a restart: ", fmt::join(left, ", "));
  engine_.moveTo(net::Connection::Address(place.engine));
  servers_.moveTo(addressOf(place.next));
  const auto list = addressOf(place.list);
  if (list && list_) return list_->moveTo(*list);
  list_ = list ? std::make_unique<net::List>(reactor_, pool_, log_, *list, place.name, chance()) : nullptr;
  if (list_) list_->takesWork(clients_.good());
}

void Server::reloadFrom(const std::string& file) {
  try {
    reload(readConfigurationFile(file));
  } catch (const std::exception& fault) {
    log_.line(net::Matter::start, "the new configuration is not taken: {}", fault.what());
  }
}

// The module counts from the engine's start, since that is what is cold or warm. What is read before the
// greeting, though it be in the same turn, opens it too: then the engine is taken for cold until it tells.
void Server::openModule(bool cold, Span since) {
  if (module_) return;
  origin_ = net::Reactor::Clock::now() - since;
  Machine machine = facts_.machine;
  machine.cold = cold;
  module_ = openDecision(place_.seed, machine, facts_.handlers, facts_.below, facts_.duties, facts_.voice,
                         facts_.trade, facts_.fleet);
  fresh_ = true;
  if (part_ < 1) tell(CallShare{part_});
}

void Server::mayCall(double part) {
  part_ = part;
  if (module_) tell(CallShare{part});
}

// Told from others that were given one seed by the name.
std::uint64_t Server::chance() const {
  return static_cast<std::uint64_t>(place_.seed) ^ std::hash<std::string>{}(place_.name);
}

Span Server::sinceOpened() const { return net::Reactor::Clock::now() - origin_; }

// What happens after this turn's question to the module is not to wait for the next socket or timer.
void Server::tell(const Event& event) {
  if (happened_.empty()) again_ = reactor_.after(0s, [] {});
  happened_.push_back(event);
}

void Server::endTurn() {
  if (!module_ || (happened_.empty() && !std::exchange(fresh_, false))) return;
  marks_.turnEnds();
  marks_.expire(std::chrono::system_clock::now());
  const auto happened = std::exchange(happened_, {});
  for (const auto& action : module_->decide(sinceOpened(), happened))
    std::visit([this](const auto& a) { perform(a); }, action);
  neverRan_.clear();
}

// News of the peers.
std::variant<ReqId, std::string_view> Server::reqCame(net::ArrivedReq&& req) {
  if (table_.size() >= megabytes(place_.memoryMb) / 4 / inHandBytes) {
    log_.line(net::Matter::clients, "{} reqs in hand: no more are taken", table_.size());
    return "too many reqs in hand";
  }
  if (table_.named(req.name)) {
    log_.line(net::Matter::clients, "a req whose name is in hand already: {}", req.name);
    return "its id is in hand already";
  }
  const ReqId id{++reqs_};
  std::optional<ReqId> repeats;
  if (const auto key = Marks::keyOf(req, facts_.handlers)) {
    const auto known = marks_.firstOf(*key, Marks::contentOf(req), id, req.readAt - req.unread, req.readAt,
                                      facts_.trade.shareFor);
    if (known.conflicts) {
      log_.line(net::Matter::clients, "a repeat whose first had another content: {}", req.name);
      return otherContent;
    }
    repeats = known.first;
  }
  openModule(true, 0s);
  ++counts_.read, counts_.unread += req.unread;
  enter(id, req, repeats);
  table_.add(id, std::move(req)).repeats = repeats;
  return id;
}

void Server::enter(ReqId id, const net::ArrivedReq& req, std::optional<ReqId> repeats) {
  ReqRead read;
  read.id = id;
  read.handler = req.handler;
  read.customer = req.customer;
  read.caller = req.caller;
  read.subject = req.subject;
  read.repeats = repeats;
  read.rank = req.rank;
  read.heldKb = req.heldKb;
  read.workHint = req.workHint;
  read.patience = req.patience;
  read.unread = req.unread;
  read.write = req.subject == SubjectId{};
  tell(read);
}

void Server::callerLeft(ReqId id) {
  InHand* req = table_.find(id);
  if (!req) return;
  ++counts_.left;
  tell(CallerGone{id});
  settled(id, *req);
}

void Server::engineUp(bool cold, Span since) {
  coldSince_ = cold ? std::optional(net::Reactor::Clock::now() - since) : std::nullopt;
  if (module_) tell(MachineStarted{cold, since});
  openModule(cold, since);
}

void Server::runEnded(const std::string& name, Outcome outcome, Span took, std::string&& result) {
  const auto id = table_.named(name);
  if (!id) return;
  InHand& req = *table_.find(*id);
  if (req.course < Course::running) return;
  servers_.giveUp(*id);
  const bool wasOwed = req.owed;
  if (outcome != Outcome::stopped) {
    // A run that never was ends a req that the engine takes for over; one answer more does no harm.
    if (wasOwed && outcome == Outcome::done) ++counts_.done, clients_.done(req.req.ticket, result);
    if (wasOwed && outcome != Outcome::done) ++counts_.errored, clients_.errored(req.req.ticket, "failed");
    req.owed = false;
  }
  tell(RunEnded{*id, outcome, took});
  if (outcome == Outcome::moot) neverRan(*id);
  if (outcome != Outcome::stopped || !wasOwed)
    firstEnded(*id, outcome == Outcome::done ? Marks::End::done : Marks::End::errored, result);
  if (req.owed && outcome == Outcome::stopped) {  // back in the hold
    req.course = Course::held;
    req.said = InHand::Said::nothing;
    return;
  }
  table_.drop(*id);
}

void Server::callWanted(const std::string& name, std::uint64_t notice, std::string&& body) {
  const auto id = table_.named(name);
  if (!id) return;
  InHand& req = *table_.find(*id);
  if (req.course < Course::running) return;
  req.course = Course::wantsCall;
  req.said = InHand::Said::nothing;
  req.notice = notice;
  req.reply = std::move(body);
  tell(CallWanted{*id});
}

void Server::callEnded(ReqId id, Outcome outcome, Span took, std::string&& reply) {
  InHand* req = table_.find(id);
  if (!req || req->course != Course::calling) return;
  counts_.callsDone += outcome == Outcome::done;
  tell(CallEnded{id, outcome, took});
  if (outcome != Outcome::done) {
    req->course = Course::wantsCall;
    return;
  }
  req->course = Course::running;
  req->reply = std::move(reply);
  say(*req, InHand::Said::deliver);
}

void Server::say(InHand& req, InHand::Said what) {
  const std::string& name = req.req.name;
  req.said = what;
  req.saidAt = net::Reactor::Clock::now();
  if (what == InHand::Said::launch)
    req.sent =
        engine_.launch(name, facts_.handlerNames[static_cast<std::size_t>(req.req.handler)], req.req.body);
  if (what == InHand::Said::deliver) req.sent = engine_.deliver(name, req.reply);
  if (what == InHand::Said::forgo) req.sent = engine_.forgo(name, req.notice);
}

// A new link. What the engine may not have read is said again; but a run that must not be doubled, and may
// have begun, is over: its caller hears that it may have run.
void Server::caughtUp() {
  std::vector<ReqId> unsure;
  for (const auto& [id, req] : table_.all())
    if (req.said != InHand::Said::nothing && (!req.sent || engine_.mayBeLost(req.saidAt)))
      unsure.push_back(id);
  for (const ReqId id : unsure) {
    InHand& req = *table_.find(id);
    const bool replayable =
        facts_.handlers[static_cast<std::size_t>(req.req.handler)].effect == Effect::replayable;
    if (req.said != InHand::Said::launch || replayable || !req.sent)
      say(req, req.said);
    else
      runEnded(std::string(req.req.name), Outcome::errored, net::Reactor::Clock::now() - req.since, {});
  }
  if (!unsure.empty()) log_.line(net::Matter::engine, "{} reqs were told to the engine again", unsure.size());
}

void Server::gauges(std::uint64_t question, const std::vector<double>& values) { ring(question, values); }

// Nothing of this req runs there any more. One whose launch was refused never began: no repeat is to wait for
// what it never did.
void Server::commandRefused(const std::string& name, const std::string& command) {
  const auto id = table_.named(name);
  if (!id || table_.find(*id)->course < Course::running) return;
  if (command == "launch") neverRan(*id);
  runEnded(std::string(name), Outcome::errored, net::Reactor::Clock::now() - table_.find(*id)->since, {});
}

void Server::ring(std::uint64_t question, const std::vector<double>& values) {
  const auto it = ringing_.find(question);
  if (it == ringing_.end()) return;
  const auto rang = timerRang(it->second.timer, values, facts_.gauges);
  if (rang.wantingCore) wantingCore_ = rang.wantingCore;
  tell(rang);
  ringing_.erase(it);
}

// Actions of the module.
void Server::perform(const Start& action) {
  InHand* req = table_.find(action.id);
  if (!req || req->course != Course::held) return;
  req->course = Course::running;
  req->started = true;
  req->since = net::Reactor::Clock::now();
  say(*req, InHand::Said::launch);
}
void Server::perform(const Shed& action) {
  InHand* req = table_.find(action.id);
  if (!req || !req->owed) return;
  ++counts_.shed;
  clients_.shed(req->req.ticket, action.stayAway, action.lastTry);
  settled(action.id, *req);
}
void Server::perform(const Fail& action) {
  InHand* req = table_.find(action.id);
  if (!req || !req->owed) return;
  ++counts_.errored;
  clients_.errored(req->req.ticket, "given up");
  settled(action.id, *req);
}
// The engine's protocol has no word to stop a run, so a run that is no longer wanted goes on until it ends or
// reaches its next call. A run that was stopped there all the same comes back as stopped.
void Server::perform(const Stop&) {}
void Server::perform(const Call& action) {
  InHand* req = table_.find(action.id);
  if (!req || req->course != Course::wantsCall) return;
  req->course = Course::calling;
  ++counts_.calls;
  servers_.call(action.id, req->req.name, action.limit, req->reply);
}
void Server::perform(const SkipCall& action) {
  InHand* req = table_.find(action.id);
  if (!req || req->course != Course::wantsCall) return;
  req->course = Course::running;
  say(*req, InHand::Said::forgo);
}
void Server::perform(const Keep& action) {
  const InHand* req = table_.find(action.id);
  if (!req) return;
  if (const auto key = Marks::keyOf(req->req, facts_.handlers))
    marks_.keep(*key, Marks::contentOf(req->req), action.id, req->req.readAt + action.keepFor);
}
void Server::perform(const Forget& action) { neverRan(action.id); }
void Server::perform(const AnswerFromFirst& action) {
  InHand* req = table_.find(action.id);
  if (!req) return;
  const auto* kept = req->repeats ? marks_.find(*req->repeats) : nullptr;
  req->course = Course::waitingForFirst;
  req->since = net::Reactor::Clock::now();
  if (!kept && req->repeats && neverRan_.contains(*req->repeats)) return readAnew(action.id);
  if (!kept) return answerFrom(action.id, *req, Marks::End::errored, {});
  if (kept->end != Marks::End::none) return answerFrom(action.id, *req, kept->end, kept->result);
  table_.waitFor(*req->repeats, action.id);
}
void Server::perform(const SayHealth& action) {
  clients_.sayHealth(action.good);
  if (list_) list_->takesWork(action.good);
}
void Server::perform(const SaySignal& action) { clients_.saySignal(action.value); }
void Server::perform(const CloseIdleAfter& action) { clients_.closeIdleAfter(action.idle); }
void Server::perform(const SetTimer& action) {
  const auto number = ++timers_;
  set_[number] = reactor_.after(action.in, [this, number, timer = action.timer] {
    const auto question = ++questions_;
    ringing_[question] = {timer, reactor_.after(gaugesWait, [this, question] { ring(question, {}); })};
    engine_.ask(question);
    set_.erase(number);
  });
}
void Server::perform(const Note& action) { log_.line(net::Matter::drain, "{}", action.text); }

// No answer is owed any more. What has not started is over; a run that stands at a call ends there.
void Server::settled(ReqId id, InHand& req) {
  req.owed = false;
  servers_.giveUp(id);
  if (req.course >= Course::running) return;
  if (!req.started) neverRan(id);
  firstEnded(id, Marks::End::errored, {});
  table_.drop(id);
}

// What provably had no effect is nobody's first: its key is free, and those that waited for it are read anew,
// with what is left of their time. The next of them that runs is the first of the others.
void Server::neverRan(ReqId first) {
  if (!neverRan_.insert(first).second) return;
  marks_.forget(first);
  for (const ReqId id : table_.waitingFor(first)) readAnew(id);
}

void Server::readAnew(ReqId id) {
  InHand& req = *table_.find(id);
  tell(RunEnded{id, Outcome::errored, net::Reactor::Clock::now() - req.since});
  table_.waitNoMore(id, req);
  const auto now = std::chrono::system_clock::now();
  const Span since = std::max<Span>(now - req.req.readAt, 0s);
  req.req.readAt = now;
  req.req.unread += since;
  if (req.req.patience) req.req.patience = std::max<Span>(*req.req.patience - since, 0s);
  const auto known = marks_.firstOf(*Marks::keyOf(req.req, facts_.handlers), Marks::contentOf(req.req), id,
                                    now - req.req.unread, now, facts_.trade.shareFor);
  req.repeats = known.first;
  if (!known.conflicts) return enter(id, req.req, known.first);
  ++counts_.errored;
  clients_.errored(req.req.ticket, otherContent);
  table_.drop(id);
}

void Server::firstEnded(ReqId first, Marks::End end, const std::string& result) {
  marks_.ended(first, end, std::chrono::system_clock::now(), result);
  for (const ReqId id : table_.waitingFor(first)) answerFrom(id, *table_.find(id), end, result);
}

void Server::answerFrom(ReqId id, InHand& req, Marks::End end, const std::string& result) {
  const bool done = end == Marks::End::done;
  if (req.owed) {
    done ? clients_.done(req.req.ticket, result) : clients_.errored(req.req.ticket, "the first try failed");
    ++(done ? counts_.done : counts_.errored);
  }
  tell(RunEnded{id, done ? Outcome::done : Outcome::errored, net::Reactor::Clock::now() - req.since});
  table_.drop(id);
}

void Server::report() {
  reporting_ = reactor_.after(reportEvery, [this] { report(); });
  readBefore_ += counts_.read, doneBefore_ += counts_.done;
  const auto counts = std::exchange(counts_, {});
  if (counts.read + counts.shed + counts.errored == 0) return;
  const auto now = standing();
  log_.line(net::Matter::start,
            "in {} s: read {} (unread for {} ms), done {}, shed {}, errored {}, callers gone {}; "
            "calls {}, done {}; now held {}, on cores {} (the engine counts {:.0f}), at calls {}, owed to "
            "nobody {}; connections {}",
            std::chrono::duration_cast<std::chrono::seconds>(reportEvery).count(), counts.read,
            std::chrono::duration_cast<std::chrono::milliseconds>(counts.unread).count() /
                static_cast<std::int64_t>(std::max<std::uint64_t>(counts.read, 1)),
            counts.done, counts.shed, counts.errored, counts.left, counts.calls, counts.callsDone, now.held,
            now.onCores, wantingCore_.value_or(-1), now.atCalls, now.unowed, clients_.open());
}

Server::Standing Server::standing() const {
  Standing out;
  for (const auto& [id, req] : table_.all()) {
    ++(req.course < Course::running ? out.held : req.course == Course::running ? out.onCores : out.atCalls);
    out.unowed += !req.owed;
  }
  out.callsOpen = servers_.open();
  return out;
}

Server::Figures Server::figures() const {
  Figures out;
  out.leaving = stopAt_.has_value();
  out.works = engine_.works();
  const Machine& machine = facts_.machine;
  if (module_) out.limit = module_->limit();
  if (coldSince_ && machine.warmWithin > 0s)
    out.warmth = std::min(
        1.0, std::chrono::duration<double>(net::Reactor::Clock::now() - *coldSince_) / machine.warmWithin);
  const auto now = standing();
  out.running = now.onCores + now.atCalls, out.held = now.held;
  out.read = readBefore_ + counts_.read, out.done = doneBefore_ + counts_.done;
  return out;
}

// Leaving: the module hears that it ends a little before the stop; late in it callers are asked to close
// their connections and the listener ends, then connections that still rest are ended from our side, and the
// end comes once none is left and the list has heard of it, or just before the stop.
void Server::leave() {
  if (stopAt_) return;
  stopAt_ = net::Reactor::Clock::now() + place_.stopAfter;
  log_.line(net::Matter::drain, "told to leave within {} ms, {} reqs in hand",
            std::chrono::duration_cast<std::chrono::milliseconds>(place_.stopAfter).count(), table_.size());
  openModule(true, 0s);
  tell(LeaveNotice{std::max<Span>(place_.stopAfter - endMargin, 0s)});
  leaving_ = reactor_.after(leaveStepEvery, [this] { leaveStep(); });  // once the module has heard of it
}

void Server::leaveStep() {
  leaving_ = reactor_.after(leaveStepEvery, [this] { leaveStep(); });
  const auto left = *stopAt_ - net::Reactor::Clock::now();
  if (left <= drainBefore && !std::exchange(draining_, true)) clients_.drain();
  const bool listens = !draining_ || !clients_.endListening();
  // By now the module has given up on all that it was asked; nothing waits but who does not go.
  if (left <= endRestingBefore) clients_.endResting();
  // Nor does it go, while there is time, before the list has heard that it does.
  const bool told = !list_ || list_->heard() || left <= endRestingBefore;
  if ((!listens && clients_.open() == 0 && told) || left <= endMargin / 2) {
    log_.line(net::Matter::drain, "leaves with {} reqs in hand, {} connections", table_.size(),
              clients_.open());
    reactor_.stop();
  }
}

}  // namespace rainhook::server
