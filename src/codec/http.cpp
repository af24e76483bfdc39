#include "codec/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "codec/protocol_error.h"

namespace rainhook::codec::http {
namespace {

constexpr std::string_view lineEnd = "\r\n";
/// The maximum size of a body and of a chunk.
constexpr std::size_t maxBodyBytes = 16 * 1024;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/// Layout of the beginning of a status line: "HTTP/1.1 200".
constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr std::size_t minorVersionOffset = 7;
constexpr std::size_t spaceOffset = 8;
constexpr std::size_t statusOffset = 9;
constexpr std::size_t statusLength = 3;

std::string toLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char byte) { return std::tolower(byte); });
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// @param what names the number in the error.
std::size_t parseNumber(std::string_view text, int base, std::string_view what) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    throw ProtocolError(std::string(what) + " is not a number");
  return value;
}

/// Reads lines and byte sequences of a given length from front to back. Returns nothing while the input is
/// too short.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  [[nodiscard]] std::size_t position() const { return position_; }

  /// @return the line without its line end.
  std::optional<std::string_view> readLine() {
    const auto end = bytes_.find(lineEnd, position_);
    if (end == std::string_view::npos) return std::nullopt;
    const auto line = bytes_.substr(position_, end - position_);
    position_ = end + lineEnd.size();
    return line;
  }

  std::optional<std::string_view> readBytes(std::size_t count) {
    if (bytes_.size() - position_ < count) return std::nullopt;
    const auto taken = bytes_.substr(position_, count);
    position_ += count;
    return taken;
  }

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
};

/// @return false while the trailers are incomplete.
bool skipTrailers(ByteReader& in) {
  for (;;) {
    const auto line = in.readLine();
    if (!line) return false;
    if (line->empty()) return true;
  }
}

/// @return false while the body is incomplete.
bool readChunkedBody(ByteReader& in, std::string& body) {
  for (;;) {
    const auto head = in.readLine();
    if (!head) return false;
    const auto size = parseNumber(trim(head->substr(0, head->find(';'))), hexadecimal, "chunk size");
    if (size > maxBodyBytes)
      throw ProtocolError(fmt::format("chunk of {} bytes exceeds the limit of {}", size, maxBodyBytes));
    if (size == 0) return skipTrailers(in);
    const auto chunk = in.readBytes(size);
    if (!chunk) return false;
    body.append(*chunk);
    const auto end = in.readLine();
    if (!end) return false;
    if (!end->empty())
      throw ProtocolError(fmt::format("chunk of {} bytes is not followed by a line end", size));
  }
}

/// @return false while the body is incomplete.
bool readCountedBody(ByteReader& in, std::string_view contentLength, std::string& body) {
  const auto length = parseNumber(contentLength, decimal, "Content-Length");
  if (length > maxBodyBytes)
    throw ProtocolError(fmt::format("body of {} bytes exceeds the limit of {}", length, maxBodyBytes));
  const auto bytes = in.readBytes(length);
  if (!bytes) return false;
  body = *bytes;
  return true;
}

void readStatusLine(std::string_view line, Response& response) {
  if (line.size() < statusOffset + statusLength || !line.starts_with(versionPrefix) ||
      line[spaceOffset] != ' ')
    throw ProtocolError("status line is not that of an HTTP/1.x response");
  response.status =
      static_cast<int>(parseNumber(line.substr(statusOffset, statusLength), decimal, "status code"));
  response.isKeepAlive = line[minorVersionOffset] != '0';
}

void readHeader(std::string_view line, Response& response) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) throw ProtocolError("header line has no colon");
  const std::string value(trim(line.substr(colon + 1)));
  const auto [header, isNew] = response.headers.try_emplace(toLower(line.substr(0, colon)), value);
  if (!isNew && header->first == "content-length" && header->second != value)
    throw ProtocolError("two Content-Length headers with different values");
}

/// @return false while the status line and the headers are incomplete.
bool readHead(ByteReader& in, Response& response) {
  const auto statusLine = in.readLine();
  if (!statusLine) return false;
  readStatusLine(*statusLine, response);
  for (;;) {
    const auto line = in.readLine();
    if (!line) return false;
    if (line->empty()) break;
    readHeader(*line, response);
  }
  if (response.headers.contains("content-length") && response.headers.contains("transfer-encoding"))
    throw ProtocolError("both Content-Length and Transfer-Encoding are present");
  if (toLower(response.header("connection")).find("close") != std::string::npos) response.isKeepAlive = false;
  return true;
}

/// @return false while the body is incomplete.
bool readBody(ByteReader& in, Response& response) {
  if (response.status == statusNoContent || response.status == statusNotModified) return true;
  if (toLower(response.header("transfer-encoding")).find("chunked") != std::string::npos)
    return readChunkedBody(in, response.body);
  const auto contentLength = response.header("content-length");
  if (contentLength.empty())
    throw ProtocolError("neither Content-Length nor the chunked transfer encoding is present");
  return readCountedBody(in, contentLength, response.body);
}

/// Whether RFC 3986, 2.3 allows the byte in a path without percent-encoding.
bool isUnreserved(unsigned char byte) {
  constexpr unsigned char firstNonAscii = 128;
  constexpr std::string_view unreservedMarks = "-._~";
  if (byte >= firstNonAscii) return false;
  return std::isalnum(byte) != 0 || unreservedMarks.find(static_cast<char>(byte)) != std::string_view::npos;
}

}  // namespace

std::optional<Response> readResponse(std::string_view bytes) {
  ByteReader in(bytes);
  Response response;
  do {
    response = {};
    if (!readHead(in, response)) return std::nullopt;
  } while (response.status < firstFinalStatus);
  if (!readBody(in, response)) return std::nullopt;
  response.size = in.position();
  return response;
}

std::string encodePathSegment(std::string_view text) {
  std::string out;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    out += isUnreserved(byte) ? std::string(1, character) : fmt::format("%{:02X}", byte);
  }
  return out;
}

std::string encodeRequest(std::string_view method, std::string_view path, std::string_view host,
                          const Headers& headers, std::string_view body) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, path, host);
  for (const auto& [name, value] : headers) out += fmt::format("{}: {}\r\n", name, value);
  out += fmt::format("Content-Length: {}\r\n\r\n", body.size());
  return out.append(body);
}

}  // namespace rainhook::codec::http
