#include "net/list.h"

#include "net/http.h"

namespace rainhook::net {

List::List(Reactor& reactor, BufferPool& pool, Log& log, const Connection::Address& address, std::string name)
    : reactor_(reactor), pool_(pool), log_(log), address_(address), name_(std::move(name)) {}

void List::takesWork(bool does) {
  if (std::exchange(does_, does) != does || !connection_) startOver();
}

void List::moveTo(const Connection::Address& address) {
  if (address == std::exchange(address_, address)) return;
  if (connection_) connection_->close(), connection_.reset();
  report();
}

// News does not wait for a report under way, whose answer may never come.
void List::startOver() {
  if (asked_ && connection_) connection_->close(), connection_.reset();
  report();
}

void List::report() {
  asked_ = true;
  if (!connection_) {
    Callbacks callbacks;
    callbacks.came = [this](std::string_view bytes) -> std::size_t {
      const auto response = http::readResponse(bytes);
      if (!response) return 0;
      if (!response->keeps) connection_->close(), connection_.reset();
      settle(response->status == 204, "status " + std::to_string(response->status));
      return response->size;
    };
    callbacks.ended = [this](Ending, const std::string& why) {
      connection_.reset();
      if (asked_) settle(false, why);
    };
    connection_ = Connection::to(address_, reactor_, pool_, std::move(callbacks));
  }
  connection_->write(http::request("PUT", "/roster/" + name_, address_.toString(), {},
                                   does_ ? R"({"duty":"on"})" : R"({"duty":"off"})"));
  next_ = reactor_.after(patience, [this] {
    connection_->close();
    connection_.reset();
    settle(false, "no answer");
  });
}

void List::settle(bool counted, const std::string& why) {
  if (!counted && reached_) log_.line(Matter::list, "a report to the list did not count: {}", why);
  if (counted && !reached_) log_.line(Matter::list, "the list is reached again");
  reached_ = counted;
  asked_ = false;
  next_ = reactor_.after(counted ? every : again, [this] { report(); });
}

}  // namespace rainhook::net
