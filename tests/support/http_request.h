/// @file
/// HTTP messages of the fake downstream service and the fake registry.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rainhook {

/// A request with a Content-Length.
struct HttpRequest {
  std::string head;
  std::string body;
  std::size_t size = 0;  ///< The size of the whole request in bytes.

  /// Returns the request, or none if it is not complete yet.
  static std::optional<HttpRequest> parse(std::string_view bytes);
};

/// Returns a response with a Content-Length; `status` consists of the status code and the reason phrase.
std::string httpResponse(const std::string& status, std::string_view body = "");

}  // namespace rainhook
