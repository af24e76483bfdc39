#include "membership/message_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <msgpack.hpp>
#include <utility>

namespace rainhook::membership {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void put(Packer& out, const Word<T>& word) {
  out.pack(word.text);
}
template <typename E>
requires std::is_enum_v<E>
void put(Packer& out, E value) { out.pack(static_cast<std::uint64_t>(value)); }
void put(Packer& out, const Card& card) {
  out.pack_array(6);
  put(out, card.name), put(out, card.address), put(out, card.zone), put(out, card.region);
  put(out, card.boot), put(out, card.incarnation);
}
void put(Packer& out, const Rumour& rumour) {
  out.pack_array(4);
  put(out, rumour.says), put(out, rumour.who);
  out.pack_array(static_cast<std::uint32_t>(rumour.by.size()));
  for (const auto& witness : rumour.by) {
    out.pack_array(2);
    put(out, witness.name), put(out, witness.zone);
  }
  out.pack(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(rumour.heard).count()));
}
void put(Packer& out, const DigestOf& of) {
  const Digest& d = of.digest;
  out.pack_array(11);
  put(out, of.name), put(out, of.incarnation);
  out.pack(d.version), put(out, d.phase);
  for (const double value : {d.warmth, d.limit, d.running, d.read, d.done, d.heldBack, d.fleet})
    out.pack(static_cast<float>(value));
}

// An array read from its front: what it lacks keeps the value it has, what is more is passed over.
class Array {
 public:
  explicit Array(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
    at_ = object.via.array.ptr, left_ = object.via.array.size;
  }
  std::size_t left() const { return left_; }
  const msgpack::object* next() { return left_ == 0 ? nullptr : (--left_, at_++); }

 private:
  const msgpack::object* at_ = nullptr;
  std::size_t left_ = 0;
};

template <typename T>
void take(Array& in, Word<T>& word) {
  if (const auto* object = in.next()) word.text = object->as<std::string>();
  if (word.text.size() > longestWord) throw msgpack::type_error();
}
template <typename E>
void take(Array& in, E& value, E last) {
  const auto* object = in.next();
  if (!object) return;
  const auto number = object->as<std::uint64_t>();
  if (number > static_cast<std::uint64_t>(last)) throw msgpack::type_error();
  value = static_cast<E>(number);
}
template <typename E>
requires std::is_enum_v<E>
void take(Array& in, E& value) { take(in, value, static_cast<E>(~std::uint64_t{0})); }
void take(Array& in, Card& card) {
  const auto* object = in.next();
  if (!object) return;
  Array inner(*object);
  take(inner, card.name), take(inner, card.address), take(inner, card.zone), take(inner, card.region);
  take(inner, card.boot), take(inner, card.incarnation);
}
template <typename Each>
void each(Array& in, std::size_t most, Each read) {
  const auto* object = in.next();
  if (!object) return;
  Array inner(*object);
  if (inner.left() > most) throw msgpack::type_error();
  while (const auto* element = inner.next()) read(*element);
}

constexpr std::size_t mostEntries = 8192;

}  // namespace

std::string packed(const Message& message, std::size_t most, std::size_t* rumours, std::size_t* digests) {
  msgpack::sbuffer head, body;
  Packer out(head), parts(body);
  out.pack_array(10);
  put(out, message.kind), put(out, message.from);
  out.pack(message.joined), put(out, message.to), put(out, message.nonce), put(out, message.about);
  out.pack_array(static_cast<std::uint32_t>(message.unheard.size()));
  for (const auto& name : message.unheard) put(out, name);
  constexpr std::size_t arrays = 2 * 5 + 1;  // the lengths of the two arrays that follow, and what may come
  const std::size_t room = most > head.size() + arrays ? most - head.size() - arrays : 0;
  std::size_t taken = 0, end = 0;
  for (const auto& rumour : message.rumours) {
    put(parts, rumour);
    if (body.size() > room) break;
    ++taken, end = body.size();
  }
  if (rumours) *rumours = taken;
  out.pack_array(static_cast<std::uint32_t>(taken));
  head.write(body.data(), end);
  const std::size_t before = body.size();
  std::size_t kept = 0, stop = before;
  for (const auto& digest : message.digests) {
    put(parts, digest);
    if (end + body.size() - before > room) break;
    ++kept, stop = body.size();
  }
  if (digests) *digests = kept;
  out.pack_array(static_cast<std::uint32_t>(kept));
  head.write(body.data() + before, stop - before);
  out.pack_nil();  // room for the next release
  return {head.data(), head.size()};
}

std::optional<Message> unpacked(std::string_view bytes) try {
  const msgpack::unpack_limit limits(mostEntries, 0, mostState, mostState, 0, 8);
  std::size_t end = 0;
  const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limits);
  if (end != bytes.size()) return std::nullopt;
  Array in(handle.get());
  if (in.left() < 9) return std::nullopt;
  Message out;
  take(in, out.kind, Message::Kind::stateBack);
  take(in, out.from);
  out.joined = in.next()->as<bool>();
  take(in, out.to), take(in, out.nonce), take(in, out.about);
  each(in, 64, [&](const msgpack::object& object) {
    MemberName name{object.as<std::string>()};
    if (name.text.size() <= longestWord) out.unheard.push_back(std::move(name));
  });
  each(in, mostEntries, [&](const msgpack::object& object) {
    Array inner(object);
    Rumour rumour;
    take(inner, rumour.says, Rumour::Says::zoneDead);
    take(inner, rumour.who);
    each(inner, 64, [&](const msgpack::object& one) {
      Array pair(one);
      Witness witness;
      take(pair, witness.name), take(pair, witness.zone);
      if (rumour.by.size() < mostWitnesses) rumour.by.push_back(std::move(witness));
    });
    constexpr std::uint64_t aDay = 86'400'000;
    const auto* ago = inner.next();
    if (ago) rumour.heard = std::chrono::milliseconds(std::min(ago->as<std::uint64_t>(), aDay));
    // An older release says no age: taken for new, its word would be passed round for ever and put off
    // verdicts.
    if (!ago && rumour.says == Rumour::Says::heard) return;
    out.rumours.push_back(std::move(rumour));
  });
  each(in, mostEntries, [&](const msgpack::object& object) {
    Array inner(object);
    DigestOf of;
    take(inner, of.name), take(inner, of.incarnation);
    if (const auto* version = inner.next()) of.digest.version = version->as<std::uint64_t>();
    take(inner, of.digest.phase, Phase::unfit);
    Digest& d = of.digest;
    for (double* value : {&d.warmth, &d.limit, &d.running, &d.read, &d.done, &d.heldBack, &d.fleet}) {
      const auto* number = inner.next();
      if (number) *value = number->as<double>();
      if (!std::isfinite(*value) || *value < 0) throw msgpack::type_error();
    }
    out.digests.push_back(std::move(of));
  });
  if (out.from.name.text.empty()) return std::nullopt;
  return out;
} catch (const std::exception&) {  // msgpack's faults: too short, of another type, over the limits
  return std::nullopt;
}

}  // namespace rainhook::membership
