#include "support/http_request.h"

namespace rainhook {

std::optional<HttpRequest> HttpRequest::parse(std::string_view bytes) {
  constexpr std::string_view endOfHead = "\r\n\r\n";
  constexpr std::string_view lengthHeader = "Content-Length: ";
  const auto headSize = bytes.find(endOfHead);
  if (headSize == std::string_view::npos) return std::nullopt;
  const auto bodyAt = headSize + endOfHead.size();
  const auto bodySize = std::stoul(std::string(bytes.substr(bytes.find(lengthHeader) + lengthHeader.size())));
  if (bytes.size() < bodyAt + bodySize) return std::nullopt;
  return HttpRequest{std::string(bytes.substr(0, headSize)), std::string(bytes.substr(bodyAt, bodySize)),
                     bodyAt + bodySize};
}

std::string httpResponse(const std::string& status, std::string_view body) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

}  // namespace rainhook
