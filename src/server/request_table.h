/// @file
/// The table of requests in flight. It makes no decisions.
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

/// A point in time on the steady clock.
using TimePoint = net::Reactor::Clock::time_point;

/// The state of a request. The order matters: in `executing` and all later states, the engine executes it.
enum class RequestState {
  queued,                   ///< The request is in the admission queue.
  awaitingOriginal,         ///< A duplicate that will be answered with the result of its original.
  executing,                ///< The execution was started at the engine.
  downstreamCallRequested,  ///< Executing; it requested a downstream call that has not been made yet.
  callingDownstream         ///< Executing; its downstream call is open.
};

/// A command to the execution engine for one request; `none` if no command needs to be sent again.
enum class EngineCommand { none, startExecution, deliverReply, continueWithoutReply };

/// A request from its arrival until it has been answered and its execution has ended.
struct InFlightRequest {
  peers::IncomingRequest incoming;  ///< The request as it was read; changed when it is readmitted.
  bool isResponsePending = true;    ///< False after the response was sent or the client disconnected.
  bool wasStarted = false;  ///< Whether a start command was issued, so that the engine may execute it.
  RequestState state = RequestState::queued;  ///< The current state.
  TimePoint stateSince{};                     ///< Start of the execution, or of the wait for the original.

  EngineCommand lastCommand = EngineCommand::none;  ///< The command to send again after a reconnect, if any.
  TimePoint lastCommandAt{};                        ///< When the last command was sent or could not be sent.
  bool wasCommandSent = false;                      ///< False if there was no connection to the engine.
  /// Whether the reply to its last downstream call may have been lost with a connection to the engine.
  bool isReplyUncertain = false;

  std::optional<RequestId> duplicateOf;  ///< The original, if the request is a duplicate.
  std::string downstreamPayload;         ///< The body of the requested downstream call, later its reply.
  std::uint64_t callNotification = 0;    ///< The number of the notification that requested the call.

  /// Returns whether its execution was started and has not ended.
  bool hasOpenExecution() const { return state >= RequestState::executing; }
};

/// All requests in flight, by id and by name, and the duplicates that await their originals.
///
/// Bounds: RequestServer limits the number of requests in flight, including duplicates, so that they fit in a
/// quarter of the memory limit.
///
/// Removal: `remove` is called when a request has been answered and its execution has ended.
///
/// Must be used on the event-loop thread only.
class RequestTable {
 public:
  /// Adds a request, whose name must not be in flight. The reference is valid until the request is removed.
  InFlightRequest& add(RequestId id, peers::IncomingRequest&& request);

  /// Returns the request, or null if it is not in flight.
  InFlightRequest* find(RequestId id);
  /// Returns the id of the request with this name, which the engine and the downstream service use to
  /// identify it, or none if it is not in flight.
  std::optional<RequestId> findByName(const std::string& name) const;
  /// Removes the request. Does nothing if it is not in flight.
  void remove(RequestId id);

  /// Registers a duplicate whose state is `awaitingOriginal`.
  void awaitOriginal(RequestId original, RequestId duplicate) {
    awaitingOriginal_.emplace(original, duplicate);
  }
  /// Changes the state of a duplicate that awaits its original back to `queued`.
  void stopAwaitingOriginal(RequestId id, InFlightRequest& request);
  /// Returns the duplicates that await this original, ordered by id.
  std::vector<RequestId> duplicatesAwaiting(RequestId original) const;

  /// Returns the number of requests in flight.
  std::size_t size() const { return requests_.size(); }
  /// Returns all requests in flight, by id.
  const std::map<RequestId, InFlightRequest>& all() const { return requests_; }

 private:
  std::map<RequestId, InFlightRequest> requests_;
  std::map<std::string, RequestId> idsByName_;
  std::set<std::pair<RequestId, RequestId>> awaitingOriginal_;  // original, duplicate
};

}  // namespace rainhook::server
