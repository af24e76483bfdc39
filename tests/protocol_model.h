// A slow, plain model of one server's surroundings and of the four rules: it hands the module events, carries
// out what the module asks for and writes down every rule that breaks.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace rainhook {

using namespace std::chrono_literals;

struct World {
  MachineProfile machine{.cores = 2,
                         .memoryKb = 4000,
                         .executionMemoryFactor = 4,
                         .cachedEntryKb = 50,
                         .maxExecutionsPerCore = 4,
                         .crowdingWindow = 2s};
  std::vector<HandlerPolicy> handlers{{.latencyObjective = 1s, .clientTimeout = 3s}};
  DownstreamProfile below;
  ProtocolLimits duties{.answerSlack = 60ms, .drainGrace = 1s};
  SignalingProfile voice{.maxRetryAfter = 1s};
  ResultSharing trade;
  FleetProfile fleet{4, 2};

  enum class Where { held, running, wanting, calling, waiting, over };
  struct Req {
    RequestArrived read;
    Duration arrived, due, callUntil{};
    Where where = Where::held;
    int answers = 0, starts = 0, shedAnswers = 0;
    bool gone = false, callMayHaveRun = false, kept = false;
    RequestId first{};  // the first try of the same uniqued req, or itself
  };

  std::map<RequestId, Req> reqs;
  std::map<RequestId, Duration> kept;     // entries alive, by the req that holds them
  std::map<RequestId, Duration> effects;  // by first try: when the try that ran arrived
  std::multimap<Duration, TimerId> timers;
  std::vector<Duration> lingering;
  std::deque<std::pair<Duration, double>>
      callLoad;             // call-seconds of late, for the mean that the dependency survives
  std::vector<Event> next;  // what the world owes the module in its next batch
  std::vector<Action> last;
  std::vector<std::string> broken;
  std::unique_ptr<AdmissionPolicy> module;
  Duration now{}, told = Duration::max(), stop = Duration::max();
  double cpu = 1, wanting = 100, connections = 0;
  Duration closesIdle{};
  std::uint32_t ids = 0;
  int lastTries = 0, callsMade = 0;

  void open() {
    module = makeAdmissionPolicy(Seed{7}, machine, handlers, below, duties, voice, trade, fleet);
    pass(0ms);
  }
  int count(Where where) const { return static_cast<int>(in(where).size()); }
  std::vector<RequestId> in(Where where) const {
    std::vector<RequestId> ids_;
    for (const auto& [id, req] : reqs)
      if (req.where == where) ids_.push_back(id);
    return ids_;
  }
  RequestId arrive(int handler = 0, Duration patience = 3s, Duration unread = 0ms,
                   std::optional<RequestId> again = {}) {
    RequestArrived read;
    read.id = RequestId{++ids};
    read.handler = HandlerId{static_cast<std::uint8_t>(handler)};
    read.rank = 0.5, read.queuedMemoryKb = 20, read.timeRemaining = patience, read.readDelay = unread;
    Req req{.read = read, .arrived = now - unread, .due = now + patience};
    req.first = again ? reqs.at(*again).first : read.id;
    if (again)
      for (const auto& [id, other] : reqs)  // the table names whichever try holds the entry
        if (other.first == req.first && kept.contains(id)) req.read.duplicateOf = id;
    reqs[read.id] = req;
    next.push_back(req.read);
    return read.id;
  }
  void end(RequestId id, Outcome outcome = Outcome::completed) {
    Req& req = reqs.at(id);
    req.where = Where::over;
    next.push_back(ExecutionEnded{id, outcome, {}});
    if ((outcome == Outcome::completed || outcome == Outcome::failed) && !req.gone && req.answers == 0)
      answer(req);
    for (auto& [other, waiting] : reqs)
      if (waiting.where == Where::waiting && waiting.first == req.first)
        end(other, outcome == Outcome::completed ? Outcome::completed : Outcome::failed);
  }
  void want(RequestId id) {
    reqs.at(id).where = Where::wanting;
    next.push_back(DownstreamCallRequested{id});
    if (reqs.at(id).answers || reqs.at(id).gone) end(id, Outcome::cancelled);
  }
  void endCall(RequestId id, Outcome outcome) {
    Req& req = reqs.at(id);
    next.push_back(DownstreamCallEnded{id, outcome, {}});
    if (outcome == Outcome::timedOut) lingering.push_back(now + below.abandonedCallLinger);
    req.where = outcome == Outcome::completed ? Where::running : Where::wanting;
    req.callMayHaveRun =
        outcome == Outcome::failed || outcome == Outcome::timedOut || outcome == Outcome::connectionLost;
  }
  void leave(RequestId id) {  // its caller has gone, and the server hears of it
    Req& req = reqs.at(id);
    req.gone = true;
    next.push_back(ClientDisconnected{id});
    if (req.where == Where::held || req.where == Where::waiting) req.where = Where::over;
    if (req.where == Where::wanting || req.where == Where::calling) end(id, Outcome::cancelled);
  }
  void notice(Duration left) {
    told = now, stop = now + left;
    next.push_back(ShutdownNotice{left});
  }

  void answer(Req& req) {
    if (++req.answers > 1) broken.push_back("two answers");
    if (!req.gone && now > req.due + duties.answerSlack) broken.push_back("late answer");
  }
  void turnAway(RequestId id, bool shed) {
    Req& req = reqs.at(id);
    if (req.where == Where::over || req.gone) return;
    if (shed && req.read.handler != HandlerId{} && effectOf(req) != Idempotency::idempotent &&
        (req.starts > 0 || ranWithin(req)))
      broken.push_back("shed what had run");
    req.shedAnswers += shed;
    answer(req);
    if (req.where == Where::held || req.where == Where::waiting) req.where = Where::over;
    if (req.where == Where::wanting || req.where == Where::calling) end(id, Outcome::cancelled);
  }
  Idempotency effectOf(const Req& req) const {
    return handlers[static_cast<std::size_t>(req.read.handler)].idempotency;
  }
  bool ranWithin(const Req& req) {
    const auto it = effects.find(req.first);
    const Duration window = handlers[static_cast<std::size_t>(req.read.handler)].deduplicationWindow;
    return effectOf(req) == Idempotency::keyed && it != effects.end() && req.arrived <= it->second + window;
  }
  void carryOut(const Action& action) {
    if (const auto* a = std::get_if<StartExecution>(&action)) {
      Req& req = reqs.at(a->id);
      if (req.where != Where::held) return;
      if (effectOf(req) != Idempotency::idempotent && req.starts > 0) broken.push_back("ran twice");
      if (ranWithin(req)) broken.push_back("effect twice");
      if (told < Duration::max() && req.arrived > told + duties.drainGrace)
        broken.push_back("ran after the grace");
      effects[req.first] = req.arrived;
      ++req.starts;
      req.where = Where::running;
    } else if (const auto* shed = std::get_if<ShedRequest>(&action)) {
      lastTries += shed->discourageRetry;
      turnAway(shed->id, true);
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      turnAway(fail->id, false);
    } else if (const auto* halt = std::get_if<CancelExecution>(&action)) {
      Req& req = reqs.at(halt->id);
      if (machine.cancellation == CancellationMode::none)
        broken.push_back("stopped work that can't be stopped");
      if (req.where != Where::running || machine.cancellation != CancellationMode::discardWork) return;
      req.where = req.answers || req.gone ? Where::over : Where::held;
      next.push_back(ExecutionEnded{halt->id, Outcome::cancelled, {}});
    } else if (const auto* call = std::get_if<CallDownstream>(&action)) {
      Req& req = reqs.at(call->id);
      if (req.where != Where::wanting) return;
      if (req.callMayHaveRun && effectOf(req) != Idempotency::idempotent)
        broken.push_back("call repeated without proof");
      req.where = Where::calling;
      ++callsMade;
      req.callUntil = now + call->timeout;
    } else if (const auto* skip = std::get_if<SkipDownstreamCall>(&action)) {
      Req& req = reqs.at(skip->id);
      if (handlers[static_cast<std::size_t>(req.read.handler)].degradedWeight <= 0)
        broken.push_back("skip earns nothing");
      if (req.where == Where::wanting) req.where = Where::running;
    } else if (const auto* keep = std::get_if<RetainResult>(&action)) {
      kept[keep->id] = now + keep->retention;
    } else if (const auto* forget = std::get_if<DropResult>(&action)) {
      if (reqs.at(forget->id).starts > 0) broken.push_back("forgot what had run");
      kept.erase(forget->id);
    } else if (const auto* echo = std::get_if<AnswerFromOriginal>(&action)) {
      Req& req = reqs.at(echo->id);
      if (!req.read.duplicateOf) broken.push_back("no first to answer from");
      const auto first = req.read.duplicateOf ? reqs.find(*req.read.duplicateOf) : reqs.end();
      req.where = Where::waiting;
      if (first != reqs.end() && first->second.where == Where::over) end(echo->id, Outcome::completed);
    } else if (const auto* idle = std::get_if<SetIdleConnectionTimeout>(&action)) {
      closesIdle = idle->timeout;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers.emplace(now + timer->delay, timer->timer);
    }
  }
  // Time passes in steps of a tick; due timers ring, and what is owed to the module is handed over.
  void pass(Duration by) {
    const Duration until = now + by;
    do {
      const Duration then = now;
      now = std::min(until, now + 5ms);
      std::erase_if(kept, [&](auto& k) { return k.second < now; });
      std::erase_if(lingering, [&](auto& l) { return l < now; });
      for (const RequestId id : in(Where::calling))
        if (reqs.at(id).callUntil <= now) endCall(id, Outcome::timedOut);
      const double inHand = count(Where::calling) + static_cast<double>(lingering.size());
      callLoad.emplace_back(now, inHand * std::chrono::duration<double>(now - then).count());
      while (!callLoad.empty() && callLoad.front().first <= now - below.quotaWindow) callLoad.pop_front();
      while (!timers.empty() && timers.begin()->first <= now) {
        next.push_back(TimerFired{timers.begin()->second, cpu, wanting, {}, connections});
        timers.erase(timers.begin());
      }
      const auto batch = std::exchange(next, {});
      if (batch.empty() && now > 0ms) continue;
      last = module->onEvents(now, batch);
      for (const auto& action : last) carryOut(action);
      check();
    } while (now < until);
  }
  void check() {
    double kb = static_cast<double>(kept.size()) * machine.cachedEntryKb;
    for (const auto& [id, req] : reqs) {
      if (req.where == Where::held || req.where == Where::waiting)
        kb += req.read.queuedMemoryKb;
      else if (req.where != Where::over)
        kb += req.read.queuedMemoryKb * machine.executionMemoryFactor;
      const Duration limit = std::min(req.due + duties.answerSlack, stop);
      if (!req.gone && req.answers == 0 && now > limit) broken.push_back("no answer in time");
    }
    if (kb > machine.memoryKb) broken.push_back("memory");
    const double warm = std::min(1.0, std::chrono::duration<double>(now) / machine.warmUpDuration);
    const double speed = machine.coldStart ? machine.initialSpeed + (1 - machine.initialSpeed) * warm : 1;
    if (count(Where::running) > machine.cores * (1 + (machine.maxExecutionsPerCore - 1) * speed))
      broken.push_back("crowd");
    double load = 0;
    for (const auto& [at, callSeconds] : callLoad) load += callSeconds;
    if (below.concurrentCallQuota > 0 &&
        load > below.concurrentCallQuota * std::chrono::duration<double>(below.quotaWindow).count())
      broken.push_back("calls");
  }
};

}  // namespace rainhook
