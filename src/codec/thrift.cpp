#include "codec/thrift.h"

#include <fmt/format.h>

#include <concepts>
#include <type_traits>

#include "codec/protocol_error.h"

namespace rainhook::codec::thrift {
namespace {

constexpr std::uint32_t strictVersion = 0x80010000;
constexpr std::uint32_t versionMask = 0xffff0000;
constexpr std::uint32_t kindMask = 0xff;
/// Limits the nesting depth of values, since skip() is recursive and uses stack for each level.
constexpr int maxDepth = 16;
constexpr std::size_t lengthBytes = 4;
constexpr int bitsPerByte = 8;

}  // namespace

std::string_view Reader::bytes(std::size_t count) {
  if (rest_.size() < count)
    throw ProtocolError(
        fmt::format("value of {} bytes exceeds the remaining {} bytes of its frame", count, rest_.size()));
  const auto taken = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return taken;
}

template <typename T>
T Reader::number() {
  std::make_unsigned_t<T> value = 0;
  for (const char octet : bytes(sizeof(T)))
    value = static_cast<std::make_unsigned_t<T>>((static_cast<std::uint64_t>(value) << bitsPerByte) |
                                                 static_cast<unsigned char>(octet));
  return static_cast<T>(value);
}

std::uint8_t Reader::byte() { return number<std::uint8_t>(); }
std::int32_t Reader::i32() { return number<std::int32_t>(); }

std::string_view Reader::text() {
  const auto length = i32();
  if (length < 0) throw ProtocolError(fmt::format("string has the negative length {}", length));
  return bytes(static_cast<std::size_t>(length));
}

Fields Reader::fields() {
  const Type key{byte()};
  const Type value{byte()};
  const auto count = i32();
  if (count < 0) throw ProtocolError(fmt::format("map has the negative size {}", count));
  if (count > 0 && (key != Type::text || value != Type::text))
    throw ProtocolError(fmt::format("map from type {} to type {}, expected strings (type {})",
                                    static_cast<int>(key), static_cast<int>(value),
                                    static_cast<int>(Type::text)));
  Fields out;
  for (std::int32_t i = 0; i < count; ++i) {
    const auto name = text();
    out.insert_or_assign(std::string(name), std::string(text()));
  }
  return out;
}

void Reader::skip(Type type, int depth) {
  if (depth > maxDepth)
    throw ProtocolError(fmt::format("value is nested more than {} levels deep", maxDepth));
  switch (type) {
    case Type::boolean:
    case Type::byte:
      bytes(1);
      return;
    case Type::i16:
      bytes(2);
      return;
    case Type::i32:
      bytes(4);
      return;
    case Type::real:
    case Type::i64:
      bytes(8);
      return;
    case Type::text:
      text();
      return;
    case Type::structure:
      for (Type field{byte()}; field != Type::stop; field = Type{byte()}) {
        bytes(2);
        skip(field, depth + 1);
      }
      return;
    case Type::map: {
      const Type key{byte()};
      const Type value{byte()};
      for (auto count = i32(); count > 0; --count) {
        skip(key, depth + 1);
        skip(value, depth + 1);
      }
      return;
    }
    case Type::set:
    case Type::list: {
      const Type item{byte()};
      for (auto count = i32(); count > 0; --count) skip(item, depth + 1);
      return;
    }
    case Type::stop:
      break;
  }
  throw ProtocolError(fmt::format("unknown value type {}", static_cast<int>(type)));
}

void Reader::readStruct(const std::function<bool(std::int16_t, Type, Reader&)>& readField) {
  for (Type type{byte()}; type != Type::stop; type = Type{byte()}) {
    const auto id = number<std::int16_t>();
    if (!readField(id, type, *this)) skip(type);
  }
}

std::optional<Frame> readFrame(std::string_view bytes, std::size_t maxContentBytes) {
  if (bytes.size() < lengthBytes) return std::nullopt;
  const auto length = Reader(bytes.substr(0, lengthBytes)).i32();
  if (length < 0 || static_cast<std::size_t>(length) > maxContentBytes)
    throw ProtocolError(fmt::format("frame length {} is not from 0 to {}", length, maxContentBytes));
  const auto size = static_cast<std::size_t>(length);
  if (bytes.size() - lengthBytes < size) return std::nullopt;
  return Frame{bytes.substr(lengthBytes, size), size + lengthBytes};
}

Message readMessage(std::string_view content) {
  Reader in(content);
  const auto header = static_cast<std::uint32_t>(in.i32());
  if ((header & versionMask) != strictVersion)
    throw ProtocolError(
        fmt::format("message begins with {:08x}, which is not the strict binary protocol", header));
  Message message;
  message.kind = Kind{static_cast<std::uint8_t>(header & kindMask)};
  if (message.kind < Kind::call || message.kind > Kind::oneway)
    throw ProtocolError(fmt::format("unknown message kind {}", static_cast<int>(message.kind)));
  const auto name = in.text();
  message.name = name;
  message.sequence = in.i32();
  message.body = in.rest();
  return message;
}

template <typename T>
void Writer::number(T value) {
  for (int shift = static_cast<int>(sizeof(T) - 1) * bitsPerByte; shift >= 0; shift -= bitsPerByte)
    out_.push_back(static_cast<char>((static_cast<std::make_unsigned_t<T>>(value) >> shift) & 0xff));
}

Writer::Writer(Kind kind, std::string_view name, std::int32_t sequence) {
  number<std::uint32_t>(0);  // placeholder for the length, which finish() writes
  number<std::uint32_t>(strictVersion | static_cast<std::uint8_t>(kind));
  text(name);
  i32(sequence);
}

Writer& Writer::field(std::int16_t id, Type type) {
  number(static_cast<std::uint8_t>(type));
  number(id);
  return *this;
}

Writer& Writer::text(std::string_view value) {
  number(static_cast<std::int32_t>(value.size()));
  out_.append(value);
  return *this;
}

Writer& Writer::boolean(bool value) {
  out_.push_back(value ? 1 : 0);
  return *this;
}

Writer& Writer::i32(std::int32_t value) {
  number(value);
  return *this;
}

Writer& Writer::fields(const Fields& fields) {
  number(static_cast<std::uint8_t>(Type::text));
  number(static_cast<std::uint8_t>(Type::text));
  number(static_cast<std::int32_t>(fields.size()));
  for (const auto& [name, value] : fields) text(name).text(value);
  return *this;
}

Writer& Writer::stop() {
  out_.push_back(0);
  return *this;
}

std::string Writer::finish() {
  const auto length = static_cast<std::uint32_t>(out_.size() - lengthBytes);
  for (std::size_t i = 0; i < lengthBytes; ++i)
    out_[i] = static_cast<char>((length >> (bitsPerByte * (lengthBytes - 1 - i))) & 0xff);
  return std::move(out_);
}

}  // namespace rainhook::codec::thrift
