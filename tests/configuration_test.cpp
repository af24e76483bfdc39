/// @file
/// Reading of the operators' settings and of a server's configuration file, and the error for each kind of
/// invalid value.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "configuration/server_configuration.h"

namespace rainhook {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::StartsWith;

DeploymentSettings settingsOf(std::string_view text) {
  return readDeploymentSettings(parseSettingsText(text));
}

TEST(DeploymentSettings, ReadsStatedValuesAndUsesDefaultsWhenValuesAreAbsent) {
  const DeploymentSettings settings = settingsOf(
      "classes.count=1\nclasses.0.effect=guarded\nclasses.0.aimNs=5\ndomain.halt=pause\nunknown.key=x\n"
      "domain.signal=credit\ndomain.classSkipWorth=0.3,0.4\ndomain.gauges=sockets,new_one,cpu_busy\n");
  EXPECT_EQ(settings.handlerPolicies.at(0).idempotency, Idempotency::keyed);
  EXPECT_EQ(settings.handlerPolicies[0].clientTimeout, Duration(5));
  EXPECT_EQ(settings.handlerPolicies[0].degradedWeight, 0.3);
  EXPECT_EQ(settings.machine.cancellation, CancellationMode::pauseWork);
  EXPECT_EQ(settings.signaling.signalKind, LoadSignalKind::credit);
  EXPECT_EQ(settings.signaling.maxRetryAfter, Duration(0));
  EXPECT_FALSE(settings.clientsSendTimeRemaining);
  EXPECT_THAT(settings.gauges,
              ElementsAre(LoadGauge::openConnections, LoadGauge::other, LoadGauge::cpuUtilization));
}

struct InvalidSetting {
  std::string_view text;
  std::string_view path;
};

class InvalidSettings : public testing::TestWithParam<InvalidSetting> {};

TEST_P(InvalidSettings, ThrowAnErrorThatNamesTheirPath) {
  try {
    static_cast<void>(settingsOf(GetParam().text));
    ADD_FAILURE() << "no error for " << GetParam().text;
  } catch (const ConfigurationError& error) {
    EXPECT_EQ(error.source(), "settings");
    EXPECT_EQ(error.path(), GetParam().path);
    EXPECT_EQ(error.what(), "settings: " + error.path() + " " + error.problem());
  }
}

INSTANTIATE_TEST_SUITE_P(InvalidNumbersAndWords, InvalidSettings,
                         testing::Values(InvalidSetting{"domain.cores=six", "domain.cores"},
                                         InvalidSetting{"domain.cores=1.5", "domain.cores"},
                                         InvalidSetting{"domain.memoryKb=nan", "domain.memoryKb"},
                                         InvalidSetting{"domain.halt=maybe", "domain.halt"},
                                         InvalidSetting{"domain.cold=perhaps", "domain.cold"},
                                         InvalidSetting{"invariants.fallNs=-5", "invariants.fallNs"},
                                         InvalidSetting{"no sign", "line 1"},
                                         InvalidSetting{"classes.count=-1", "classes.count"}));

const std::string validConfiguration =
    R"({"name": "n3", "listen": "127.0.0.1:8443", "agent": "127.0.0.1:6100",
      "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"sockets": 512}, "settings": {
      "classes": [{"name": "a", "aimNs": 5}, {"name": "b", "effect": "guarded"}],
      "orgs": [{"name": "acme"}], "domain": {"classCalls": [false, true], "cores": 3, "gauges": ["sockets"]}}})";

// Returns the valid configuration with the first occurrence of a text replaced.
std::string validConfigurationWith(std::string_view original, std::string_view replacement) {
  std::string text = validConfiguration;
  const std::size_t at = text.find(original);
  if (at == std::string::npos)
    throw std::invalid_argument("the original text is not in the valid configuration");
  return text.replace(at, original.size(), replacement);
}

TEST(ServerConfiguration, ReadsEndpointsAndNestedSettingsWhenItIsValid) {
  const ServerConfiguration configuration = readConfiguration(validConfiguration);
  const ServerEndpoints& endpoints = configuration.endpoints;
  EXPECT_EQ(endpoints.seed, Seed{0x8c1f30d27a5be964});
  EXPECT_EQ(endpoints.maxDescriptors, 512u);
  EXPECT_EQ(endpoints.shutdownTimeout, std::chrono::milliseconds(3200));
  EXPECT_EQ(endpoints.downstream, "");
  const DeploymentSettings& settings = configuration.deployment;
  EXPECT_THAT(settings.handlerNames, ElementsAre("a", "b"));
  EXPECT_THAT(settings.tenantNames, ElementsAre("acme"));
  EXPECT_TRUE(settings.handlerPolicies.at(1).callsDownstream);
  EXPECT_EQ(settings.machine.cores, 3);
  EXPECT_THAT(settings.gauges, ElementsAre(LoadGauge::openConnections));
}

TEST(ServerConfiguration, ReloadDoesNotApplyTheLimitsWhenEngineAndLimitsChange) {
  std::string changed = validConfigurationWith("6100", "6200");
  changed.replace(changed.find("512"), 3, "384");
  EXPECT_THAT(restartRequiredChanges(readConfiguration(validConfiguration), readConfiguration(changed)),
              ElementsAre("limits"));
}

TEST(ServerConfiguration, IsRejectedWhenItsFileCannotBeOpened) {
  EXPECT_THROW(static_cast<void>(readConfigurationFile("/nowhere")), ConfigurationError);
}

struct ConfigurationFault {
  std::string_view original;
  std::string_view replacement;
  std::string_view message;  // the beginning of the error text
};

class InvalidConfiguration : public testing::TestWithParam<ConfigurationFault> {};

TEST_P(InvalidConfiguration, ThrowsAnErrorThatNamesThePath) {
  const auto& [original, replacement, message] = GetParam();
  try {
    static_cast<void>(readConfiguration(validConfigurationWith(original, replacement)));
    ADD_FAILURE() << "no error; expected: " << message;
  } catch (const ConfigurationError& error) {
    EXPECT_THAT(error.what(), StartsWith(std::string(message)));
    EXPECT_THAT(error.what(), HasSubstr(error.path()));
  }
}

INSTANTIATE_TEST_SUITE_P(
    OneInvalidValueEach, InvalidConfiguration,
    testing::Values(
        ConfigurationFault{"\"name\": \"n3\",", "", "configuration: name is missing"},
        ConfigurationFault{"127.0.0.1:8443", "somewhere", "configuration: listen is 'somewhere', not "},
        ConfigurationFault{"127.0.0.1:6100", "127.0.0.1:70000", "configuration: agent is '127.0.0.1:70000'"},
        ConfigurationFault{
            "8c1f", "zz",
            "configuration: seed is 'zz30d27a5be964', not a hexadecimal number of up to 16 digits"},
        ConfigurationFault{"3200", "\"long\"", "configuration: stop_ms is 'long', not a number"},
        ConfigurationFault{"512", "3", "configuration: limits.sockets is '3', not an integer of at least 32"},
        ConfigurationFault{"\"cores\": 3", "\"cores\": \"six\"",
                           "settings: domain.cores is 'six', not a number"},
        ConfigurationFault{"\"b\"", "\"a\"", "settings: classes.1.name is empty or a duplicate"},
        ConfigurationFault{"\"settings\"", "\"other\"", "configuration: settings is missing"},
        ConfigurationFault{"}}}", "}}", "configuration: expected a JSON object"}));

}  // namespace
}  // namespace rainhook
