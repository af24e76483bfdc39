/// @file
/// The requests in flight. The table decides nothing.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "net/reactor.h"
#include "peers/request_listener.h"

namespace rainhook::server {

/// A point of the steady clock.
using Moment = net::Reactor::Clock::time_point;

/// Where a request stands. The order matters: from `executing` on, the engine has it.
enum class RequestState {
  queued,               ///< In the admission queue.
  awaitingOriginal,     ///< A duplicate that is answered with the result of its original.
  executing,            ///< Started at the engine.
  wantsDownstreamCall,  ///< Executing; asked for a downstream call that was not made yet.
  callingDownstream     ///< Executing; its downstream call is open.
};

/// A command to the execution engine for one request.
enum class EngineCommand { none, startExecution, deliverReply, continueWithoutReply };

/// One request from its arrival until it is answered and its execution has ended.
struct InFlightRequest {
  peers::IncomingRequest request;  ///< As it was read.
  bool isResponsePending = true;   ///< False once it is answered or its client is gone.
  bool wasStarted = false;         ///< The engine may have it: it was told at least once to execute it.
  RequestState state = RequestState::queued;  ///< Where it stands.
  Moment stateSince{};                        ///< Start of the execution, or of the wait for the original.

  EngineCommand lastCommand = EngineCommand::none;  ///< None where there is nothing to send again.
  Moment lastCommandAt{};                           ///< When it was sent or tried.
  bool wasCommandSent = false;                      ///< False where there was no connection to the engine.

  std::optional<RequestId> duplicateOf;  ///< Its original, where it has one.
  std::string downstreamPayload;         ///< Body of the requested call, later its reply.
  std::uint64_t callNotificationId = 0;  ///< The engine's notification that asked for the call.

  /// Whether its execution was started and has not ended.
  bool isWithEngine() const { return state >= RequestState::executing; }
};

/// All requests in flight, by id and by name, and the duplicates that await their originals.
///
/// Bounds: RequestServer adds no request beyond a quarter of the memory limit; duplicates are requests in
/// flight themselves.
///
/// Removal: `remove` removes a request when its response and its execution have both ended.
///
/// Used from the event loop's thread only.
class RequestTable {
 public:
  /// The name must not be in flight. The reference is valid until the request is removed.
  InFlightRequest& add(RequestId id, peers::IncomingRequest&& request);

  /// Null where no such request is in flight.
  InFlightRequest* find(RequestId id);
  /// The id of the request that the engine and the downstream service know by this name.
  std::optional<RequestId> findByName(const std::string& name) const;
  /// Ignored where no such request is in flight.
  void remove(RequestId id);

  /// Registers a duplicate whose state is `awaitingOriginal`.
  void awaitOriginal(RequestId original, RequestId duplicate) {
    awaitingOriginal_.emplace(original, duplicate);
  }
  /// Puts a duplicate that awaits its original back to `queued`.
  void stopAwaitingOriginal(RequestId id, InFlightRequest& request);
  /// The duplicates that await this original, by id.
  std::vector<RequestId> duplicatesAwaiting(RequestId original) const;

  /// Number of requests in flight.
  std::size_t size() const { return requests_.size(); }
  /// All requests in flight, by id.
  const std::map<RequestId, InFlightRequest>& all() const { return requests_; }

 private:
  std::map<RequestId, InFlightRequest> requests_;
  std::map<std::string, RequestId> idsByName_;
  std::set<std::pair<RequestId, RequestId>> awaitingOriginal_;  // original, duplicate
};

}  // namespace rainhook::server
