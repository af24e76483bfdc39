/// @file
/// Framed Thrift in the strict binary protocol: decodes and encodes values for any service. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::thrift {

/// Message kinds; the values are those of the protocol.
enum class Kind : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// Value types; the values are those of the protocol. `stop` ends a struct.
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

/// Reads values one after another from bytes that must outlive the reader. Every function throws
/// ProtocolError if the bytes end within the value or do not encode a value of that type.
class Reader {
 public:
  /// Starts at the beginning of `bytes`.
  explicit Reader(std::string_view bytes) : rest_(bytes) {}

  /// Reads one byte.
  std::uint8_t byte();
  /// Reads a signed 32-bit integer.
  std::int32_t i32();
  /// Reads a string. The view points into the bytes that the reader was created with.
  std::string_view text();
  /// Reads a map from strings to strings. The last value of a repeated key wins.
  Fields fields();
  /// Reads a struct up to its end. Calls `readField` with the number and the type of each field. `readField`
  /// either reads the value and returns true, or reads nothing and returns false; then the value is skipped.
  void readStruct(const std::function<bool(std::int16_t, Type, Reader&)>& readField);
  /// Skips a value of the given type. `depth` is its nesting depth; a depth above 16 is an error.
  void skip(Type type, int depth = 0);
  /// Whether all bytes have been read.
  [[nodiscard]] bool atEnd() const { return rest_.empty(); }
  /// The bytes that have not been read yet.
  [[nodiscard]] std::string_view rest() const { return rest_; }

 private:
  std::string_view bytes(std::size_t count);
  template <typename T>
  T number();

  std::string_view rest_;
};

/// A message header and a view of the message body.
struct Message {
  /// Whether the message is a call, a reply, an exception or a oneway call.
  Kind kind{};
  /// Name of the method.
  std::string name;
  /// Sequence number; a reply carries that of its call.
  std::int32_t sequence = 0;
  /// The struct that follows the header; points into the decoded bytes.
  std::string_view body;
};

/// A frame.
struct Frame {
  /// The frame without its length prefix; points into the decoded bytes.
  std::string_view content;
  /// Size of the content and the length prefix in bytes.
  std::size_t size = 0;
};

/// Decodes the first frame.
/// @return nothing while the frame is incomplete.
/// @throws ProtocolError if its length is negative or above `maxContentBytes`.
[[nodiscard]] std::optional<Frame> readFrame(std::string_view bytes, std::size_t maxContentBytes);

/// Decodes the message in the content of a frame.
/// @throws ProtocolError if the content does not begin with a message header.
[[nodiscard]] Message readMessage(std::string_view content);

/// Encodes one framed message. The caller writes each field of the message's struct with field() and its
/// value, then calls stop() and finish().
class Writer {
 public:
  /// Writes the message header.
  Writer(Kind kind, std::string_view name, std::int32_t sequence);

  /// Writes the header of a struct field; the caller writes the value next.
  Writer& field(std::int16_t id, Type type);
  /// Writes a string.
  Writer& text(std::string_view value);
  /// Writes a boolean.
  Writer& boolean(bool value);
  /// Writes a signed 32-bit integer.
  Writer& i32(std::int32_t value);
  /// Writes a map from strings to strings.
  Writer& fields(const Fields& fields);
  /// Ends a struct.
  Writer& stop();
  /// Writes the frame's length and returns the frame; the writer must not be used afterwards.
  std::string finish();

 private:
  template <typename T>
  void number(T value);

  std::string out_;
};

}  // namespace rainhook::codec::thrift
