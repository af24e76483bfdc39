// The codec and the settings reader on good and malformed input, and the host on instances that come and go.
#include <gtest/gtest.h>

#include <cstring>

#include "configuration/server_configuration.h"
#include "simulator_adapter/simulator_host.h"

namespace rainhook::simulator {
namespace {

using rainhook::DeploymentSettings;
using rainhook::LoadGauge;

std::vector<std::byte> bytes(std::string_view hex) {
  std::vector<std::byte> out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out.push_back(static_cast<std::byte>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  return out;
}
const std::string clock = "90bf68f501000000";
const std::string req =
    "110300c4913a5d0000203f640ad2557c3bf091192b6f0e0000c441001bb7000000000001903a1c0000000000001c4e0e00000000"
    "0000110000";

TEST(Wire, ReadsAReqAsWritten) {
  const auto batch = readBatch(bytes(clock + req));
  ASSERT_EQ(batch.events.size(), 1u);
  EXPECT_EQ(batch.clock, 0x1f568bf90u);
  const auto& read = std::get<rainhook::RequestArrived>(std::get<rainhook::Event>(batch.events[0].event));
  EXPECT_EQ(batch.events[0].instance, 3);
  EXPECT_EQ(read.id, rainhook::RequestId{0x5d3a91c4});
  EXPECT_EQ(read.duplicateOf, rainhook::RequestId{0x0e6f2b19});
  EXPECT_EQ(read.rank, 0.625);
  EXPECT_EQ(read.estimatedWork, rainhook::Duration(12000000));
  EXPECT_EQ(read.timeRemaining, rainhook::Duration(240000000));
  EXPECT_EQ(read.client, rainhook::ClientId{17});
}

TEST(Wire, RefusesEveryCutOfAFrame) {
  const auto whole = bytes(clock + req);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    if (length == 8) continue;  // an empty batch
    EXPECT_THROW(readBatch(std::span(whole).first(length)), WireError) << length;
  }
}

TEST(Wire, RefusesUnknownCodesAndOverrunningCounts) {
  EXPECT_THROW(readBatch(bytes(clock + "630300")), WireError);
  EXPECT_THROW(readBatch(bytes(clock + "1303004d000000ff52b81e3f")), WireError);
  EXPECT_THROW(readBatch(bytes(clock + "1203000000000000000000ffffffff")), WireError);
  EXPECT_THROW(readBatch(bytes(clock + "100300c4913a5d0100a0491a0100000000")), WireError);
  EXPECT_THROW(readBatch(bytes(clock + "170300ffffffffffffffff")), WireError);
}

TEST(Wire, WritesTheRepliesOfThePage) {
  Reply reply;
  reply.add(3, rainhook::StartExecution{rainhook::RequestId{0x5d3a91c4}});
  reply.add(3, rainhook::SetTimer{rainhook::TimerId{77}, rainhook::Duration(500000000)});
  reply.add(5, rainhook::DiagnosticMessage{"two servers unknown"});
  reply.add(3, rainhook::PublishLoadSignal{0.25});
  reply.add(3, rainhook::ShedRequest{rainhook::RequestId{0x0e6f2b19}, rainhook::Duration(250000000), true});
  EXPECT_EQ(reply.frame(),
            bytes("4900000005000000500300c4913a5d5c03004d0000000065cd1d000000005d05001300"
                  "74776f207365727665727320756e6b6e6f776e5a03000000803e510300192b6f0e80b2e60e0000000001"));
}

DeploymentSettings readDeploymentSettings(std::string_view text) {
  return rainhook::readDeploymentSettings(rainhook::parseSettingsText(text));
}

TEST(DeploymentSettings, ReadsWordsAndKeepsStatedMeaningsOfAbsentOnes) {
  const auto facts = readDeploymentSettings(
      "classes.count=1\nclasses.0.effect=guarded\nclasses.0.aimNs=5\ndomain.halt=pause\nunknown.key=x\n"
      "domain.signal=credit\ndomain.classSkipWorth=0.3,0.4\ndomain.gauges=sockets,new_one,cpu_busy\n");
  EXPECT_EQ(facts.handlerPolicies.at(0).idempotency, rainhook::Idempotency::keyed);
  EXPECT_EQ(facts.handlerPolicies[0].clientTimeout, rainhook::Duration(5));
  EXPECT_EQ(facts.handlerPolicies[0].degradedWeight, 0.3);
  EXPECT_EQ(facts.machine.cancellation, rainhook::CancellationMode::pauseWork);
  EXPECT_EQ(facts.signaling.signalKind, rainhook::LoadSignalKind::credit);
  EXPECT_EQ(facts.signaling.maxRetryAfter, rainhook::Duration(0));
  EXPECT_FALSE(facts.clientsSendTimeRemaining);
  EXPECT_EQ(facts.gauges,
            (std::vector{LoadGauge::openConnections, LoadGauge::other, LoadGauge::cpuUtilization}));
}

TEST(DeploymentSettings, RefusesWhatIsNoNumberOrNoKnownWord) {
  for (const char* bad : {"domain.cores=six", "domain.cores=1.5", "domain.memoryKb=nan", "domain.halt=maybe",
                          "domain.cold=perhaps", "invariants.fallNs=-5", "no sign", "classes.count=-1"})
    EXPECT_THROW(readDeploymentSettings(bad), rainhook::ConfigurationError) << bad;
}

// Nested JSON gives the same facts as the flat text, and a fault names its path.
TEST(Configuration, ReadsAPlaceAndFactsAndNamesWhatIsWrong) {
  const std::string good = R"({"name": "n3", "listen": "127.0.0.1:8443", "agent": "127.0.0.1:6100",
      "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"sockets": 512}, "settings": {
      "classes": [{"name": "a", "aimNs": 5}, {"name": "b", "effect": "guarded"}],
      "orgs": [{"name": "acme"}], "domain": {"classCalls": [false, true], "cores": 3, "gauges": ["sockets"]}}})";
  const auto [place, facts, fixed] = rainhook::readConfiguration(good);
  EXPECT_EQ(place.seed, rainhook::Seed{0x8c1f30d27a5be964});
  EXPECT_EQ(place.maxDescriptors, 512u);
  EXPECT_EQ(place.shutdownTimeout, std::chrono::milliseconds(3200));
  EXPECT_EQ(place.downstream, "");
  EXPECT_EQ(facts.handlerNames, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(facts.tenantNames, std::vector<std::string>{"acme"});
  EXPECT_TRUE(facts.handlerPolicies.at(1).callsDownstream);
  EXPECT_EQ(facts.machine.cores, 3);
  EXPECT_EQ(facts.gauges, std::vector{LoadGauge::openConnections});
  auto other = good;
  other.replace(other.find("6100"), 4, "6200").replace(other.find("512"), 3, "384");
  EXPECT_EQ(restartRequiredChanges(rainhook::readConfiguration(good), rainhook::readConfiguration(other)),
            std::vector<std::string>{"limits"});
  const std::pair<const char*, std::pair<const char*, const char*>> faults[] = {
      {"\"name\": \"n3\",", {"", "name is missing"}},
      {"127.0.0.1:8443", {"somewhere", "listen is 'somewhere'"}},
      {"127.0.0.1:6100", {"127.0.0.1:70000", "agent is"}},
      {"8c1f", {"zz", "seed is"}},
      {"3200", {"\"long\"", "stop_ms is 'long'"}},
      {"512", {"3", "limits.sockets is '3'"}},
      {"\"cores\": 3", {"\"cores\": \"six\"", "domain.cores is 'six'"}},
      {"\"b\"", {"\"a\"", "classes.1.name"}},
      {"\"settings\"", {"\"other\"", "settings is missing"}},
      {"}}})", {"}}", "no JSON object"}}};
  for (const auto& [was, now] : faults) {
    std::string bad = good;
    if (const auto at = bad.find(was); at != std::string::npos) bad.replace(at, std::strlen(was), now.first);
    if (bad == good) bad.pop_back();
    try {
      rainhook::readConfiguration(bad);
      ADD_FAILURE() << "taken: " << now.second;
    } catch (const rainhook::ConfigurationError& error) {
      EXPECT_NE(std::string(error.what()).find(now.second), std::string::npos) << error.what();
    }
  }
  EXPECT_THROW(rainhook::readConfigurationFile("/nowhere"), rainhook::ConfigurationError);
}

TEST(Host, ANumberMayEndAndStartInOneBatch) {
  const rainhook::Event read = rainhook::RequestArrived{};
  Host host;
  host.answer({0, {{4, Attach{1, "classes.count=1\n"}}}});
  // What came before the death is void; the fresh instance opens, and nothing is said of the old req.
  const auto reply =
      host.answer({5, {{4, read}, {4, Detach{}}, {4, Attach{2, "classes.count=1\n"}}}}).frame();
  const auto opened = Host().answer({5, {{4, Attach{2, "classes.count=1\n"}}}}).frame();
  EXPECT_EQ(reply, opened);
}

TEST(Host, RefusesEventsForInstancesAndClassesItDoesNotKnow) {
  Host host;
  EXPECT_THROW(host.answer({0, {{4, rainhook::Event{rainhook::ClientDisconnected{}}}}}), WireError);
  host.answer({0, {{4, Attach{1, "classes.count=1\n"}}}});
  rainhook::RequestArrived read;
  read.handler = rainhook::HandlerId{1};
  EXPECT_THROW(host.answer({1, {{4, rainhook::Event{read}}}}), WireError);
}

}  // namespace
}  // namespace rainhook::simulator
