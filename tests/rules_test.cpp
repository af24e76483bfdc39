/// @file
/// Property tests: the policy keeps the rules of the protocol model in generated histories, and `fuzzyStep`
/// agrees with the table of its rules.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "decision/fuzzy_rules.h"
#include "protocol_model.h"

namespace rainhook {
namespace {

/// One generated step of a history: `kind` selects the operation, `choice` its parameters.
struct Step {
  unsigned kind;
  unsigned choice;
  int waitMs;
};

template <typename Value>
Value pick(const std::vector<Value>& values, unsigned choice) {
  return values[choice % values.size()];
}

Outcome pickCallOutcome(unsigned choice) {
  static const std::vector<Outcome> outcomes{Outcome::completed,   Outcome::failed,
                                             Outcome::rejected,    Outcome::timedOut,
                                             Outcome::unreachable, Outcome::connectionLost};
  return pick(outcomes, choice);
}

void arriveInBurst(ProtocolModel& model, unsigned choice) {
  const int handler = static_cast<int>(choice % model.settings.handlers.size());
  const Duration timeRemaining = Duration(50ms) * (1 + choice % 60);
  for (unsigned i = 0; i <= choice % 6; ++i) model.arrive(handler, timeRemaining);
}

void retry(ProtocolModel& model, unsigned choice) {
  if (model.lastId == 0) return;
  const RequestId id{1 + choice % model.lastId};
  const ModelRequest& request = model.requests.at(id);
  if (model.idempotencyOf(request) != Idempotency::keyed || request.state == RequestState::queued) return;
  model.arrive(static_cast<int>(request.arrival.handler), 2s, 0ms, id);
}

void endExecution(ProtocolModel& model, unsigned choice) {
  const std::vector<RequestId> executing = model.idsIn(RequestState::executing);
  if (executing.empty()) return;
  model.endExecution(pick(executing, choice), choice % 7 ? Outcome::completed : Outcome::failed);
}

void requestCall(ProtocolModel& model, unsigned choice) {
  const std::vector<RequestId> executing = model.idsIn(RequestState::executing);
  if (!executing.empty()) model.requestCall(pick(executing, choice));
}

void endCall(ProtocolModel& model, unsigned choice) {
  const std::vector<RequestId> calling = model.idsIn(RequestState::calling);
  if (!calling.empty()) model.endCall(pick(calling, choice), pickCallOutcome(choice / 8));
}

void disconnectClient(ProtocolModel& model, unsigned choice) {
  const RequestState state = choice % 2 ? RequestState::executing : RequestState::queued;
  const std::vector<RequestId> ids = model.idsIn(state);
  if (!ids.empty()) model.disconnect(pick(ids, choice / 2));
}

void announceShutdownOnce(ProtocolModel& model, unsigned choice) {
  if (choice % 8 != 0 || model.notifiedAt < Duration::max()) return;
  model.announceShutdown(Duration(500ms) * (1 + choice % 5));
}

void applyStep(ProtocolModel& model, const Step& step) {
  switch (step.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      arriveInBurst(model, step.choice);
      break;
    case 4:
      retry(model, step.choice);
      break;
    case 5:
    case 6:
    case 7:
      endExecution(model, step.choice);
      break;
    case 8:
      requestCall(model, step.choice);
      break;
    case 9:
    case 10:
      endCall(model, step.choice);
      break;
    case 11:
      disconnectClient(model, step.choice);
      break;
    case 12:
      announceShutdownOnce(model, step.choice);
      break;
    default:
      model.runnableTasks = step.choice % 5;
  }
  if (model.now >= model.stopAt) return;
  model.advance(std::min(Duration(1ms) * (step.waitMs + 1), model.stopAt - model.now));
}

void generateMachine(MachineProfile& machine) {
  machine.cores = *rc::gen::inRange(1, 4);
  machine.coldStart = *rc::gen::arbitrary<bool>();
  machine.initialSpeed = 0.2;
  machine.warmUpDuration = 4s;
  machine.maxExecutionsPerCore = *rc::gen::inRange(2, 9);
  machine.memoryKb = *rc::gen::inRange(600, 5000);
  machine.cancellation =
      *rc::gen::element(CancellationMode::none, CancellationMode::discardWork, CancellationMode::pauseWork);
}

DownstreamProfile generateDownstream() {
  DownstreamProfile downstream{.quotaWindow = 5s, .maxAbandonedCallDuration = 200ms};
  downstream.kind = *rc::gen::element(DownstreamKind::none, DownstreamKind::shared, DownstreamKind::nextTier);
  if (downstream.kind == DownstreamKind::shared)
    downstream.concurrentCallQuota = *rc::gen::element(0.1, 0.4, 0.9, 1.5, 4.0);
  return downstream;
}

void generateSettings(PolicySettings& settings) {
  generateMachine(settings.machine);
  settings.fleet.clients = *rc::gen::element(2, 900);
  settings.downstream = generateDownstream();
  settings.signaling.signalKind = *rc::gen::element(LoadSignalKind::none, LoadSignalKind::level,
                                                    LoadSignalKind::credit, LoadSignalKind::weight);
  settings.sharing.sharingDuration = *rc::gen::element<Duration>(0ms, 500ms);
  const double reducedWeight = *rc::gen::element(0.0, 0.3);
  for (const Idempotency idempotency :
       {Idempotency::keyed, Idempotency::nonIdempotent, Idempotency::idempotent})
    settings.handlers.push_back({.latencyObjective = 800ms,
                                 .clientTimeout = 3s,
                                 .lateWeight = reducedWeight,
                                 .degradedWeight = reducedWeight,
                                 .callsDownstream = true,
                                 .idempotency = idempotency,
                                 .deduplicationWindow = 1500ms});
  settings.handlers[0].degradedWeight = reducedWeight;
}

// Guards against violations of the protocol by sequences of events that no other test arranges.
TEST(ProtocolRules, HoldWhenHistoriesAreGenerated) {
  const bool holds = rc::check("the rules of the protocol", [] {
    ProtocolModel model;
    generateSettings(model.settings);
    model.open();
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::construct<Step>(
        rc::gen::inRange(0u, 14u), rc::gen::inRange(0u, 1000u), rc::gen::inRange(0, 120)));
    for (const Step& step : steps) {
      applyStep(model, step);
      RC_ASSERT(model.violations == std::vector<std::string>{});
    }
    model.advance(std::min<Duration>(4s, model.stopAt - model.now));  // Every response is due by then.
    RC_ASSERT(model.violations == std::vector<std::string>{});
  });
  EXPECT_TRUE(holds);
}

// Guards against errors in `fuzzyStep` by evaluating the table of the paper directly.
TEST(FuzzyRules, MatchTableOfPaperWhenInputsAreGenerated) {
  const bool holds = rc::check("the table of four rules", [] {
    const double lastStep = *rc::gen::inRange(-200, 201) / 100.0;
    const double latencyChange = *rc::gen::inRange(-200, 201) / 100.0;
    const auto membership = [](double value, double peak) {
      return std::clamp(1 - std::abs(value - peak) / 2, 0.0, 1.0);
    };
    const double step = std::clamp(lastStep, -1.0, 1.0);
    const double change = std::clamp(latencyChange, -1.0, 1.0);
    double weight = 0;
    double moment = 0;
    for (const double stepPeak : {-1.0, 1.0})
      for (const double changePeak : {-1.0, 1.0}) {
        const double rule = std::min(membership(step, stepPeak), membership(change, changePeak));
        weight += rule;
        // If the latency fell, keep the direction; if it rose, reverse it.
        moment += rule * (changePeak < 0 ? stepPeak : -stepPeak);
      }
    RC_ASSERT(std::abs(fuzzyStep(lastStep, latencyChange) - moment / weight) < 1e-9);
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace rainhook
