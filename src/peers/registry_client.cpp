#include "peers/registry_client.h"

#include "codec/http.h"

namespace rainhook::peers {

RegistryClient::RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                               const net::Connection::Address& address, std::string name,
                               std::uint64_t chance)
    : reactor_(reactor), pool_(pool), log_(log), address_(address), name_(std::move(name)), chance_(chance) {}

void RegistryClient::setInService(bool does) {
  if (std::exchange(does_, does) != does || numbered_ == 0) startOver();
}

void RegistryClient::setAddress(const net::Connection::Address& address) {
  if (address != std::exchange(address_, address)) startOver();
}

// News does not wait, and what was said before it is not to arrive after it.
void RegistryClient::startOver() {
  for (auto& [number, report] : reports_) report.connection->close();
  reports_.clear();
  changedAt_ = net::Reactor::Clock::now();
  heard_ = false;
  report();
}

void RegistryClient::report() {
  // A report that was closed may have been read all the same, and count after the one that took its place:
  // the news is said again soon, as long as that may be.
  const bool news = numbered_ > 0 && net::Reactor::Clock::now() - changedAt_ < patience;
  next_ = reactor_.after(spread(news ? again : every), [this] { this->report(); });
  if (reports_.size() >= mostOpen) return;  // these say the same, and may still be answered
  const auto number = ++numbered_;
  net::Callbacks callbacks;
  callbacks.onData = [this, number](std::string_view bytes) -> std::size_t {
    const auto response = codec::http::readResponse(bytes);
    if (!response) return 0;
    settle(number, response->status == 204, "status " + std::to_string(response->status));
    return response->size;
  };
  callbacks.onClosed = [this, number](net::CloseReason, const std::string& why) {
    settle(number, false, why);
  };
  Report& report = reports_[number];
  report.connection = net::Connection::connectTo(address_, reactor_, pool_, std::move(callbacks));
  report.connection->write(codec::http::request("PUT", "/roster/" + codec::http::segment(name_),
                                                address_.toString(), {},
                                                does_ ? R"({"duty":"on"})" : R"({"duty":"off"})"));
  report.patience = reactor_.after(patience, [this, number] { settle(number, false, "no answer"); });
}

// From three quarters of it to all of it.
net::Reactor::Wait RegistryClient::spread(net::Reactor::Wait wait) {
  return wait - wait / 4 * static_cast<net::Reactor::Wait::rep>(chance_(256)) / 256;
}

void RegistryClient::settle(std::uint64_t number, bool counted, const std::string& why) {
  const auto it = reports_.find(number);
  if (it == reports_.end()) return;
  it->second.connection->close();
  reports_.erase(it);
  if (!counted && reached_)
    log_.message(logging::LogCategory::list, "a report to the list did not count: {}", why);
  if (counted && !reached_) log_.message(logging::LogCategory::list, "the list is reached again");
  reached_ = counted;
  heard_ = heard_ || counted;
  // One that broke is made again soon; one that was never answered may have counted, and the next is on its
  // way.
  if (!counted && number == numbered_) next_ = reactor_.after(spread(again), [this] { report(); });
}

}  // namespace rainhook::peers
