#include "simulator_adapter/simulator_protocol.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace rainhook::simulator {
namespace {

using namespace rainhook;

static_assert(std::endian::native == std::endian::little,
              "frames are read and written in place, little-endian");

class Reader {
 public:
  explicit Reader(std::span<const std::byte> bytes) : bytes_(bytes) {}

  bool atEnd() const { return at_ == bytes_.size(); }
  std::size_t at() const { return at_; }

  template <typename T>
  T number(const char* what) {
    need(sizeof(T), what);
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }
  Duration span(const char* what) {
    const auto value = number<std::uint64_t>(what);
    if (value > static_cast<std::uint64_t>(Duration::max().count()))
      fail(std::string(what) + " is out of range");
    return Duration(static_cast<Duration::rep>(value));
  }
  std::string text(const char* what) {
    const auto length = number<std::uint32_t>(what);
    need(length, what);
    std::string value(reinterpret_cast<const char*>(bytes_.data() + at_), length);
    at_ += length;
    return value;
  }
  [[noreturn]] void fail(const std::string& what) const {
    throw WireError("byte " + std::to_string(at_) + " of the batch: " + what);
  }

 private:
  void need(std::size_t bytes, const char* what) const {
    if (bytes_.size() - at_ < bytes) fail(std::string(what) + " runs past the end");
  }
  std::span<const std::byte> bytes_;
  std::size_t at_ = 0;
};

Outcome outcomeOf(Reader& in) {
  switch (const auto status = in.number<std::uint16_t>("reason"); status) {
    case 200:
      return Outcome::completed;
    case 502:
      return Outcome::failed;
    case 429:
      return Outcome::rejected;
    case 408:
      return Outcome::timedOut;
    case 521:
      return Outcome::unreachable;
    case 520:
      return Outcome::connectionLost;
    case 444:
      return Outcome::cancelled;
    case 409:
      return Outcome::superseded;
    default:
      in.fail("unknown reason " + std::to_string(status));
  }
}

RequestId reqId(Reader& in) { return RequestId{in.number<std::uint32_t>("msgId")}; }

RequestArrived readReq(Reader& in) {
  constexpr unsigned hintValid = 1, isWrite = 4;
  RequestArrived req;
  req.id = reqId(in);
  req.rank = in.number<float>("prio");
  req.resourceKey = ResourceKey{in.number<std::uint64_t>("entity")};
  const auto first = in.number<std::uint32_t>("forerunner");
  if (first != 0) req.duplicateOf = RequestId{first};
  req.queuedMemoryKb = in.number<float>("sizeKb");
  const Duration hint = in.span("workHintNs");
  const unsigned marks = in.number<std::uint8_t>("marks");
  if (marks & hintValid) req.estimatedWork = hint;
  req.isWrite = (marks & isWrite) != 0;
  req.readDelay = in.span("unreadForNs");
  req.timeRemaining = in.span("budgetNs");
  req.tenant = TenantId{in.number<std::uint16_t>("project")};
  req.client = ClientId{in.number<std::uint16_t>("srcPeer")};
  req.handler = HandlerId{in.number<std::uint8_t>("type")};
  return req;
}

WireEvent readEvent(Reader& in, std::uint8_t code) {
  switch (code) {
    case 16: {
      ExecutionEnded e{reqId(in), outcomeOf(in), {}};
      e.duration = in.span("timeTakenNs");
      return Event{e};
    }
    case 17:
      return Event{readReq(in)};
    case 18: {
      Attach e;
      e.seed = in.number<std::uint64_t>("salt");
      e.facts = in.text("facts");
      return e;
    }
    case 19: {
      Ring e;
      e.token = in.number<std::uint32_t>("token");
      const auto count = in.number<std::uint8_t>("metrics");
      for (unsigned i = 0; i < count; ++i) e.gauges.push_back(in.number<float>("metrics"));
      return e;
    }
    case 20:
      return Detach{};
    case 21:
      return Event{DownstreamCallRequested{reqId(in)}};
    case 22:
      return Event{ClientDisconnected{reqId(in)}};
    case 23:
      return Event{ShutdownNotice{in.span("budgetNs")}};
    case 24: {
      DownstreamCallEnded e{reqId(in), {}, {}};
      e.duration = in.span("timeTakenNs");
      e.outcome = outcomeOf(in);
      return Event{e};
    }
    default:
      in.fail("unknown event code " + std::to_string(code));
  }
}

template <typename T>
void put(std::vector<std::byte>& out, T value) {
  const std::size_t at = out.size();
  out.resize(at + sizeof(T));
  std::memcpy(out.data() + at, &value, sizeof(T));
}
void putSpan(std::vector<std::byte>& out, Duration span) {
  put(out, static_cast<std::uint64_t>(std::max<Duration::rep>(span.count(), 0)));
}
void putText(std::vector<std::byte>& out, std::string_view text) {
  text = text.substr(0, 65535);
  put(out, static_cast<std::uint16_t>(text.size()));
  for (const char c : text) out.push_back(static_cast<std::byte>(c));
}

// Writes one action: its code, the instance, then the fields of its kind.
struct ActionWriter {
  std::vector<std::byte>& out;
  InstanceNumber instance;

  void head(std::uint8_t code) const {
    put(out, code);
    put(out, instance);
  }
  void head(std::uint8_t code, RequestId id) const {
    head(code);
    put(out, static_cast<std::uint32_t>(id));
  }
  void operator()(const StartExecution& a) const { head(80, a.id); }
  void operator()(const ShedRequest& a) const {
    head(81, a.id);
    putSpan(out, a.retryAfter);
    put(out, static_cast<std::uint8_t>(a.discourageRetry ? 1 : 0));
  }
  void operator()(const FailRequest& a) const { head(82, a.id); }
  void operator()(const CancelExecution& a) const { head(83, a.id); }
  void operator()(const CallDownstream& a) const {
    head(84, a.id);
    putSpan(out, a.timeout);
  }
  void operator()(const SkipDownstreamCall& a) const { head(85, a.id); }
  void operator()(const RetainResult& a) const {
    head(86, a.id);
    putSpan(out, a.retention);
  }
  void operator()(const DropResult& a) const { head(87, a.id); }
  void operator()(const AnswerFromOriginal& a) const { head(88, a.id); }
  void operator()(const PublishHealth& a) const {
    head(89);
    put(out, static_cast<std::uint8_t>(a.healthy ? 1 : 0));
    put(out, static_cast<std::uint8_t>(a.isCached ? 1 : 0));
  }
  void operator()(const PublishLoadSignal& a) const {
    head(90);
    put(out, static_cast<float>(a.value));
  }
  void operator()(const SetIdleConnectionTimeout& a) const {
    head(91);
    putSpan(out, a.timeout);
  }
  void operator()(const SetTimer& a) const {
    head(92);
    put(out, static_cast<std::uint32_t>(a.timer));
    putSpan(out, a.delay);
  }
  void operator()(const rainhook::DiagnosticMessage& a) const {
    head(93);
    putText(out, a.text);
  }
};

}  // namespace

Batch readBatch(std::span<const std::byte> body) {
  Reader in(body);
  Batch batch;
  batch.clock = in.number<std::uint64_t>("the clock");
  while (!in.atEnd()) {
    const auto code = in.number<std::uint8_t>("the event code");
    const auto instance = in.number<InstanceNumber>("serverId");
    batch.events.push_back({instance, readEvent(in, code)});
  }
  return batch;
}

void Reply::add(InstanceNumber instance, const Action& action) {
  std::visit(ActionWriter{records_, instance}, action);
  ++count_;
}

void Reply::fault(InstanceNumber instance, std::string_view text) {
  ActionWriter{records_, instance}.head(94);
  putText(records_, text);
  ++count_;
}

std::vector<std::byte> Reply::frame() const {
  std::vector<std::byte> out;
  out.reserve(records_.size() + 8);
  put(out, static_cast<std::uint32_t>(records_.size() + sizeof(count_)));
  put(out, count_);
  out.insert(out.end(), records_.begin(), records_.end());
  return out;
}

}  // namespace rainhook::simulator
