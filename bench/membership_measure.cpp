// Membership measured in one run against two baselines: each beats to each with a fixed time-out, and plain
// SWIM (the same program with what was added taken out). Simulated time, fixed seeds; then sixteen processes.
// Prints a table and, last, one line `measure membership: name=value ...`.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "simulated_fleet.h"

namespace {

using namespace rainhook::membership;
using namespace std::chrono_literals;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
double at(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

ProtocolSettings plainSwim() {
  ProtocolSettings out;
  out.useLocalHealth = out.detectPauses = out.requireCorroboration = out.shortenByConfirmations = false;
  return out;
}

SimulatedFleet together(std::size_t count, int seed, const ProtocolSettings& settings) {
  SimulatedFleet fleet(count, 3, static_cast<std::uint64_t>(seed), settings);
  fleet.startAll();
  fleet.runFor(1s);
  fleet.introduceAll();
  fleet.runFor(20s);
  return fleet;
}

struct Found {
  std::vector<double> first, last;
};
Found detection(std::size_t count, int seeds, const ProtocolSettings& settings) {
  Found out;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = together(count, seed, settings);
    const Duration killed = fleet.now;
    const std::size_t who = 1;
    fleet.kill(who);
    fleet.runUntil(300s, [&] {
      for (std::size_t by = 0; by < count; ++by)
        if (by != who && fleet.stateSeen(by, who) != MemberState::dead) return false;
      return true;
    });
    std::vector<double> times;
    for (const auto& node : fleet.nodes)
      for (const auto& [when, event] : node.events)
        if (when >= killed && event.type == MembershipEvent::Type::stateChanged &&
            event.state == MemberState::dead && event.member.name == SimulatedFleet::name(who))
          times.push_back(seconds(when - killed));
    if (times.size() + 1 < count) continue;
    out.first.push_back(at(times, 0)), out.last.push_back(at(times, 1));
  }
  return out;
}

// Verdicts on members that live, an hour, over all views.
double falseVerdicts(std::size_t count, int seeds, const ProtocolSettings& settings,
                     const std::function<void(SimulatedFleet&, pcg32&)>& trouble) {
  double hours = 0;
  std::size_t verdicts = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = together(count, seed, settings);
    pcg32 chance(static_cast<std::uint64_t>(seed));
    const std::size_t before = fleet.deathsDeclared();
    const Duration from = fleet.now;
    trouble(fleet, chance);
    verdicts += fleet.deathsDeclared() - before;
    hours += seconds(fleet.now - from) / 3600;
  }
  return static_cast<double>(verdicts) / hours;
}

void pauses(SimulatedFleet& fleet, pcg32& chance) {
  for (int round = 0; round < 30; ++round) {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, fleet.nodes.size() / 10); ++i)
      fleet.pause(chance(static_cast<std::uint32_t>(fleet.nodes.size())),
                  1s + std::chrono::milliseconds(chance(4000)));
    fleet.runFor(20s);
  }
}
void losses(SimulatedFleet& fleet, pcg32&) {
  fleet.link = [](auto, auto) { return SimulatedFleet::Link{0.2, {}}; };
  fleet.runFor(600s);
}
void oneSided(SimulatedFleet& fleet, pcg32& chance) {
  for (int round = 0; round < 10; ++round) {
    const std::size_t a = chance(static_cast<std::uint32_t>(fleet.nodes.size())),
                      b = (a + 1) % fleet.nodes.size();
    const bool both = round % 2 == 0;
    fleet.link = [=](auto from, auto to) {
      return SimulatedFleet::Link{(from == a && to == b) || (both && from == b && to == a) ? 1.0 : 0.0, {}};
    };
    fleet.runFor(60s);
  }
}

struct Load {
  double messages = 0, bytes = 0, stateBytes = 0;
};
Load load(std::size_t count, const ProtocolSettings& settings) {
  SimulatedFleet fleet = together(count, 1, settings);
  // What all have to say of all at the start is said; then it is the load of a fleet in which nothing
  // happens.
  fleet.runUntil(1200s, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                       [](const auto& node) { return node.member->queuedUpdates() == 0; });
  });
  for (auto& node : fleet.nodes) node.datagrams = node.bytes = node.stateBytes = 0;
  const Duration from = fleet.now;
  fleet.runFor(30s);
  Load out;
  const double over = seconds(fleet.now - from) * static_cast<double>(count);
  for (const auto& node : fleet.nodes)
    out.messages += static_cast<double>(node.datagrams) / over,
        out.bytes += static_cast<double>(node.bytes) / over,
        out.stateBytes += static_cast<double>(node.stateBytes) / over;
  return out;
}

// Each beats to each in every period; who was not heard for five is dead. A stop of the hearer looks like the
// death of all: after it the time-outs are looked at before the socket is, as a timer does.
struct Beats {
  std::size_t count;
  double deathsAnHour = 0, found = 0;
  static constexpr double timeout = 5, beatBytes = 64;
  double bytes() const { return static_cast<double>(count - 1) * beatBytes; }
  static double lossVerdicts(std::size_t count, double loss, pcg32& chance, double secs) {
    double verdicts = 0;
    std::uniform_real_distribution<> any;
    for (std::size_t pair = 0; pair < count * (count - 1); ++pair)
      for (double silent = 0, t = 0; t < secs; t += 1) {
        silent = any(chance) < loss ? silent + 1 : 0;
        verdicts += silent == timeout;
      }
    return verdicts / secs * 3600;
  }
  // A stop of over the time-out is the death of all the others at the one who was stopped, and its death at
  // them.
  static double pauseVerdicts(std::size_t count, pcg32& chance, double rounds) {
    double verdicts = 0;
    for (double round = 0; round < rounds; ++round)
      for (std::size_t i = 0; i < std::max<std::size_t>(1, count / 10); ++i)
        if (1 + chance(4000) / 1000.0 + 1 > timeout) verdicts += 2.0 * static_cast<double>(count - 1);
    return verdicts / (rounds * 20) * 3600;
  }
};

double healing(std::size_t count, int seeds) {
  std::vector<double> out;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = together(count, seed, {});
    fleet.link = [](auto from, auto to) { return SimulatedFleet::Link{from % 2 == to % 2 ? 0.0 : 1.0, {}}; };
    fleet.runFor(120s);
    fleet.healAllLinks();
    const Duration from = fleet.now;
    if (fleet.runUntil(200s, [&] { return fleet.hasConverged(); })) out.push_back(seconds(fleet.now - from));
  }
  return at(out, 0.5);
}

double processorOfSixteen() {
  rainhook::fleet::Fleet fleet(16, 3, 1, 1s);
  fleet.startAll();
  fleet.until([&] { return fleet.agreed(); });
  const auto ticks = [&] {
    double sum = 0;
    for (std::size_t i = 0; i < 16; ++i) {
      std::ifstream in("/proc/" + std::to_string(fleet.process(i).id()) + "/stat");
      std::string word;
      for (int field = 1; field <= 15 && in >> word; ++field)
        if (field >= 14) sum += std::stod(word);
    }
    return sum;
  };
  const double before = ticks();
  fleet.pass(20s);
  return (ticks() - before) / static_cast<double>(::sysconf(_SC_CLK_TCK)) / 20 / 16;
}

}  // namespace

int main() {
  const ProtocolSettings ours, plain = plainSwim();
  std::string line = "measure membership:";
  const auto row = [&](const std::string& name, double value, double swim, double beats) {
    fmt::print("{:<44} {:>10.3f} {:>12.3f} {:>12.3f}\n", name, value, swim, beats);
    for (const auto& [of, number] :
         {std::pair("", value), std::pair("_swim", swim), std::pair("_beats", beats)}) {
      std::string key = name + of;
      std::replace(key.begin(), key.end(), ' ', '_');
      line += fmt::format(" {}={:.3f}", key, number);
    }
  };
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  fmt::print("{:<44} {:>10} {:>12} {:>12}\n", "", "ours", "plain SWIM", "beats");
  for (const auto& [count, seeds] : {std::pair<std::size_t, int>{10, 40}, {100, 10}, {1000, 1}}) {
    const auto mine = detection(count, seeds, ours), swim = detection(count, seeds, plain);
    const auto of = std::to_string(count);
    row("first verdict s median " + of, at(mine.first, 0.5), at(swim.first, 0.5), Beats::timeout);
    row("first verdict s p99 " + of, at(mine.first, 0.99), at(swim.first, 0.99), Beats::timeout + 1);
    row("last verdict s median " + of, at(mine.last, 0.5), at(swim.last, 0.5), Beats::timeout);
    row("last verdict s p99 " + of, at(mine.last, 0.99), at(swim.last, 0.99), Beats::timeout + 1);
  }
  for (const std::size_t count : {10, 100}) {
    const int seeds = count == 10 ? 10 : 2;
    const auto of = std::to_string(count);
    pcg32 chance(1);
    row("false an hour pauses " + of, falseVerdicts(count, seeds, ours, pauses),
        falseVerdicts(count, seeds, plain, pauses), Beats::pauseVerdicts(count, chance, 1000));
    row("false an hour loss " + of, falseVerdicts(count, seeds, ours, losses),
        falseVerdicts(count, seeds, plain, losses),
        Beats::lossVerdicts(count, 0.2, chance, count == 10 ? 36000 : 3600));
    row("false an hour one-sided " + of, falseVerdicts(count, seeds, ours, oneSided),
        falseVerdicts(count, seeds, plain, oneSided), static_cast<double>(10 + 5) * 3600 / 600);
  }
  for (const std::size_t count : {10, 100, 1000}) {
    const auto mine = load(count, ours), swim = load(count, plain);
    const auto of = std::to_string(count);
    row("messages a second " + of, mine.messages, swim.messages, static_cast<double>(count - 1));
    row("bytes a second " + of, mine.bytes, swim.bytes, Beats{count}.bytes());
    row("state bytes a second " + of, mine.stateBytes, swim.stateBytes, 0);
  }
  row("healing s 12", healing(12, 20), 0, 0);
  row("healing s 100", healing(100, 3), 0, 0);
  row("cores a process of 16", processorOfSixteen(), 0, 0);
  fmt::print("{}\n", line);
}
