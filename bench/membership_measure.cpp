/// @file
/// Measures membership and two baselines in one run: heartbeats from each member to each other member with a
/// fixed timeout, and plain SWIM (the same program with its extensions to SWIM disabled). The measurements
/// use simulated time and fixed seeds, except the processor use, which is measured on sixteen processes.
/// Prints a table and, as the last line, `measure membership: name=value ...`.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "simulated_fleet.h"

namespace {

using namespace rainhook::membership;
using namespace std::chrono_literals;

constexpr double secondsPerHour = 3600;
constexpr std::size_t zoneCount = 3;
constexpr double measuredLoss = 0.2;

double toSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Returns the value below which the given ratio of all values lies; 0 if there are no values.
double quantile(std::vector<double> values, double ratio) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(ratio * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, index)];
}

ProtocolSettings plainSwim() {
  ProtocolSettings settings;
  settings.useLocalHealth = false;
  settings.detectPauses = false;
  settings.requireCorroboration = false;
  settings.shortenByConfirmations = false;
  return settings;
}

/// Returns a fleet in which each member knows all other members.
SimulatedFleet makeConvergedFleet(std::size_t count, int seed, const ProtocolSettings& settings) {
  SimulatedFleet fleet(count, zoneCount, static_cast<std::uint64_t>(seed), settings);
  fleet.startAll();
  fleet.runFor(1s);
  fleet.introduceAll();
  fleet.runFor(20s);
  return fleet;
}

/// Seconds from the kill of a member to its first and to its last detection, one pair for each seed with
/// which all other members detect it.
struct DetectionTimes {
  std::vector<double> first;
  std::vector<double> last;
};

bool isDeadForAll(const SimulatedFleet& fleet, std::size_t subject) {
  for (std::size_t viewer = 0; viewer < fleet.nodes.size(); ++viewer)
    if (viewer != subject && fleet.stateSeen(viewer, subject) != MemberState::dead) return false;
  return true;
}

std::vector<double> secondsToDetections(const SimulatedFleet& fleet, std::size_t subject, Duration killedAt) {
  std::vector<double> times;
  for (const auto& node : fleet.nodes)
    for (const auto& [time, event] : node.events)
      if (time >= killedAt && event.type == MembershipEvent::Type::stateChanged &&
          event.state == MemberState::dead && event.member.name == SimulatedFleet::name(subject))
        times.push_back(toSeconds(time - killedAt));
  return times;
}

DetectionTimes measureDetection(std::size_t count, int seeds, const ProtocolSettings& settings) {
  constexpr std::size_t killed = 1;
  DetectionTimes result;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = makeConvergedFleet(count, seed, settings);
    const Duration killedAt = fleet.now;
    fleet.kill(killed);
    fleet.runUntil(300s, [&] { return isDeadForAll(fleet, killed); });
    const std::vector<double> times = secondsToDetections(fleet, killed, killedAt);
    if (times.size() + 1 < count) continue;
    result.first.push_back(quantile(times, 0));
    result.last.push_back(quantile(times, 1));
  }
  return result;
}

using Disturbance = std::function<void(SimulatedFleet&, pcg32&)>;

/// Returns how many deaths of running members are declared per hour, summed over all views.
double measureFalseDeaths(std::size_t count, int seeds, const ProtocolSettings& settings,
                          const Disturbance& disturb) {
  double hours = 0;
  std::size_t deaths = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = makeConvergedFleet(count, seed, settings);
    pcg32 random(static_cast<std::uint64_t>(seed));
    const std::size_t deathsBefore = fleet.deathsDeclared();
    const Duration start = fleet.now;
    disturb(fleet, random);
    deaths += fleet.deathsDeclared() - deathsBefore;
    hours += toSeconds(fleet.now - start) / secondsPerHour;
  }
  return static_cast<double>(deaths) / hours;
}

/// Pauses a tenth of the members for one to five seconds, every 20 seconds.
void pauseMembers(SimulatedFleet& fleet, pcg32& random) {
  const std::size_t pausedCount = std::max<std::size_t>(1, fleet.nodes.size() / 10);
  for (int round = 0; round < 30; ++round) {
    for (std::size_t i = 0; i < pausedCount; ++i) {
      const Duration duration = 1s + std::chrono::milliseconds(random(4000));
      const std::size_t paused = random(static_cast<std::uint32_t>(fleet.nodes.size()));
      fleet.pause(paused, duration);
    }
    fleet.runFor(20s);
  }
}

void loseDatagrams(SimulatedFleet& fleet, pcg32&) {
  fleet.link = [](auto, auto) { return SimulatedFleet::Link{measuredLoss, {}}; };
  fleet.runFor(600s);
}

/// Cuts the link between two members for a minute, alternately in both directions and in one direction.
void cutLinks(SimulatedFleet& fleet, pcg32& random) {
  for (int round = 0; round < 10; ++round) {
    const std::size_t first = random(static_cast<std::uint32_t>(fleet.nodes.size()));
    const std::size_t second = (first + 1) % fleet.nodes.size();
    const bool isCutBothWays = round % 2 == 0;
    fleet.link = [=](auto from, auto to) {
      const bool isForward = from == first && to == second;
      const bool isBackward = from == second && to == first;
      const bool isCut = isForward || (isCutBothWays && isBackward);
      return SimulatedFleet::Link{isCut ? 1.0 : 0.0, {}};
    };
    fleet.runFor(60s);
  }
}

/// The average load that each member sends per second.
struct MessageLoad {
  double messages = 0;
  double bytes = 0;
  double stateBytes = 0;
};

MessageLoad measureMessageLoad(std::size_t count, const ProtocolSettings& settings) {
  SimulatedFleet fleet = makeConvergedFleet(count, 1, settings);
  // After the updates of the start are disseminated, the load is that of an idle fleet.
  fleet.runUntil(1200s, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                       [](const auto& node) { return node.member->queuedUpdates() == 0; });
  });
  for (auto& node : fleet.nodes) {
    node.datagrams = 0;
    node.bytes = 0;
    node.stateBytes = 0;
  }
  const Duration start = fleet.now;
  fleet.runFor(30s);
  const double memberSeconds = toSeconds(fleet.now - start) * static_cast<double>(count);
  MessageLoad load;
  for (const auto& node : fleet.nodes) {
    load.messages += static_cast<double>(node.datagrams) / memberSeconds;
    load.bytes += static_cast<double>(node.bytes) / memberSeconds;
    load.stateBytes += static_cast<double>(node.stateBytes) / memberSeconds;
  }
  return load;
}

/// The heartbeat baseline: each member sends one heartbeat per second to each other member, and a member
/// whose heartbeats are missing for the timeout is declared dead. After a pause, a receiver declares all
/// others dead, because its timers expire before it reads the socket.
class HeartbeatBaseline {
 public:
  static constexpr double timeoutSeconds = 5;

  explicit HeartbeatBaseline(std::size_t count) : count_(count) {}

  [[nodiscard]] double messagesPerSecond() const { return static_cast<double>(count_ - 1); }
  [[nodiscard]] double bytesPerSecond() const { return messagesPerSecond() * heartbeatBytes; }

  /// Returns the false deaths per hour while heartbeats are lost, from a simulation of `seconds` seconds.
  [[nodiscard]] double falseDeathsByLoss(double loss, pcg32& random, double seconds) const {
    double deaths = 0;
    std::uniform_real_distribution<> distribution;
    for (std::size_t pair = 0; pair < count_ * (count_ - 1); ++pair) {
      double silentSeconds = 0;
      for (double time = 0; time < seconds; time += 1) {
        silentSeconds = distribution(random) < loss ? silentSeconds + 1 : 0;
        if (silentSeconds == timeoutSeconds) ++deaths;
      }
    }
    return deaths / seconds * secondsPerHour;
  }

  /// Returns the false deaths per hour while members pause as in `pauseMembers`. When a pause exceeds the
  /// timeout, the paused member declares all others dead and all others declare it dead.
  [[nodiscard]] double falseDeathsByPauses(pcg32& random, int rounds) const {
    double deaths = 0;
    for (int round = 0; round < rounds; ++round)
      for (std::size_t i = 0; i < std::max<std::size_t>(1, count_ / 10); ++i) {
        const double pauseSeconds = 1 + random(4000) / 1000.0;
        if (pauseSeconds + 1 > timeoutSeconds) deaths += 2.0 * static_cast<double>(count_ - 1);
      }
    return deaths / (rounds * 20.0) * secondsPerHour;
  }

  /// Returns the false deaths per hour while links are cut as in `cutLinks`: in ten minutes, two for each of
  /// the five links that are cut in both directions and one for each of the five that are cut in one
  /// direction.
  static constexpr double falseDeathsByCuts() { return (10 + 5) * secondsPerHour / 600; }

 private:
  static constexpr double heartbeatBytes = 64;

  std::size_t count_;
};

/// Returns the median of the seconds until all views agree after the links between two halves are restored.
double measureHealing(std::size_t count, int seeds) {
  std::vector<double> times;
  for (int seed = 1; seed <= seeds; ++seed) {
    SimulatedFleet fleet = makeConvergedFleet(count, seed, {});
    fleet.link = [](auto from, auto to) {
      const bool isSameHalf = from % 2 == to % 2;
      return SimulatedFleet::Link{isSameHalf ? 0.0 : 1.0, {}};
    };
    fleet.runFor(120s);
    fleet.healAllLinks();
    const Duration start = fleet.now;
    if (fleet.runUntil(200s, [&] { return fleet.hasConverged(); }))
      times.push_back(toSeconds(fleet.now - start));
  }
  return quantile(times, 0.5);
}

/// Returns the user and system time of a process in clock ticks: fields 14 and 15 of /proc/PID/stat
/// (proc(5)).
double processorTicks(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/stat");
  double ticks = 0;
  std::string word;
  for (int field = 1; field <= 15 && in >> word; ++field)
    if (field >= 14) ticks += std::stod(word);
  return ticks;
}

/// Returns the number of cores that one of sixteen processes uses in an idle fleet.
double measureProcessorUse() {
  constexpr std::size_t count = 16;
  constexpr int measuredSeconds = 20;
  rainhook::fleet::Fleet fleet(count, zoneCount, 1, 1s);
  fleet.startAll();
  fleet.waitUntil([&] { return fleet.viewsAgree(); });
  const auto ticksOfAll = [&] {
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) sum += processorTicks(fleet.process(i).id());
    return sum;
  };
  const double ticksBefore = ticksOfAll();
  fleet.sleepFor(std::chrono::seconds(measuredSeconds));
  const double usedSeconds = (ticksOfAll() - ticksBefore) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  return usedSeconds / measuredSeconds / count;
}

/// Prints the table and collects the summary line.
class Report {
 public:
  Report() { fmt::print("{:<44} {:>10} {:>12} {:>12}\n", "", "rainhook", "plain SWIM", "heartbeats"); }

  void add(const std::string& name, double value, double swim, double heartbeats) {
    fmt::print("{:<44} {:>10.3f} {:>12.3f} {:>12.3f}\n", name, value, swim, heartbeats);
    addToSummary(name, value);
    addToSummary(name + "_swim", swim);
    addToSummary(name + "_beats", heartbeats);
  }
  void printSummary() const { fmt::print("{}\n", summary_); }

 private:
  void addToSummary(std::string key, double value) {
    std::replace(key.begin(), key.end(), ' ', '_');
    summary_ += fmt::format(" {}={:.3f}", key, value);
  }

  std::string summary_ = "measure membership:";
};

void reportDetection(Report& report, std::size_t count, int seeds) {
  constexpr double timeout = HeartbeatBaseline::timeoutSeconds;
  const std::string size = std::to_string(count);
  const DetectionTimes ours = measureDetection(count, seeds, {});
  const DetectionTimes swim = measureDetection(count, seeds, plainSwim());
  report.add("first verdict s median " + size, quantile(ours.first, 0.5), quantile(swim.first, 0.5), timeout);
  report.add("first verdict s p99 " + size, quantile(ours.first, 0.99), quantile(swim.first, 0.99),
             timeout + 1);
  report.add("last verdict s median " + size, quantile(ours.last, 0.5), quantile(swim.last, 0.5), timeout);
  report.add("last verdict s p99 " + size, quantile(ours.last, 0.99), quantile(swim.last, 0.99), timeout + 1);
}

void reportFalseDeaths(Report& report, std::size_t count, int seeds, double heartbeatSeconds) {
  const std::string size = std::to_string(count);
  const HeartbeatBaseline heartbeats(count);
  pcg32 random(1);
  const auto add = [&](const std::string& name, const Disturbance& disturb, double ofHeartbeats) {
    report.add(name + size, measureFalseDeaths(count, seeds, {}, disturb),
               measureFalseDeaths(count, seeds, plainSwim(), disturb), ofHeartbeats);
  };
  add("false an hour pauses ", pauseMembers, heartbeats.falseDeathsByPauses(random, 1000));
  add("false an hour loss ", loseDatagrams,
      heartbeats.falseDeathsByLoss(measuredLoss, random, heartbeatSeconds));
  add("false an hour one-sided ", cutLinks, HeartbeatBaseline::falseDeathsByCuts());
}

void reportMessageLoad(Report& report, std::size_t count) {
  const std::string size = std::to_string(count);
  const HeartbeatBaseline heartbeats(count);
  const MessageLoad ours = measureMessageLoad(count, {});
  const MessageLoad swim = measureMessageLoad(count, plainSwim());
  report.add("messages a second " + size, ours.messages, swim.messages, heartbeats.messagesPerSecond());
  report.add("bytes a second " + size, ours.bytes, swim.bytes, heartbeats.bytesPerSecond());
  report.add("state bytes a second " + size, ours.stateBytes, swim.stateBytes, 0);
}

}  // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Report report;
  reportDetection(report, 10, 40);
  reportDetection(report, 100, 10);
  reportDetection(report, 1000, 1);
  reportFalseDeaths(report, 10, 10, 36000);
  reportFalseDeaths(report, 100, 2, 3600);
  for (const std::size_t count : {10, 100, 1000}) reportMessageLoad(report, count);
  report.add("healing s 12", measureHealing(12, 20), 0, 0);
  report.add("healing s 100", measureHealing(100, 3), 0, 0);
  report.add("cores a process of 16", measureProcessorUse(), 0, 0);
  report.printSummary();
}
