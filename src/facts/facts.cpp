#include "facts/facts.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace rainhook {
namespace {

[[noreturn]] void wrong(const std::string& path, std::string_view value, const char* wanted) {
  throw FactsError("settings: " + path + " is '" + std::string(value) + "', not " + wanted);
}

class Pairs {
 public:
  explicit Pairs(const FactPairs& pairs) : values_(pairs) {}
  std::string_view text(const std::string& path) const {
    const auto it = values_.find(path);
    return it == values_.end() ? std::string_view{} : it->second;
  }
  double number(const std::string& path, double absent) const {
    const auto value = text(path);
    return value.empty() ? absent : parsed<double>(path, value);
  }
  bool yes(const std::string& path) const { return truth(path, text(path)); }
  Span span(const std::string& path, Span absent = {}) const {
    const auto value = text(path);
    if (value.empty()) return absent;
    const auto whole = parsed<std::int64_t>(path, value);
    if (whole < 0) wrong(path, value, "a span");
    return Span(whole);
  }
  int count(const std::string& path, int absent) const {
    const auto value = text(path);
    if (value.empty()) return absent;
    const int whole = parsed<int>(path, value);
    if (whole < 0 || whole > 65536) wrong(path, value, "a count");
    return whole;
  }
  std::vector<std::string_view> list(const std::string& path) const {
    std::vector<std::string_view> items;
    for (auto rest = text(path); !rest.empty();) {
      const auto comma = rest.find(',');
      items.push_back(rest.substr(0, comma));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return items;
  }
  double numberAt(const std::string& path, std::size_t at) const {
    const auto items = list(path);
    return at < items.size() ? parsed<double>(path, items[at]) : 0;
  }
  bool yesAt(const std::string& path, std::size_t at) const {
    const auto items = list(path);
    return at < items.size() && truth(path, items[at]);
  }
  // The value's place among the words; an absent value is the first one.
  std::size_t choice(const std::string& path, std::initializer_list<std::string_view> words) const {
    const auto value = text(path);
    if (value.empty()) return 0;
    std::size_t at = 0;
    for (const auto word : words) {
      if (word == value) return at;
      ++at;
    }
    wrong(path, value, "a known word");
  }

 private:
  template <typename T>
  static T parsed(const std::string& path, std::string_view value) {
    T result{};
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc{} || end != value.data() + value.size()) wrong(path, value, "a number");
    if constexpr (std::is_same_v<T, double>)
      if (!std::isfinite(result)) wrong(path, value, "a number");
    return result;
  }
  static bool truth(const std::string& path, std::string_view value) {
    if (value.empty() || value == "false" || value == "0") return false;
    if (value == "true" || value == "1") return true;
    wrong(path, value, "true or false");
  }
  const FactPairs& values_;
};

HandlerTerms readHandler(const Pairs& facts, std::size_t at) {
  const std::string at0 = "classes." + std::to_string(at) + ".";
  HandlerTerms terms;
  terms.responseTarget = facts.span(at0 + "aimNs");
  terms.targetStretch = facts.number(at0 + "aimStretch", 0);
  terms.clientTimeout = facts.span(at0 + "hardLimitNs", terms.responseTarget);
  terms.value = facts.number(at0 + "worth", 1);
  terms.lateValue = facts.number(at0 + "lateWorth", 0);
  terms.window = facts.span(at0 + "windowNs");
  terms.skipValue = facts.numberAt("domain.classSkipWorth", at);
  terms.calls = facts.yesAt("domain.classCalls", at);
  switch (facts.choice(at0 + "effect", {"free", "guarded", "single_shot"})) {
    case 1:
      terms.effect = Effect::uniqued;
      break;
    case 2:
      terms.effect = Effect::nonReplayable;
      break;
    default:
      break;
  }
  return terms;
}

}  // namespace

FactPairs pairsOfText(std::string_view text) {
  FactPairs pairs;
  for (std::size_t line = 1; !text.empty(); ++line) {
    const auto end = text.find('\n');
    const auto pair = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (pair.empty()) continue;
    const auto sign = pair.find('=');
    if (sign == std::string_view::npos)
      throw FactsError("settings: line " + std::to_string(line) + " has no '='");
    pairs.insert_or_assign(std::string(pair.substr(0, sign)), std::string(pair.substr(sign + 1)));
  }
  return pairs;
}

// A list of plain values is joined with commas; a list of objects has its length under .count.
FactPairs pairsOfJson(const nlohmann::json& nested) {
  FactPairs pairs;
  const auto plain = [](const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
  };
  const auto walk = [&](const auto& self, const std::string& path, const nlohmann::json& value) -> void {
    if (value.is_object()) {
      for (const auto& [name, inner] : value.items()) self(self, path.empty() ? name : path + "." + name, inner);
    } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
      pairs[path + ".count"] = std::to_string(value.size());
      for (std::size_t i = 0; i < value.size(); ++i) self(self, path + "." + std::to_string(i), value[i]);
    } else if (value.is_array()) {
      std::string joined;
      for (const auto& item : value) joined.append(joined.empty() ? "" : ",").append(plain(item));
      pairs[path] = joined;
    } else {
      pairs[path] = plain(value);
    }
  };
  walk(walk, "", nested);
  return pairs;
}

Facts readFacts(const FactPairs& pairs) {
  const Pairs facts(pairs);
  Facts out;
  Machine& m = out.machine;
  m.cores = std::max(1, facts.count("domain.cores", 1));
  m.memoryKb = facts.number("domain.memoryKb", 0);
  m.runFactor = facts.number("domain.runFactor", 1);
  m.keyKb = facts.number("domain.keyKb", 0);
  m.cold = facts.yes("domain.cold");
  m.coldSpeed = facts.number("invariants.coldFrom", 1);
  m.warmWithin = facts.span("invariants.warmWithinNs");
  m.crowdPerCore = facts.number("invariants.fallMultiple", 1);
  m.crowdSpan = facts.span("invariants.fallNs");
  const Halting haltings[] = {Halting::none, Halting::drop, Halting::pause};
  m.halting = haltings[facts.choice("domain.halt", {"none", "drop", "pause"})];

  const int handlers = facts.count("classes.count", 0);
  for (int i = 0; i < handlers; ++i) {
    out.handlers.push_back(readHandler(facts, static_cast<std::size_t>(i)));
    out.handlerNames.emplace_back(facts.text("classes." + std::to_string(i) + ".name"));
  }
  const int customers = facts.count("orgs.count", 0);
  for (int i = 0; i < customers; ++i)
    out.customerNames.emplace_back(facts.text("orgs." + std::to_string(i) + ".name"));

  const BelowKind belows[] = {BelowKind::none, BelowKind::shared, BelowKind::tier};
  out.below.kind = belows[facts.choice("domain.below", {"none", "shared", "tier"})];
  out.below.callShare = facts.number("domain.callsOut", 0);
  out.below.callShareSpan = facts.span("domain.callsOverNs");
  out.below.linger = facts.span("domain.lingerNs");

  out.duties.answerSlack = facts.span("invariants.answerSlackNs");
  out.duties.drainGrace = facts.span("invariants.stopSendingWithinNs");

  const SignalKind signals[] = {SignalKind::none, SignalKind::level, SignalKind::credit, SignalKind::weight};
  out.voice.signal = signals[facts.choice("domain.signal", {"none", "level", "credit", "weight"})];
  out.voice.remembered = facts.span("domain.saidForNs");
  out.voice.listFollows = facts.yes("domain.readiness");
  if (facts.yes("limits.retryAfter")) out.voice.longestAdvice = facts.span("limits.maxRetryAfterNs");

  out.trade.valueByWork = facts.choice("worthBy", {"request", "work"}) == 1;
  out.trade.shareFor = facts.span("domain.freshNs");
  out.fleet.servers = std::max(1, facts.count("servers", 1));
  out.fleet.callers = std::max(1, facts.count("domain.callers", 1));
  if (const auto idle = facts.span("domain.keepaliveMaxNs"); idle > idle.zero()) out.fleet.longestIdle = idle;
  out.tellsPatience = facts.yes("domain.passesDeadline");
  for (const auto name : facts.list("domain.gauges"))
    out.gauges.push_back(name == "cpu_busy"   ? Gauge::cpu
                         : name == "runnable" ? Gauge::wantingCore
                         : name == "mem_used" ? Gauge::memory
                         : name == "sockets"  ? Gauge::connections
                                              : Gauge::other);
  return out;
}

TimerRang timerRang(TimerId timer, std::span<const double> values, const std::vector<Gauge>& order) {
  TimerRang out{.timer = timer, .cpu = {}, .wantingCore = {}, .memory = {}, .connections = {}};
  for (std::size_t i = 0; i < values.size() && i < order.size(); ++i) {
    if (order[i] == Gauge::cpu) out.cpu = values[i];
    if (order[i] == Gauge::wantingCore) out.wantingCore = values[i];
    if (order[i] == Gauge::memory) out.memory = values[i];
    if (order[i] == Gauge::connections) out.connections = values[i];
  }
  return out;
}

}  // namespace rainhook
