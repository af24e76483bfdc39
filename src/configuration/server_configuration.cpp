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
std::string address(const Pairs& given, const std::string& path, bool needed) {
  std::string value(needed ? given.present(path) : given.text(path));
  if (value.empty()) return value;
  const auto colon = value.rfind(':');
  Poco::Net::IPAddress host;
  unsigned port = 65536;
  if (colon != std::string::npos && Poco::Net::IPAddress::tryParse(value.substr(0, colon), host))
    std::from_chars(value.data() + colon + 1, value.data() + value.size(), port);
  if (port > 65535) given.wrong(path, value, "an address with its port");
  return value;
}

Seed seed(const Pairs& given) {
  const auto value = given.text("seed");
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number, 16);
  if (!value.empty() && (error != std::errc{} || end != value.data() + value.size()))
    given.wrong("seed", value, "hex digits");
  return Seed{number};
}

}  // namespace

Configured readConfiguration(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) throw FactsError("configuration: holds no JSON object");
  const auto pairs = pairsOfJson(json);
  const Pairs given(pairs, "configuration");
  Configured out;
  Place& place = out.place;
  place.name = given.present("name");
  place.listen = address(given, "listen", true);
  place.engine = address(given, "agent", true);
  place.list = address(given, "roster", false);
  place.next = address(given, "backend", false);
  place.seed = seed(given);
  constexpr int any = std::numeric_limits<int>::max();  // nothing has a row for each of these
  place.stopAfter = std::chrono::milliseconds(given.count("stop_ms", 3000, any));
  const int descriptors = given.count("limits.sockets", 1024, any);
  constexpr int fewest = 32;
  if (descriptors < fewest)
    given.wrong("limits.sockets", std::to_string(descriptors), "enough descriptors to serve with (32)");
  place.descriptors = static_cast<std::size_t>(descriptors);
  place.memoryMb = given.count("limits.memory_mb", 192, any);
  const auto settings = json.find("settings");
  if (settings == json.end() || !settings->is_object())
    throw FactsError("configuration: settings is missing");
  out.facts = readFacts(pairsOfJson(*settings));
  for (const char* name : untilRestart)
    if (const auto it = json.find(name); it != json.end()) out.fixed[name] = it->dump();
  const auto& names = out.facts.handlerNames;
  if (names.empty()) throw FactsError("settings: classes is missing or holds none");
  if (names.size() > 256) throw FactsError("settings: classes holds more than 256");
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i].empty() || std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(i),
                                      names[i]) != names.begin() + static_cast<std::ptrdiff_t>(i))
      throw FactsError("settings: classes." + std::to_string(i) + ".name is empty or given twice");
  return out;
}

std::vector<std::string> leftByReload(const Configured& running, const Configured& offered) {
  std::vector<std::string> out;
  for (const char* name : untilRestart) {
    const auto text = [name](const Configured& configured) {
      const auto it = configured.fixed.find(name);
      return it == configured.fixed.end() ? std::string() : it->second;
    };
    if (text(running) != text(offered)) out.emplace_back(name);
  }
  return out;
}

Configured readConfigurationFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw FactsError("configuration: can't be read from '" + file + "'");
  return readConfiguration({std::istreambuf_iterator<char>(in), {}});
}

}  // namespace rainhook
