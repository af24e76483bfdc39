#include "codec/json_lines.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <iterator>
#include <sstream>

#include "codec/protocol_error.h"

namespace rainhook::codec::jsonLines {

std::optional<Line> readLine(std::string_view bytes) {
  const auto end = bytes.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  auto object = nlohmann::json::parse(bytes.substr(0, end), nullptr, false);
  if (!object.is_object()) throw ProtocolError("line is not a JSON object");
  return Line{std::move(object), end + 1};
}

std::string writeLine(const nlohmann::json& object) {
  return object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + '\n';
}

std::string toBase64(std::string_view bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  encoder.close();
  return std::move(out).str();
}

std::string fromBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  try {
    std::string out{std::istreambuf_iterator<char>(decoder), {}};
    // The decoder stops silently at an invalid character; its output is then too short for the text.
    if (out.size() / 3 * 4 + 4 < text.size()) throw ProtocolError("invalid base64");
    return out;
  } catch (const Poco::Exception&) {
    throw ProtocolError("invalid base64");
  }
}

}  // namespace rainhook::codec::jsonLines
