#include "server/request_table.h"

#include <xxhash.h>

namespace rainhook::server {

InHand& Table::add(ReqId id, net::ArrivedReq&& req) {
  names_.insert_or_assign(req.name, id);
  InHand& entry = inHand_[id];
  entry.req = std::move(req);
  return entry;
}

InHand* Table::find(ReqId id) {
  const auto it = inHand_.find(id);
  return it == inHand_.end() ? nullptr : &it->second;
}

std::optional<ReqId> Table::named(const std::string& name) const {
  const auto it = names_.find(name);
  return it == names_.end() ? std::nullopt : std::optional(it->second);
}

void Table::drop(ReqId id) {
  const auto it = inHand_.find(id);
  if (it == inHand_.end()) return;
  names_.erase(it->second.req.name);
  waitNoMore(id, it->second);
  inHand_.erase(it);
}

void Table::waitNoMore(ReqId id, InHand& req) {
  if (req.course != Course::waitingForFirst) return;
  if (req.repeats) waiting_.erase({*req.repeats, id});
  req.course = Course::held;
}

std::vector<ReqId> Table::waitingFor(ReqId first) const {
  std::vector<ReqId> out;
  for (auto it = waiting_.lower_bound({first, ReqId{}}); it != waiting_.end() && it->first == first; ++it)
    out.push_back(it->second);
  return out;
}

std::optional<Marks::Key> Marks::keyOf(const net::ArrivedReq& req,
                                       const std::vector<HandlerTerms>& handlers) {
  const auto effect = handlers[static_cast<std::size_t>(req.handler)].effect;
  if (effect == Effect::uniqued && !req.mark.empty()) return Key{req.handler, req.mark, {}};
  if (effect == Effect::replayable && req.subject != SubjectId{}) return Key{req.handler, {}, req.subject};
  return std::nullopt;
}

Marks::Content Marks::contentOf(const net::ArrivedReq& req) {
  if (req.mark.empty()) return {};
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(req.body.data(), req.body.size(), static_cast<std::uint64_t>(req.customer));
  return {hash.high64, hash.low64};
}

Marks::Known Marks::firstOf(const Key& key, const Content& content, ReqId id, Time arrived, Time now,
                            Span shareFor) {
  if (const auto it = kept_.find(key); it != kept_.end() && arrived < it->second.until) {
    const Kept& kept = it->second;
    if (kept.content != content) return {{}, true};
    const bool isRead = key.mark.empty();
    const bool over = kept.end != End::none && (kept.end != End::done || now - kept.endedAt > shareFor);
    if (!isRead || !over) return {kept.holder, false};
  }
  const auto [inTurn, isNew] = turn_.try_emplace(key, id, content);
  if (isNew) return {};
  if (inTurn->second.second != content) return {{}, true};
  return {inTurn->second.first, false};
}

void Marks::keep(const Key& key, const Content& content, ReqId id, Time until) {
  Time earlier{};
  if (const auto it = kept_.find(key); it != kept_.end()) {
    if (it->second.holder == id) {
      unplan(it->second);
      it->second.until = until;
      ends_.emplace(until, id);
      return;
    }
    unplan(it->second);
    keys_.erase(it->second.holder);
    dropResult(it->second);
    earlier = std::max(it->second.until, it->second.earlierUntil);
  }
  kept_.insert_or_assign(key, Kept{id, content, until, {}, End::none, {}, earlier});
  keys_.insert_or_assign(id, key);
  ends_.emplace(until, id);
}

void Marks::forget(ReqId id) {
  const auto it = keys_.find(id);
  if (it == keys_.end()) return;
  Kept& kept = kept_.at(it->second);
  dropResult(kept);
  unplan(kept);
  // This one never ran, an earlier one may have: tries of that time, read late, are not to run.
  if (kept.earlierUntil > Time{}) {
    kept.until = std::exchange(kept.earlierUntil, Time{});
    kept.end = End::errored;
    ends_.emplace(kept.until + readLate_, id);
    return;
  }
  kept_.erase(it->second);
  keys_.erase(it);
}

void Marks::unplan(const Kept& kept) {
  ends_.erase({kept.until, kept.holder});
  ends_.erase({kept.until + readLate_, kept.holder});
}

void Marks::dropResult(Kept& kept) {
  results_ -= kept.result.size();
  kept.result.clear();
}

void Marks::ended(ReqId id, End end, Time at, const std::string& result) {
  const auto it = keys_.find(id);
  if (it == keys_.end()) return;
  Kept& kept = kept_.at(it->second);
  dropResult(kept);
  kept.end = end, kept.endedAt = at;
  if (at >= kept.until || results_ + result.size() > mostResults_) {
    kept.end = End::errored;
    return;
  }
  kept.result = result;
  results_ += result.size();
}

void Marks::expire(Time now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const ReqId id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    ++looks_;
    Kept& kept = kept_.at(keys_.at(id));
    if (kept.end == End::done) kept.end = End::errored, dropResult(kept);
    if (kept.until + readLate_ > now) {
      ends_.emplace(kept.until + readLate_, id);
    } else {
      kept.earlierUntil = {};
      forget(id);
    }
  }
}

const Marks::Kept* Marks::find(ReqId id) const {
  const auto it = keys_.find(id);
  return it == keys_.end() ? nullptr : &kept_.at(it->second);
}

}  // namespace rainhook::server
