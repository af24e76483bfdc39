/// @file
/// Runs scripts of random faults on fleets of 8 to 16 processes for a given time: rainhook_chaos MINUTES
/// SEED. After each script all faults are removed, all views have to agree, and the invariants are checked.
/// If a check fails, the program prints the seed, the script and a shorter script that still fails, and exits
/// with status 1.
#include <fmt/format.h>

#include <cerrno>
#include <cstdio>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace {

using namespace rainhook::fleet;
using namespace std::chrono_literals;

constexpr std::int64_t nanosecondsPerHour = 3600LL * 1'000'000'000LL;
constexpr std::uint32_t minSteps = 3;
constexpr std::uint32_t stepCountRange = 8;
constexpr std::uint32_t maxWaitMs = 4000;

enum class FaultKind {
  kill,
  start,
  pause,
  resume,
  cutLink,
  cutLinksTo,
  cutLinksFrom,
  split,
  loss,
  delay,
  heal,
  leave,
  clock,
  disk,
  count
};

const char* nameOf(FaultKind kind) {
  constexpr const char* names[] = {"kill",         "start",          "pause", "resume", "cut link",
                                   "cut links to", "cut links from", "split", "loss",   "delay",
                                   "heal",         "leave",          "clock", "disk"};
  return names[static_cast<std::size_t>(kind)];
}

/// One fault and the wait after it. Depending on the kind of fault, `first` and `second` are numbers of fleet
/// members, the size of one part of a split, a number of hours, or unused.
struct Step {
  FaultKind kind{};
  std::size_t first = 0;
  std::size_t second = 0;
  milliseconds waitAfter{0};

  std::string text() const {
    return fmt::format("{} {} {}, then {} ms", nameOf(kind), first, second, waitAfter.count());
  }
};
using Script = std::vector<Step>;

Script drawScript(pcg32& random, std::size_t memberCount) {
  const auto members = static_cast<std::uint32_t>(memberCount);
  const std::uint32_t stepCount = minSteps + random(stepCountRange);
  Script script;
  for (std::uint32_t i = 0; i < stepCount; ++i) {
    Step step;
    step.kind = static_cast<FaultKind>(random(static_cast<std::uint32_t>(FaultKind::count)));
    step.first = random(members);
    step.second = random(members);
    step.waitAfter = milliseconds(random(maxWaitMs));
    script.push_back(step);
  }
  return script;
}

/// Runs one script on a new fleet.
class ChaosRun {
 public:
  ChaosRun(std::size_t members, std::size_t zones, std::uint64_t seed)
      : fleet_(members, zones, seed), isPaused_(members, false) {
    for (std::size_t i = 0; i < members; ++i) {
      fleet_.control(i);
      if (i % 2 == 0) fleet_.writeOptions(i, "  state: state-" + std::to_string(i) + "\n");
      if (i % 5 == 3) fleet_.setProgram(i, i % 2 ? RAINHOOK_OLDER : RAINHOOK_LATER);
    }
  }

  /// Runs the script. Returns the first failed check; empty if all passed.
  std::string run(const Script& script) {
    fleet_.startAll();
    if (!converges()) return "the views do not agree within a minute of the start";
    for (const Step& step : script) {
      apply(step);
      fleet_.sleepFor(step.waitAfter);
    }
    healAll();
    if (!converges()) return "the views do not agree within a minute after the last fault";
    const auto violations = fleet_.violations();
    return violations.empty() ? std::string() : violations.front();
  }

 private:
  bool converges() {
    return fleet_.waitUntil([this] { return fleet_.viewsAgree(); });
  }

  void apply(const Step& step) {
    const std::size_t member = step.first;
    switch (step.kind) {
      case FaultKind::kill:
        kill(member);
        break;
      case FaultKind::leave:
        if (fleet_.isUp(member) && !isPaused_[member]) fleet_.terminate(member);
        break;
      case FaultKind::start:
        if (!fleet_.isUp(member)) fleet_.start(member);
        break;
      case FaultKind::pause:
        pause(member);
        break;
      case FaultKind::resume:
        resumeAll();
        break;
      case FaultKind::clock:  // sets the clock forwards or back by a number of hours
        fleet_.control(member).wallOffsetNs =
            (step.second % 2 ? 1 : -1) * nanosecondsPerHour * static_cast<int>(step.second);
        break;
      case FaultKind::disk:  // fills the disk of one member and frees that of another
        fleet_.control(member).diskFault = ENOSPC;
        fleet_.control(step.second).diskFault = 0;
        break;
      case FaultKind::cutLink:
      case FaultKind::cutLinksTo:
      case FaultKind::cutLinksFrom:
      case FaultKind::split:
      case FaultKind::loss:
      case FaultKind::delay:
      case FaultKind::heal:
        applyToLinks(step);
        break;
      case FaultKind::count:
        break;
    }
  }

  void applyToLinks(const Step& step) {
    const std::size_t first = step.first;
    const std::size_t second = step.second;
    switch (step.kind) {
      case FaultKind::cutLink:
        fleet_.cutLinks([=](auto from, auto to) { return from == first && to == second; });
        break;
      case FaultKind::cutLinksTo:
        fleet_.cutLinks([=](auto, auto to) { return to == first; });
        break;
      case FaultKind::cutLinksFrom:
        fleet_.cutLinks([=](auto from, auto) { return from == first; });
        break;
      case FaultKind::split:
        fleet_.cutLinks([=](auto from, auto to) { return (from < first) != (to < first); });
        break;
      case FaultKind::loss:
        fleet_.setAllFaults(
            {.lossRatio = 0.2, .duplicateRatio = 0.1, .reorderRatio = 0.2, .corruptRatio = 0.05});
        break;
      case FaultKind::delay:
        for (std::size_t to = 0; to < fleet_.size(); ++to) fleet_.setFault(first, to, {.delay = 300ms});
        break;
      default:
        fleet_.heal();
        break;
    }
  }

  void kill(std::size_t member) {
    if (!fleet_.isUp(member)) return;
    fleet_.kill(member);
    isPaused_[member] = false;
  }

  void pause(std::size_t member) {
    if (!fleet_.isUp(member)) return;
    fleet_.pause(member);
    isPaused_[member] = true;
  }

  void resumeAll() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!isPaused_[i] || !fleet_.isUp(i)) continue;
      fleet_.resume(i);
      isPaused_[i] = false;
    }
  }

  void healAll() {
    fleet_.heal();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (isPaused_[i] && fleet_.isUp(i)) fleet_.resume(i);
      if (!fleet_.isUp(i)) fleet_.start(i);
      fleet_.control(i).diskFault = 0;
    }
  }

  Fleet fleet_;
  std::vector<bool> isPaused_;
};

/// The size of the fleet on which a script runs.
struct FleetShape {
  std::size_t members = 0;
  std::size_t zones = 0;
};

std::string runScript(const FleetShape& shape, std::uint64_t seed, const Script& script) {
  return ChaosRun(shape.members, shape.zones, seed).run(script);
}

void print(const Script& script) {
  for (const Step& step : script) fmt::print("  {}\n", step.text());
}

/// Removes each step without which the script still fails, and prints the remaining script.
void shorten(const FleetShape& shape, std::uint64_t seed, Script script, std::string violation) {
  for (std::size_t i = script.size(); i-- > 0;) {
    Script shorter = script;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
    const std::string remaining = runScript(shape, seed, shorter);
    if (remaining.empty()) continue;
    script = shorter;
    violation = remaining;
  }
  fmt::print("shorter script, {}:\n", violation);
  print(script);
}

}  // namespace

int main(int argc, char** argv) {
  const int minutes = argc > 1 ? std::stoi(argv[1]) : 10;
  const std::uint64_t firstSeed = argc > 2 ? std::stoull(argv[2]) : 1;
  const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(minutes);
  std::uint64_t seed = firstSeed;
  std::size_t stepCount = 0;
  for (; std::chrono::steady_clock::now() < end; ++seed) {
    pcg32 random(seed);
    FleetShape shape;
    shape.members = 8 + random(9);
    shape.zones = 2 + random(3);
    const Script script = drawScript(random, shape.members);
    stepCount += script.size();
    const std::string violation = runScript(shape, seed, script);
    if (violation.empty()) continue;
    fmt::print("seed {}: {} members in {} zones: {}\n", seed, shape.members, shape.zones, violation);
    print(script);
    shorten(shape, seed, script, violation);
    return 1;
  }
  fmt::print("chaos: seeds {} to {}, {} steps, no violation\n", firstSeed, seed - 1, stepCount);
  return 0;
}
