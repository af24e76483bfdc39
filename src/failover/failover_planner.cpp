#include "failover/failover_planner.h"

#include <algorithm>
#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>
#include <cmath>
#include <optional>

namespace rainhook::failover {

using namespace std::chrono_literals;

namespace {

constexpr double saturatedFrom = 0.5;  // of the time held back: what it does then is what it can do
constexpr double growth = 1.5;         // of what a zone has shown, at most, is believed of it at once
constexpr double slower = 3;           // times the others' time for a req: a gray zone
constexpr double steady = 0.02;        // of the traffic: a smaller change is none
constexpr std::uint32_t mostReturns = 8;
constexpr double unit = 1.0 / 64;  // of a req a second: flows are whole numbers

double seconds(Span span) { return std::chrono::duration<double>(span).count(); }

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// A graph with capacities and costs, whose flow is asked for once.
class Network {
 public:
  Network() { source_ = node(), sink_ = node(); }
  std::size_t node() { return boost::add_vertex(graph_); }
  std::size_t source() const { return source_; }
  std::size_t sink() const { return sink_; }
  // The number by which its flow is asked for.
  std::size_t edge(std::size_t from, std::size_t to, double capacity, double cost) {
    const auto whole = static_cast<long>(std::floor(std::max(capacity, 0.0) / unit + 1e-9));
    const double priced = cost;  // no whole number: Boost adds up the greatest one for what is out of reach
    const auto there = boost::add_edge(from, to, graph_).first,
               back = boost::add_edge(to, from, graph_).first;
    boost::put(boost::edge_capacity, graph_, there, whole),
        boost::put(boost::edge_capacity, graph_, back, 0L);
    boost::put(boost::edge_weight, graph_, there, priced),
        boost::put(boost::edge_weight, graph_, back, -priced);
    boost::put(boost::edge_reverse, graph_, there, back),
        boost::put(boost::edge_reverse, graph_, back, there);
    edges_.push_back(there);
    return edges_.size() - 1;
  }
  void solve() { boost::successive_shortest_path_nonnegative_weights(graph_, source_, sink_); }
  double flow(std::size_t number) const {
    const auto edge = edges_[number];
    return static_cast<double>(boost::get(boost::edge_capacity, graph_, edge) -
                               boost::get(boost::edge_residual_capacity, graph_, edge)) *
           unit;
  }

 private:
  using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
  using Graph = boost::adjacency_list<
      boost::vecS, boost::vecS, boost::directedS, boost::no_property,
      boost::property<boost::edge_capacity_t, long,
                      boost::property<boost::edge_residual_capacity_t, long,
                                      boost::property<boost::edge_reverse_t, Traits::edge_descriptor,
                                                      boost::property<boost::edge_weight_t, double>>>>>;
  Graph graph_;
  std::size_t source_, sink_;
  std::vector<Traits::edge_descriptor> edges_;
};

}  // namespace

const char* nameOf(ZoneState state) {
  constexpr const char* names[] = {"in service", "strained", "leaving", "out", "filling"};
  return names[static_cast<std::size_t>(state)];
}

double Plan::share(const ZoneName& origin, const ZoneName& target) const {
  const auto from = shares.find(origin);
  if (from != shares.end())
    if (const auto to = from->second.find(target); to != from->second.end()) return to->second;
  if (origin != target) return 0;
  double away = 0;
  if (from != shares.end())
    for (const auto& [zone, share] : from->second) away += share;
  return std::max(0.0, 1 - away);
}

double Planner::cost(const ZoneName& from, const ZoneName& to) const {
  for (const auto& pair : {std::pair(from, to), std::pair(to, from)})
    if (const auto it = terms_.costs.find(pair); it != terms_.costs.end()) return it->second;
  return terms_.zones.at(from) == terms_.zones.at(to) ? terms_.inRegion : terms_.beyond;
}

double Planner::marginAt(Span age) const {
  return std::clamp(terms_.margin + terms_.marginASecond * seconds(age), 0.0, 1.0);
}

Span Planner::wait(std::uint32_t returns) const {
  return terms_.look * (1LL << std::min(returns, mostReturns));
}

// What a zone reads is its own callers' and what others hand to it. What it can do is what it does while reqs
// wait there; else what it would do at its limit, each taking as long as now (Little's law), though never
// more than half as much again as it has shown.
std::map<ZoneName, Planner::Load> Planner::loads(const Seen& seen, const Plan& before) const {
  std::map<ZoneName, Load> out;
  const auto figures = [&](const ZoneName& zone) -> const ZoneFigures* {
    const auto it = seen.zones.find(zone);
    return it == seen.zones.end() || it->second.members == 0 || it->second.silent ? nullptr : &it->second;
  };
  for (const auto& [zone, region] : terms_.zones) {
    Load& load = out[zone];
    const ZoneFigures* now = figures(zone);
    if (!now) continue;
    load.saturated = now->heldBack >= saturatedFrom;
    const auto it = before.zones.find(zone);
    const double proven = it == before.zones.end() ? 0 : it->second.proven;
    const double shown = std::max(now->done, load.saturated ? 0.0 : proven);
    const double atLimit =
        now->running > 0 ? now->done * std::max(1.0, now->limit / now->running) : now->done;
    load.capacity = load.saturated ? shown : std::max(shown, std::min(atLimit, growth * shown));
    load.near = now->read;
  }
  // What is handed on shows at both ends; a few rounds find what each has of its own.
  for (int round = 0; round < 4; ++round)
    for (auto& [zone, load] : out) {
      load.given = 0;
      for (const auto& [origin, to] : before.shares)
        if (origin != zone && out.contains(origin))
          load.given += before.share(origin, zone) * out.at(origin).near;
      if (const auto* now = figures(zone)) load.near = std::max(0.0, now->read - load.given);
    }
  return out;
}

// Zones whose reqs take much longer than those of the others, for three looks: an overloaded one is held back
// by its limit and is not among them.
std::set<ZoneName> Planner::grayOf(Span now, const Seen& seen) {
  std::map<ZoneName, double> times;
  for (const auto& [zone, figures] : seen.zones)
    if (terms_.zones.contains(zone) && figures.members > 0 && figures.done > 0 && figures.running > 0 &&
        figures.age < terms_.useless)
      times[zone] = figures.running / figures.done;
  std::set<ZoneName> out;
  for (const auto& [zone, region] : terms_.zones) {
    std::vector<double> others;
    for (const auto& [other, time] : times)
      if (other != zone) others.push_back(time);
    const auto own = times.find(zone);
    Watch& watch = watches_[zone];
    const bool worse = own != times.end() && !others.empty() && own->second > slower * median(others);
    if (!worse)
      watch.worseSince = Span{-1};
    else if (watch.worseSince < Span{})
      watch.worseSince = now;
    // Half as slow again as what makes it gray is not yet well.
    const bool well = own == times.end() || others.empty() || own->second < slower / 2 * median(others);
    if (!well)
      watch.wellSince = Span{-1};
    else if (watch.wellSince < Span{})
      watch.wellSince = now;
    if (worse && now - watch.worseSince >= 3 * terms_.look) out.insert(zone);
  }
  return out;
}

// The state that follows for one zone.
void Planner::judge(Span now, const ZoneName& zone, const Seen& seen, const Load& load, bool gray,
                    const Orders& orders, const ZonePlan& before, ZonePlan& out) {
  Watch& watch = watches_[zone];
  const auto it = seen.zones.find(zone);
  const bool gone = it == seen.zones.end() || it->second.members == 0 || it->second.silent;
  const auto become = [&](ZoneState state, double fill, std::string why) {
    if (out.state != state) watch.since = now;
    out.state = state, out.fill = fill, out.why = std::move(why);
  };
  if (watch.since < Span{}) watch.since = now;
  out = before;
  if (!gone) {
    out.proven = load.saturated ? 0.7 * before.proven + 0.3 * it->second.done
                                : std::max(0.999 * before.proven, it->second.done);
    if (before.proven <= 0) out.proven = it->second.done;
  }
  if (gone) {
    if (before.state != ZoneState::out) {
      if (before.state == ZoneState::filling ||
          (watch.failedAt >= Span{} && now - watch.failedAt < wait(mostReturns)))
        out.returns = std::min(before.returns + 1, mostReturns);
      watch.failedAt = now;
    }
    watch.steppedAt = now;
    return become(ZoneState::out, 0, "nobody of it is heard");
  }
  if (orders.drained.contains(zone)) return become(ZoneState::leaving, 0, "drained by order");
  if (gray && before.state != ZoneState::leaving) {
    if (before.state == ZoneState::filling) out.returns = std::min(before.returns + 1, mostReturns);
    return become(ZoneState::leaving, 0, "its reqs take over three times as long as elsewhere");
  }
  switch (before.state) {
    case ZoneState::leaving:
      // Back from a drain, or gray no more: after a while in which it was well.
      if (watch.wellSince < Span{} || now - watch.wellSince < wait(out.returns) ||
          now - watch.since < wait(out.returns))
        return;
      watch.steppedAt = now;
      return become(ZoneState::filling, terms_.step, "well again");
    case ZoneState::out:
      if (now - watch.steppedAt < wait(out.returns)) {
        out.why = "heard again, and waited for";
        return;
      }
      watch.steppedAt = now;
      return become(ZoneState::filling, terms_.step, "heard again");
    case ZoneState::filling:
      if (now - watch.steppedAt < terms_.look) return;
      watch.steppedAt = now;
      if (load.saturated && before.fill < 1) {  // the last step was too much: back, and wait longer
        out.returns = std::min(before.returns + 1, mostReturns);
        watch.steppedAt = now + wait(out.returns) - terms_.look;
        out.fill = std::max(terms_.step / 2, before.fill - terms_.step);
        out.why = "reqs wait there: a step back";
        return;
      }
      if (before.fill + terms_.step >= 1) return become(ZoneState::inService, 1, "filled");
      out.fill = before.fill + terms_.step;
      out.why = "it does what it gets";
      return;
    case ZoneState::inService:
    case ZoneState::strained:
      if (out.returns > 0 && now - watch.since >= wait(mostReturns)) --out.returns, watch.since = now;
      if (load.saturated && load.near > load.capacity)
        return become(ZoneState::strained, 1, "more than it can do");
      if (before.state == ZoneState::strained && load.saturated) return;  // no way back while reqs wait
      if (before.state == ZoneState::strained && now - watch.since < terms_.look) return;
      return become(ZoneState::inService, 1,
                    before.state == ZoneState::strained ? "does what it gets" : before.why);
  }
}

// What others may hand to a zone.
double Planner::room(const ZoneName& zone, const Seen& seen, const Load& load, const Plan& next) const {
  const auto it = seen.zones.find(zone);
  const ZonePlan& plan = next.zones.at(zone);
  if (plan.state == ZoneState::leaving || plan.state == ZoneState::out || it == seen.zones.end() ||
      it->second.age >= terms_.useless)
    return 0;
  return std::max(0.0, load.capacity * plan.fill * (1 - marginAt(it->second.age)) - load.near);
}

// From the origins, as much of each as is not safe near, to the targets, as much as has room. What an origin
// may be using of a target already goes on first; only what no grant counts is granted anew.
Shares Planner::flow(const Seen& seen, const std::map<ZoneName, Load>& loads, const Plan& next,
                     const std::vector<Plan>& inUse) const {
  struct Target {
    std::size_t fresh, kept;
  };
  struct Way {
    ZoneName origin, target;
    std::size_t edge;
  };
  Network network;
  const double any = 1e9;
  std::map<ZoneName, Target> targets;
  std::map<std::pair<ZoneName, ZoneName>, double> used;  // a second
  for (const auto& [target, load] : loads) {
    double taken = 0;
    for (const auto& [origin, from] : loads) {
      double most = 0;
      for (const auto& plan : inUse)
        if (origin != target) most = std::max(most, plan.share(origin, target) * from.near);
      used[{origin, target}] = most, taken += most;
    }
    const double room = this->room(target, seen, load, next);
    if (room <= 0) continue;
    const auto node = network.node();
    const Target at{network.node(), network.node()};
    network.edge(node, network.sink(), room, 0);
    network.edge(at.fresh, node, load.saturated ? 0 : room - taken, 0);
    network.edge(at.kept, node, any, 0);
    targets.emplace(target, at);
  }
  std::vector<Way> ways;
  for (const auto& [origin, load] : loads) {
    const ZonePlan& plan = next.zones.at(origin);
    double excess = 0;  // what is not safe near
    if (plan.state == ZoneState::leaving || plan.state == ZoneState::out) excess = load.near;
    if (plan.state == ZoneState::strained) excess = load.near - load.capacity;
    if (plan.state == ZoneState::filling) excess = load.near - load.capacity * plan.fill;
    if (excess <= 0) continue;
    const auto from = network.node();
    network.edge(network.source(), from, excess, 0);
    for (const auto& [target, at] : targets) {
      if (target == origin || seen.cut.contains({origin, target})) continue;
      const double price = cost(origin, target);
      ways.push_back({origin, target, network.edge(from, at.fresh, excess, price)});
      if (const double kept = used.at({origin, target}); kept > 0)
        ways.push_back({origin, target, network.edge(from, at.kept, kept, price)});
    }
  }
  Shares out;
  if (ways.empty()) return out;
  network.solve();
  for (const auto& way : ways)
    if (const double flow = network.flow(way.edge); flow > 0)
      out[way.origin][way.target] += flow / loads.at(way.origin).near;
  return out;
}

Plan Planner::next(Span now, const Seen& seen, const Orders& orders, const Plan& before,
                   const std::vector<Plan>& inUse) {
  if (orders.held) return before;
  const auto loads = this->loads(seen, before);
  const auto gray = grayOf(now, seen);
  Plan out = before;
  std::erase_if(out.zones, [&](const auto& entry) { return !terms_.zones.contains(entry.first); });
  for (const auto& [zone, region] : terms_.zones) {
    const auto it = before.zones.find(zone);
    judge(now, zone, seen, loads.at(zone), gray.contains(zone), orders,
          it == before.zones.end() ? ZonePlan{} : it->second, out.zones[zone]);
  }
  std::vector<Plan> counted = inUse;
  counted.push_back(before);
  out.shares = flow(seen, loads, out, counted);
  // Bounded steps: what grows grows by a step; what shrinks may shrink at once.
  for (auto& [origin, to] : out.shares) {
    const auto state = out.zones.at(origin).state;
    if (state == ZoneState::leaving || state == ZoneState::out) continue;
    for (auto& [target, share] : to) share = std::min(share, before.share(origin, target) + terms_.step);
  }
  for (auto& [origin, to] : out.shares)
    std::erase_if(to, [](const auto& entry) { return entry.second < 1e-6; });
  std::erase_if(out.shares, [](const auto& entry) { return entry.second.empty(); });
  // Figures that move a little give no new plan.
  bool news = out.zones.size() != before.zones.size();
  for (const auto& [zone, plan] : out.zones) {
    const auto it = before.zones.find(zone);
    news = news || it == before.zones.end() || it->second.state != plan.state ||
           it->second.fill != plan.fill || it->second.returns != plan.returns ||
           std::abs(it->second.proven - plan.proven) > 0.25 * std::max(it->second.proven, 1.0);
    for (const auto& [target, region] : terms_.zones)
      news =
          news || (zone != target && std::abs(out.share(zone, target) - before.share(zone, target)) > steady);
  }
  // But no room is passed, however little.
  for (const auto& [target, load] : loads) {
    double given = 0;
    for (const auto& [origin, from] : loads)
      if (origin != target) given += before.share(origin, target) * from.near;
    news = news || given > room(target, seen, load, out) + unit;
  }
  if (!news) return before;
  out.version = PlanVersion{static_cast<std::uint64_t>(before.version) + 1};
  return out;
}

}  // namespace rainhook::failover
