#include "test_doubles/fake_engine.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "codec/json_lines.h"

namespace rainhook::testDoubles {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// How long an execution waits for its downstream call. This is far longer than the timeouts of the clients,
// so that the client of an execution that waits this long has stopped waiting.
constexpr auto maxCallWait = 5s;
constexpr auto hangingPause = 1ms;
constexpr int idlePollTimeoutMs = 10;
constexpr int busyPollTimeoutMs = 1;
constexpr double cores = 2;  // the gauge of the processor utilization is relative to this number

}  // namespace

FakeEngine::FakeEngine(Behavior behavior)
    : behavior_(behavior), thread_([this](const std::stop_token& stop) { run(stop); }) {}

std::map<std::string, int> FakeEngine::startCounts() const {
  const std::lock_guard lock(mutex_);
  return startCounts_;
}

std::vector<FakeEngine::ConcurrencySample> FakeEngine::concurrencyHistory() const {
  const std::lock_guard lock(mutex_);
  return concurrencyHistory_;
}

void FakeEngine::recordConcurrency() {
  const std::lock_guard lock(mutex_);
  concurrencyHistory_.push_back({Clock::now() - startedAt_, executions_.size()});
}

void FakeEngine::send(const json& message) {
  if (connection_.isOpen()) sendAll(connection_.get(), codec::jsonLines::writeLine(message));
}

void FakeEngine::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (isHanging_) {  // input stays in the socket and is read later
      std::this_thread::sleep_for(hangingPause);
      continue;
    }
    pollSockets();
    performDueSteps();
  }
}

void FakeEngine::pollSockets() {
  std::array<pollfd, 2> polled = {pollfd{listener_.fd(), POLLIN, 0}, pollfd{connection_.get(), POLLIN, 0}};
  ::poll(polled.data(), connection_.isOpen() ? 2 : 1, steps_.empty() ? idlePollTimeoutMs : busyPollTimeoutMs);
  if ((polled[0].revents & POLLIN) != 0) {
    connection_.reset();
    connection_ = listener_.accept();
    received_.clear();
  } else if (connection_.isOpen() && polled[1].revents != 0) {
    readCommands();
  }
}

void FakeEngine::readCommands() {
  if (!receiveAvailable(connection_.get(), received_)) connection_.reset();
  for (auto end = received_.find('\n'); end != std::string::npos; end = received_.find('\n')) {
    onCommand(received_.substr(0, end));
    received_.erase(0, end + 1);
  }
}

void FakeEngine::performDueSteps() {
  while (!steps_.empty() && steps_.top().dueAt <= Clock::now()) {
    const Step step = steps_.top();
    steps_.pop();
    perform(step);
  }
}

void FakeEngine::perform(const Step& step) {
  switch (step.kind) {
    case StepKind::startCall:
      return startCall(step);
    case StepKind::finish:
      return finish(step);
    case StepKind::abandonCall:
      return abandonCall(step);
  }
}

// Requests the downstream call. An execution without one continues immediately.
void FakeEngine::startCall(const Step& step) {
  if (!behavior_.callsDownstream) {
    steps_.push({step.dueAt + behavior_.workDuration / 2, step.execution, StepKind::finish});
    return;
  }
  executions_[step.execution] = Phase::inCall;
  send({{"msg", "request"},
        {"serial", ++lastNotification_},
        {"call", step.execution},
        {"blob", codec::jsonLines::toBase64("call")}});
  steps_.push({step.dueAt + maxCallWait, step.execution, StepKind::abandonCall});
}

// Ends an execution that still waits for its downstream call. Its request has ended by this time.
void FakeEngine::abandonCall(const Step& step) {
  if (!isInCall(step.execution)) return;
  executions_.erase(step.execution);
  recordConcurrency();
  sendOutcome(step.execution, "halted", "");
}

void FakeEngine::finish(const Step& step) {
  executions_.erase(step.execution);
  recordConcurrency();
  sendOutcome(step.execution, "ok", "done");
}

void FakeEngine::sendOutcome(const std::string& execution, const char* outcome, const std::string& result) {
  send({{"msg", "outcome"},
        {"serial", ++lastNotification_},
        {"call", execution},
        {"how", outcome},
        {"duration", behavior_.workDuration.count()},
        {"blob", codec::jsonLines::toBase64(result)}});
}

void FakeEngine::onCommand(const std::string& line) {
  const json command = json::parse(line, nullptr, false);
  if (!command.is_object()) return;
  const std::string kind = command.value("msg", "");
  const std::string execution = command.value("call", "");
  if (kind == "subscribe") sendHandshake();
  if (kind == "sample") sendGauges(command["cookie"]);
  if (kind == "launch") start(execution);
  if (kind == "deliver" || kind == "forgo") resume(execution);
}

void FakeEngine::sendHandshake() {
  const std::chrono::duration<double, std::milli> age = Clock::now() - startedAt_;
  send({{"msg", "greeting"}, {"how", behavior_.startsCold ? "cold" : "warm"}, {"duration", age.count()}});
}

void FakeEngine::sendGauges(const json& cookie) {
  const double utilization = std::min(1.0, static_cast<double>(executions_.size()) / cores);
  constexpr double memoryUtilization = 0.1;
  constexpr int openConnections = 1;
  send({{"msg", "sampled"},
        {"cookie", cookie},
        {"stats", {utilization, executions_.size(), memoryUtilization, openConnections}}});
}

void FakeEngine::start(const std::string& execution) {
  if (executions_.contains(execution)) return;
  executions_[execution] = Phase::beforeCall;
  recordConcurrency();
  steps_.push({Clock::now() + behavior_.workDuration / 2, execution, StepKind::startCall});
  const std::lock_guard lock(mutex_);
  ++startCounts_[execution];
}

void FakeEngine::resume(const std::string& execution) {
  if (!isInCall(execution)) return;
  executions_[execution] = Phase::afterCall;
  steps_.push({Clock::now() + behavior_.workDuration / 2, execution, StepKind::finish});
}

bool FakeEngine::isInCall(const std::string& execution) const {
  const auto found = executions_.find(execution);
  return found != executions_.end() && found->second == Phase::inCall;
}

}  // namespace rainhook::testDoubles
