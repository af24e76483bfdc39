#include "membership/message_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <msgpack.hpp>
#include <utility>

namespace rainhook::membership {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t maxEntries = 8192;     // in an array of updates or statuses
constexpr std::size_t maxSmallEntries = 64;  // in an array of reporters or names
constexpr std::size_t maxDepth = 8;
constexpr std::size_t minMessageFields = 9;

template <typename Tag>
void put(Packer& out, const Identifier<Tag>& identifier) {
  out.pack(identifier.text);
}

template <typename Enum>
requires std::is_enum_v<Enum>
void put(Packer& out, Enum value) { out.pack(static_cast<std::uint64_t>(value)); }

void put(Packer& out, const MemberRecord& record) {
  out.pack_array(6);
  put(out, record.name);
  put(out, record.address);
  put(out, record.zone);
  put(out, record.region);
  put(out, record.processId);
  put(out, record.incarnation);
}

void put(Packer& out, const Reporter& reporter) {
  out.pack_array(2);
  put(out, reporter.name);
  put(out, reporter.zone);
}

void put(Packer& out, const GossipUpdate& update) {
  out.pack_array(4);
  put(out, update.kind);
  put(out, update.subject);
  out.pack_array(static_cast<std::uint32_t>(update.reporters.size()));
  for (const auto& reporter : update.reporters) put(out, reporter);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(update.observed);
  out.pack(static_cast<std::uint64_t>(age.count()));
}

void put(Packer& out, const StatusEntry& entry) {
  const MemberStatus& status = entry.status;
  out.pack_array(11);
  put(out, entry.name);
  put(out, entry.incarnation);
  out.pack(status.version);
  put(out, status.phase);
  for (const double figure :
       {status.warmUpProgress, status.concurrencyLimit, status.running, status.receivedPerSecond,
        status.completedPerSecond, status.queueingRatio, status.advertisedFleetSize})
    out.pack(static_cast<float>(figure));
}

/// Reads the elements of an array in order. Fields without an element keep their values, and additional
/// elements are ignored.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
    next_ = object.via.array.ptr;
    remaining_ = object.via.array.size;
  }
  [[nodiscard]] std::size_t remaining() const { return remaining_; }
  /// Returns the next element, or null at the end.
  const msgpack::object* next() {
    if (remaining_ == 0) return nullptr;
    --remaining_;
    return next_++;
  }

 private:
  const msgpack::object* next_ = nullptr;
  std::size_t remaining_ = 0;
};

template <typename Tag>
void readField(ArrayReader& in, Identifier<Tag>& identifier) {
  if (const auto* object = in.next()) identifier.text = object->as<std::string>();
  if (identifier.text.size() > maxIdentifierBytes) throw msgpack::type_error();
}

/// @param last the highest value that is allowed
template <typename Enum>
void readField(ArrayReader& in, Enum& value, Enum last) {
  const auto* object = in.next();
  if (!object) return;
  const auto number = object->as<std::uint64_t>();
  if (number > static_cast<std::uint64_t>(last)) throw msgpack::type_error();
  value = static_cast<Enum>(number);
}

template <typename Enum>
requires std::is_enum_v<Enum>
void readField(ArrayReader& in, Enum& value) { readField(in, value, static_cast<Enum>(~std::uint64_t{0})); }

void readField(ArrayReader& in, MemberRecord& record) {
  const auto* object = in.next();
  if (!object) return;
  ArrayReader fields(*object);
  readField(fields, record.name);
  readField(fields, record.address);
  readField(fields, record.zone);
  readField(fields, record.region);
  readField(fields, record.processId);
  readField(fields, record.incarnation);
}

template <typename Read>
void forEach(ArrayReader& in, std::size_t limit, Read read) {
  const auto* object = in.next();
  if (!object) return;
  ArrayReader elements(*object);
  if (elements.remaining() > limit) throw msgpack::type_error();
  while (const auto* element = elements.next()) read(*element);
}

Reporter readReporter(const msgpack::object& object) {
  ArrayReader in(object);
  Reporter out;
  readField(in, out.name);
  readField(in, out.zone);
  return out;
}

/// Returns nothing if the update has to be ignored.
std::optional<GossipUpdate> readUpdate(const msgpack::object& object) {
  ArrayReader in(object);
  GossipUpdate out;
  readField(in, out.kind, GossipUpdate::Kind::zoneDead);
  readField(in, out.subject);
  forEach(in, maxSmallEntries, [&](const msgpack::object& element) {
    auto reporter = readReporter(element);
    if (out.reporters.size() < maxReporters) out.reporters.push_back(std::move(reporter));
  });
  constexpr std::uint64_t maxAgeMs = 86'400'000;
  const auto* age = in.next();
  if (age) out.observed = std::chrono::milliseconds(std::min(age->as<std::uint64_t>(), maxAgeMs));
  // An older release sends no age. If this counted as a new observation, members would forward it forever,
  // and it would postpone declarations.
  if (!age && out.kind == GossipUpdate::Kind::receivedFrom) return std::nullopt;
  return out;
}

StatusEntry readStatus(const msgpack::object& object) {
  ArrayReader in(object);
  StatusEntry out;
  readField(in, out.name);
  readField(in, out.incarnation);
  MemberStatus& status = out.status;
  if (const auto* version = in.next()) status.version = version->as<std::uint64_t>();
  readField(in, status.phase, Phase::unhealthy);
  for (double* figure :
       {&status.warmUpProgress, &status.concurrencyLimit, &status.running, &status.receivedPerSecond,
        &status.completedPerSecond, &status.queueingRatio, &status.advertisedFleetSize}) {
    if (const auto* number = in.next()) *figure = number->as<double>();
    if (!std::isfinite(*figure) || *figure < 0) throw msgpack::type_error();
  }
  return out;
}

/// Encodes as many leading elements into `body` as fit into `room` bytes, of which `used` are taken. Adds the
/// size of these elements to `used` and returns their number.
template <typename Elements>
std::size_t putLeadingElements(msgpack::sbuffer& body, std::size_t& used, std::size_t room,
                               const Elements& elements) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  std::size_t count = 0;
  std::size_t end = 0;
  for (const auto& element : elements) {
    put(out, element);
    if (used + buffer.size() > room) break;
    ++count;
    end = buffer.size();
  }
  body.write(buffer.data(), end);
  used += end;
  return count;
}

Message readMessage(ArrayReader& in) {
  Message out;
  readField(in, out.kind, Message::Kind::stateResponse);
  readField(in, out.sender);
  out.hasSenderJoined = in.next()->as<bool>();
  readField(in, out.recipient);
  readField(in, out.nonce);
  readField(in, out.subject);
  forEach(in, maxSmallEntries, [&](const msgpack::object& object) {
    MemberName name{object.as<std::string>()};
    if (name.text.size() <= maxIdentifierBytes) out.unreachable.push_back(std::move(name));
  });
  forEach(in, maxEntries, [&](const msgpack::object& object) {
    if (auto update = readUpdate(object)) out.updates.push_back(std::move(*update));
  });
  forEach(in, maxEntries, [&](const msgpack::object& object) { out.statuses.push_back(readStatus(object)); });
  return out;
}

}  // namespace

EncodedMessage encodeMessage(const Message& message, std::size_t maxBytes) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(10);
  put(out, message.kind);
  put(out, message.sender);
  out.pack(message.hasSenderJoined);
  put(out, message.recipient);
  put(out, message.nonce);
  put(out, message.subject);
  out.pack_array(static_cast<std::uint32_t>(message.unreachable.size()));
  for (const auto& name : message.unreachable) put(out, name);

  constexpr std::size_t maxArrayHeaders = 2 * 5 + 1;  // bytes of two array headers and the last field
  const std::size_t head = buffer.size() + maxArrayHeaders;
  const std::size_t room = maxBytes > head ? maxBytes - head : 0;
  std::size_t used = 0;
  msgpack::sbuffer updates;
  msgpack::sbuffer statuses;
  EncodedMessage encoded;
  encoded.updateCount = putLeadingElements(updates, used, room, message.updates);
  encoded.statusCount = putLeadingElements(statuses, used, room, message.statuses);
  out.pack_array(static_cast<std::uint32_t>(encoded.updateCount));
  buffer.write(updates.data(), updates.size());
  out.pack_array(static_cast<std::uint32_t>(encoded.statusCount));
  buffer.write(statuses.data(), statuses.size());
  out.pack_nil();  // reserved for later releases
  encoded.bytes.assign(buffer.data(), buffer.size());
  return encoded;
}

std::optional<Message> decodeMessage(std::string_view bytes) try {
  const msgpack::unpack_limit limits(maxEntries, 0, maxStateBytes, maxStateBytes, 0, maxDepth);
  std::size_t end = 0;
  const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limits);
  if (end != bytes.size()) return std::nullopt;
  ArrayReader in(handle.get());
  if (in.remaining() < minMessageFields) return std::nullopt;
  Message out = readMessage(in);
  if (out.sender.name.text.empty()) return std::nullopt;
  return out;
} catch (const std::exception&) {  // msgpack reports truncated bytes, a wrong type or an exceeded limit
  return std::nullopt;
}

}  // namespace rainhook::membership
