#include "options/membership_options.h"

#include <fmt/format.h>
#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <string_view>
#include <vector>

#include "membership/message_codec.h"
#include "membership_transport/address.h"

namespace rainhook::options {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t keyBytes = 32;
constexpr std::size_t maxKeyTextBytes = 64;
constexpr std::size_t maxKeys = 2;  // two keys are needed during a key rotation
constexpr std::size_t maxReachEntries = 4096;
constexpr auto minProbeInterval = 50ms;
constexpr auto maxProbeInterval = 60s;
constexpr std::string_view anyAddress = "0.0.0.0:";

using Key = std::array<unsigned char, keyBytes>;

// Relative paths are resolved against the folder of the settings file, not against the working directory.
std::string resolvePath(const std::string& settingsFile, const std::string& path) {
  return (std::filesystem::path(settingsFile).parent_path() / path).string();
}

bool isIdentifierCharacter(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '_' ||
         character == '-';
}

std::string readIdentifier(YamlSection& section, const std::string& key) {
  std::string text = section.text(key);
  if (text.size() > membership::maxIdentifierBytes ||
      !std::all_of(text.begin(), text.end(), isIdentifierCharacter))
    section.reject(
        key, fmt::format("'{}' is not a name of letters, digits, '.', '_' and '-' with at most {} characters",
                         text, membership::maxIdentifierBytes));
  return text;
}

membership::Address checkedAddress(const YamlSection& section, const std::string& key,
                                   const std::string& text) {
  if (!membershipTransport::parseAddress(text))
    section.reject(key, fmt::format("'{}' is not an address of the form 127.0.0.1:7101", text));
  return membership::Address{text};
}

void checkKeyFileMode(const YamlSection& section, const std::string& file) {
  struct stat status {};
  if (::stat(file.c_str(), &status) != 0)
    section.reject("keys", fmt::format("key file {} cannot be read", file));
  if ((status.st_mode & S_IROTH) != 0)
    section.reject("keys", fmt::format("key file {} is readable by all users", file));
}

std::string readKeyText(const YamlSection& section, const std::string& file) {
  std::string text;
  try {
    text = readFileText(file);
  } catch (const OptionsError&) {
    section.reject("keys", fmt::format("key file {} cannot be read", file));
  }
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.pop_back();
  return text;
}

// A key file contains 32 bytes in base64. Only its owner and group may have read permission.
Key readKey(const YamlSection& section, const std::string& file) {
  checkKeyFileMode(section, file);
  const std::string text = readKeyText(section, file);
  Key key{};
  std::size_t decodedBytes = 0;
  const bool isDecoded = text.size() <= maxKeyTextBytes &&
                         sodium_base642bin(key.data(), key.size(), text.data(), text.size(), nullptr,
                                           &decodedBytes, nullptr, sodium_base64_VARIANT_ORIGINAL) == 0;
  if (!isDecoded || decodedBytes != key.size())
    section.reject("keys", fmt::format("key file {} does not contain 32 bytes in base64", file));
  return key;
}

std::vector<Key> readKeys(YamlSection& section, const std::string& settingsFile) {
  const std::vector<std::string> files = section.textList("keys");
  if (files.empty() || files.size() > maxKeys)
    section.reject("keys", fmt::format("expected one or two key files, found {}", files.size()));
  std::vector<Key> keys;
  keys.reserve(files.size());
  for (const std::string& file : files) keys.push_back(readKey(section, resolvePath(settingsFile, file)));
  if (keys.size() == maxKeys && keys[0] == keys[1])
    section.reject("keys", fmt::format("{} and {} contain the same key", files[0], files[1]));
  return keys;
}

void readAddresses(YamlSection& section, membership::MembershipSettings& settings) {
  settings.listen = checkedAddress(section, "listen", section.text("listen"));
  settings.advertise = checkedAddress(section, "advertise", section.text("advertise", settings.listen.text));
  if (settings.advertise.text.starts_with(anyAddress))
    section.reject("advertise", fmt::format("other members cannot connect to {}", settings.advertise.text));
}

void readSeeds(YamlSection& section, membership::MembershipSettings& settings) {
  for (const std::string& text : section.textList("seeds")) {
    const membership::Address seed = checkedAddress(section, "seeds", text);
    if (seed == settings.listen || seed == settings.advertise)
      section.reject("seeds", fmt::format("'{}' is this instance's own address", text));
    settings.seeds.push_back(seed);
  }
}

void readReach(YamlSection& section, membership::MembershipSettings& settings) {
  for (const auto& [name, text] : section.textMap("reach", maxReachEntries)) {
    if (name == settings.name.text)
      section.reject("reach", fmt::format("'{}' is this instance's own name", name));
    settings.addressOverrides.emplace(membership::MemberName{name}, checkedAddress(section, "reach", text));
  }
}

}  // namespace

membership::MembershipSettings readMembershipOptions(YamlSection section, const std::string& settingsFile) {
  membership::MembershipSettings settings;
  settings.name = {readIdentifier(section, "name")};
  settings.zone = {readIdentifier(section, "zone")};
  settings.region = {readIdentifier(section, "region")};
  settings.regionSource = section.locationOf("region");
  readAddresses(section, settings);
  readSeeds(section, settings);
  settings.keys = readKeys(section, settingsFile);
  readReach(section, settings);
  settings.probeInterval =
      section.duration("probe-every", settings.probeInterval, minProbeInterval, maxProbeInterval);
  settings.stateFolder = section.text("state", "");
  if (!settings.stateFolder.empty()) settings.stateFolder = resolvePath(settingsFile, settings.stateFolder);
  section.rejectUnknownKeys();
  return settings;
}

}  // namespace rainhook::options
