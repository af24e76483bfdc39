/// @file
/// Framed Thrift in its strict binary protocol: bytes to values and back. Pure; knows no service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::thrift {

/// The kinds of messages, with their numbers in the protocol.
enum class Kind : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// The types of values, with their numbers in the protocol; `stop` ends a struct.
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

/// A map from strings to strings.
using Fields = std::map<std::string, std::string>;

/// Reads values one after another from bytes that must outlive it. Every function throws ProtocolError where
/// the bytes end before the value does, or can't be such a value.
class Reader {
 public:
  /// Reads `bytes` from their beginning.
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  /// Reads one byte.
  std::uint8_t byte();
  /// Reads a signed number of 32 bits.
  std::int32_t i32();
  /// Reads a string. Points into the bytes that are read.
  std::string_view text();
  /// Reads a map from strings to strings; of a key that comes twice, the last value counts.
  Fields fields();
  /// Reads a struct up to its end. `readField` gets the number and the type of each field: it reads the value
  /// and returns true, or reads nothing and returns false; the value is skipped then.
  void readStruct(const std::function<bool(std::int16_t, Type, Reader&)>& readField);
  /// Skips a value of the given type. `depth` is how deeply it is nested; beyond 16 it is refused.
  void skip(Type type, int depth = 0);
  /// Whether all bytes were read.
  [[nodiscard]] bool atEnd() const { return rest_.empty(); }
  /// The bytes that were not read yet.
  [[nodiscard]] std::string_view rest() const { return rest_; }

 private:
  std::string_view bytes(std::size_t count);
  template <typename T>
  T number();

  std::string_view rest_;
};

/// A message's head, and where its content lies.
struct Message {
  /// What the message is.
  Kind kind{};
  /// The method.
  std::string name;
  /// By which a reply names its call.
  std::int32_t sequence = 0;
  /// The struct that follows the head; points into the bytes that were read.
  std::string_view body;
};

/// A frame without the length before it.
struct Frame {
  /// Points into the bytes that were read.
  std::string_view content;
  /// Bytes of the content and the length before it.
  std::size_t size = 0;
};

/// @return the first frame; nothing while it is not whole.
/// @throws ProtocolError where its length is negative or above `maxContentBytes`.
[[nodiscard]] std::optional<Frame> readFrame(std::string_view bytes, std::size_t maxContentBytes);

/// Reads the content of a frame.
/// @throws ProtocolError where the content of a frame does not begin with a message's head.
[[nodiscard]] Message readMessage(std::string_view content);

/// Writes one framed message: the fields of its struct one after another, each by field() and its value, then
/// stop() and finish().
class Writer {
 public:
  /// Writes the message's head.
  Writer(Kind kind, std::string_view name, std::int32_t sequence);

  /// Begins a field of the struct; its value follows.
  Writer& field(std::int16_t id, Type type);
  /// Writes a string.
  Writer& text(std::string_view value);
  /// Writes a truth value.
  Writer& boolean(bool value);
  /// Writes a signed number of 32 bits.
  Writer& i32(std::int32_t value);
  /// Writes a map from strings to strings.
  Writer& fields(const Fields& fields);
  /// Ends a struct.
  Writer& stop();
  /// Writes the frame's length and gives the bytes away; the writer is not to be used any more.
  std::string finish();

 private:
  template <typename T>
  void number(T value);

  std::string out_;
};

}  // namespace rainhook::codec::thrift
