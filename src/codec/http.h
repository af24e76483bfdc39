// HTTP/1.1 as a client speaks it: one response from the bytes so far, and the text of a request.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rainhook::codec::http {

struct Response {
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool keeps = true;     // the connection may serve another request
  std::size_t size = 0;  // bytes of the whole response
  std::string_view header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view{} : it->second;
  }
};

// Nothing while the response is not whole; interim (1xx) responses are passed over. A body must state its
// length or come in chunks, since one that ends with its connection can't be told from one cut short. Throws
// ProtocolError.
std::optional<Response> readResponse(std::string_view bytes);

using Headers = std::vector<std::pair<std::string_view, std::string>>;
// One segment of a path, percent-encoded (RFC 3986, 2.3).
std::string segment(std::string_view text);
std::string request(std::string_view method, std::string_view path, std::string_view host,
                    const Headers& headers, std::string_view body);

}  // namespace rainhook::codec::http
