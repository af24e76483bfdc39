// Servers that are members, with stand-ins for what they speak with: what a member says of its work, and the
// share of the dependency, through splits and kills, while callers send.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <numeric>

#include "fleet/fleet.h"
#include "test_doubles/fake_downstream.h"
#include "test_doubles/fake_engine.h"
#include "test_doubles/open_loop_client.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;
using testDoubles::Caller, testDoubles::Engine, testDoubles::Next;

nlohmann::json settings(int servers, double callsOut) {
  auto out = nlohmann::json::parse(R"({
    "classes": [{"name": "score", "aimNs": 800000000, "hardLimitNs": 2000000000, "effect": "free", "lateWorth": 0.2}],
    "orgs": [{"name": "acme"}],
    "domain": {"cores": 4, "memoryKb": 50000.0, "runFactor": 4.0, "below": "shared", "classCalls": [true],
               "callsOverNs": 1000000000, "lingerNs": 0, "callers": 1, "signal": "weight", "passesDeadline": true,
               "tellsGone": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
    "invariants": {"answerSlackNs": 60000000, "stopSendingWithinNs": 500000000, "fallMultiple": 8.0, "fallNs": 1500000000},
    "limits": {"retryAfter": true, "maxRetryAfterNs": 1000000000}})");
  out["servers"] = servers;
  out["domain"]["callsOut"] = callsOut;
  return out;
}

// Servers with an engine each, one next tier for all, and a caller each.
class Serving : public Fleet {
 public:
  Serving(std::size_t count, std::uint64_t seed, int servers, double callsOut) : Fleet(count, 3, seed) {
    for (std::size_t i = 0; i < count; ++i) {
      engines.push_back(std::make_unique<Engine>(40ms, true));
      serves(i, {{"agent", engines[i]->address()},
                 {"roster", ""},
                 {"backend", next.address()},
                 {"stop_ms", 1500},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
                 {"settings", settings(servers, callsOut)}});
    }
    startAll();
    EXPECT_TRUE(until([&] { return agreed(); }));
  }
  // Each takes its share of so many.
  bool sharesOf(double all) {
    return until([&] {
      for (std::size_t i = 0; i < size(); ++i)
        if (std::abs(lastShare(i) - all / static_cast<double>(size())) > 0.01) return false;
      return true;
    });
  }
  ~Serving() {
    for (const auto& breach : breaches()) ADD_FAILURE() << breach;
    if (testing::Test::HasFailure()) keep(), std::cerr << "logs: " << folder() << std::endl;
  }
  void call(milliseconds each) {
    for (std::size_t i = 0; i < size(); ++i)
      callers.push_back(std::make_unique<Caller>(front(i), "score", each, 2s, static_cast<int>(i + 1)));
  }
  // Rule 1, for every req that was sent: one answer by its due time, unless its connection broke with its
  // server; a process that was stopped answers once it wakes, still once.
  std::size_t lost(std::size_t stopped) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < callers.size(); ++i)
      for (const auto& [name, sent] : callers[i]->history()) {
        out += !sent.broken && (sent.answers != 1 || (sent.took > 2s + 500ms && i != stopped));
        done += sent.done, all += 1;
      }
    return out;
  }
  // Rule 2: no req was launched twice.
  std::size_t twice() const {
    std::size_t out = 0;
    for (const auto& engine : engines)
      for (const auto& [name, times] : engine->launches()) out += times > 1;
    return out;
  }
  double lastShare(std::size_t i) {
    history(i);
    return shares(i).empty() ? -1 : shares(i).back().second;
  }
  // Of each process: when it took which share.
  std::vector<std::pair<std::int64_t, double>> shares(std::size_t i) {
    std::vector<std::pair<std::int64_t, double>> out;
    for (const auto& seen : history(i).all)
      if (seen.event == "share") out.emplace_back(seen.at, seen.share);
    return out;
  }
  Next next{50ms};
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Caller>> callers;
  std::size_t done = 0, all = 0;
};

std::string phaseOf(Fleet& w, std::size_t by, std::size_t of, const char* what = "phase") {
  const auto [status, said] = w.command({"members", "--json", "--options", w.options(by)});
  if (status != 0) return "no answer: " + said;
  for (const auto& row : nlohmann::json::parse(said))
    if (row.at("name") == Fleet::name(of)) return row.at(what).get<std::string>();
  return "absent";
}

TEST(FleetServe, AHungEngineIsAliveAndUnfit) {
  Serving w(3, 1, 3, 2);
  EXPECT_TRUE(w.until([&] { return phaseOf(w, 0, 1) == "serving"; }));
  w.engines[1]->hang(true);
  EXPECT_TRUE(w.until([&] { return phaseOf(w, 0, 1) == "unfit"; }));
  EXPECT_EQ(phaseOf(w, 0, 1, "state"), "alive");
  w.engines[1]->hang(false);
  EXPECT_TRUE(w.until([&] { return phaseOf(w, 0, 1) == "serving"; }));
  w.process(2).terminate();
  EXPECT_TRUE(w.until([&] { return phaseOf(w, 0, 2, "state") == "left"; }));
  EXPECT_EQ(w.process(2).waitFor(10s), 0);
  w.start(2);
  EXPECT_TRUE(w.until([&] { return w.agreed(); }));
}

// Six servers where the parts are stated for four, two calls each: eight in all. Halves, a kill and a stop
// meanwhile.
TEST(FleetServe, CallsInHandStayWithinTheDependencyThroughASplit) {
  constexpr double capacity = 8;
  Serving w(6, 2, 4, 2);
  w.boundShares(4);
  EXPECT_TRUE(w.sharesOf(4));
  w.call(20ms);
  w.pass(3s);
  w.cut([](auto a, auto b) { return a % 2 != b % 2; });
  w.pass(5s);
  w.kill(4);
  w.stop(3);
  w.pass(4s);
  w.wake(3);
  w.heal();
  w.start(4);
  EXPECT_TRUE(w.until([&] { return w.agreed(); }));
  w.pass(2s);
  for (auto& caller : w.callers) caller->end();
  const auto inHand = w.next.inHand();
  double most = 0;
  for (std::size_t i = 10; i < inHand.size(); ++i)
    most = std::max(most, std::accumulate(inHand.begin() + static_cast<std::ptrdiff_t>(i - 10),
                                          inHand.begin() + static_cast<std::ptrdiff_t>(i), 0.0) /
                              10);
  EXPECT_LE(most, capacity);
  EXPECT_GT(w.next.calls(), 200u);
  EXPECT_EQ(w.lost(3), 0u);
  EXPECT_EQ(w.twice(), 0u);
  EXPECT_GT(w.done, 100u);
  std::cout << "most calls in hand over a second " << most << " of " << capacity << ", done " << w.done
            << " of " << w.all << '\n';
}

// A notice to leave that only one half hears of: all that was read is answered, and once the halves meet it
// has left for all.
TEST(FleetServe, ADrainInASplitLosesNothingAndIsKnownToAllAfterIt) {
  Serving w(6, 3, 4, 2);
  w.boundShares(4);
  EXPECT_TRUE(w.sharesOf(4));
  w.call(20ms);
  w.cut([](auto a, auto b) { return a % 2 != b % 2; });
  w.pass(w.every() * 10);
  EXPECT_EQ(w.terminate(3), 0);
  const auto left = [&](std::initializer_list<std::size_t> views) {
    return std::all_of(views.begin(), views.end(), [&](auto by) { return w.state(by, 3) == "left"; });
  };
  EXPECT_TRUE(w.until([&] { return left({1, 5}); }));
  w.pass(w.every() * 30);
  w.heal();
  EXPECT_TRUE(w.until([&] { return w.agreed() && left({0, 1, 2, 4, 5}); }));
  for (auto& caller : w.callers) caller->end();
  EXPECT_EQ(w.lost(w.size()), 0u);
  EXPECT_EQ(w.twice(), 0u);
  EXPECT_GT(w.done, 100u);
}

}  // namespace
}  // namespace rainhook::fleet
