// What is yet to be passed on. Each rumour goes out a few times, growing with the logarithm of the fleet
// (SWIM, Das, Gupta and Motivala, DSN 2002, section 4.1); those sent least go first. One rumour a subject: a
// later one of the same member takes the place of the earlier. Holds as many as there are members, and is
// emptied by sending.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/messages.h"

namespace rainhook::membership {

class Rumours {
 public:
  void add(Rumour rumour) {
    const auto key = keyOf(rumour);
    drop(key);
    order_.insert({0, --newest_, key});
    held_.emplace(key, Held{std::move(rumour), 0, newest_});
  }
  void forget(const MemberName& name) { drop({'m', name.text}), drop({'h', name.text}); }
  // Those to be sent next, `first` (of the one who is written to) before all others.
  std::vector<Rumour> next(std::size_t most, const MemberName& first) const {
    std::vector<Rumour> out;
    const auto own = held_.find({'m', first.text});
    if (own != held_.end()) out.push_back(own->second.rumour);
    for (const auto& at : order_) {
      if (out.size() >= most) break;
      if (own == held_.end() || at.key != own->first) out.push_back(held_.at(at.key).rumour);
    }
    return out;
  }
  // These went out once more, in a fleet of so many.
  void sent(const std::vector<Rumour>& rumours, std::size_t count, std::size_t members) {
    std::size_t times = 4;  // and four more for each ten times as many
    for (std::size_t n = members; n >= 10; n /= 10) times += 4;
    for (std::size_t i = 0; i < count; ++i) {
      const auto it = held_.find(keyOf(rumours[i]));
      if (it == held_.end()) continue;
      Held& held = it->second;
      order_.erase({held.times, held.number, it->first});
      if (++held.times >= times)
        held_.erase(it);
      else
        order_.insert({held.times, held.number, it->first});
    }
  }
  std::size_t size() const { return held_.size(); }

 private:
  using Key = std::pair<char, std::string>;  // of a member, of who hears it, of a zone
  struct Held {
    Rumour rumour;
    std::size_t times = 0;
    std::int64_t number = 0;  // the newest first among those sent as often
  };
  struct Place {
    std::size_t times = 0;
    std::int64_t number = 0;
    Key key;
    auto operator<=>(const Place&) const = default;
  };
  static Key keyOf(const Rumour& rumour) {
    if (rumour.says == Rumour::Says::heard) return {'h', rumour.who.name.text};
    if (rumour.says == Rumour::Says::zoneSilent || rumour.says == Rumour::Says::zoneDead)
      return {'z', rumour.who.zone.text};
    return {'m', rumour.who.name.text};
  }
  void drop(const Key& key) {
    const auto it = held_.find(key);
    if (it == held_.end()) return;
    order_.erase({it->second.times, it->second.number, key});
    held_.erase(it);
  }

  std::map<Key, Held> held_;
  std::set<Place> order_;
  std::int64_t newest_ = 0;
};

}  // namespace rainhook::membership
