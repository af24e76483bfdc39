// Generated days against the plain model of the four rules: every effect, every halting, cold and warm,
// drains, calls.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "protocol_model.h"

namespace rainhook {
namespace {

struct Step {
  unsigned kind, which;
  int wait;
};

template <typename T>
T pick(const std::vector<T>& from, unsigned which) {
  return from[which % from.size()];
}

void play(World& w, const Step& step) {
  using Where = World::Where;
  const auto running = w.in(Where::running), calling = w.in(Where::calling), wanting = w.in(Where::wanting);
  const auto held = w.in(Where::held);
  static const std::vector<Outcome> outcomes{Outcome::completed,   Outcome::failed,
                                             Outcome::rejected,    Outcome::timedOut,
                                             Outcome::unreachable, Outcome::connectionLost};
  switch (step.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      for (unsigned i = 0; i <= step.which % 6; ++i)
        w.arrive(static_cast<int>(step.which % w.handlers.size()), Duration(50ms) * (1 + step.which % 60));
      break;
    case 4:  // another try of an earlier req
      if (w.ids > 0) {
        const RequestId first{1 + step.which % w.ids};
        if (w.effectOf(w.reqs.at(first)) == Idempotency::keyed &&
            w.reqs.at(first).where != World::Where::held)
          w.arrive(static_cast<int>(w.reqs.at(first).read.handler), 2s, 0ms, first);
      }
      break;
    case 5:
    case 6:
    case 7:
      if (!running.empty())
        w.end(pick(running, step.which), step.which % 7 ? Outcome::completed : Outcome::failed);
      break;
    case 8:
      if (!running.empty()) w.want(pick(running, step.which));
      break;
    case 9:
    case 10:
      if (!calling.empty()) w.endCall(pick(calling, step.which), pick(outcomes, step.which / 8));
      break;
    case 11:
      if (const auto any = step.which % 2 ? running : held; !any.empty()) w.leave(pick(any, step.which / 2));
      break;
    case 12:
      if (step.which % 8 == 0 && w.told == Duration::max()) w.notice(Duration(500ms) * (1 + step.which % 5));
      break;
    default:
      w.wanting = step.which % 5;
  }
  if (w.now < w.stop) w.pass(std::min(Duration(1ms) * (step.wait + 1), w.stop - w.now));
}

TEST(Rules, GeneratedDaysKeepAllFour) {
  const bool held = rc::check("the four rules", [] {
    World w;
    w.machine.cores = *rc::gen::inRange(1, 4), w.fleet.clients = *rc::gen::element(2, 900);
    w.machine.coldStart = *rc::gen::arbitrary<bool>();
    w.machine.initialSpeed = 0.2;
    w.machine.warmUpDuration = 4s;
    w.machine.maxExecutionsPerCore = *rc::gen::inRange(2, 9);
    w.machine.memoryKb = *rc::gen::inRange(600, 5000);
    w.machine.cancellation =
        *rc::gen::element(CancellationMode::none, CancellationMode::discardWork, CancellationMode::pauseWork);
    w.below = {*rc::gen::element(DownstreamKind::none, DownstreamKind::shared, DownstreamKind::nextTier), 0,
               5s, 200ms};
    if (w.below.kind == DownstreamKind::shared)
      w.below.concurrentCallQuota = *rc::gen::element(0.1, 0.4, 0.9, 1.5, 4.0);
    w.voice.signalKind = *rc::gen::element(LoadSignalKind::none, LoadSignalKind::level,
                                           LoadSignalKind::credit, LoadSignalKind::weight);
    w.trade.sharingDuration = *rc::gen::element<Duration>(0ms, 500ms);
    const double skip = *rc::gen::element(0.0, 0.3);
    for (const Idempotency effect : {Idempotency::keyed, Idempotency::nonIdempotent, Idempotency::idempotent})
      w.handlers.push_back({.latencyObjective = 800ms,
                            .clientTimeout = 3s,
                            .lateWeight = skip,
                            .degradedWeight = skip,
                            .callsDownstream = true,
                            .idempotency = effect,
                            .deduplicationWindow = 1500ms});
    w.handlers[0].degradedWeight = skip;
    w.open();
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
        rc::gen::inRange(0u, 14u), rc::gen::inRange(0u, 1000u), rc::gen::inRange(0, 120)));
    for (const auto& step : steps) {
      play(w, step);
      RC_ASSERT(w.broken == std::vector<std::string>{});
    }
    w.pass(std::min<Duration>(4s, w.stop - w.now));  // every answer is due by now
    RC_ASSERT(w.broken == std::vector<std::string>{});
  });
  EXPECT_TRUE(held);
}

// The climber's rules against the paper's table, written out plainly.
TEST(Rules, FuzzyStepFollowsTheTable) {
  const bool held = rc::check("the table of four rules", [] {
    const double du = *rc::gen::inRange(-200, 201) / 100.0, dy = *rc::gen::inRange(-200, 201) / 100.0;
    const auto grade = [](double x, double peak) { return std::clamp(1 - std::abs(x - peak) / 2, 0.0, 1.0); };
    const double u = std::clamp(du, -1.0, 1.0), y = std::clamp(dy, -1.0, 1.0);
    double weight = 0, moment = 0;
    for (const double pu : {-1.0, 1.0})
      for (const double py : {-1.0, 1.0}) {
        const double rule = std::min(grade(u, pu), grade(y, py));
        weight += rule;
        moment += rule * (py < 0 ? pu : -pu);  // latency fell: the same way again; it rose: the other way
      }
    RC_ASSERT(std::abs(fuzzyStep(du, dy) - moment / weight) < 1e-9);
  });
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace rainhook
