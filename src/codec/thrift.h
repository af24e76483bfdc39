// Framed Thrift in its strict binary protocol: bytes in, message or error out. Knows no service.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::thrift {

enum class Kind : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };
enum class Type : std::uint8_t {
  stop = 0,
  boolean = 2,
  byte = 3,
  real = 4,
  i16 = 6,
  i32 = 8,
  i64 = 10,
  text = 11,
  structure = 12,
  map = 13,
  set = 14,
  list = 15
};
using Fields = std::map<std::string, std::string>;

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  std::uint8_t byte();
  std::int32_t i32();
  std::string_view text();
  Fields fields();
  void skip(Type type, int depth = 0);
  // Hands each field to `take`; one that it does not take is skipped.
  void structure(const std::function<bool(std::int16_t, Type, Reader&)>& take);
  bool atEnd() const { return rest_.empty(); }

 private:
  std::string_view bytes(std::size_t count);
  template <typename T>
  T number();
  std::string_view rest_;
};

struct Message {
  Kind kind{};
  std::string name;
  std::int32_t sequence = 0;
  std::string_view body;  // the struct that follows, within the bytes read
};

// The first whole frame's content and its size with the length before it; nothing while it is not whole.
struct Frame {
  std::string_view content;
  std::size_t size = 0;
};
std::optional<Frame> readFrame(std::string_view bytes, std::size_t longest);
Message readMessage(std::string_view content);

// Writes one framed message; the struct's fields are given one after another, then whole() ends it.
class Writer {
 public:
  Writer(Kind kind, std::string_view name, std::int32_t sequence);

  Writer& field(std::int16_t id, Type type);
  Writer& text(std::string_view value);
  Writer& boolean(bool value);
  Writer& i32(std::int32_t value);
  Writer& fields(const Fields& fields);
  Writer& stop();
  std::string whole();

 private:
  template <typename T>
  void number(T value);
  std::string out_;
};

}  // namespace rainhook::codec::thrift
