#include "peers/execution_engine_client.h"

#include <charconv>

#include "codec/protocol_error.h"

namespace rainhook::peers {
namespace {

using nlohmann::json;

constexpr std::string_view catchUp = "catch-up";

Duration millis(const json& line) {
  const auto it = line.find("duration");
  const double value = it != line.end() && it->is_number() ? it->get<double>() : 0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::min(value, 1e12)));
}
std::string text(const json& line, const char* name) {
  const auto it = line.find(name);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}
// None where it is no base64. A numbered notice is taken all the same: thrown at, it would come again on each
// new link, for ever.
std::optional<std::string> blob(const json& line) {
  try {
    return codec::jsonLines::fromBase64(text(line, "blob"));
  } catch (const codec::ProtocolError&) {
    return std::nullopt;
  }
}

}  // namespace

ExecutionEngineClient::ExecutionEngineClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                                             Listener& hearer, const net::Connection::Address& address)
    : reactor_(reactor), pool_(pool), log_(log), hearer_(hearer), address_(address) {}

void ExecutionEngineClient::connect() {
  net::Callbacks callbacks;
  callbacks.onData = [this](std::string_view bytes) -> std::size_t {
    const auto line = codec::jsonLines::readLine(bytes);
    if (!line) return 0;
    came(line->object);
    return line->size;
  };
  callbacks.onClosed = [this](net::CloseReason, const std::string& why) { lost(why); };
  greeted_ = false;
  waitingSince_.reset();
  // A link that nobody holds any more at its other end is never greeted; the next one takes its place.
  greetingDue_ = reactor_.after(answersWithin, [this] {
    if (stillSilent([this] { return !greeted_; })) breakOff("no greeting");
  });
  connection_ = net::Connection::connectTo(address_, reactor_, pool_, std::move(callbacks));
  connection_->write(codec::jsonLines::writeLine({{"msg", "subscribe"}, {"serial", lastNotice_}}));
}

void ExecutionEngineClient::setAddress(const net::Connection::Address& address) {
  if (address == std::exchange(address_, address)) return;
  retry_.cancel();
  if (connection_) connection_->close();
  connect();
}

void ExecutionEngineClient::breakOff(const std::string& why) {
  connection_->close();
  lost(why);
}

void ExecutionEngineClient::lost(const std::string& why) {
  greetingDue_.cancel();
  if (!std::exchange(lostSaid_, true))
    log_.message(logging::LogCategory::engine, "the link to the engine is lost: {}", why);
  greeted_ = false;
  connection_.reset();
  retry_ = reactor_.after(again, [this] { connect(); });
}

// While there is no link nothing is said: what still holds is said again once it has caught up.
bool ExecutionEngineClient::say(const json& line) {
  if (!greeted_ || connection_->pendingBytes() > mostWaiting) return false;
  connection_->write(codec::jsonLines::writeLine(line));
  return true;
}
bool ExecutionEngineClient::startExecution(const std::string& name, const std::string& handler,
                                           std::string_view body) {
  return say(
      {{"msg", "launch"}, {"call", name}, {"service", handler}, {"blob", codec::jsonLines::toBase64(body)}});
}
bool ExecutionEngineClient::deliverReply(const std::string& name, std::string_view reply) {
  return say({{"msg", "deliver"}, {"call", name}, {"blob", codec::jsonLines::toBase64(reply)}});
}
bool ExecutionEngineClient::continueWithoutReply(const std::string& name, std::uint64_t notice) {
  return say({{"msg", "forgo"}, {"call", name}, {"serial", notice}});
}
void ExecutionEngineClient::requestGauges(std::uint64_t question) {
  const auto now = net::Reactor::Clock::now();
  const auto unanswered = [&] { return greeted_ && waitingSince_ && now - *waitingSince_ > answersWithin; };
  if (unanswered() && stillSilent(unanswered)) return breakOff("its questions are not answered");
  asked_ = question, askedAt_ = now;
  if (!waitingSince_) waitingSince_ = askedAt_;
  say({{"msg", "sample"}, {"cookie", std::to_string(question)}});
}

// What came in time may lie unread after a pause of the machine: it is read before the link is judged.
bool ExecutionEngineClient::stillSilent(const std::function<bool()>& silent) {
  const auto link = connection_;
  link->readNow();
  return link == connection_ && silent();
}

bool ExecutionEngineClient::fresh(const json& line) {
  const auto it = line.find("serial");
  if (it == line.end() || !it->is_number_unsigned()) throw codec::ProtocolError("a notice without its number");
  const auto number = it->get<std::uint64_t>();
  if (number <= lastNotice_) return false;
  if (number > lastNotice_ + 1)
    log_.message(logging::LogCategory::engine, "notices {} to {} of the engine are missing", lastNotice_ + 1,
                 number - 1);
  lastNotice_ = number;
  return true;
}

void ExecutionEngineClient::came(const json& line) {
  waitingSince_.reset();
  const std::string kind = text(line, "msg"), name = text(line, "call"), how = text(line, "how");
  if (kind == "outcome") {
    Outcome outcome = Outcome::failed;
    if (how == "ok")
      outcome = Outcome::completed;
    else if (how == "halted")
      outcome = Outcome::cancelled;
    else if (how == "void")
      outcome = Outcome::superseded;
    else if (how != "failed")
      log_.message(logging::LogCategory::engine, "a run ended in an unknown way: {}", how);
    auto result = blob(line);
    if (!result && outcome == Outcome::completed) outcome = Outcome::failed;
    if (fresh(line)) hearer_.onExecutionEnded(name, outcome, millis(line), std::move(result).value_or(""));
  } else if (kind == "request") {
    auto body = blob(line);
    if (!fresh(line)) return;
    body ? hearer_.onDownstreamCallRequested(name, lastNotice_, std::move(*body))
         : hearer_.onCommandRejected(name, kind);
  } else if (kind == "aside") {
    fresh(line);
  } else if (kind == "sampled") {
    const auto cookie = text(line, "cookie");
    if (cookie == catchUp) {
      if (std::exchange(catchingUp_, false)) hearer_.onNotificationsCaughtUp();
      return;
    }
    std::uint64_t question = 0;
    std::from_chars(cookie.data(), cookie.data() + cookie.size(), question);
    std::vector<double> values;
    if (const auto stats = line.find("stats"); stats != line.end() && stats->is_array())
      for (const auto& value : *stats) values.push_back(value.is_number() ? value.get<double>() : 0);
    if (question == asked_) readUntil_ = askedAt_;
    hearer_.onGauges(question, values);
  } else if (kind == "greeting") {
    greeted_ = catchingUp_ = true;
    greetingDue_.cancel();
    lostSaid_ = false;
    linkedAt_ = net::Reactor::Clock::now();
    log_.message(logging::LogCategory::engine, "the link to the engine is up; it was {} when it started",
                 how);
    hearer_.onEngineConnected(how == "cold", millis(line));
    say({{"msg", "sample"}, {"cookie", catchUp}});
  } else if (kind == "refusal") {
    log_.message(logging::LogCategory::engine, "the engine refused {} for {}", how, name);
    hearer_.onCommandRejected(name, how);
  } else {
    log_.message(logging::LogCategory::engine, "an unknown notice: {}", kind.substr(0, 40));
    if (line.contains("serial")) fresh(line);
  }
}

}  // namespace rainhook::peers
