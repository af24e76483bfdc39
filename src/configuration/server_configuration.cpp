#include "configuration/server_configuration.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <system_error>

namespace rainhook {
namespace {

constexpr const char* configurationSource = "configuration";
constexpr const char* settingsSource = "settings";

constexpr unsigned maxPort = 65535;
constexpr int hexadecimal = 16;
constexpr int defaultShutdownTimeoutMs = 3000;
constexpr int defaultDescriptors = 1024;
constexpr int minDescriptors = 32;
constexpr int defaultMemoryMb = 192;
constexpr std::size_t maxHandlers = 256;  // HandlerId has eight bits
// Upper bound of counts that do not determine the size of a table.
constexpr int unlimited = std::numeric_limits<int>::max();

struct RestartOnlyKey {
  const char* key;
  std::string RestartOnlyValues::*value;
};
constexpr std::array restartOnlyKeys = {RestartOnlyKey{"name", &RestartOnlyValues::name},
                                        RestartOnlyKey{"listen", &RestartOnlyValues::listen},
                                        RestartOnlyKey{"limits", &RestartOnlyValues::limits},
                                        RestartOnlyKey{"settings", &RestartOnlyValues::settings}};

// Hosts must be numeric, since servers run in environments without a name service.
bool isNumericAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  Poco::Net::IPAddress host;
  if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), host)) return false;
  unsigned port = maxPort + 1;  // unchanged if no digits follow, which makes the address invalid
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  return port <= maxPort;
}

std::string readOptionalAddress(const SettingsReader& reader, const std::string& path) {
  std::string address(reader.text(path));
  if (!address.empty() && !isNumericAddress(address))
    reader.reject(path, address, "a numeric address of the form 127.0.0.1:7101");
  return address;
}

std::string readRequiredAddress(const SettingsReader& reader, const std::string& path) {
  static_cast<void>(reader.requiredText(path));  // throws if the value is absent
  return readOptionalAddress(reader, path);
}

Seed readSeed(const SettingsReader& reader) {
  const std::string_view digits = reader.text("seed");
  if (digits.empty()) return Seed{};
  std::uint64_t number = 0;
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, number, hexadecimal);
  if (error != std::errc{} || end != last)
    reader.reject("seed", digits, "a hexadecimal number of up to 16 digits");
  return Seed{number};
}

std::size_t readMaxDescriptors(const SettingsReader& reader) {
  const int descriptors = reader.count("limits.sockets", defaultDescriptors, unlimited);
  if (descriptors < minDescriptors)
    reader.reject("limits.sockets", std::to_string(descriptors),
                  "an integer of at least " + std::to_string(minDescriptors));
  return static_cast<std::size_t>(descriptors);
}

ServerEndpoints readEndpoints(const SettingsReader& reader) {
  ServerEndpoints endpoints;
  endpoints.name = reader.requiredText("name");
  endpoints.listen = readRequiredAddress(reader, "listen");
  endpoints.engine = readRequiredAddress(reader, "agent");
  endpoints.registry = readOptionalAddress(reader, "roster");
  endpoints.downstream = readOptionalAddress(reader, "backend");
  endpoints.seed = readSeed(reader);
  endpoints.shutdownTimeout =
      std::chrono::milliseconds(reader.count("stop_ms", defaultShutdownTimeoutMs, unlimited));
  endpoints.maxDescriptors = readMaxDescriptors(reader);
  endpoints.memoryMb = reader.count("limits.memory_mb", defaultMemoryMb, unlimited);
  return endpoints;
}

DeploymentSettings readSettings(const nlohmann::json& configuration) {
  const auto settings = configuration.find("settings");
  if (settings == configuration.end() || !settings->is_object())
    throw ConfigurationError(configurationSource, "settings", "is missing");
  return readDeploymentSettings(flattenSettingsJson(*settings));
}

RestartOnlyValues readRestartOnlyValues(const nlohmann::json& configuration) {
  RestartOnlyValues values;
  for (const auto& [key, value] : restartOnlyKeys)
    if (const auto found = configuration.find(key); found != configuration.end())
      values.*value = found->dump();
  return values;
}

// Requests identify their handler by name, so that names must be present and unique.
void checkHandlerNames(const std::vector<std::string>& names) {
  if (names.empty()) throw ConfigurationError(settingsSource, "classes", "is missing or empty");
  if (names.size() > maxHandlers)
    throw ConfigurationError(settingsSource, "classes",
                             "has " + std::to_string(names.size()) + " entries, more than the limit of " +
                                 std::to_string(maxHandlers));
  for (auto name = names.begin(); name != names.end(); ++name)
    if (name->empty() || std::find(names.begin(), name, *name) != name)
      throw ConfigurationError(settingsSource, "classes." + std::to_string(name - names.begin()) + ".name",
                               "is empty or a duplicate");
}

}  // namespace

ServerConfiguration readConfiguration(std::string_view text) {
  constexpr bool throwOnSyntaxErrors = false;
  const auto json = nlohmann::json::parse(text, nullptr, throwOnSyntaxErrors);
  if (!json.is_object()) throw ConfigurationError(configurationSource, "", "expected a JSON object");
  ServerConfiguration configuration;
  configuration.endpoints = readEndpoints(SettingsReader(flattenSettingsJson(json), configurationSource));
  configuration.deployment = readSettings(json);
  configuration.restartOnlyValues = readRestartOnlyValues(json);
  checkHandlerNames(configuration.deployment.handlerNames);
  return configuration;
}

std::vector<std::string> restartRequiredChanges(const ServerConfiguration& running,
                                                const ServerConfiguration& offered) {
  std::vector<std::string> changed;
  for (const auto& [key, value] : restartOnlyKeys)
    if (running.restartOnlyValues.*value != offered.restartOnlyValues.*value) changed.emplace_back(key);
  return changed;
}

ServerConfiguration readConfigurationFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw ConfigurationError(configurationSource, "", "cannot open file '" + file + "'");
  return readConfiguration(std::string{std::istreambuf_iterator<char>(in), {}});
}

}  // namespace rainhook
