/// @file
/// Random faults against 8 to 16 processes, for as long as one likes: chaos MINUTES SEED. After each script
/// all faults are healed and all views have to agree; every history is held against the invariants. On a
/// breach it prints the seed, the script and a shorter one that still shows the breach, and ends with
/// status 1.
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
constexpr std::uint32_t leastSteps = 3;
constexpr std::uint32_t stepVariation = 8;
constexpr std::uint32_t longestPauseMs = 4000;

enum class FaultKind {
  kill,
  start,
  stop,
  wake,
  cutLink,
  cutInto,
  cutOutOf,
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
  constexpr const char* names[] = {"kill",  "start", "stop",  "wake", "cut link", "cut into", "cut out of",
                                   "split", "loss",  "delay", "heal", "leave",    "clock",    "disk"};
  return names[static_cast<std::size_t>(kind)];
}

/// One fault and the pause after it. What the two members mean depends on the kind.
struct Step {
  FaultKind kind{};
  std::size_t first = 0;
  std::size_t second = 0;
  milliseconds pause{0};

  std::string text() const {
    return fmt::format("{} {} {}, then {} ms", nameOf(kind), first, second, pause.count());
  }
};
using Script = std::vector<Step>;

Script drawScript(pcg32& random, std::size_t memberCount) {
  const auto members = static_cast<std::uint32_t>(memberCount);
  const std::uint32_t stepCount = leastSteps + random(stepVariation);
  Script script;
  for (std::uint32_t i = 0; i < stepCount; ++i) {
    Step step;
    step.kind = static_cast<FaultKind>(random(static_cast<std::uint32_t>(FaultKind::count)));
    step.first = random(members);
    step.second = random(members);
    step.pause = milliseconds(random(longestPauseMs));
    script.push_back(step);
  }
  return script;
}

/// A fleet to which a script is done.
class ChaosRun {
 public:
  ChaosRun(std::size_t members, std::size_t zones, std::uint64_t seed)
      : fleet_(members, zones, seed), isStopped_(members, false) {
    for (std::size_t i = 0; i < members; ++i) {
      fleet_.control(i);
      if (i % 2 == 0) fleet_.write(i, "  state: state-" + std::to_string(i) + "\n");
      if (i % 5 == 3) fleet_.runs(i, i % 2 ? RAINHOOK_OLDER : RAINHOOK_LATER);
    }
  }

  /// What was breached first; empty where all held.
  std::string run(const Script& script) {
    fleet_.startAll();
    if (!converges()) return "the fleet did not come together";
    for (const Step& step : script) {
      apply(step);
      fleet_.pass(step.pause);
    }
    healAll();
    if (!converges()) return "the views do not agree a minute after the last fault";
    const auto breaches = fleet_.breaches();
    return breaches.empty() ? std::string() : breaches.front();
  }

 private:
  bool converges() {
    return fleet_.until([this] { return fleet_.agreed(); });
  }

  void apply(const Step& step) {
    const std::size_t member = step.first;
    switch (step.kind) {
      case FaultKind::kill:
        kill(member);
        break;
      case FaultKind::leave:
        if (fleet_.up(member) && !isStopped_[member]) fleet_.terminate(member);
        break;
      case FaultKind::start:
        if (!fleet_.up(member)) fleet_.start(member);
        break;
      case FaultKind::stop:
        stop(member);
        break;
      case FaultKind::wake:
        wakeAll();
        break;
      case FaultKind::clock:  // steps of an hour, forwards or back
        fleet_.control(member).wallOffsetNs =
            (step.second % 2 ? 1 : -1) * nanosecondsPerHour * static_cast<int>(step.second);
        break;
      case FaultKind::disk:  // full for one member, and no longer for another
        fleet_.control(member).diskFault = ENOSPC;
        fleet_.control(step.second).diskFault = 0;
        break;
      case FaultKind::cutLink:
      case FaultKind::cutInto:
      case FaultKind::cutOutOf:
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
        fleet_.cut([=](auto from, auto to) { return from == first && to == second; });
        break;
      case FaultKind::cutInto:
        fleet_.cut([=](auto, auto to) { return to == first; });
        break;
      case FaultKind::cutOutOf:
        fleet_.cut([=](auto from, auto) { return from == first; });
        break;
      case FaultKind::split:
        fleet_.cut([=](auto from, auto to) { return (from < first) != (to < first); });
        break;
      case FaultKind::loss:
        fleet_.faultAll({.lossRatio = 0.2, .duplicateRatio = 0.1, .reorderRatio = 0.2, .corruptRatio = 0.05});
        break;
      case FaultKind::delay:
        for (std::size_t to = 0; to < fleet_.size(); ++to) fleet_.fault(first, to, {.delay = 300ms});
        break;
      default:
        fleet_.heal();
        break;
    }
  }

  void kill(std::size_t member) {
    if (!fleet_.up(member)) return;
    fleet_.kill(member);
    isStopped_[member] = false;
  }

  void stop(std::size_t member) {
    if (!fleet_.up(member)) return;
    fleet_.stop(member);
    isStopped_[member] = true;
  }

  void wakeAll() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (!isStopped_[i] || !fleet_.up(i)) continue;
      fleet_.wake(i);
      isStopped_[i] = false;
    }
  }

  void healAll() {
    fleet_.heal();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (isStopped_[i] && fleet_.up(i)) fleet_.wake(i);
      if (!fleet_.up(i)) fleet_.start(i);
      fleet_.control(i).diskFault = 0;
    }
  }

  Fleet fleet_;
  std::vector<bool> isStopped_;
};

/// The size of the fleet that scripts are run on.
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

/// Leaves out each step without which the script still shows a breach, and prints what remains.
void shorten(const FleetShape& shape, std::uint64_t seed, Script script, std::string breach) {
  for (std::size_t i = script.size(); i-- > 0;) {
    Script shorter = script;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
    const std::string remaining = runScript(shape, seed, shorter);
    if (remaining.empty()) continue;
    script = shorter;
    breach = remaining;
  }
  fmt::print("shorter, {}:\n", breach);
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
    const std::string breach = runScript(shape, seed, script);
    if (breach.empty()) continue;
    fmt::print("seed {}: {} members in {} zones: {}\n", seed, shape.members, shape.zones, breach);
    print(script);
    shorten(shape, seed, script, breach);
    return 1;
  }
  fmt::print("chaos: seeds {} to {}, {} steps, no breach\n", firstSeed, seed - 1, stepCount);
  return 0;
}
