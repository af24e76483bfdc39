/// @file
/// Tests of servers that are members of a fleet, with fake engines, a fake downstream service and clients
/// that send requests: which status a member publishes, and whether the open downstream calls stay within
/// the dependency quota during network splits, kills and pauses.
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
constexpr milliseconds responseGrace = 500ms;  // allowance for a busy machine, added to the client timeout

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

/// A share of the dependency quota, which limits the open downstream calls, that a server took.
struct QuotaShare {
  std::int64_t time = 0;  // steady clock in nanoseconds, as in the log
  double share = 0;
};

/// The outcomes of the requests of all clients.
struct RequestTotals {
  std::size_t requests = 0;
  std::size_t completed = 0;
  /// Requests without exactly one response in time, and responses that belong to no request.
  std::size_t incorrectResponses = 0;
};

/// Servers that each have a fake engine and a client, and share one fake downstream service.
class ServingFleet : public Fleet {
 public:
  static constexpr std::size_t noServer = static_cast<std::size_t>(-1);

  /// The settings of each server state that `statedServers` servers run, with `callQuota` downstream calls
  /// each.
  ServingFleet(std::size_t count, std::uint64_t seed, int statedServers, double callQuota)
      : Fleet(count, 3, seed) {
    for (std::size_t i = 0; i < count; ++i) {
      engines.push_back(
          std::make_unique<FakeEngine>(FakeEngine::Behavior{.workDuration = 40ms, .callsDownstream = true}));
      configureServer(i, {{"agent", engines[i]->address()},
                          {"roster", ""},
                          {"backend", downstream.address()},
                          {"stop_ms", 1500},
                          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
                          {"settings", settings(statedServers, callQuota)}});
    }
    startAll();
    EXPECT_TRUE(waitUntil([&] { return viewsAgree(); }));
  }
  ~ServingFleet() {
    for (const auto& violation : violations()) ADD_FAILURE() << violation;
    if (!testing::Test::HasFailure()) return;
    keepFolder();
    std::cerr << "logs: " << folder() << std::endl;
  }

  /// Waits until the shares of all servers are equal and their sum is `sum`.
  bool waitForEqualShares(double sum) {
    constexpr double tolerance = 0.01;
    const double expectedShare = sum / static_cast<double>(size());
    return waitUntil([&] {
      for (std::size_t i = 0; i < size(); ++i)
        if (std::abs(lastShare(i) - expectedShare) > tolerance) return false;
      return true;
    });
  }
  void startClients(milliseconds interval) {
    for (std::size_t i = 0; i < size(); ++i)
      clients.push_back(
          std::make_unique<OpenLoopClient>(OpenLoopClient::Options{.address = serverAddress(i),
                                                                   .handler = "score",
                                                                   .interval = interval,
                                                                   .timeout = clientTimeout,
                                                                   .clientNumber = static_cast<int>(i + 1)}));
  }
  void stopClients() {
    for (auto& client : clients) client->stopAndWait();
  }
  /// Counts the requests, and those that violate rule 1: each request has exactly one response before its
  /// deadline, unless the connection was lost because the server was killed. A server that was paused may
  /// respond late, but still exactly once.
  RequestTotals requestTotals(std::size_t pausedServer) const {
    RequestTotals totals;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      for (const auto& [name, request] : clients[i]->history()) {
        const bool isLate = request.latency > clientTimeout + responseGrace && i != pausedServer;
        if (!request.isConnectionLost && (request.responseCount != 1 || isLate)) ++totals.incorrectResponses;
        if (request.isCompleted) ++totals.completed;
        ++totals.requests;
      }
      totals.incorrectResponses += static_cast<std::size_t>(clients[i]->unexpectedResponses());
    }
    return totals;
  }
  /// Returns how many requests violate rule 2: no engine executes a request more than once.
  std::size_t executedTwice() const {
    std::size_t count = 0;
    for (const auto& engine : engines)
      for (const auto& [name, starts] : engine->startCounts())
        if (starts > 1) ++count;
    return count;
  }
  /// Returns the last share that a server took, -1 if it took none.
  double lastShare(std::size_t server) {
    const auto taken = shares(server);
    return taken.empty() ? -1 : taken.back().share;
  }
  std::vector<QuotaShare> shares(std::size_t server) {
    std::vector<QuotaShare> taken;
    for (const auto& entry : log(server).entries)
      if (entry.event == "dependency-quota") taken.push_back({entry.time, entry.share});
    return taken;
  }
  /// Cuts the links between servers with even and servers with odd numbers.
  void splitInHalves() {
    cutLinks([](std::size_t from, std::size_t to) { return from % 2 != to % 2; });
  }

  FakeDownstream downstream{50ms};
  std::vector<std::unique_ptr<FakeEngine>> engines;
  std::vector<std::unique_ptr<OpenLoopClient>> clients;
};

/// Returns a field of the record of `member` as `viewer` prints it.
std::string memberField(Fleet& fleet, std::size_t viewer, std::size_t member, const char* field) {
  const auto [status, output] = fleet.runCommand({"members", "--json", "--options", fleet.options(viewer)});
  if (status != 0) return "command failed: " + output;
  for (const auto& row : nlohmann::json::parse(output))
    if (row.at("name") == Fleet::name(member)) return row.at(field).get<std::string>();
  return "absent";
}

/// Returns the largest average over one second, from averages over a tenth of a second each.
double maxOverOneSecond(const std::vector<double>& tenths) {
  constexpr std::ptrdiff_t tenthsPerSecond = 10;
  double max = 0;
  for (auto end = tenths.begin() + std::min<std::ptrdiff_t>(tenthsPerSecond, std::ssize(tenths));
       end != tenths.end(); ++end)
    max = std::max(max, std::accumulate(end - tenthsPerSecond, end, 0.0) / tenthsPerSecond);
  return max;
}

// Guards against a server that publishes itself as able to serve while its engine does not respond.
TEST(FleetServe, MemberIsAliveAndUnfitWhileItsEngineHangs) {
  ServingFleet fleet(3, 1, 3, 2);
  EXPECT_TRUE(fleet.waitUntil([&] { return memberField(fleet, 0, 1, "phase") == "serving"; }));
  fleet.engines[1]->setHanging(true);
  EXPECT_TRUE(fleet.waitUntil([&] { return memberField(fleet, 0, 1, "phase") == "unfit"; }));
  EXPECT_EQ(memberField(fleet, 0, 1, "state"), "alive");
  fleet.engines[1]->setHanging(false);
  EXPECT_TRUE(fleet.waitUntil([&] { return memberField(fleet, 0, 1, "phase") == "serving"; }));
  fleet.process(2).terminate();
  EXPECT_TRUE(fleet.waitUntil([&] { return memberField(fleet, 0, 2, "state") == "left"; }));
  EXPECT_EQ(fleet.process(2).waitFor(10s), 0);
  fleet.start(2);
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.viewsAgree(); }));
}

// Guards against more open downstream calls than the quota during a split in halves, a kill and a pause. The
// settings state four servers with two calls each, so the quota is eight; six servers share it.
TEST(FleetServe, OpenCallsStayWithinTheQuotaDuringASplit) {
  constexpr double quota = 8;
  constexpr std::size_t killed = 4;
  constexpr std::size_t paused = 3;
  ServingFleet fleet(6, 2, 4, 2);
  fleet.setMaxShareSum(4);
  EXPECT_TRUE(fleet.waitForEqualShares(4));
  fleet.startClients(20ms);
  fleet.sleepFor(3s);
  fleet.splitInHalves();
  fleet.sleepFor(5s);
  fleet.kill(killed);
  fleet.pause(paused);
  fleet.sleepFor(4s);
  fleet.resume(paused);
  fleet.heal();
  fleet.start(killed);
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.viewsAgree(); }));
  fleet.sleepFor(2s);
  fleet.stopClients();
  const double maxOpenCalls = maxOverOneSecond(fleet.downstream.averageOpenCalls());
  const RequestTotals totals = fleet.requestTotals(paused);
  EXPECT_LE(maxOpenCalls, quota);
  EXPECT_GT(fleet.downstream.callCount(), 200u);
  EXPECT_EQ(totals.incorrectResponses, 0u);
  EXPECT_EQ(fleet.executedTwice(), 0u);
  EXPECT_GT(totals.completed, 100u);
  std::cout << "largest average of open calls over one second: " << maxOpenCalls << ", quota " << quota
            << "; completed requests: " << totals.completed << " of " << totals.requests << '\n';
}

// Guards against lost requests and a stale view when a server shuts down during a split: it answers all
// requests that it has read, and after the split all members see that it left.
TEST(FleetServe, ShutdownDuringASplitLosesNoRequestAndIsSeenByAllAfterwards) {
  constexpr std::size_t leaving = 3;
  ServingFleet fleet(6, 3, 4, 2);
  fleet.setMaxShareSum(4);
  EXPECT_TRUE(fleet.waitForEqualShares(4));
  fleet.startClients(20ms);
  fleet.splitInHalves();
  fleet.sleepFor(fleet.probeInterval() * 10);
  EXPECT_EQ(fleet.terminate(leaving), 0);
  const auto hasLeftFor = [&](std::initializer_list<std::size_t> viewers) {
    return std::all_of(viewers.begin(), viewers.end(),
                       [&](std::size_t viewer) { return fleet.state(viewer, leaving) == "left"; });
  };
  EXPECT_TRUE(fleet.waitUntil([&] { return hasLeftFor({1, 5}); }));
  fleet.sleepFor(fleet.probeInterval() * 30);
  fleet.heal();
  EXPECT_TRUE(fleet.waitUntil([&] { return fleet.viewsAgree() && hasLeftFor({0, 1, 2, 4, 5}); }));
  fleet.stopClients();
  const RequestTotals totals = fleet.requestTotals(ServingFleet::noServer);
  EXPECT_EQ(totals.incorrectResponses, 0u);
  EXPECT_EQ(fleet.executedTwice(), 0u);
  EXPECT_GT(totals.completed, 100u);
}

}  // namespace
}  // namespace rainhook::fleet
