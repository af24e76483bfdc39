/// @file
/// HTTP/1.1 (RFC 9112) as a client speaks it: bytes to responses, requests to bytes. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rainhook::codec::http {

/// A whole response.
struct Response {
  /// From 200 on.
  int status = 0;
  /// By name in lower case.
  std::map<std::string, std::string> headers;
  /// Without chunk sizes or trailers.
  std::string body;
  /// Whether the connection may serve another request.
  bool isKeepAlive = true;
  /// Bytes of the response in the input, interim responses before it included.
  std::size_t size = 0;

  /// The value of a header, its name in lower case; empty where there is no such header.
  [[nodiscard]] std::string_view header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view{} : it->second;
  }
};

/// Reads the first response; interim (1xx) responses are skipped. A body must state its length or come in
/// chunks, since one that ends with its connection can't be told from one that was cut short.
/// @return nothing while the response is not whole.
/// @throws ProtocolError where the bytes are no such response, or a body or chunk is longer than 16 KiB.
[[nodiscard]] std::optional<Response> readResponse(std::string_view bytes);

/// Names with their values, in the order in which they are written.
using Headers = std::vector<std::pair<std::string_view, std::string>>;

/// One segment of a path, percent-encoded (RFC 3986, 2.3).
std::string encodePathSegment(std::string_view text);
/// A request with a `Host` and a `Content-Length` beside the given headers. The path must be encoded already.
std::string encodeRequest(std::string_view method, std::string_view path, std::string_view host,
                          const Headers& headers, std::string_view body);

}  // namespace rainhook::codec::http
