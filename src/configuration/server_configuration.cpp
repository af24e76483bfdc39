#include "configuration/server_configuration.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

namespace rainhook {
namespace {

constexpr const char* untilRestart[] = {"name", "listen", "limits", "settings"};

// Numeric, since there is no name service where it runs.
std::string address(const SettingsReader& given, const std::string& path, bool needed) {
  std::string value(needed ? given.requiredText(path) : given.text(path));
  if (value.empty()) return value;
  const auto colon = value.rfind(':');
  Poco::Net::IPAddress host;
  unsigned port = 65536;
  if (colon != std::string::npos && Poco::Net::IPAddress::tryParse(value.substr(0, colon), host))
    std::from_chars(value.data() + colon + 1, value.data() + value.size(), port);
  if (port > 65535) given.reject(path, value, "an address with its port");
  return value;
}

Seed seed(const SettingsReader& given) {
  const auto value = given.text("seed");
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number, 16);
  if (!value.empty() && (error != std::errc{} || end != value.data() + value.size()))
    given.reject("seed", value, "hex digits");
  return Seed{number};
}

}  // namespace

ServerConfiguration readConfiguration(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) throw ConfigurationError("configuration: holds no JSON object");
  const auto pairs = flattenSettingsJson(json);
  const SettingsReader given(pairs, "configuration");
  ServerConfiguration out;
  ServerEndpoints& place = out.endpoints;
  place.name = given.requiredText("name");
  place.listen = address(given, "listen", true);
  place.engine = address(given, "agent", true);
  place.registry = address(given, "roster", false);
  place.downstream = address(given, "backend", false);
  place.seed = seed(given);
  constexpr int any = std::numeric_limits<int>::max();  // nothing has a row for each of these
  place.shutdownTimeout = std::chrono::milliseconds(given.count("stop_ms", 3000, any));
  const int descriptors = given.count("limits.sockets", 1024, any);
  constexpr int fewest = 32;
  if (descriptors < fewest)
    given.reject("limits.sockets", std::to_string(descriptors), "enough descriptors to serve with (32)");
  place.maxDescriptors = static_cast<std::size_t>(descriptors);
  place.memoryMb = given.count("limits.memory_mb", 192, any);
  const auto settings = json.find("settings");
  if (settings == json.end() || !settings->is_object())
    throw ConfigurationError("configuration: settings is missing");
  out.deployment = readDeploymentSettings(flattenSettingsJson(*settings));
  for (const char* name : untilRestart)
    if (const auto it = json.find(name); it != json.end()) out.restartOnlyValues[name] = it->dump();
  const auto& names = out.deployment.handlerNames;
  if (names.empty()) throw ConfigurationError("settings: classes is missing or holds none");
  if (names.size() > 256) throw ConfigurationError("settings: classes holds more than 256");
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i].empty() || std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(i),
                                      names[i]) != names.begin() + static_cast<std::ptrdiff_t>(i))
      throw ConfigurationError("settings: classes." + std::to_string(i) + ".name is empty or given twice");
  return out;
}

std::vector<std::string> restartRequiredChanges(const ServerConfiguration& running,
                                                const ServerConfiguration& offered) {
  std::vector<std::string> out;
  for (const char* name : untilRestart) {
    const auto text = [name](const ServerConfiguration& configured) {
      const auto it = configured.restartOnlyValues.find(name);
      return it == configured.restartOnlyValues.end() ? std::string() : it->second;
    };
    if (text(running) != text(offered)) out.emplace_back(name);
  }
  return out;
}

ServerConfiguration readConfigurationFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw ConfigurationError("configuration: can't be read from '" + file + "'");
  return readConfiguration({std::istreambuf_iterator<char>(in), {}});
}

}  // namespace rainhook
