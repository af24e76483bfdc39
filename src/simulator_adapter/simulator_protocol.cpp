#include "simulator_adapter/simulator_protocol.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace simhost {
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
  Span span(const char* what) {
    const auto value = number<std::uint64_t>(what);
    if (value > static_cast<std::uint64_t>(Span::max().count())) fail(std::string(what) + " is out of range");
    return Span(static_cast<Span::rep>(value));
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
      return Outcome::done;
    case 502:
      return Outcome::errored;
    case 429:
      return Outcome::refused;
    case 408:
      return Outcome::timedOut;
    case 521:
      return Outcome::unreachable;
    case 520:
      return Outcome::cutShort;
    case 444:
      return Outcome::stopped;
    case 409:
      return Outcome::moot;
    default:
      in.fail("unknown reason " + std::to_string(status));
  }
}

ReqId reqId(Reader& in) { return ReqId{in.number<std::uint32_t>("msgId")}; }

ReqRead readReq(Reader& in) {
  constexpr unsigned hintValid = 1, isWrite = 4;
  ReqRead req;
  req.id = reqId(in);
  req.rank = in.number<float>("prio");
  req.subject = SubjectId{in.number<std::uint64_t>("entity")};
  const auto first = in.number<std::uint32_t>("forerunner");
  if (first != 0) req.repeats = ReqId{first};
  req.heldKb = in.number<float>("sizeKb");
  const Span hint = in.span("workHintNs");
  const unsigned marks = in.number<std::uint8_t>("marks");
  if (marks & hintValid) req.workHint = hint;
  req.write = (marks & isWrite) != 0;
  req.unread = in.span("unreadForNs");
  req.patience = in.span("budgetNs");
  req.customer = CustomerId{in.number<std::uint16_t>("project")};
  req.caller = CallerId{in.number<std::uint16_t>("srcPeer")};
  req.handler = HandlerId{in.number<std::uint8_t>("type")};
  return req;
}

WireEvent readEvent(Reader& in, std::uint8_t code) {
  switch (code) {
    case 16: {
      RunEnded e{reqId(in), outcomeOf(in), {}};
      e.took = in.span("timeTakenNs");
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
      return Event{CallWanted{reqId(in)}};
    case 22:
      return Event{CallerGone{reqId(in)}};
    case 23:
      return Event{LeaveNotice{in.span("budgetNs")}};
    case 24: {
      CallEnded e{reqId(in), {}, {}};
      e.took = in.span("timeTakenNs");
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
void putSpan(std::vector<std::byte>& out, Span span) {
  put(out, static_cast<std::uint64_t>(std::max<Span::rep>(span.count(), 0)));
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
  void head(std::uint8_t code, ReqId id) const {
    head(code);
    put(out, static_cast<std::uint32_t>(id));
  }
  void operator()(const Start& a) const { head(80, a.id); }
  void operator()(const Shed& a) const {
    head(81, a.id);
    putSpan(out, a.stayAway);
    put(out, static_cast<std::uint8_t>(a.lastTry ? 1 : 0));
  }
  void operator()(const Fail& a) const { head(82, a.id); }
  void operator()(const Stop& a) const { head(83, a.id); }
  void operator()(const Call& a) const {
    head(84, a.id);
    putSpan(out, a.limit);
  }
  void operator()(const SkipCall& a) const { head(85, a.id); }
  void operator()(const Keep& a) const {
    head(86, a.id);
    putSpan(out, a.keepFor);
  }
  void operator()(const Forget& a) const { head(87, a.id); }
  void operator()(const AnswerFromFirst& a) const { head(88, a.id); }
  void operator()(const SayHealth& a) const {
    head(89);
    put(out, static_cast<std::uint8_t>(a.good ? 1 : 0));
    put(out, static_cast<std::uint8_t>(a.fromStore ? 1 : 0));
  }
  void operator()(const SaySignal& a) const {
    head(90);
    put(out, static_cast<float>(a.value));
  }
  void operator()(const CloseIdleAfter& a) const {
    head(91);
    putSpan(out, a.idle);
  }
  void operator()(const SetTimer& a) const {
    head(92);
    put(out, static_cast<std::uint32_t>(a.timer));
    putSpan(out, a.in);
  }
  void operator()(const rainhook::Note& a) const {
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

}  // namespace simhost
