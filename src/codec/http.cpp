#include "codec/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "codec/protocol_error.h"

namespace rainhook::codec::http {
namespace {

constexpr std::string_view lineEnd = "\r\n";
/// The longest body, and the longest chunk, that is read.
constexpr std::size_t maxBodyBytes = 16 * 1024;

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
std::size_t number(std::string_view text, int base, const char* what) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    throw codec::ProtocolError(std::string(what) + " is no number");
  return value;
}

// Takes lines and counted bytes off the front; nothing where there are not enough.
class Cutter {
 public:
  explicit Cutter(std::string_view bytes) : all_(bytes) {}
  std::size_t used() const { return at_; }
  std::optional<std::string_view> line() {
    const auto end = all_.find(lineEnd, at_);
    if (end == std::string_view::npos) return std::nullopt;
    const auto line = all_.substr(at_, end - at_);
    at_ = end + lineEnd.size();
    return line;
  }
  std::optional<std::string_view> bytes(std::size_t count) {
    if (all_.size() - at_ < count) return std::nullopt;
    const auto taken = all_.substr(at_, count);
    at_ += count;
    return taken;
  }

 private:
  std::string_view all_;
  std::size_t at_ = 0;
};

// The body in chunks; false while it is not whole.
bool readChunks(Cutter& in, std::string& body) {
  for (;;) {
    const auto head = in.line();
    if (!head) return false;
    const auto size = number(trimmed(head->substr(0, head->find(';'))), 16, "a chunk's size");
    if (size > maxBodyBytes) throw codec::ProtocolError("a chunk is too long");
    if (size == 0) break;
    const auto chunk = in.bytes(size);
    if (!chunk) return false;
    body.append(*chunk);
    const auto end = in.line();
    if (!end) return false;
    if (!end->empty()) throw codec::ProtocolError("a chunk runs on");
  }
  for (;;) {  // trailers
    const auto line = in.line();
    if (!line) return false;
    if (line->empty()) return true;
  }
}

bool readHead(Cutter& in, Response& out) {
  const auto first = in.line();
  if (!first) return false;
  if (first->size() < 12 || !first->starts_with("HTTP/1.") || (*first)[8] != ' ')
    throw codec::ProtocolError("no HTTP/1.x response");
  out.status = static_cast<int>(number(first->substr(9, 3), 10, "the status"));
  out.keeps = (*first)[7] != '0';
  for (;;) {
    const auto line = in.line();
    if (!line) return false;
    if (line->empty()) break;
    const auto colon = line->find(':');
    if (colon == std::string_view::npos) throw codec::ProtocolError("a header without a colon");
    const std::string value(trimmed(line->substr(colon + 1)));
    const auto [header, isNew] = out.headers.try_emplace(lower(line->substr(0, colon)), value);
    if (!isNew && header->first == "content-length" && header->second != value)
      throw codec::ProtocolError("two different lengths of the content");
  }
  if (out.headers.contains("content-length") && out.headers.contains("transfer-encoding"))
    throw codec::ProtocolError("a length of the content beside chunks");
  if (const auto connection = lower(out.header("connection")); connection.find("close") != std::string::npos)
    out.keeps = false;
  return true;
}

}  // namespace

std::optional<Response> readResponse(std::string_view bytes) {
  Cutter in(bytes);
  Response out;
  do {
    out = {};
    if (!readHead(in, out)) return std::nullopt;
  } while (out.status < 200);
  if (out.status == 204 || out.status == 304) {
    // no body
  } else if (lower(out.header("transfer-encoding")).find("chunked") != std::string::npos) {
    if (!readChunks(in, out.body)) return std::nullopt;
  } else if (const auto length = out.header("content-length"); !length.empty()) {
    const auto count = number(length, 10, "the content's length");
    if (count > maxBodyBytes) throw codec::ProtocolError("the content is too long");
    const auto body = in.bytes(count);
    if (!body) return std::nullopt;
    out.body = *body;
  } else {
    throw codec::ProtocolError("the content's length is not stated");
  }
  out.size = in.used();
  return out;
}

std::string segment(std::string_view text) {
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain =
        byte < 128 && (std::isalnum(byte) || std::string_view("-._~").find(c) != std::string_view::npos);
    out += plain ? std::string(1, c) : fmt::format("%{:02X}", byte);
  }
  return out;
}

std::string request(std::string_view method, std::string_view path, std::string_view host,
                    const Headers& headers, std::string_view body) {
  std::string out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", method, path, host);
  for (const auto& [name, value] : headers) out += fmt::format("{}: {}\r\n", name, value);
  out += fmt::format("Content-Length: {}\r\n\r\n", body.size());
  return out.append(body);
}

}  // namespace rainhook::codec::http
