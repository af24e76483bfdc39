#include "server/request_table.h"

namespace rainhook::server {

InFlightRequest& RequestTable::add(RequestId id, peers::IncomingRequest&& request) {
  idsByName_.insert_or_assign(request.name, id);
  InFlightRequest& entry = requests_[id];
  entry.incoming = std::move(request);
  return entry;
}

InFlightRequest* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

std::optional<RequestId> RequestTable::findByName(const std::string& name) const {
  const auto it = idsByName_.find(name);
  return it == idsByName_.end() ? std::nullopt : std::optional(it->second);
}

void RequestTable::remove(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  idsByName_.erase(it->second.incoming.name);
  stopAwaitingOriginal(id, it->second);
  requests_.erase(it);
}

void RequestTable::stopAwaitingOriginal(RequestId id, InFlightRequest& request) {
  if (request.state != RequestState::awaitingOriginal) return;
  if (request.duplicateOf) awaitingOriginal_.erase({*request.duplicateOf, id});
  request.state = RequestState::queued;
}

std::vector<RequestId> RequestTable::duplicatesAwaiting(RequestId original) const {
  std::vector<RequestId> duplicates;
  auto it = awaitingOriginal_.lower_bound({original, RequestId{}});
  for (; it != awaitingOriginal_.end() && it->first == original; ++it) duplicates.push_back(it->second);
  return duplicates;
}

}  // namespace rainhook::server
