/// @file
/// Servers that are members, with fakes of what they speak with: what a member publishes of its work, and the
/// quota of the downstream service, through network splits and kills, while clients send.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <numeric>

#include "fleet/fleet.h"
#include "test_doubles/fake_downstream.h"
#include "test_doubles/fake_engine.h"
#include "test_doubles/open_loop_client.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;
using testDoubles::FakeDownstream;
using testDoubles::FakeEngine;
using testDoubles::OpenLoopClient;

constexpr milliseconds clientTimeout = 2s;
constexpr milliseconds answerGrace = 500ms;  // beyond the client's timeout, on a busy machine

nlohmann::json settings(int servers, double callQuota) {
  auto settings = nlohmann::json::parse(R"({
    "classes": [{"name": "score", "aimNs": 800000000, "hardLimitNs": 2000000000, "effect": "free", "lateWorth": 0.2}],
    "orgs": [{"name": "acme"}],
    "domain": {"cores": 4, "memoryKb": 50000.0, "runFactor": 4.0, "below": "shared", "classCalls": [true],
               "callsOverNs": 1000000000, "lingerNs": 0, "callers": 1, "signal": "weight", "passesDeadline": true,
               "tellsGone": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
    "invariants": {"answerSlackNs": 60000000, "stopSendingWithinNs": 500000000, "fallMultiple": 8.0, "fallNs": 1500000000},
    "limits": {"retryAfter": true, "maxRetryAfterNs": 1000000000}})");
  settings["servers"] = servers;
  settings["domain"]["callsOut"] = callQuota;
  return settings;
}

// A share of the downstream quota that a server took.
struct QuotaShare {
  std::int64_t at = 0;  // by the clock of histories
  double share = 0;
};

// What became of the requests of all clients.
struct RequestTotals {
  std::size_t requests = 0;
  std::size_t completed = 0;
  std::size_t unanswered = 0;  // or answered more than once, too late, or without having been asked
};

// Servers with a fake engine and a client each, and one fake downstream service for all.
class ServingFleet : public Fleet {
 public:
  static constexpr std::size_t nobody = static_cast<std::size_t>(-1);

  // `statedServers` and `callQuota` are what the settings say: how many servers share how many calls each.
  ServingFleet(std::size_t count, std::uint64_t seed, int statedServers, double callQuota)
      : Fleet(count, 3, seed) {
    for (std::size_t i = 0; i < count; ++i) {
      engines.push_back(
          std::make_unique<FakeEngine>(FakeEngine::Behavior{.workDuration = 40ms, .callsDownstream = true}));
      serves(i, {{"agent", engines[i]->address()},
                 {"roster", ""},
                 {"backend", downstream.address()},
                 {"stop_ms", 1500},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
                 {"settings", settings(statedServers, callQuota)}});
    }
    startAll();
    EXPECT_TRUE(until([&] { return agreed(); }));
  }
  ~ServingFleet() {
    for (const auto& breach : breaches()) ADD_FAILURE() << breach;
    if (!testing::Test::HasFailure()) return;
    keep();
    std::cerr << "logs: " << folder() << std::endl;
  }

  // Waits until each server takes its part of a sum of shares.
  bool waitForEqualShares(double sum) {
    constexpr double tolerance = 0.01;
    const double part = sum / static_cast<double>(size());
    return until([&] {
      for (std::size_t i = 0; i < size(); ++i)
        if (std::abs(lastShare(i) - part) > tolerance) return false;
      return true;
    });
  }
  void startClients(milliseconds interval) {
    for (std::size_t i = 0; i < size(); ++i)
      clients.push_back(
          std::make_unique<OpenLoopClient>(OpenLoopClient::Options{.address = front(i),
                                                                   .handler = "score",
                                                                   .interval = interval,
                                                                   .timeout = clientTimeout,
                                                                   .clientNumber = static_cast<int>(i + 1)}));
  }
  void stopClients() {
    for (auto& client : clients) client->stopAndWait();
  }
  // Rule 1, for every request that was sent: one answer by its deadline, unless its connection was lost with
  // its server; a process that was paused answers once it goes on, still once.
  RequestTotals requestTotals(std::size_t pausedServer) const {
    RequestTotals totals;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      for (const auto& [name, request] : clients[i]->history()) {
        const bool isLate = request.latency > clientTimeout + answerGrace && i != pausedServer;
        if (!request.isConnectionLost && (request.responseCount != 1 || isLate)) ++totals.unanswered;
        if (request.isCompleted) ++totals.completed;
        ++totals.requests;
      }
      totals.unanswered += static_cast<std::size_t>(clients[i]->unexpectedResponses());
    }
    return totals;
  }
  // Rule 2: no request was executed twice.
  std::size_t executedTwice() const {
    std::size_t count = 0;
    for (const auto& engine : engines)
      for (const auto& [name, starts] : engine->startCounts())
        if (starts > 1) ++count;
    return count;
  }
  double lastShare(std::size_t server) {
    const auto taken = shares(server);
    return taken.empty() ? -1 : taken.back().share;
  }
  std::vector<QuotaShare> shares(std::size_t server) {
    std::vector<QuotaShare> taken;
    for (const auto& seen : history(server).all)
      if (seen.event == "dependency-quota") taken.push_back({seen.at, seen.share});
    return taken;
  }
  // Cuts the links between servers of even and of odd number.
  void splitInHalves() {
    cut([](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  }

  FakeDownstream downstream{50ms};
  std::vector<std::unique_ptr<FakeEngine>> engines;
  std::vector<std::unique_ptr<OpenLoopClient>> clients;
};

// A field of a member's record as another one sees it.
std::string memberField(Fleet& fleet, std::size_t viewer, std::size_t member, const char* field) {
  const auto [status, output] = fleet.command({"members", "--json", "--options", fleet.options(viewer)});
  if (status != 0) return "no answer: " + output;
  for (const auto& row : nlohmann::json::parse(output))
    if (row.at("name") == Fleet::name(member)) return row.at(field).get<std::string>();
  return "absent";
}

// The largest average over a second of values that are averages over a tenth each.
double maxOverOneSecond(const std::vector<double>& tenths) {
  constexpr std::ptrdiff_t tenthsPerSecond = 10;
  double max = 0;
  for (auto end = tenths.begin() + std::min<std::ptrdiff_t>(tenthsPerSecond, std::ssize(tenths));
       end != tenths.end(); ++end)
    max = std::max(max, std::accumulate(end - tenthsPerSecond, end, 0.0) / tenthsPerSecond);
  return max;
}

TEST(FleetServe, MemberIsAliveAndUnfitWhileItsEngineHangs) {
  ServingFleet fleet(3, 1, 3, 2);
  EXPECT_TRUE(fleet.until([&] { return memberField(fleet, 0, 1, "phase") == "serving"; }));
  fleet.engines[1]->setHanging(true);
  EXPECT_TRUE(fleet.until([&] { return memberField(fleet, 0, 1, "phase") == "unfit"; }));
  EXPECT_EQ(memberField(fleet, 0, 1, "state"), "alive");
  fleet.engines[1]->setHanging(false);
  EXPECT_TRUE(fleet.until([&] { return memberField(fleet, 0, 1, "phase") == "serving"; }));
  fleet.process(2).terminate();
  EXPECT_TRUE(fleet.until([&] { return memberField(fleet, 0, 2, "state") == "left"; }));
  EXPECT_EQ(fleet.process(2).waitFor(10s), 0);
  fleet.start(2);
  EXPECT_TRUE(fleet.until([&] { return fleet.agreed(); }));
}

// Six servers where the settings state four, two calls each: eight in all. Halves, a kill and a pause
// meanwhile.
TEST(FleetServe, OpenCallsStayWithinTheQuotaThroughASplit) {
  constexpr double quota = 8;
  constexpr std::size_t killed = 4;
  constexpr std::size_t paused = 3;
  ServingFleet fleet(6, 2, 4, 2);
  fleet.boundShares(4);
  EXPECT_TRUE(fleet.waitForEqualShares(4));
  fleet.startClients(20ms);
  fleet.pass(3s);
  fleet.splitInHalves();
  fleet.pass(5s);
  fleet.kill(killed);
  fleet.stop(paused);
  fleet.pass(4s);
  fleet.wake(paused);
  fleet.heal();
  fleet.start(killed);
  EXPECT_TRUE(fleet.until([&] { return fleet.agreed(); }));
  fleet.pass(2s);
  fleet.stopClients();
  const double maxOpenCalls = maxOverOneSecond(fleet.downstream.averageOpenCalls());
  const RequestTotals totals = fleet.requestTotals(paused);
  EXPECT_LE(maxOpenCalls, quota);
  EXPECT_GT(fleet.downstream.callCount(), 200u);
  EXPECT_EQ(totals.unanswered, 0u);
  EXPECT_EQ(fleet.executedTwice(), 0u);
  EXPECT_GT(totals.completed, 100u);
  std::cout << "most open calls over a second " << maxOpenCalls << " of " << quota << ", completed "
            << totals.completed << " of " << totals.requests << '\n';
}

// A shutdown notice that only one half learns of: all that was read is answered, and once the halves meet the
// server has left for all.
TEST(FleetServe, DrainInASplitLosesNothingAndIsKnownToAllAfterIt) {
  constexpr std::size_t leaving = 3;
  ServingFleet fleet(6, 3, 4, 2);
  fleet.boundShares(4);
  EXPECT_TRUE(fleet.waitForEqualShares(4));
  fleet.startClients(20ms);
  fleet.splitInHalves();
  fleet.pass(fleet.every() * 10);
  EXPECT_EQ(fleet.terminate(leaving), 0);
  const auto hasLeftFor = [&](std::initializer_list<std::size_t> viewers) {
    return std::all_of(viewers.begin(), viewers.end(),
                       [&](std::size_t viewer) { return fleet.state(viewer, leaving) == "left"; });
  };
  EXPECT_TRUE(fleet.until([&] { return hasLeftFor({1, 5}); }));
  fleet.pass(fleet.every() * 30);
  fleet.heal();
  EXPECT_TRUE(fleet.until([&] { return fleet.agreed() && hasLeftFor({0, 1, 2, 4, 5}); }));
  fleet.stopClients();
  const RequestTotals totals = fleet.requestTotals(ServingFleet::nobody);
  EXPECT_EQ(totals.unanswered, 0u);
  EXPECT_EQ(fleet.executedTwice(), 0u);
  EXPECT_GT(totals.completed, 100u);
}

}  // namespace
}  // namespace rainhook::fleet
