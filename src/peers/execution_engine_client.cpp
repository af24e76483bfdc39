#include "peers/execution_engine_client.h"

#include <charconv>

namespace rainhook::net {
namespace {

using nlohmann::json;

constexpr std::string_view catchUp = "catch-up";

Span millis(const json& line) {
  const auto it = line.find("duration");
  const double value = it != line.end() && it->is_number() ? it->get<double>() : 0;
  return std::chrono::duration_cast<Span>(std::chrono::duration<double, std::milli>(std::min(value, 1e12)));
}
std::string text(const json& line, const char* name) {
  const auto it = line.find(name);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}
// None where it is no base64. A numbered notice is taken all the same: thrown at, it would come again on each
// new link, for ever.
std::optional<std::string> blob(const json& line) {
  try {
    return jsonl::fromBase64(text(line, "blob"));
  } catch (const Nonsense&) {
    return std::nullopt;
  }
}

}  // namespace

Engine::Engine(Reactor& reactor, BufferPool& pool, Log& log, Hearer& hearer,
               const Connection::Address& address)
    : reactor_(reactor), pool_(pool), log_(log), hearer_(hearer), address_(address) {}

void Engine::connect() {
  Callbacks callbacks;
  callbacks.came = [this](std::string_view bytes) -> std::size_t {
    const auto line = jsonl::readLine(bytes);
    if (!line) return 0;
    came(line->object);
    return line->size;
  };
  callbacks.ended = [this](Ending, const std::string& why) { lost(why); };
  greeted_ = false;
  waitingSince_.reset();
  // A link that nobody holds any more at its other end is never greeted; the next one takes its place.
  greetingDue_ = reactor_.after(answersWithin, [this] {
    if (stillSilent([this] { return !greeted_; })) breakOff("no greeting");
  });
  connection_ = Connection::to(address_, reactor_, pool_, std::move(callbacks));
  connection_->write(jsonl::writeLine({{"msg", "subscribe"}, {"serial", lastNotice_}}));
}

void Engine::moveTo(const Connection::Address& address) {
  if (address == std::exchange(address_, address)) return;
  retry_.cancel();
  if (connection_) connection_->close();
  connect();
}

void Engine::breakOff(const std::string& why) {
  connection_->close();
  lost(why);
}

void Engine::lost(const std::string& why) {
  greetingDue_.cancel();
  if (!std::exchange(lostSaid_, true)) log_.line(Matter::engine, "the link to the engine is lost: {}", why);
  greeted_ = false;
  connection_.reset();
  retry_ = reactor_.after(again, [this] { connect(); });
}

// While there is no link nothing is said: what still holds is said again once it has caught up.
bool Engine::say(const json& line) {
  if (!greeted_ || connection_->waiting() > mostWaiting) return false;
  connection_->write(jsonl::writeLine(line));
  return true;
}
bool Engine::launch(const std::string& name, const std::string& handler, std::string_view body) {
  return say({{"msg", "launch"}, {"call", name}, {"service", handler}, {"blob", jsonl::toBase64(body)}});
}
bool Engine::deliver(const std::string& name, std::string_view reply) {
  return say({{"msg", "deliver"}, {"call", name}, {"blob", jsonl::toBase64(reply)}});
}
bool Engine::forgo(const std::string& name, std::uint64_t notice) {
  return say({{"msg", "forgo"}, {"call", name}, {"serial", notice}});
}
void Engine::ask(std::uint64_t question) {
  const auto now = Reactor::Clock::now();
  const auto unanswered = [&] { return greeted_ && waitingSince_ && now - *waitingSince_ > answersWithin; };
  if (unanswered() && stillSilent(unanswered)) return breakOff("its questions are not answered");
  asked_ = question, askedAt_ = now;
  if (!waitingSince_) waitingSince_ = askedAt_;
  say({{"msg", "sample"}, {"cookie", std::to_string(question)}});
}

// What came in time may lie unread after a pause of the machine: it is read before the link is judged.
bool Engine::stillSilent(const std::function<bool()>& silent) {
  const auto link = connection_;
  link->readNow();
  return link == connection_ && silent();
}

bool Engine::fresh(const json& line) {
  const auto it = line.find("serial");
  if (it == line.end() || !it->is_number_unsigned()) throw Nonsense("a notice without its number");
  const auto number = it->get<std::uint64_t>();
  if (number <= lastNotice_) return false;
  if (number > lastNotice_ + 1)
    log_.line(Matter::engine, "notices {} to {} of the engine are missing", lastNotice_ + 1, number - 1);
  lastNotice_ = number;
  return true;
}

void Engine::came(const json& line) {
  waitingSince_.reset();
  const std::string kind = text(line, "msg"), name = text(line, "call"), how = text(line, "how");
  if (kind == "outcome") {
    Outcome outcome = Outcome::errored;
    if (how == "ok")
      outcome = Outcome::done;
    else if (how == "halted")
      outcome = Outcome::stopped;
    else if (how == "void")
      outcome = Outcome::moot;
    else if (how != "failed")
      log_.line(Matter::engine, "a run ended in an unknown way: {}", how);
    auto result = blob(line);
    if (!result && outcome == Outcome::done) outcome = Outcome::errored;
    if (fresh(line)) hearer_.runEnded(name, outcome, millis(line), std::move(result).value_or(""));
  } else if (kind == "request") {
    auto body = blob(line);
    if (!fresh(line)) return;
    body ? hearer_.callWanted(name, lastNotice_, std::move(*body)) : hearer_.commandRefused(name, kind);
  } else if (kind == "aside") {
    fresh(line);
  } else if (kind == "sampled") {
    const auto cookie = text(line, "cookie");
    if (cookie == catchUp) {
      if (std::exchange(catchingUp_, false)) hearer_.caughtUp();
      return;
    }
    std::uint64_t question = 0;
    std::from_chars(cookie.data(), cookie.data() + cookie.size(), question);
    std::vector<double> values;
    if (const auto stats = line.find("stats"); stats != line.end() && stats->is_array())
      for (const auto& value : *stats) values.push_back(value.is_number() ? value.get<double>() : 0);
    if (question == asked_) readUntil_ = askedAt_;
    hearer_.gauges(question, values);
  } else if (kind == "greeting") {
    greeted_ = catchingUp_ = true;
    greetingDue_.cancel();
    lostSaid_ = false;
    linkedAt_ = Reactor::Clock::now();
    log_.line(Matter::engine, "the link to the engine is up; it was {} when it started", how);
    hearer_.engineUp(how == "cold", millis(line));
    say({{"msg", "sample"}, {"cookie", catchUp}});
  } else if (kind == "refusal") {
    log_.line(Matter::engine, "the engine refused {} for {}", how, name);
    hearer_.commandRefused(name, how);
  } else {
    log_.line(Matter::engine, "an unknown notice: {}", kind.substr(0, 40));
    if (line.contains("serial")) fresh(line);
  }
}

}  // namespace rainhook::net
