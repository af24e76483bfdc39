// The codec and the settings reader on good and malformed input, and the host on instances that come and go.
#include <gtest/gtest.h>

#include <cstring>

#include "configuration/server_configuration.h"
#include "simulator_adapter/simulator_host.h"

namespace simhost {
namespace {

using rainhook::Facts;
using rainhook::Gauge;

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
  const auto& read = std::get<rainhook::ReqRead>(std::get<rainhook::Event>(batch.events[0].event));
  EXPECT_EQ(batch.events[0].instance, 3);
  EXPECT_EQ(read.id, rainhook::ReqId{0x5d3a91c4});
  EXPECT_EQ(read.repeats, rainhook::ReqId{0x0e6f2b19});
  EXPECT_EQ(read.rank, 0.625);
  EXPECT_EQ(read.workHint, rainhook::Span(12000000));
  EXPECT_EQ(read.patience, rainhook::Span(240000000));
  EXPECT_EQ(read.caller, rainhook::CallerId{17});
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
  reply.add(3, rainhook::Start{rainhook::ReqId{0x5d3a91c4}});
  reply.add(3, rainhook::SetTimer{rainhook::TimerId{77}, rainhook::Span(500000000)});
  reply.add(5, rainhook::Note{"two servers unknown"});
  reply.add(3, rainhook::SaySignal{0.25});
  reply.add(3, rainhook::Shed{rainhook::ReqId{0x0e6f2b19}, rainhook::Span(250000000), true});
  EXPECT_EQ(reply.frame(),
            bytes("4900000005000000500300c4913a5d5c03004d0000000065cd1d000000005d05001300"
                  "74776f207365727665727320756e6b6e6f776e5a03000000803e510300192b6f0e80b2e60e0000000001"));
}

Facts readFacts(std::string_view text) { return rainhook::readFacts(rainhook::pairsOfText(text)); }

TEST(Facts, ReadsWordsAndKeepsStatedMeaningsOfAbsentOnes) {
  const auto facts = readFacts(
      "classes.count=1\nclasses.0.effect=guarded\nclasses.0.aimNs=5\ndomain.halt=pause\nunknown.key=x\n"
      "domain.signal=credit\ndomain.classSkipWorth=0.3,0.4\ndomain.gauges=sockets,new_one,cpu_busy\n");
  EXPECT_EQ(facts.handlers.at(0).effect, rainhook::Effect::uniqued);
  EXPECT_EQ(facts.handlers[0].clientTimeout, rainhook::Span(5));
  EXPECT_EQ(facts.handlers[0].skipValue, 0.3);
  EXPECT_EQ(facts.machine.halting, rainhook::Halting::pause);
  EXPECT_EQ(facts.voice.signal, rainhook::SignalKind::credit);
  EXPECT_EQ(facts.voice.longestAdvice, rainhook::Span(0));
  EXPECT_FALSE(facts.tellsPatience);
  EXPECT_EQ(facts.gauges, (std::vector{Gauge::connections, Gauge::other, Gauge::cpu}));
}

TEST(Facts, RefusesWhatIsNoNumberOrNoKnownWord) {
  for (const char* bad : {"domain.cores=six", "domain.cores=1.5", "domain.memoryKb=nan", "domain.halt=maybe",
                          "domain.cold=perhaps", "invariants.fallNs=-5", "no sign", "classes.count=-1"})
    EXPECT_THROW(readFacts(bad), rainhook::FactsError) << bad;
}

// Nested JSON gives the same facts as the flat text, and a fault names its path.
TEST(Configuration, ReadsAPlaceAndFactsAndNamesWhatIsWrong) {
  const std::string good = R"({"name": "n3", "listen": "127.0.0.1:8443", "agent": "127.0.0.1:6100",
      "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"sockets": 512}, "settings": {
      "classes": [{"name": "a", "aimNs": 5}, {"name": "b", "effect": "guarded"}],
      "orgs": [{"name": "acme"}], "domain": {"classCalls": [false, true], "cores": 3, "gauges": ["sockets"]}}})";
  const auto [place, facts, fixed] = rainhook::readConfiguration(good);
  EXPECT_EQ(place.seed, rainhook::Seed{0x8c1f30d27a5be964});
  EXPECT_EQ(place.descriptors, 512u);
  EXPECT_EQ(place.stopAfter, std::chrono::milliseconds(3200));
  EXPECT_EQ(place.next, "");
  EXPECT_EQ(facts.handlerNames, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(facts.customerNames, std::vector<std::string>{"acme"});
  EXPECT_TRUE(facts.handlers.at(1).calls);
  EXPECT_EQ(facts.machine.cores, 3);
  EXPECT_EQ(facts.gauges, std::vector{Gauge::connections});
  auto other = good;
  other.replace(other.find("6100"), 4, "6200").replace(other.find("512"), 3, "384");
  EXPECT_EQ(leftByReload(rainhook::readConfiguration(good), rainhook::readConfiguration(other)),
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
    } catch (const rainhook::FactsError& error) {
      EXPECT_NE(std::string(error.what()).find(now.second), std::string::npos) << error.what();
    }
  }
  EXPECT_THROW(rainhook::readConfigurationFile("/nowhere"), rainhook::FactsError);
}

TEST(Host, ANumberMayEndAndStartInOneBatch) {
  const rainhook::Event read = rainhook::ReqRead{};
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
  EXPECT_THROW(host.answer({0, {{4, rainhook::Event{rainhook::CallerGone{}}}}}), WireError);
  host.answer({0, {{4, Attach{1, "classes.count=1\n"}}}});
  rainhook::ReqRead read;
  read.handler = rainhook::HandlerId{1};
  EXPECT_THROW(host.answer({1, {{4, rainhook::Event{read}}}}), WireError);
}

}  // namespace
}  // namespace simhost
