// JSON lines: one object a line, and bytes carried in base64.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook::codec::jsonLines {

struct Line {
  nlohmann::json object;
  std::size_t size = 0;  // with its end
};

// Nothing while the line is not whole. Throws ProtocolError where it holds no object.
std::optional<Line> readLine(std::string_view bytes);
std::string writeLine(const nlohmann::json& object);

std::string toBase64(std::string_view bytes);
std::string fromBase64(const std::string& text);

}  // namespace rainhook::codec::jsonLines
