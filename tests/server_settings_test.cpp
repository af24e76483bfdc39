#include <gtest/gtest.h>

#include "codec/http.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerSettings : public ServerTest {};

// Guards against requests without a deadline if the settings state that clients do not send the remaining
// time.
TEST_F(ServerSettings, ApplyClientTimeoutOfHandlerWhenClientsDoNotSendTimeRemaining) {
  server.settings["domain"]["passesDeadline"] = false;
  server.settings["classes"][0]["hardLimitNs"] = 600'000'000;
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields.erase("budget");
  client.sendRequest(1, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  // The deadline is the arrival time plus the client timeout of the handler.
  const auto sentAt = std::chrono::steady_clock::now();
  fields = FakeBalancer::requestFields(requestB);
  fields.erase("budget");
  client.sendRequest(2, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  EXPECT_LT(std::chrono::steady_clock::now() - sentAt, 650ms);
}

// Guards against numbers that are accepted in only one JSON notation, and against errors that do not name the
// invalid key.
TEST(ServerSettingsNumbers, AreReadInAnyJsonNotationAndReportedByKeyWhenInvalid) {
  auto settings = exampleSettings();
  settings["domain"]["cores"] = 6.0;
  settings["classes"][0]["aimNs"] = 1.8e9;
  settings["domain"].erase("memoryKb");
  const DeploymentSettings deployment = readDeploymentSettings(flattenSettingsJson(settings));
  EXPECT_EQ(deployment.machine.cores, 6);
  EXPECT_EQ(deployment.handlerPolicies[0].latencyObjective, 1800ms);
  EXPECT_GT(deployment.machine.memoryKb, 1e9);  // without a setting, the memory is not limited
  for (const auto& [key, value] : std::map<std::string, nlohmann::json>{{"/domain/cores", 1.5},
                                                                        {"/domain/memoryKb", -1},
                                                                        {"/classes/0/aimNs", 0},
                                                                        {"/classes/1/worth", "much"}}) {
    auto invalidSettings = settings;
    invalidSettings[nlohmann::json::json_pointer(key)] = value;
    if (key == "/classes/0/aimNs") invalidSettings["classes"][0].erase("hardLimitNs");
    try {
      static_cast<void>(readDeploymentSettings(flattenSettingsJson(invalidSettings)));
      ADD_FAILURE() << key;
    } catch (const ConfigurationError& error) {
      auto path = key.substr(1);
      std::replace(path.begin(), path.end(), '/', '.');
      EXPECT_NE(std::string(error.what()).find(path), std::string::npos) << error.what();
    }
  }
  EXPECT_EQ(codec::http::encodePathSegment("n3"), "n3");
  EXPECT_EQ(codec::http::encodePathSegment("a b/\xc3\xa9?"), "a%20b%2F%C3%A9%3F");
}

// Guards against upper bounds that fit only the example deployments; other deployments have larger limits and
// durations.
TEST(ServerSettingsNumbers, AreAcceptedWhenLimitsAndDurationsAreLarge) {
  const auto read = readConfiguration(nlohmann::json{
      {"name", "n3"},
      {"listen", "127.0.0.1:8443"},
      {"agent", "127.0.0.1:6100"},
      {"stop_ms", 300'000},
      {"limits", {{"sockets", 1 << 20}, {"memory_mb", 256 << 10}}},
      {"settings", exampleSettings()}}.dump());
  EXPECT_EQ(read.endpoints.shutdownTimeout, 5min);
  EXPECT_EQ(read.endpoints.maxDescriptors, 1u << 20);
  EXPECT_EQ(read.endpoints.memoryMb, 256 << 10);
}

}  // namespace
}  // namespace rainhook
