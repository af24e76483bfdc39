/// @file
/// The client side of HTTP/1.1 (RFC 9112): parses responses and encodes requests. No I/O and no state.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rainhook::codec::http {

/// A complete response.
struct Response {
  /// Status code; 200 or higher.
  int status = 0;
  /// Header values by lower-case name.
  std::map<std::string, std::string> headers;
  /// The decoded body, without chunk sizes and trailers.
  std::string body;
  /// Whether the connection may serve another request.
  bool isKeepAlive = true;
  /// Size of the response in the input in bytes, including the interim responses before it.
  std::size_t size = 0;

  /// The value of a header by its lower-case name; empty if the header is absent.
  [[nodiscard]] std::string_view header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view{} : it->second;
  }
};

/// Parses the first response and skips interim (1xx) responses. A body must have a Content-Length or the
/// chunked transfer encoding, since a body that ends with the connection cannot be distinguished from a
/// truncated one.
/// @return nothing while the response is incomplete.
/// @throws ProtocolError if the bytes are not such a response, or if a body or chunk exceeds 16 KiB.
[[nodiscard]] std::optional<Response> readResponse(std::string_view bytes);

/// Header names and values, in the order in which they are written.
using Headers = std::vector<std::pair<std::string_view, std::string>>;

/// Percent-encodes one path segment: all bytes except unreserved characters (RFC 3986, 2.3).
std::string encodePathSegment(std::string_view text);
/// Encodes a request with `Host`, the given headers and `Content-Length`. The path must be encoded already.
std::string encodeRequest(std::string_view method, std::string_view path, std::string_view host,
                          const Headers& headers, std::string_view body);

}  // namespace rainhook::codec::http
