#include "net/list.h"

#include "net/http.h"

namespace rainhook::net {

List::List(Reactor& reactor, BufferPool& pool, Log& log, const Connection::Address& address, std::string name)
    : reactor_(reactor), pool_(pool), log_(log), address_(address), name_(std::move(name)) {}

void List::takesWork(bool does) {
  if (std::exchange(does_, does) != does || numbered_ == 0) startOver();
}

void List::moveTo(const Connection::Address& address) {
  if (address != std::exchange(address_, address)) startOver();
}

// News does not wait, and what was said before it is not to arrive after it.
void List::startOver() {
  for (auto& [number, report] : reports_) report.connection->close();
  reports_.clear();
  report();
}

void List::report() {
  const auto number = ++numbered_;
  Callbacks callbacks;
  callbacks.came = [this, number](std::string_view bytes) -> std::size_t {
    const auto response = http::readResponse(bytes);
    if (!response) return 0;
    settle(number, response->status == 204, "status " + std::to_string(response->status));
    return response->size;
  };
  callbacks.ended = [this, number](Ending, const std::string& why) { settle(number, false, why); };
  Report& report = reports_[number];
  report.connection = Connection::to(address_, reactor_, pool_, std::move(callbacks));
  report.connection->write(http::request("PUT", "/roster/" + name_, address_.toString(), {},
                                         does_ ? R"({"duty":"on"})" : R"({"duty":"off"})"));
  report.patience = reactor_.after(patience, [this, number] { settle(number, false, "no answer"); });
  next_ = reactor_.after(every, [this] { this->report(); });
}

void List::settle(std::uint64_t number, bool counted, const std::string& why) {
  const auto it = reports_.find(number);
  if (it == reports_.end()) return;
  it->second.connection->close();
  reports_.erase(it);
  if (!counted && reached_) log_.line(Matter::list, "a report to the list did not count: {}", why);
  if (counted && !reached_) log_.line(Matter::list, "the list is reached again");
  reached_ = counted;
  // One that broke is made again soon; one that was never answered may have counted, and the next is on its
  // way.
  if (!counted && number == numbered_) next_ = reactor_.after(again, [this] { report(); });
}

}  // namespace rainhook::net
