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

peers::RequestListener::RequestRules termsOf(const DeploymentSettings& facts) {
  peers::RequestListener::RequestRules out{
      facts.handlerNames, facts.tenantNames, {}, facts.clientsSendTimeRemaining};
  for (const auto& terms : facts.handlerPolicies) out.clientTimeouts.push_back(terms.clientTimeout);
  return out;
}

// A repeat is read at the latest once nobody waits for it any more; older ones are refused unread.
Duration longestWait(const DeploymentSettings& facts) {
  Duration out = peers::RequestListener::longPast;
  for (const auto& terms : facts.handlerPolicies)
    out = std::max(out, terms.clientTimeout + peers::RequestListener::longPast);
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

RequestServer::RequestServer(net::Reactor& reactor, logging::Log& log, ServerConfiguration configured)
    : reactor_(reactor),
      log_(log),
      configured_(std::move(configured)),
      clients_(reactor, pool_, log, *this, termsOf(facts_),
               {forBalancers(place_.maxDescriptors), megabytes(place_.memoryMb) / 8}),
      servers_(reactor, pool_, log, *this, addressOf(place_.downstream), forCalls(place_.maxDescriptors)),
      engine_(reactor, pool_, log, *this, net::Connection::Address(place_.engine)),
      marks_(megabytes(place_.memoryMb) / 8, longestWait(facts_)) {
  if (const auto address = addressOf(place_.registry))
    list_ = std::make_unique<peers::RegistryClient>(reactor, pool_, log, *address, place_.name, chance());
}

RequestServer::~RequestServer() {
  reactor_.atTurnEnd({});
  reactor_.releaseRetired();  // its connections hold buffers of our pool
}

void RequestServer::open() {
  clients_.listen(net::Connection::Address(place_.listen));
  reactor_.atTurnEnd([this] { endTurn(); });
  engine_.connect();
  if (list_) list_->setInService(true);
  report();
  log_.message(logging::LogCategory::start, "{} serves at {}", place_.name, place_.listen);
}

void RequestServer::reload(const ServerConfiguration& offered) {
  ServerEndpoints& place = configured_.endpoints;
  const auto left = restartRequiredChanges(configured_, offered);
  place.engine = offered.endpoints.engine, place.downstream = offered.endpoints.downstream,
  place.registry = offered.endpoints.registry;
  place.shutdownTimeout = offered.endpoints.shutdownTimeout;
  log_.message(logging::LogCategory::start, "configuration read again: engine {}, next tier {}, list {}{}{}",
               place.engine, place.downstream.empty() ? "none" : place.downstream,
               place.registry.empty() ? "none" : place.registry,
               left.empty() ? "" : "; left as it is until a restart: ", fmt::join(left, ", "));
  engine_.setAddress(net::Connection::Address(place.engine));
  servers_.moveTo(addressOf(place.downstream));
  const auto list = addressOf(place.registry);
  if (list && list_) return list_->setAddress(*list);
  list_ = list ? std::make_unique<peers::RegistryClient>(reactor_, pool_, log_, *list, place.name, chance())
               : nullptr;
  if (list_) list_->setInService(clients_.isHealthy());
}

void RequestServer::reloadFrom(const std::string& file) {
  try {
    reload(readConfigurationFile(file));
  } catch (const std::exception& fault) {
    log_.message(logging::LogCategory::start, "the new configuration is not taken: {}", fault.what());
  }
}

// The module counts from the engine's start, since that is what is cold or warm. What is read before the
// greeting, though it be in the same turn, opens it too: then the engine is taken for cold until it tells.
void RequestServer::openModule(bool cold, Duration since) {
  if (module_) return;
  origin_ = net::Reactor::Clock::now() - since;
  MachineProfile machine = facts_.machine;
  machine.coldStart = cold;
  module_ = makeAdmissionPolicy({.machine = machine,
                                 .handlers = facts_.handlerPolicies,
                                 .downstream = facts_.downstream,
                                 .limits = facts_.protocolLimits,
                                 .signaling = facts_.signaling,
                                 .sharing = facts_.resultSharing,
                                 .fleet = facts_.fleet});
  fresh_ = true;
  if (part_ < 1) tell(DownstreamQuotaChanged{part_});
}

void RequestServer::mayCall(double part) {
  part_ = part;
  if (module_) tell(DownstreamQuotaChanged{part});
}

// Told from others that were given one seed by the name.
std::uint64_t RequestServer::chance() const {
  return static_cast<std::uint64_t>(place_.seed) ^ std::hash<std::string>{}(place_.name);
}

Duration RequestServer::sinceOpened() const { return net::Reactor::Clock::now() - origin_; }

// What happens after this turn's question to the module is not to wait for the next socket or timer.
void RequestServer::tell(const Event& event) {
  if (happened_.empty()) again_ = reactor_.after(0s, [] {});
  happened_.push_back(event);
}

void RequestServer::endTurn() {
  if (!module_ || (happened_.empty() && !std::exchange(fresh_, false))) return;
  marks_.turnEnds();
  marks_.expire(std::chrono::system_clock::now());
  const auto happened = std::exchange(happened_, {});
  for (const auto& action : module_->onEvents(sinceOpened(), happened))
    std::visit([this](const auto& a) { perform(a); }, action);
  neverRan_.clear();
}

// News of the peers.
std::variant<RequestId, std::string_view> RequestServer::onRequest(peers::IncomingRequest&& req) {
  if (table_.size() >= megabytes(place_.memoryMb) / 4 / inHandBytes) {
    log_.message(logging::LogCategory::clients, "{} reqs in hand: no more are taken", table_.size());
    return "too many reqs in hand";
  }
  if (table_.named(req.name)) {
    log_.message(logging::LogCategory::clients, "a req whose name is in hand already: {}", req.name);
    return "its id is in hand already";
  }
  const RequestId id{++reqs_};
  std::optional<RequestId> repeats;
  if (const auto key = DeduplicationCache::keyOf(req, facts_.handlerPolicies)) {
    const auto known =
        marks_.firstOf(*key, DeduplicationCache::contentOf(req), id, req.readAt - req.readDelay, req.readAt,
                       facts_.resultSharing.sharingDuration);
    if (known.conflicts) {
      log_.message(logging::LogCategory::clients, "a repeat whose first had another content: {}", req.name);
      return otherContent;
    }
    repeats = known.first;
  }
  openModule(true, 0s);
  ++counts_.read, counts_.unread += req.readDelay;
  enter(id, req, repeats);
  table_.add(id, std::move(req)).repeats = repeats;
  return id;
}

void RequestServer::enter(RequestId id, const peers::IncomingRequest& req, std::optional<RequestId> repeats) {
  RequestArrived read;
  read.id = id;
  read.handler = req.handler;
  read.tenant = req.tenant;
  read.client = req.client;
  read.resourceKey = req.resourceKey;
  read.duplicateOf = repeats;
  read.rank = req.rank;
  read.queuedMemoryKb = req.queuedMemoryKb;
  read.estimatedWork = req.estimatedWork;
  read.timeRemaining = req.timeRemaining;
  read.readDelay = req.readDelay;
  read.isWrite = req.resourceKey == ResourceKey{};
  tell(read);
}

void RequestServer::onClientDisconnected(RequestId id) {
  InFlightRequest* req = table_.find(id);
  if (!req) return;
  ++counts_.left;
  tell(ClientDisconnected{id});
  settled(id, *req);
}

void RequestServer::onEngineConnected(bool cold, Duration since) {
  coldSince_ = cold ? std::optional(net::Reactor::Clock::now() - since) : std::nullopt;
  if (module_) tell(ExecutionEngineStarted{cold, since});
  openModule(cold, since);
}

void RequestServer::onExecutionEnded(const std::string& name, Outcome outcome, Duration took,
                                     std::string&& result) {
  const auto id = table_.named(name);
  if (!id) return;
  InFlightRequest& req = *table_.find(*id);
  if (req.course < RequestState::running) return;
  servers_.cancel(*id);
  const bool wasOwed = req.owed;
  if (outcome != Outcome::cancelled) {
    // A run that never was ends a req that the engine takes for over; one answer more does no harm.
    if (wasOwed && outcome == Outcome::completed)
      ++counts_.done, clients_.sendResult(req.req.response, result);
    if (wasOwed && outcome != Outcome::completed)
      ++counts_.errored, clients_.sendFailure(req.req.response, "failed");
    req.owed = false;
  }
  tell(ExecutionEnded{*id, outcome, took});
  if (outcome == Outcome::superseded) neverRan(*id);
  if (outcome != Outcome::cancelled || !wasOwed)
    firstEnded(
        *id, outcome == Outcome::completed ? DeduplicationCache::End::done : DeduplicationCache::End::errored,
        result);
  if (req.owed && outcome == Outcome::cancelled) {  // back in the hold
    req.course = RequestState::held;
    req.said = InFlightRequest::Said::nothing;
    return;
  }
  table_.drop(*id);
}

void RequestServer::onDownstreamCallRequested(const std::string& name, std::uint64_t notice,
                                              std::string&& body) {
  const auto id = table_.named(name);
  if (!id) return;
  InFlightRequest& req = *table_.find(*id);
  if (req.course < RequestState::running) return;
  req.course = RequestState::wantsCall;
  req.said = InFlightRequest::Said::nothing;
  req.notice = notice;
  req.reply = std::move(body);
  tell(DownstreamCallRequested{*id});
}

void RequestServer::onDownstreamCallEnded(RequestId id, Outcome outcome, Duration took, std::string&& reply) {
  InFlightRequest* req = table_.find(id);
  if (!req || req->course != RequestState::calling) return;
  counts_.callsDone += outcome == Outcome::completed;
  tell(DownstreamCallEnded{id, outcome, took});
  if (outcome != Outcome::completed) {
    req->course = RequestState::wantsCall;
    return;
  }
  req->course = RequestState::running;
  req->reply = std::move(reply);
  say(*req, InFlightRequest::Said::deliver);
}

void RequestServer::say(InFlightRequest& req, InFlightRequest::Said what) {
  const std::string& name = req.req.name;
  req.said = what;
  req.saidAt = net::Reactor::Clock::now();
  if (what == InFlightRequest::Said::launch)
    req.sent = engine_.startExecution(name, facts_.handlerNames[static_cast<std::size_t>(req.req.handler)],
                                      req.req.body);
  if (what == InFlightRequest::Said::deliver) req.sent = engine_.deliverReply(name, req.reply);
  if (what == InFlightRequest::Said::forgo) req.sent = engine_.continueWithoutReply(name, req.notice);
}

// A new link. What the engine may not have read is said again; but a run that must not be doubled, and may
// have begun, is over: its caller hears that it may have run.
void RequestServer::onNotificationsCaughtUp() {
  std::vector<RequestId> unsure;
  for (const auto& [id, req] : table_.all())
    if (req.said != InFlightRequest::Said::nothing && (!req.sent || engine_.mayBeLost(req.saidAt)))
      unsure.push_back(id);
  for (const RequestId id : unsure) {
    InFlightRequest& req = *table_.find(id);
    const bool replayable = facts_.handlerPolicies[static_cast<std::size_t>(req.req.handler)].idempotency ==
                            Idempotency::idempotent;
    if (req.said != InFlightRequest::Said::launch || replayable || !req.sent)
      say(req, req.said);
    else
      onExecutionEnded(std::string(req.req.name), Outcome::failed, net::Reactor::Clock::now() - req.since,
                       {});
  }
  if (!unsure.empty())
    log_.message(logging::LogCategory::engine, "{} reqs were told to the engine again", unsure.size());
}

void RequestServer::onGauges(std::uint64_t question, const std::vector<double>& values) {
  ring(question, values);
}

// Nothing of this req runs there any more. One whose launch was refused never began: no repeat is to wait for
// what it never did.
void RequestServer::onCommandRejected(const std::string& name, const std::string& command) {
  const auto id = table_.named(name);
  if (!id || table_.find(*id)->course < RequestState::running) return;
  if (command == "launch") neverRan(*id);
  onExecutionEnded(std::string(name), Outcome::failed, net::Reactor::Clock::now() - table_.find(*id)->since,
                   {});
}

void RequestServer::ring(std::uint64_t question, const std::vector<double>& values) {
  const auto it = ringing_.find(question);
  if (it == ringing_.end()) return;
  const auto rang = timerFired(it->second.timer, values, facts_.gauges);
  if (rang.runnableTasks) wantingCore_ = rang.runnableTasks;
  tell(rang);
  ringing_.erase(it);
}

// Actions of the module.
void RequestServer::perform(const StartExecution& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req || req->course != RequestState::held) return;
  req->course = RequestState::running;
  req->started = true;
  req->since = net::Reactor::Clock::now();
  say(*req, InFlightRequest::Said::launch);
}
void RequestServer::perform(const ShedRequest& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req || !req->owed) return;
  ++counts_.shed;
  clients_.sendShed(req->req.response, action.retryAfter, action.discourageRetry);
  settled(action.id, *req);
}
void RequestServer::perform(const FailRequest& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req || !req->owed) return;
  ++counts_.errored;
  clients_.sendFailure(req->req.response, "given up");
  settled(action.id, *req);
}
// The engine's protocol has no word to stop a run, so a run that is no longer wanted goes on until it ends or
// reaches its next call. A run that was stopped there all the same comes back as stopped.
void RequestServer::perform(const CancelExecution&) {}
void RequestServer::perform(const CallDownstream& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req || req->course != RequestState::wantsCall) return;
  req->course = RequestState::calling;
  ++counts_.calls;
  servers_.call(action.id, req->req.name, action.timeout, req->reply);
}
void RequestServer::perform(const SkipDownstreamCall& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req || req->course != RequestState::wantsCall) return;
  req->course = RequestState::running;
  say(*req, InFlightRequest::Said::forgo);
}
void RequestServer::perform(const RetainResult& action) {
  const InFlightRequest* req = table_.find(action.id);
  if (!req) return;
  if (const auto key = DeduplicationCache::keyOf(req->req, facts_.handlerPolicies))
    marks_.keep(*key, DeduplicationCache::contentOf(req->req), action.id, req->req.readAt + action.retention);
}
void RequestServer::perform(const DropResult& action) { neverRan(action.id); }
void RequestServer::perform(const AnswerFromOriginal& action) {
  InFlightRequest* req = table_.find(action.id);
  if (!req) return;
  const auto* kept = req->repeats ? marks_.find(*req->repeats) : nullptr;
  req->course = RequestState::waitingForFirst;
  req->since = net::Reactor::Clock::now();
  if (!kept && req->repeats && neverRan_.contains(*req->repeats)) return readAnew(action.id);
  if (!kept) return answerFrom(action.id, *req, DeduplicationCache::End::errored, {});
  if (kept->end != DeduplicationCache::End::none) return answerFrom(action.id, *req, kept->end, kept->result);
  table_.waitFor(*req->repeats, action.id);
}
void RequestServer::perform(const PublishHealth& action) {
  clients_.setHealth(action.healthy);
  if (list_) list_->setInService(action.healthy);
}
void RequestServer::perform(const PublishLoadSignal& action) { clients_.setLoadSignal(action.value); }
void RequestServer::perform(const SetIdleConnectionTimeout& action) {
  clients_.setIdleTimeout(action.timeout);
}
void RequestServer::perform(const SetTimer& action) {
  const auto number = ++timers_;
  set_[number] = reactor_.after(action.delay, [this, number, timer = action.timer] {
    const auto question = ++questions_;
    ringing_[question] = {timer, reactor_.after(gaugesWait, [this, question] { ring(question, {}); })};
    engine_.requestGauges(question);
    set_.erase(number);
  });
}
void RequestServer::perform(const DiagnosticMessage& action) {
  log_.message(logging::LogCategory::drain, "{}", action.text);
}

// No answer is owed any more. What has not started is over; a run that stands at a call ends there.
void RequestServer::settled(RequestId id, InFlightRequest& req) {
  req.owed = false;
  servers_.cancel(id);
  if (req.course >= RequestState::running) return;
  if (!req.started) neverRan(id);
  firstEnded(id, DeduplicationCache::End::errored, {});
  table_.drop(id);
}

// What provably had no effect is nobody's first: its key is free, and those that waited for it are read anew,
// with what is left of their time. The next of them that runs is the first of the others.
void RequestServer::neverRan(RequestId first) {
  if (!neverRan_.insert(first).second) return;
  marks_.forget(first);
  for (const RequestId id : table_.waitingFor(first)) readAnew(id);
}

void RequestServer::readAnew(RequestId id) {
  InFlightRequest& req = *table_.find(id);
  tell(ExecutionEnded{id, Outcome::failed, net::Reactor::Clock::now() - req.since});
  table_.waitNoMore(id, req);
  const auto now = std::chrono::system_clock::now();
  const Duration since = std::max<Duration>(now - req.req.readAt, 0s);
  req.req.readAt = now;
  req.req.readDelay += since;
  if (req.req.timeRemaining) req.req.timeRemaining = std::max<Duration>(*req.req.timeRemaining - since, 0s);
  const auto known = marks_.firstOf(*DeduplicationCache::keyOf(req.req, facts_.handlerPolicies),
                                    DeduplicationCache::contentOf(req.req), id, now - req.req.readDelay, now,
                                    facts_.resultSharing.sharingDuration);
  req.repeats = known.first;
  if (!known.conflicts) return enter(id, req.req, known.first);
  ++counts_.errored;
  clients_.sendFailure(req.req.response, otherContent);
  table_.drop(id);
}

void RequestServer::firstEnded(RequestId first, DeduplicationCache::End end, const std::string& result) {
  marks_.ended(first, end, std::chrono::system_clock::now(), result);
  for (const RequestId id : table_.waitingFor(first)) answerFrom(id, *table_.find(id), end, result);
}

void RequestServer::answerFrom(RequestId id, InFlightRequest& req, DeduplicationCache::End end,
                               const std::string& result) {
  const bool done = end == DeduplicationCache::End::done;
  if (req.owed) {
    done ? clients_.sendResult(req.req.response, result)
         : clients_.sendFailure(req.req.response, "the first try failed");
    ++(done ? counts_.done : counts_.errored);
  }
  tell(ExecutionEnded{id, done ? Outcome::completed : Outcome::failed,
                      net::Reactor::Clock::now() - req.since});
  table_.drop(id);
}

void RequestServer::report() {
  reporting_ = reactor_.after(reportEvery, [this] { report(); });
  readBefore_ += counts_.read, doneBefore_ += counts_.done;
  const auto counts = std::exchange(counts_, {});
  if (counts.read + counts.shed + counts.errored == 0) return;
  const auto now = standing();
  log_.message(logging::LogCategory::start,
               "in {} s: read {} (unread for {} ms), done {}, shed {}, errored {}, callers gone {}; "
               "calls {}, done {}; now held {}, on cores {} (the engine counts {:.0f}), at calls {}, owed to "
               "nobody {}; connections {}",
               std::chrono::duration_cast<std::chrono::seconds>(reportEvery).count(), counts.read,
               std::chrono::duration_cast<std::chrono::milliseconds>(counts.unread).count() /
                   static_cast<std::int64_t>(std::max<std::uint64_t>(counts.read, 1)),
               counts.done, counts.shed, counts.errored, counts.left, counts.calls, counts.callsDone,
               now.held, now.onCores, wantingCore_.value_or(-1), now.atCalls, now.unowed,
               clients_.openConnections());
}

RequestServer::Standing RequestServer::standing() const {
  Standing out;
  for (const auto& [id, req] : table_.all()) {
    ++(req.course < RequestState::running    ? out.held
       : req.course == RequestState::running ? out.onCores
                                             : out.atCalls);
    out.unowed += !req.owed;
  }
  out.callsOpen = servers_.openCalls();
  return out;
}

RequestServer::Figures RequestServer::figures() const {
  Figures out;
  out.leaving = stopAt_.has_value();
  out.works = engine_.isResponsive();
  const MachineProfile& machine = facts_.machine;
  if (module_) out.limit = module_->concurrencyLimit();
  if (coldSince_ && machine.warmUpDuration > 0s)
    out.warmth = std::min(1.0, std::chrono::duration<double>(net::Reactor::Clock::now() - *coldSince_) /
                                   machine.warmUpDuration);
  const auto now = standing();
  out.running = now.onCores + now.atCalls, out.held = now.held;
  out.read = readBefore_ + counts_.read, out.done = doneBefore_ + counts_.done;
  return out;
}

// Leaving: the module hears that it ends a little before the stop; late in it callers are asked to close
// their connections and the listener ends, then connections that still rest are ended from our side, and the
// end comes once none is left and the list has heard of it, or just before the stop.
void RequestServer::leave() {
  if (stopAt_) return;
  stopAt_ = net::Reactor::Clock::now() + place_.shutdownTimeout;
  log_.message(logging::LogCategory::drain, "told to leave within {} ms, {} reqs in hand",
               std::chrono::duration_cast<std::chrono::milliseconds>(place_.shutdownTimeout).count(),
               table_.size());
  openModule(true, 0s);
  tell(ShutdownNotice{std::max<Duration>(place_.shutdownTimeout - endMargin, 0s)});
  leaving_ = reactor_.after(leaveStepEvery, [this] { leaveStep(); });  // once the module has heard of it
}

void RequestServer::leaveStep() {
  leaving_ = reactor_.after(leaveStepEvery, [this] { leaveStep(); });
  const auto left = *stopAt_ - net::Reactor::Clock::now();
  if (left <= drainBefore && !std::exchange(draining_, true)) clients_.startDraining();
  const bool listens = !draining_ || !clients_.stopListening();
  // By now the module has given up on all that it was asked; nothing waits but who does not go.
  if (left <= endRestingBefore) clients_.closeIdleConnections();
  // Nor does it go, while there is time, before the list has heard that it does.
  const bool told = !list_ || list_->isAcknowledged() || left <= endRestingBefore;
  if ((!listens && clients_.openConnections() == 0 && told) || left <= endMargin / 2) {
    log_.message(logging::LogCategory::drain, "leaves with {} reqs in hand, {} connections", table_.size(),
                 clients_.openConnections());
    reactor_.stop();
  }
}

}  // namespace rainhook::server
