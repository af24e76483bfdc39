#include "simulator_adapter/simulator_protocol.h"

#include <algorithm>
#include <bit>
#include <cstring>

#include "simulator_adapter/simulator_codes.h"

namespace rainhook::simulator {
namespace {

static_assert(std::endian::native == std::endian::little,
              "frames are little-endian and copied without conversion");

// Text lengths in a reply have 16 bits.
constexpr std::size_t maxTextBytes = 65535;

// On the wire, 0 means that the request does not repeat another one.
constexpr std::uint32_t noOriginal = 0;

std::string withOffset(const std::string& problem, std::optional<std::size_t> byteOffset) {
  if (!byteOffset) return problem;
  return "byte " + std::to_string(*byteOffset) + " of the batch: " + problem;
}

// Reads the fields of a batch from front to back. `field` is the field's name on the wire, for errors.
class FieldReader {
 public:
  explicit FieldReader(std::span<const std::byte> bytes) : bytes_(bytes) {}

  [[nodiscard]] bool isAtEnd() const { return offset_ == bytes_.size(); }

  template <typename Number>
  Number number(const char* field) {
    requireBytes(sizeof(Number), field);
    Number value;
    std::memcpy(&value, bytes_.data() + offset_, sizeof(Number));
    offset_ += sizeof(Number);
    return value;
  }

  Duration duration(const char* field) {
    const auto nanoseconds = number<std::uint64_t>(field);
    if (nanoseconds > static_cast<std::uint64_t>(Duration::max().count()))
      fail(std::string(field) + " is out of range: " + std::to_string(nanoseconds) + " ns exceed 63 bits");
    return Duration(static_cast<Duration::rep>(nanoseconds));
  }

  std::string text(const char* field) {
    const auto length = number<std::uint32_t>(field);
    requireBytes(length, field);
    std::string value(length, '\0');
    std::memcpy(value.data(), bytes_.data() + offset_, length);
    offset_ += length;
    return value;
  }

  [[noreturn]] void fail(const std::string& problem) const { throw ProtocolError(problem, offset_); }

 private:
  void requireBytes(std::size_t count, const char* field) const {
    if (bytes_.size() - offset_ < count)
      fail(std::string(field) + " needs " + std::to_string(count) + " bytes, but only " +
           std::to_string(bytes_.size() - offset_) + " are left");
  }

  std::span<const std::byte> bytes_;
  std::size_t offset_ = 0;
};

Outcome readOutcome(FieldReader& in) {
  const auto reason = in.number<std::uint16_t>("reason");
  switch (ReasonCode{reason}) {
    case ReasonCode::completed:
      return Outcome::completed;
    case ReasonCode::failed:
      return Outcome::failed;
    case ReasonCode::rejected:
      return Outcome::rejected;
    case ReasonCode::timedOut:
      return Outcome::timedOut;
    case ReasonCode::unreachable:
      return Outcome::unreachable;
    case ReasonCode::connectionLost:
      return Outcome::connectionLost;
    case ReasonCode::cancelled:
      return Outcome::cancelled;
    case ReasonCode::superseded:
      return Outcome::superseded;
  }
  in.fail("unknown reason " + std::to_string(reason));
}

RequestId readRequestId(FieldReader& in) { return RequestId{in.number<std::uint32_t>("msgId")}; }

bool hasFlag(unsigned flags, RequestFlag flag) { return (flags & static_cast<unsigned>(flag)) != 0; }

RequestArrived readRequestArrived(FieldReader& in) {
  RequestArrived request;
  request.id = readRequestId(in);
  request.clientPriority = in.number<float>("prio");
  request.resourceKey = ResourceKey{in.number<std::uint64_t>("entity")};
  const auto original = in.number<std::uint32_t>("forerunner");
  if (original != noOriginal) request.duplicateOf = RequestId{original};
  request.queuedMemoryKb = in.number<float>("sizeKb");
  const Duration workEstimate = in.duration("workHintNs");
  const unsigned flags = in.number<std::uint8_t>("marks");
  if (hasFlag(flags, RequestFlag::hasWorkEstimate)) request.estimatedWork = workEstimate;
  request.isWrite = hasFlag(flags, RequestFlag::isWrite);
  request.readDelay = in.duration("unreadForNs");
  request.timeRemaining = in.duration("budgetNs");
  request.tenant = TenantId{in.number<std::uint16_t>("project")};
  request.client = ClientId{in.number<std::uint16_t>("srcPeer")};
  request.handler = HandlerId{in.number<std::uint8_t>("type")};
  return request;
}

ExecutionEnded readExecutionEnded(FieldReader& in) {
  ExecutionEnded ended;
  ended.id = readRequestId(in);
  ended.outcome = readOutcome(in);
  ended.duration = in.duration("timeTakenNs");
  return ended;
}

DownstreamCallEnded readDownstreamCallEnded(FieldReader& in) {
  DownstreamCallEnded ended;
  ended.id = readRequestId(in);
  ended.duration = in.duration("timeTakenNs");
  ended.outcome = readOutcome(in);
  return ended;
}

AttachInstance readAttachInstance(FieldReader& in) {
  AttachInstance attach;
  attach.seed = in.number<std::uint64_t>("salt");
  attach.settings = in.text("facts");
  return attach;
}

TimerExpired readTimerExpired(FieldReader& in) {
  TimerExpired expired;
  expired.timer = TimerId{in.number<std::uint32_t>("token")};
  const unsigned gauges = in.number<std::uint8_t>("metrics");
  for (unsigned i = 0; i < gauges; ++i) expired.gaugeValues.push_back(in.number<float>("metrics"));
  return expired;
}

SimulatorEvent readEvent(FieldReader& in, std::uint8_t code) {
  switch (EventCode{code}) {
    case EventCode::executionEnded:
      return Event{readExecutionEnded(in)};
    case EventCode::requestArrived:
      return Event{readRequestArrived(in)};
    case EventCode::attachInstance:
      return readAttachInstance(in);
    case EventCode::timerExpired:
      return readTimerExpired(in);
    case EventCode::detachInstance:
      return DetachInstance{};
    case EventCode::downstreamCallRequested:
      return Event{DownstreamCallRequested{readRequestId(in)}};
    case EventCode::clientDisconnected:
      return Event{ClientDisconnected{readRequestId(in)}};
    case EventCode::shutdownNotice:
      return Event{ShutdownNotice{in.duration("budgetNs")}};
    case EventCode::downstreamCallEnded:
      return Event{readDownstreamCallEnded(in)};
  }
  in.fail("unknown event code " + std::to_string(code));
}

template <typename Number>
void writeNumber(std::vector<std::byte>& out, Number value) {
  const std::size_t offset = out.size();
  out.resize(offset + sizeof(Number));
  std::memcpy(out.data() + offset, &value, sizeof(Number));
}

void writeFlag(std::vector<std::byte>& out, bool value) {
  writeNumber(out, static_cast<std::uint8_t>(value ? 1 : 0));
}

void writeDuration(std::vector<std::byte>& out, Duration duration) {
  writeNumber(out, static_cast<std::uint64_t>(std::max<Duration::rep>(duration.count(), 0)));
}

void writeText(std::vector<std::byte>& out, std::string_view text) {
  const std::string_view written = text.substr(0, maxTextBytes);
  writeNumber(out, static_cast<std::uint16_t>(written.size()));
  for (const char character : written) out.push_back(static_cast<std::byte>(character));
}

// Writes one action: its code, the instance, then the fields of the action's type.
class ActionWriter {
 public:
  ActionWriter(std::vector<std::byte>& out, InstanceId instance) : out_(out), instance_(instance) {}

  void operator()(const StartExecution& action) const { writeHeader(ActionCode::startExecution, action.id); }
  void operator()(const ShedRequest& action) const {
    writeHeader(ActionCode::shedRequest, action.id);
    writeDuration(out_, action.retryAfter);
    writeFlag(out_, action.discourageRetry);
  }
  void operator()(const FailRequest& action) const { writeHeader(ActionCode::failRequest, action.id); }
  void operator()(const CancelExecution& action) const {
    writeHeader(ActionCode::cancelExecution, action.id);
  }
  void operator()(const CallDownstream& action) const {
    writeHeader(ActionCode::callDownstream, action.id);
    writeDuration(out_, action.timeout);
  }
  void operator()(const SkipDownstreamCall& action) const {
    writeHeader(ActionCode::skipDownstreamCall, action.id);
  }
  void operator()(const RetainResult& action) const {
    writeHeader(ActionCode::retainResult, action.id);
    writeDuration(out_, action.retention);
  }
  void operator()(const DropResult& action) const { writeHeader(ActionCode::dropResult, action.id); }
  void operator()(const AnswerFromOriginal& action) const {
    writeHeader(ActionCode::answerFromOriginal, action.id);
  }
  void operator()(const PublishHealth& action) const {
    writeHeader(ActionCode::publishHealth);
    writeFlag(out_, action.healthy);
    writeFlag(out_, action.isCacheable);
  }
  void operator()(const PublishLoadSignal& action) const {
    writeHeader(ActionCode::publishLoadSignal);
    writeNumber(out_, static_cast<float>(action.value));
  }
  void operator()(const SetIdleConnectionTimeout& action) const {
    writeHeader(ActionCode::setIdleConnectionTimeout);
    writeDuration(out_, action.timeout);
  }
  void operator()(const SetTimer& action) const {
    writeHeader(ActionCode::setTimer);
    writeNumber(out_, static_cast<std::uint32_t>(action.timer));
    writeDuration(out_, action.delay);
  }
  void operator()(const DiagnosticMessage& action) const {
    writeHeader(ActionCode::diagnosticMessage);
    writeText(out_, action.text);
  }
  void writeInstanceError(std::string_view problem) const {
    writeHeader(ActionCode::instanceError);
    writeText(out_, problem);
  }

 private:
  void writeHeader(ActionCode code) const {
    writeNumber(out_, static_cast<std::uint8_t>(code));
    writeNumber(out_, static_cast<std::uint16_t>(instance_));
  }
  void writeHeader(ActionCode code, RequestId id) const {
    writeHeader(code);
    writeNumber(out_, static_cast<std::uint32_t>(id));
  }

  std::vector<std::byte>& out_;
  InstanceId instance_;
};

}  // namespace

ProtocolError::ProtocolError(const std::string& problem, std::optional<std::size_t> byteOffset)
    : std::runtime_error(withOffset(problem, byteOffset)), byteOffset_(byteOffset) {}

Batch readBatch(std::span<const std::byte> body) {
  FieldReader in(body);
  Batch batch;
  batch.clock = SimulatorTime(in.number<std::uint64_t>("the clock"));
  while (!in.isAtEnd()) {
    const auto code = in.number<std::uint8_t>("the event code");
    const auto instance = InstanceId{in.number<std::uint16_t>("serverId")};
    batch.events.push_back({instance, readEvent(in, code)});
  }
  return batch;
}

void Reply::add(InstanceId instance, const Action& action) {
  std::visit(ActionWriter(records_, instance), action);
  ++recordCount_;
}

void Reply::addError(InstanceId instance, std::string_view problem) {
  ActionWriter(records_, instance).writeInstanceError(problem);
  ++recordCount_;
}

std::vector<std::byte> Reply::frame() const {
  std::vector<std::byte> out;
  out.reserve(records_.size() + sizeof(std::uint32_t) + sizeof(recordCount_));
  writeNumber(out, static_cast<std::uint32_t>(records_.size() + sizeof(recordCount_)));
  writeNumber(out, recordCount_);
  out.insert(out.end(), records_.begin(), records_.end());
  return out;
}

}  // namespace rainhook::simulator
