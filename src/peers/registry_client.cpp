#include "peers/registry_client.h"

#include "codec/http.h"

namespace rainhook::net {

List::List(Reactor& reactor, BufferPool& pool, Log& log, const Connection::Address& address, std::string name,
           std::uint64_t chance)
    : reactor_(reactor), pool_(pool), log_(log), address_(address), name_(std::move(name)), chance_(chance) {}

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
  changedAt_ = Reactor::Clock::now();
  heard_ = false;
  report();
}

void List::report() {
  // A report that was closed may have been read all the same, and count after the one that took its place:
  // the news is said again soon, as long as that may be.
  const bool news = numbered_ > 0 && Reactor::Clock::now() - changedAt_ < patience;
  next_ = reactor_.after(spread(news ? again : every), [this] { this->report(); });
  if (reports_.size() >= mostOpen) return;  // these say the same, and may still be answered
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
  report.connection->write(http::request("PUT", "/roster/" + http::segment(name_), address_.toString(), {},
                                         does_ ? R"({"duty":"on"})" : R"({"duty":"off"})"));
  report.patience = reactor_.after(patience, [this, number] { settle(number, false, "no answer"); });
}

// From three quarters of it to all of it.
Reactor::Wait List::spread(Reactor::Wait wait) {
  return wait - wait / 4 * static_cast<Reactor::Wait::rep>(chance_(256)) / 256;
}

void List::settle(std::uint64_t number, bool counted, const std::string& why) {
  const auto it = reports_.find(number);
  if (it == reports_.end()) return;
  it->second.connection->close();
  reports_.erase(it);
  if (!counted && reached_) log_.line(Matter::list, "a report to the list did not count: {}", why);
  if (counted && !reached_) log_.line(Matter::list, "the list is reached again");
  reached_ = counted;
  heard_ = heard_ || counted;
  // One that broke is made again soon; one that was never answered may have counted, and the next is on its
  // way.
  if (!counted && number == numbered_) next_ = reactor_.after(spread(again), [this] { report(); });
}

}  // namespace rainhook::net
