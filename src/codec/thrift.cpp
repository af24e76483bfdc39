#include "codec/thrift.h"

#include <concepts>
#include <type_traits>

#include "codec/protocol_error.h"

namespace rainhook::codec::thrift {
namespace {

constexpr std::uint32_t strictVersion = 0x80010000;
constexpr int deepest = 16;

}  // namespace

std::string_view Reader::bytes(std::size_t count) {
  if (rest_.size() < count) throw codec::ProtocolError("a value runs past its frame");
  const auto taken = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return taken;
}

template <typename T>
T Reader::number() {
  std::make_unsigned_t<T> value = 0;
  for (const char c : bytes(sizeof(T)))
    value = static_cast<std::make_unsigned_t<T>>((static_cast<std::uint64_t>(value) << 8) |
                                                 static_cast<unsigned char>(c));
  return static_cast<T>(value);
}

std::uint8_t Reader::byte() { return number<std::uint8_t>(); }
std::int32_t Reader::i32() { return number<std::int32_t>(); }

std::string_view Reader::text() {
  const auto length = i32();
  if (length < 0) throw codec::ProtocolError("a negative length");
  return bytes(static_cast<std::size_t>(length));
}

Fields Reader::fields() {
  const Type key{byte()}, value{byte()};
  const auto count = i32();
  if (count < 0) throw codec::ProtocolError("a negative count");
  if (count > 0 && (key != Type::text || value != Type::text))
    throw codec::ProtocolError("a map of other than texts");
  Fields out;
  for (std::int32_t i = 0; i < count; ++i) {
    const auto name = text();
    out.insert_or_assign(std::string(name), std::string(text()));
  }
  return out;
}

void Reader::skip(Type type, int depth) {
  if (depth > deepest) throw codec::ProtocolError("nested too deeply");
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
      const Type key{byte()}, value{byte()};
      for (auto count = i32(); count > 0; --count) skip(key, depth + 1), skip(value, depth + 1);
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
  throw codec::ProtocolError("an unknown type");
}

void Reader::structure(const std::function<bool(std::int16_t, Type, Reader&)>& take) {
  for (Type type{byte()}; type != Type::stop; type = Type{byte()}) {
    const auto id = number<std::int16_t>();
    if (!take(id, type, *this)) skip(type);
  }
}

std::optional<Frame> readFrame(std::string_view bytes, std::size_t longest) {
  if (bytes.size() < 4) return std::nullopt;
  const auto length = Reader(bytes.substr(0, 4)).i32();
  if (length < 0 || static_cast<std::size_t>(length) > longest)
    throw codec::ProtocolError("a frame's length is impossible");
  const auto size = static_cast<std::size_t>(length);
  if (bytes.size() - 4 < size) return std::nullopt;
  return Frame{bytes.substr(4, size), size + 4};
}

Message readMessage(std::string_view content) {
  Reader in(content);
  const auto head = static_cast<std::uint32_t>(in.i32());
  if ((head & 0xffff0000) != strictVersion) throw codec::ProtocolError("not the strict binary protocol");
  Message message;
  message.kind = Kind{static_cast<std::uint8_t>(head & 0xff)};
  if (message.kind < Kind::call || message.kind > Kind::oneway)
    throw codec::ProtocolError("an unknown kind of message");
  const auto name = in.text();
  message.name = name;
  message.sequence = in.i32();
  message.body = content.substr(4 + 4 + name.size() + 4);
  return message;
}

template <typename T>
void Writer::number(T value) {
  for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
    out_.push_back(static_cast<char>((static_cast<std::make_unsigned_t<T>>(value) >> shift) & 0xff));
}

Writer::Writer(Kind kind, std::string_view name, std::int32_t sequence) {
  number<std::uint32_t>(0);
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
std::string Writer::whole() {
  const auto length = static_cast<std::uint32_t>(out_.size() - 4);
  for (std::size_t i = 0; i < 4; ++i) out_[i] = static_cast<char>((length >> (24 - 8 * i)) & 0xff);
  return std::move(out_);
}

}  // namespace rainhook::codec::thrift
