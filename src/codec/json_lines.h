/// @file
/// JSON lines: one object a line, with bytes carried in base64. Pure.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::jsonLines {

/// The first line of some bytes.
struct Line {
  /// Always a JSON object.
  nlohmann::json object;
  /// Bytes of the line, its end included.
  std::size_t size = 0;
};

/// Reads the first line.
/// @return nothing while the line is not whole.
/// @throws ProtocolError where it holds no JSON object.
[[nodiscard]] std::optional<Line> readLine(std::string_view bytes);
/// The object as one line with its end, all ASCII; invalid UTF-8 is replaced.
std::string writeLine(const nlohmann::json& object);

/// The bytes in base64, without line breaks.
std::string toBase64(std::string_view bytes);
/// The bytes that base64 stands for.
/// @throws ProtocolError where the text is no base64.
std::string fromBase64(const std::string& text);

}  // namespace rainhook::codec::jsonLines
