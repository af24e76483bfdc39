/// @file
/// JSON lines: one object per line, with binary data in base64. No I/O and no state.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::jsonLines {

/// A parsed line.
struct Line {
  /// Always a JSON object.
  nlohmann::json object;
  /// Size of the line in bytes, including its line end.
  std::size_t size = 0;
};

/// Parses the first line.
/// @return nothing while the line is incomplete.
/// @throws ProtocolError if the line is not a JSON object.
[[nodiscard]] std::optional<Line> readLine(std::string_view bytes);
/// Encodes the object as one ASCII line with its line end; replaces invalid UTF-8.
std::string writeLine(const nlohmann::json& object);

/// Encodes the bytes in base64 without line breaks.
std::string toBase64(std::string_view bytes);
/// Decodes base64.
/// @throws ProtocolError if the text is not valid base64.
std::string fromBase64(const std::string& text);

}  // namespace rainhook::codec::jsonLines
