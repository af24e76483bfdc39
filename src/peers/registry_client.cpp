#include "peers/registry_client.h"

#include <utility>

#include "codec/http.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;

constexpr net::Reactor::Wait reportInterval = 800ms;
/// Between reports while the last one failed, or while an older one may still be read after the newest.
constexpr net::Reactor::Wait retryInterval = 250ms;
constexpr net::Reactor::Wait reportTimeout = 2500ms;
/// A registry that takes connections and answers none must not use up the descriptors that are set aside. At
/// the ordinary interval there are never more.
constexpr std::size_t maxOpenReports = 5;
/// The part of an interval that jitter may take off, as a divisor, and the number of steps in it.
constexpr int jitterDivisor = 4;
constexpr std::uint32_t jitterSteps = 256;

/// The registry's names.
constexpr std::string_view reportPathPrefix = "/roster/";
constexpr std::string_view inServiceBody = R"({"duty":"on"})";
constexpr std::string_view outOfServiceBody = R"({"duty":"off"})";
constexpr int acceptedStatus = 204;

}  // namespace

RegistryClient::RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                               const net::Connection::Address& address, std::string serverName,
                               std::uint64_t randomSeed)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      address_(address),
      serverName_(std::move(serverName)),
      randomSource_(randomSeed) {}

void RegistryClient::setInService(bool isInService) {
  const bool isNews = std::exchange(isInService_, isInService) != isInService;
  if (isNews || lastReportNumber_ == 0) restart();
}

void RegistryClient::setAddress(const net::Connection::Address& address) {
  if (address != std::exchange(address_, address)) restart();
}

// News does not wait, and what was reported before it is not to arrive after it.
void RegistryClient::restart() {
  for (auto& [number, report] : openReports_) report.connection->close();
  openReports_.clear();
  changedAt_ = net::Reactor::Clock::now();
  isAcknowledged_ = false;
  sendReport();
}

void RegistryClient::sendReport() {
  // A report whose connection was closed may have been read all the same, and count after the one that
  // replaced it: for as long as that may be, the news is repeated soon.
  const bool isRecentChange =
      lastReportNumber_ > 0 && net::Reactor::Clock::now() - changedAt_ < reportTimeout;
  nextReportTimer_ =
      reactor_.after(jittered(isRecentChange ? retryInterval : reportInterval), [this] { sendReport(); });
  if (openReports_.size() >= maxOpenReports) return;  // these say the same, and may still be answered
  const auto number = ++lastReportNumber_;
  Report& report = openReports_[number];
  report.connection = net::Connection::connectTo(address_, reactor_, pool_, callbacksFor(number));
  report.connection->write(codec::http::encodeRequest(
      "PUT", std::string(reportPathPrefix) + codec::http::encodePathSegment(serverName_), address_.toString(),
      {}, isInService_ ? inServiceBody : outOfServiceBody));
  report.timeoutTimer = reactor_.after(reportTimeout, [this, number] { finishReport(number, "no answer"); });
}

net::ConnectionCallbacks RegistryClient::callbacksFor(std::uint64_t number) {
  net::ConnectionCallbacks callbacks;
  callbacks.onData = [this, number](std::string_view bytes) -> std::size_t {
    const auto response = codec::http::readResponse(bytes);
    if (!response) return 0;
    if (response->status == acceptedStatus)
      finishReport(number, std::nullopt);
    else
      finishReport(number, "status " + std::to_string(response->status));
    return response->size;
  };
  callbacks.onClosed = [this, number](net::CloseReason, const std::string& detail) {
    finishReport(number, detail);
  };
  return callbacks;
}

/// From three quarters of the wait to all of it.
net::Reactor::Wait RegistryClient::jittered(net::Reactor::Wait wait) {
  const auto steps = static_cast<net::Reactor::Wait::rep>(randomSource_(jitterSteps));
  return wait - wait / jitterDivisor * steps / jitterSteps;
}

void RegistryClient::finishReport(std::uint64_t number, const std::optional<std::string>& failure) {
  const auto it = openReports_.find(number);
  if (it == openReports_.end()) return;
  it->second.connection->close();
  openReports_.erase(it);
  if (failure && isReachable_)
    log_.message(logging::LogCategory::registry, "registry did not accept a report: {}", *failure);
  if (!failure && !isReachable_)
    log_.message(logging::LogCategory::registry, "registry accepts reports again");
  isReachable_ = !failure;
  isAcknowledged_ = isAcknowledged_ || !failure;
  // A failed report is repeated soon; one that was never answered may have been accepted, and the next is on
  // its way.
  if (failure && number == lastReportNumber_)
    nextReportTimer_ = reactor_.after(jittered(retryInterval), [this] { sendReport(); });
}

}  // namespace rainhook::peers
