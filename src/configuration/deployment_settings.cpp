#include "configuration/deployment_settings.h"

#include <algorithm>
#include <limits>

namespace rainhook {
namespace {

HandlerTerms readHandler(const Pairs& facts, std::size_t at) {
  const std::string at0 = "classes." + std::to_string(at) + ".";
  HandlerTerms terms;
  terms.responseTarget = facts.span(at0 + "aimNs", facts.span(at0 + "hardLimitNs"));
  // Stated as nothing it is a mistake; not stated at all it is 0, as any absent value.
  if (const auto stated = facts.text(at0 + "aimNs"); !stated.empty() && terms.responseTarget <= Span::zero())
    facts.wrong(at0 + "aimNs", stated, "a span over 0");
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

Facts readFacts(const FactPairs& pairs) {
  const Pairs facts(pairs, "settings");
  Facts out;
  Machine& m = out.machine;
  m.cores = std::max(1, facts.count("domain.cores", 1));
  // Where no memory is stated, or none at all, nothing is held against it.
  m.memoryKb = facts.number("domain.memoryKb", 0);
  if (m.memoryKb <= 0) m.memoryKb = std::numeric_limits<double>::max();
  m.runFactor = facts.number("domain.runFactor", 1);
  m.keyKb = facts.number("domain.keyKb", 0);
  m.cold = facts.yes("domain.cold");
  m.coldSpeed = facts.number("invariants.coldFrom", 1);
  m.warmWithin = facts.span("invariants.warmWithinNs");
  m.crowdPerCore = std::max(1.0, facts.number("invariants.fallMultiple", 1));
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
