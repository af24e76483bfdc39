/// @file
/// HTTP as the downstream service and the registry see it.
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
  std::size_t size = 0;  ///< Of both, in bytes.

  /// None while the request is not complete.
  static std::optional<HttpRequest> parse(std::string_view bytes);
};

/// A response with a Content-Length; `status` is the code and its reason.
std::string httpResponse(const std::string& status, std::string_view body = "");

}  // namespace rainhook
