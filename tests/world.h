// What the tests share. World is a slow, plain model of one server's surroundings and of the four rules: it
// hands the module events, carries out what the module asks for and writes down every rule that breaks. Peers
// are small stand-ins on loopback for all that a real server speaks with.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <signal.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "decision/decision.h"
#include "codec/http.h"
#include "codec/json_lines.h"
#include "codec/thrift.h"
#include "server/request_server.h"

namespace rainhook {

using namespace std::chrono_literals;

struct World {
  Machine machine{
      .cores = 2, .memoryKb = 4000, .runFactor = 4, .keyKb = 50, .crowdPerCore = 4, .crowdSpan = 2s};
  std::vector<HandlerTerms> handlers{{.responseTarget = 1s, .clientTimeout = 3s}};
  Below below;
  Duties duties{.answerSlack = 60ms, .drainGrace = 1s};
  Voice voice{.longestAdvice = 1s};
  Trade trade;
  Fleet fleet{4, 2};

  enum class Where { held, running, wanting, calling, waiting, over };
  struct Req {
    ReqRead read;
    Span arrived, due, callUntil{};
    Where where = Where::held;
    int answers = 0, starts = 0, shedAnswers = 0;
    bool gone = false, callMayHaveRun = false, kept = false;
    ReqId first{};  // the first try of the same uniqued req, or itself
  };

  std::map<ReqId, Req> reqs;
  std::map<ReqId, Span> kept;     // entries alive, by the req that holds them
  std::map<ReqId, Span> effects;  // by first try: when the try that ran arrived
  std::multimap<Span, TimerId> timers;
  std::vector<Span> lingering;
  std::deque<std::pair<Span, double>>
      callLoad;             // call-seconds of late, for the mean that the dependency survives
  std::vector<Event> next;  // what the world owes the module in its next batch
  std::vector<Action> last;
  std::vector<std::string> broken;
  std::unique_ptr<Decision> module;
  Span now{}, told = Span::max(), stop = Span::max();
  double cpu = 1, wanting = 100, connections = 0;
  Span closesIdle{};
  std::uint32_t ids = 0;
  int lastTries = 0, callsMade = 0;

  void open() {
    module = openDecision(Seed{7}, machine, handlers, below, duties, voice, trade, fleet);
    pass(0ms);
  }
  int count(Where where) const { return static_cast<int>(in(where).size()); }
  std::vector<ReqId> in(Where where) const {
    std::vector<ReqId> ids_;
    for (const auto& [id, req] : reqs)
      if (req.where == where) ids_.push_back(id);
    return ids_;
  }
  ReqId arrive(int handler = 0, Span patience = 3s, Span unread = 0ms, std::optional<ReqId> again = {}) {
    ReqRead read;
    read.id = ReqId{++ids};
    read.handler = HandlerId{static_cast<std::uint8_t>(handler)};
    read.rank = 0.5, read.heldKb = 20, read.patience = patience, read.unread = unread;
    Req req{.read = read, .arrived = now - unread, .due = now + patience};
    req.first = again ? reqs.at(*again).first : read.id;
    if (again)
      for (const auto& [id, other] : reqs)  // the table names whichever try holds the entry
        if (other.first == req.first && kept.contains(id)) req.read.repeats = id;
    reqs[read.id] = req;
    next.push_back(req.read);
    return read.id;
  }
  void end(ReqId id, Outcome outcome = Outcome::done) {
    Req& req = reqs.at(id);
    req.where = Where::over;
    next.push_back(RunEnded{id, outcome, {}});
    if ((outcome == Outcome::done || outcome == Outcome::errored) && !req.gone && req.answers == 0)
      answer(req);
    for (auto& [other, waiting] : reqs)
      if (waiting.where == Where::waiting && waiting.first == req.first)
        end(other, outcome == Outcome::done ? Outcome::done : Outcome::errored);
  }
  void want(ReqId id) {
    reqs.at(id).where = Where::wanting;
    next.push_back(CallWanted{id});
    if (reqs.at(id).answers || reqs.at(id).gone) end(id, Outcome::stopped);
  }
  void endCall(ReqId id, Outcome outcome) {
    Req& req = reqs.at(id);
    next.push_back(CallEnded{id, outcome, {}});
    if (outcome == Outcome::timedOut) lingering.push_back(now + below.linger);
    req.where = outcome == Outcome::done ? Where::running : Where::wanting;
    req.callMayHaveRun =
        outcome == Outcome::errored || outcome == Outcome::timedOut || outcome == Outcome::cutShort;
  }
  void leave(ReqId id) {  // its caller has gone, and the server hears of it
    Req& req = reqs.at(id);
    req.gone = true;
    next.push_back(CallerGone{id});
    if (req.where == Where::held || req.where == Where::waiting) req.where = Where::over;
    if (req.where == Where::wanting || req.where == Where::calling) end(id, Outcome::stopped);
  }
  void notice(Span left) {
    told = now, stop = now + left;
    next.push_back(LeaveNotice{left});
  }

  void answer(Req& req) {
    if (++req.answers > 1) broken.push_back("two answers");
    if (!req.gone && now > req.due + duties.answerSlack) broken.push_back("late answer");
  }
  void turnAway(ReqId id, bool shed) {
    Req& req = reqs.at(id);
    if (req.where == Where::over || req.gone) return;
    if (shed && req.read.handler != HandlerId{} && effectOf(req) != Effect::replayable &&
        (req.starts > 0 || ranWithin(req)))
      broken.push_back("shed what had run");
    req.shedAnswers += shed;
    answer(req);
    if (req.where == Where::held || req.where == Where::waiting) req.where = Where::over;
    if (req.where == Where::wanting || req.where == Where::calling) end(id, Outcome::stopped);
  }
  Effect effectOf(const Req& req) const {
    return handlers[static_cast<std::size_t>(req.read.handler)].effect;
  }
  bool ranWithin(const Req& req) {
    const auto it = effects.find(req.first);
    const Span window = handlers[static_cast<std::size_t>(req.read.handler)].window;
    return effectOf(req) == Effect::uniqued && it != effects.end() && req.arrived <= it->second + window;
  }
  void carryOut(const Action& action) {
    if (const auto* a = std::get_if<Start>(&action)) {
      Req& req = reqs.at(a->id);
      if (req.where != Where::held) return;
      if (effectOf(req) != Effect::replayable && req.starts > 0) broken.push_back("ran twice");
      if (ranWithin(req)) broken.push_back("effect twice");
      if (told < Span::max() && req.arrived > told + duties.drainGrace)
        broken.push_back("ran after the grace");
      effects[req.first] = req.arrived;
      ++req.starts;
      req.where = Where::running;
    } else if (const auto* shed = std::get_if<Shed>(&action)) {
      lastTries += shed->lastTry;
      turnAway(shed->id, true);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      turnAway(fail->id, false);
    } else if (const auto* halt = std::get_if<Stop>(&action)) {
      Req& req = reqs.at(halt->id);
      if (machine.halting == Halting::none) broken.push_back("stopped work that can't be stopped");
      if (req.where != Where::running || machine.halting != Halting::drop) return;
      req.where = req.answers || req.gone ? Where::over : Where::held;
      next.push_back(RunEnded{halt->id, Outcome::stopped, {}});
    } else if (const auto* call = std::get_if<Call>(&action)) {
      Req& req = reqs.at(call->id);
      if (req.where != Where::wanting) return;
      if (req.callMayHaveRun && effectOf(req) != Effect::replayable)
        broken.push_back("call repeated without proof");
      req.where = Where::calling;
      ++callsMade;
      req.callUntil = now + call->limit;
    } else if (const auto* skip = std::get_if<SkipCall>(&action)) {
      Req& req = reqs.at(skip->id);
      if (handlers[static_cast<std::size_t>(req.read.handler)].skipValue <= 0)
        broken.push_back("skip earns nothing");
      if (req.where == Where::wanting) req.where = Where::running;
    } else if (const auto* keep = std::get_if<Keep>(&action)) {
      kept[keep->id] = now + keep->keepFor;
    } else if (const auto* forget = std::get_if<Forget>(&action)) {
      if (reqs.at(forget->id).starts > 0) broken.push_back("forgot what had run");
      kept.erase(forget->id);
    } else if (const auto* echo = std::get_if<AnswerFromFirst>(&action)) {
      Req& req = reqs.at(echo->id);
      if (!req.read.repeats) broken.push_back("no first to answer from");
      const auto first = req.read.repeats ? reqs.find(*req.read.repeats) : reqs.end();
      req.where = Where::waiting;
      if (first != reqs.end() && first->second.where == Where::over) end(echo->id, Outcome::done);
    } else if (const auto* idle = std::get_if<CloseIdleAfter>(&action)) {
      closesIdle = idle->idle;
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers.emplace(now + timer->in, timer->timer);
    }
  }
  // Time passes in steps of a tick; due timers ring, and what is owed to the module is handed over.
  void pass(Span by) {
    const Span until = now + by;
    do {
      const Span then = now;
      now = std::min(until, now + 5ms);
      std::erase_if(kept, [&](auto& k) { return k.second < now; });
      std::erase_if(lingering, [&](auto& l) { return l < now; });
      for (const ReqId id : in(Where::calling))
        if (reqs.at(id).callUntil <= now) endCall(id, Outcome::timedOut);
      const double inHand = count(Where::calling) + static_cast<double>(lingering.size());
      callLoad.emplace_back(now, inHand * std::chrono::duration<double>(now - then).count());
      while (!callLoad.empty() && callLoad.front().first <= now - below.callShareSpan) callLoad.pop_front();
      while (!timers.empty() && timers.begin()->first <= now) {
        next.push_back(TimerRang{timers.begin()->second, cpu, wanting, {}, connections});
        timers.erase(timers.begin());
      }
      const auto batch = std::exchange(next, {});
      if (batch.empty() && now > 0ms) continue;
      last = module->decide(now, batch);
      for (const auto& action : last) carryOut(action);
      check();
    } while (now < until);
  }
  void check() {
    double kb = static_cast<double>(kept.size()) * machine.keyKb;
    for (const auto& [id, req] : reqs) {
      if (req.where == Where::held || req.where == Where::waiting)
        kb += req.read.heldKb;
      else if (req.where != Where::over)
        kb += req.read.heldKb * machine.runFactor;
      const Span limit = std::min(req.due + duties.answerSlack, stop);
      if (!req.gone && req.answers == 0 && now > limit) broken.push_back("no answer in time");
    }
    if (kb > machine.memoryKb) broken.push_back("memory");
    const double warm = std::min(1.0, std::chrono::duration<double>(now) / machine.warmWithin);
    const double speed = machine.cold ? machine.coldSpeed + (1 - machine.coldSpeed) * warm : 1;
    if (count(Where::running) > machine.cores * (1 + (machine.crowdPerCore - 1) * speed))
      broken.push_back("crowd");
    double load = 0;
    for (const auto& [at, callSeconds] : callLoad) load += callSeconds;
    if (below.callShare > 0 &&
        load > below.callShare * std::chrono::duration<double>(below.callShareSpan).count())
      broken.push_back("calls");
  }
};

// One connection to the server under test, spoken on in steps that wait, but not for ever.
class Line {
 public:
  static constexpr int patienceMs = 4000;
  Line() = default;
  explicit Line(Poco::Net::StreamSocket socket) : socket_(std::move(socket)) {
    socket_.setReceiveTimeout(Poco::Timespan(patienceMs * 1000));
  }
  static Line accept(Poco::Net::ServerSocket& at) {
    if (!at.poll(Poco::Timespan(patienceMs * 1000), Poco::Net::Socket::SELECT_READ)) return {};
    return Line(at.acceptConnection());
  }
  void say(std::string_view bytes) {
    while (!bytes.empty())
      bytes.remove_prefix(
          static_cast<std::size_t>(socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()))));
  }
  // Takes what `parse` makes of the bytes so far: anything with a `size`; nothing at the end of the
  // connection.
  template <typename Parse>
  auto hear(Parse parse) -> decltype(parse(std::string_view())) {
    for (;;) {
      if (auto heard = parse(std::string_view(bytes_))) {
        bytes_.erase(0, heard->size);
        return heard;
      }
      if (!more()) return std::nullopt;
    }
  }
  bool endsNow() {
    while (more()) {
    }
    return ended_;
  }
  bool wasReset() const { return reset_; }
  bool isOpen() const { return socket_.impl()->initialized(); }
  void close() { socket_.close(); }
  void closeHard() {
    socket_.setLinger(true, 0);
    socket_.close();
  }
  Poco::Net::StreamSocket& socket() { return socket_; }

 private:
  bool more() {
    char part[4096];
    try {
      const int got = socket_.receiveBytes(part, sizeof part);
      ended_ = got <= 0;
      bytes_.append(part, static_cast<std::size_t>(std::max(got, 0)));
    } catch (const Poco::TimeoutException&) {
      return false;
    } catch (const Poco::Exception&) {
      ended_ = reset_ = true;
    }
    return !ended_;
  }
  Poco::Net::StreamSocket socket_;
  std::string bytes_;
  bool ended_ = false, reset_ = false;
};

// An answer as a balancer reads it.
struct Answer {
  std::int32_t number = 0;
  enum class What { none, done, shed, errored, exception, closing, good, bad } what = What::none;
  std::string body;
  net::thrift::Fields fields;
  std::size_t size = 0;
};

// A balancer's connection.
class Balancer : public Line {
 public:
  using Line::Line;
  static net::thrift::Fields fields(const std::string& rid, const std::string& method = "read") {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {{"method", method},
            {"rid", rid},
            {"peer", "4"},
            {"acct", "acme"},
            {"budget", "3000"},
            {"mem", "24.5"},
            {"prio", "0.6250"},
            {"t0", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count())}};
  }
  static std::string message(std::int32_t number, const net::thrift::Fields& fields, std::string_view body) {
    using net::thrift::Type;
    return net::thrift::Writer(net::thrift::Kind::call, "call", number)
        .field(1, Type::map)
        .fields(fields)
        .field(2, Type::text)
        .text(body)
        .stop()
        .whole();
  }
  void ask(std::int32_t number, const net::thrift::Fields& fields, std::string_view body = "body") {
    say(message(number, fields, body));
  }
  static std::string cancelling(std::int32_t number) {
    return net::thrift::Writer(net::thrift::Kind::oneway, "cancel", 99)
        .field(1, net::thrift::Type::i32)
        .i32(number)
        .stop()
        .whole();
  }
  void cancel(std::int32_t number) { say(cancelling(number)); }
  void health() {
    say(net::thrift::Writer(net::thrift::Kind::call, "health", 1)
            .field(1, net::thrift::Type::boolean)
            .boolean(false)
            .stop()
            .whole());
  }
  Answer answer() {
    const auto heard = hear([](std::string_view bytes) -> std::optional<Answer> {
      const auto frame = net::thrift::readFrame(bytes, 1 << 20);
      if (!frame) return std::nullopt;
      const auto message = net::thrift::readMessage(frame->content);
      Answer out;
      out.number = message.sequence, out.size = frame->size;
      if (message.name == "closing") out.what = Answer::What::closing;
      if (message.kind == net::thrift::Kind::exception) out.what = Answer::What::exception;
      if (message.kind != net::thrift::Kind::reply) return out;
      constexpr Answer::What kinds[] = {Answer::What::done, Answer::What::shed, Answer::What::errored};
      net::thrift::Reader(message.body).structure([&](std::int16_t kind, auto, net::thrift::Reader& in) {
        out.what = kinds[kind];
        in.structure([&](std::int16_t, net::thrift::Type type, net::thrift::Reader& value) {
          if (type == net::thrift::Type::text) return out.body = value.text(), true;
          if (type == net::thrift::Type::map) return out.fields = value.fields(), true;
          const bool good = value.byte() != 0;
          if (message.name == "health") out.what = good ? Answer::What::good : Answer::What::bad;
          return true;
        });
        return true;
      });
      return out;
    });
    return heard.value_or(Answer{});
  }
};

// An HTTP request as the next tier or the list reads it.
struct Asked {
  std::string head, body;
  std::size_t size = 0;
  static std::optional<Asked> read(std::string_view bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos) return std::nullopt;
    const auto length = std::stoul(std::string(bytes.substr(bytes.find("Content-Length: ") + 16)));
    if (bytes.size() < end + 4 + length) return std::nullopt;
    return Asked{std::string(bytes.substr(0, end)), std::string(bytes.substr(end + 4, length)),
                 end + 4 + length};
  }
};

// A server on a thread of its own, with its engine, next tier and list at hand.
class Peers {
 public:
  nlohmann::json settings = nlohmann::json::parse(R"({"classes": [
        {"name": "read", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "free"},
        {"name": "pay", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "guarded",
         "windowNs": 5000000000}],
      "orgs": [{"name": "acme"}, {"name": "other"}], "servers": 3,
      "domain": {"cores": 2, "memoryKb": 50000.0, "runFactor": 4.0, "keyKb": 1.0, "passesDeadline": true,
                 "below": "tier", "classCalls": [true, true], "freshNs": 2000000000, "signal": "weight",
                 "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
      "invariants": {"stopSendingWithinNs": 300000000, "fallMultiple": 8.0},
      "limits": {"retryAfter": true, "maxRetryAfterNs": 1000000000}})");
  Place place;
  Peers() { place.descriptors = 1024, place.memoryMb = 192; }
  static Poco::Net::ServerSocket any() {
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
  }
  Poco::Net::ServerSocket engineAt = any(), nextAt = any(), listAt = any();
  Line engine;

  ~Peers() { stop(); }
  void start(bool engineUp = true) {
    place.name = "n3", place.listen = "127.0.0.1:0", place.stopAfter = 1200ms;
    place.engine = engineAt.address().toString(), place.next = nextAt.address().toString();
    place.list = listAt.address().toString();
    server_ = std::make_unique<server::Server>(reactor_, log_,
                                               Configured{place, readFacts(pairsOfJson(settings)), {}});
    reactor_.onSignals({SIGTERM, SIGHUP, SIGUSR1}, [this](int signal) {
      if (signal == SIGUSR1) return std::exchange(pause_, {})();
      if (signal != SIGHUP) return server_->leave();
      file.empty() ? server_->reload({place, {}, {}}) : server_->reloadFrom(file);
    });
    server_->open();
    thread_ = std::thread([this] { reactor_.run(); });
    if (engineUp) link();
  }
  // The server does nothing while this goes on; what its peers do meanwhile it finds all at once.
  void paused(const std::function<void()>& meanwhile) {
    std::promise<void> stands, goesOn;
    pause_ = [&] {
      stands.set_value();
      goesOn.get_future().wait();
    };
    ::kill(::getpid(), SIGUSR1);
    stands.get_future().wait();
    meanwhile();
    goesOn.set_value();
  }
  // The peers' addresses as they are now, by SIGHUP.
  void reload() {
    place.engine = engineAt.address().toString(), place.next = nextAt.address().toString();
    place.list = listAt.address().toString();
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(20ms);
  }
  void stop() {
    stopRunning();
    server_.reset();
  }
  // What the server believes to have in hand, once it stands still.
  server::Server::Standing standing() {
    std::this_thread::sleep_for(100ms);
    stopRunning();
    return server_->standing();
  }
  void waitForEnd() { thread_.join(); }
  // How many connections were gone through to make room; ends the server's thread.
  std::uint64_t looks() {
    stopRunning();
    return server_->looks();
  }
  Balancer balancer() { return Balancer(Poco::Net::StreamSocket(server_->address())); }

  // Takes a new link, and says which notice was read last.
  std::uint64_t link(const char* how = "warm") {
    engine = Line::accept(engineAt);
    const auto first = engine.hear(net::jsonl::readLine);
    tell({{"msg", "greeting"}, {"how", how}, {"duration", 5.0}});
    return first ? first->object.value("serial", std::uint64_t{99}) : 99;
  }
  void tell(const nlohmann::json& notice) { engine.say(net::jsonl::writeLine(notice)); }
  // The next command that is no question, within a bound; questions are answered, and go on without end.
  nlohmann::json command() {
    for (const auto end = std::chrono::steady_clock::now() + 4s; std::chrono::steady_clock::now() < end;) {
      const auto line = engine.hear(net::jsonl::readLine);
      if (!line) return {{"msg", "none"}};
      if (line->object["msg"] != "sample") return line->object;
      tell({{"msg", "sampled"}, {"cookie", line->object["cookie"]}, {"stats", {0.5, 1, 0.1, 3}}});
    }
    return {{"msg", "none"}};
  }
  std::string launched() {
    const auto line = command();
    return line.value("msg", "") == "launch" ? line.value("call", "") : line.dump();
  }
  std::uint64_t ends(const std::string& name, const char* how = "ok", std::string_view result = "result") {
    tell({{"msg", "outcome"},
          {"serial", ++notices},
          {"call", name},
          {"how", how},
          {"duration", 12.5},
          {"blob", net::jsonl::toBase64(result)}});
    return notices;
  }
  void wantsCall(const std::string& name, std::string_view body) {
    tell({{"msg", "request"}, {"serial", ++notices}, {"call", name}, {"blob", net::jsonl::toBase64(body)}});
  }
  static std::string response(const std::string& status, std::string_view body = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
  }
  std::uint64_t notices = 0;
  std::string file;  // read again on SIGHUP, where it is named

 private:
  void stopRunning() {
    reactor_.stop();
    reactor_.wakeUp();
    if (thread_.joinable()) thread_.join();
  }
  net::Reactor reactor_;
  net::Log log_;
  std::unique_ptr<server::Server> server_;
  std::thread thread_;
  std::function<void()> pause_;
};

}  // namespace rainhook
