#include "peers/registry_client.h"

#include <fmt/format.h>

#include <utility>

#include "codec/http.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;

constexpr net::Reactor::Wait reportInterval = 800ms;
/// The interval after a failed report, and while the registry may still process an older report after the
/// newest one.
constexpr net::Reactor::Wait retryInterval = 250ms;
constexpr net::Reactor::Wait reportTimeout = 2500ms;
/// The number of reports that may be open at the same time. A registry that accepts connections but never
/// responds must not exhaust the reserved descriptors. At the regular interval, a report times out before
/// more are open.
constexpr std::size_t maxOpenReports = 5;
/// Jitter shortens an interval by at most the interval divided by `jitterDivisor`, in `jitterSteps` steps.
constexpr int jitterDivisor = 4;
constexpr std::uint32_t jitterSteps = 256;

/// The names in the protocol of the registry.
constexpr std::string_view reportPathPrefix = "/roster/";
constexpr std::string_view inServiceBody = R"({"duty":"on"})";
constexpr std::string_view outOfServiceBody = R"({"duty":"off"})";
constexpr int acceptedStatus = 204;

}  // namespace

RegistryClient::RegistryClient(net::Reactor& reactor, net::BufferPool& pool, logging::Log& log,
                               const net::Connection::Address& address, std::string serverName,
                               std::uint64_t jitterSeed)
    : reactor_(reactor),
      pool_(pool),
      log_(log),
      address_(address),
      serverName_(std::move(serverName)),
      randomSource_(jitterSeed) {}

void RegistryClient::setInService(bool isInService) {
  const bool hasChanged = std::exchange(isInService_, isInService) != isInService;
  if (hasChanged || lastReportNumber_ == 0) restart();
}

void RegistryClient::setAddress(const net::Connection::Address& address) {
  if (address != std::exchange(address_, address)) restart();
}

// Reports a change immediately and closes the open reports, so that they do not arrive after it.
void RegistryClient::restart() {
  for (auto& [number, report] : openReports_) report.connection->close();
  openReports_.clear();
  changedAt_ = net::Reactor::Clock::now();
  isAcknowledged_ = false;
  sendReport();
}

void RegistryClient::sendReport() {
  // The registry may still process a report whose connection was closed, and may do so after the report that
  // replaced it. While that is possible, the new state is repeated at the shorter interval.
  const bool isRecentChange =
      lastReportNumber_ > 0 && net::Reactor::Clock::now() - changedAt_ < reportTimeout;
  nextReportTimer_ =
      reactor_.after(jittered(isRecentChange ? retryInterval : reportInterval), [this] { sendReport(); });
  if (openReports_.size() >= maxOpenReports) return;  // the open reports contain the same state
  const auto number = ++lastReportNumber_;
  Report& report = openReports_[number];
  report.connection = net::Connection::connectTo(address_, reactor_, pool_, callbacksFor(number));
  report.connection->write(codec::http::encodeRequest(
      "PUT", std::string(reportPathPrefix) + codec::http::encodePathSegment(serverName_), address_.toString(),
      {}, isInService_ ? inServiceBody : outOfServiceBody));
  report.timeoutTimer = reactor_.after(reportTimeout, [this, number] {
    const auto timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(reportTimeout).count();
    finishReport(number, fmt::format("no response within {} ms", timeoutMs));
  });
}

net::ConnectionCallbacks RegistryClient::callbacksFor(std::uint64_t number) {
  net::ConnectionCallbacks callbacks;
  callbacks.onData = [this, number](std::string_view bytes) -> std::size_t {
    const auto response = codec::http::readResponse(bytes);
    if (!response) return 0;
    if (response->status == acceptedStatus)
      finishReport(number, std::nullopt);
    else
      finishReport(number, fmt::format("HTTP status {}, expected {}", response->status, acceptedStatus));
    return response->size;
  };
  callbacks.onClosed = [this, number](net::CloseReason, const std::string& detail) {
    finishReport(number, detail);
  };
  return callbacks;
}

/// @return a random duration from three quarters of `wait` to all of it.
net::Reactor::Wait RegistryClient::jittered(net::Reactor::Wait wait) {
  const auto steps = static_cast<net::Reactor::Wait::rep>(randomSource_(jitterSteps));
  return wait - wait / jitterDivisor * steps / jitterSteps;
}

void RegistryClient::finishReport(std::uint64_t number, const std::optional<std::string>& failure) {
  const auto it = openReports_.find(number);
  if (it == openReports_.end()) return;
  it->second.connection->close();
  openReports_.erase(it);
  if (failure && wasLastReportAccepted_)
    log_.message(logging::LogCategory::registry,
                 "endpoint registry did not accept a report: {}; reporting continues", *failure);
  if (!failure && !wasLastReportAccepted_)
    log_.message(logging::LogCategory::registry, "endpoint registry accepts reports again");
  wasLastReportAccepted_ = !failure;
  isAcknowledged_ = isAcknowledged_ || !failure;
  // Repeats a failed report at the shorter interval if it is the newest. An older report that got no response
  // may have been accepted, and a newer report has been sent already.
  if (failure && number == lastReportNumber_)
    nextReportTimer_ = reactor_.after(jittered(retryInterval), [this] { sendReport(); });
}

}  // namespace rainhook::peers
