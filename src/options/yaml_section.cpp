#include "options/yaml_section.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

namespace rainhook::options {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

struct SizeUnit {
  std::string_view name;
  int shift;
};
// In ascending order.
constexpr std::array sizeUnits = {SizeUnit{"kB", 10}, SizeUnit{"MB", 20}, SizeUnit{"GB", 30}};

struct DurationUnit {
  std::string_view name;
  milliseconds length;
};
// The first unit that a text ends with applies; "ms" precedes "s", since it ends in "s" as well.
constexpr std::array durationUnits = {DurationUnit{"ms", milliseconds(1)},
                                      DurationUnit{"s", std::chrono::seconds(1)},
                                      DurationUnit{"m", std::chrono::minutes(1)}};
// Limits the number before the unit, so that the duration in nanoseconds fits into 64 bits.
constexpr std::uint64_t maxDurationCount = 1'000'000'000;

std::optional<std::uint64_t> parseDigits(std::string_view text) {
  std::uint64_t number = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (text.empty() || error != std::errc{} || end != last) return std::nullopt;
  return number;
}

std::optional<std::uint64_t> parseBytes(std::string_view text, std::uint64_t max) {
  int shift = 0;
  for (const SizeUnit& unit : sizeUnits) {
    if (!text.ends_with(unit.name)) continue;
    shift = unit.shift;
    text.remove_suffix(unit.name.size());
  }
  while (shift > 0 && text.ends_with(' ')) text.remove_suffix(1);
  const auto number = parseDigits(text);
  if (!number || *number > (max >> shift)) return std::nullopt;
  return *number << shift;
}

std::optional<nanoseconds> parseDuration(std::string_view text) {
  const auto* const unit = std::find_if(durationUnits.begin(), durationUnits.end(),
                                        [&](const DurationUnit& each) { return text.ends_with(each.name); });
  if (unit == durationUnits.end()) return std::nullopt;
  text.remove_suffix(unit->name.size());
  const auto number = parseDigits(text);
  if (!number || *number > maxDurationCount) return std::nullopt;
  return unit->length * *number;
}

// Uses the largest unit that divides the size without a remainder.
std::string formatBytes(std::uint64_t bytes) {
  const SizeUnit* largest = nullptr;
  for (const SizeUnit& unit : sizeUnits) {
    const bool isWhole = (bytes >> unit.shift) != 0 && (bytes >> unit.shift) << unit.shift == bytes;
    if (isWhole) largest = &unit;
  }
  if (largest == nullptr) return fmt::format("{} bytes", bytes);
  return fmt::format("{} {}", bytes >> largest->shift, largest->name);
}

milliseconds::rep millisecondsOf(nanoseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

YAML::Node parseYaml(const std::string& text, const std::string& file) {
  try {
    return YAML::Load(text);
  } catch (const YAML::ParserException& error) {
    throw OptionsError(file, error.mark.line + 1, "", error.msg);
  }
}

std::string readFileText(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw OptionsError(file, 0, "", "cannot be opened");
  return {std::istreambuf_iterator<char>(in), {}};
}

YAML::Node loadYamlFile(const std::string& file) { return parseYaml(readFileText(file), file); }

YamlSection::YamlSection(const YAML::Node& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {
  if (node_.IsNull()) node_ = YAML::Node(YAML::NodeType::Map);
  if (!node_.IsMap()) throw OptionsError(file_, node_.Mark().line + 1, path_, "expected a mapping");
  std::set<std::string> keys;
  for (const auto& entry : node_) {
    if (!entry.first.IsScalar())
      throw OptionsError(file_, entry.first.Mark().line + 1, path_, "has a key that is not a scalar");
    if (!keys.insert(entry.first.Scalar()).second) reject(entry.first.Scalar(), "is a duplicate key");
  }
}

std::string YamlSection::pathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

int YamlSection::lineOf(const std::string& key) const {
  int line = node_.Mark().line;
  for (const auto& entry : node_)
    if (entry.first.IsScalar() && entry.first.Scalar() == key) line = entry.first.Mark().line;
  return line + 1;
}

std::string YamlSection::locationOf(const std::string& key) const {
  return fmt::format("{}:{}: {}", file_, lineOf(key), pathOf(key));
}

void YamlSection::reject(const std::string& key, const std::string& problem) const {
  throw OptionsError(file_, lineOf(key), pathOf(key), problem);
}

YAML::Node YamlSection::find(const std::string& key) const { return node_[key]; }

bool YamlSection::has(const std::string& key) {
  requestedKeys_.insert(key);
  return find(key).IsDefined();
}

YamlSection YamlSection::section(const std::string& key) {
  if (!has(key)) reject(key, "is missing");
  return {find(key), file_, pathOf(key)};
}

YAML::Node YamlSection::scalar(const std::string& key) {
  if (!has(key)) return YAML::Node(YAML::NodeType::Undefined);
  YAML::Node value = find(key);
  if (!value.IsScalar()) reject(key, "expected a scalar");
  return value;
}

std::string YamlSection::text(const std::string& key) {
  std::string value = text(key, "");
  if (value.empty()) reject(key, "is missing");
  return value;
}

std::string YamlSection::text(const std::string& key, const std::string& fallback) {
  const YAML::Node value = scalar(key);
  return value.IsDefined() ? value.Scalar() : fallback;
}

bool YamlSection::boolean(const std::string& key, bool fallback) {
  const YAML::Node value = scalar(key);
  if (!value.IsDefined()) return fallback;
  bool result = false;
  if (!YAML::convert<bool>::decode(value, result))
    reject(key, fmt::format("'{}' is neither true nor false", value.Scalar()));
  return result;
}

std::uint64_t YamlSection::count(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                 std::uint64_t max) {
  const YAML::Node value = scalar(key);
  if (!value.IsDefined()) return fallback;
  const auto number = parseDigits(value.Scalar());
  if (!number || *number < min || *number > max)
    reject(key, fmt::format("'{}' is not an integer from {} to {}", value.Scalar(), min, max));
  return *number;
}

std::uint64_t YamlSection::bytes(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                 std::uint64_t max) {
  const YAML::Node value = scalar(key);
  if (!value.IsDefined()) return fallback;
  const auto size = parseBytes(value.Scalar(), max);
  if (!size || *size < min)
    reject(key, fmt::format("'{}' is not a size from {} to {}", value.Scalar(), formatBytes(min),
                            formatBytes(max)));
  return *size;
}

nanoseconds YamlSection::duration(const std::string& key, nanoseconds fallback, nanoseconds min,
                                  nanoseconds max) {
  const YAML::Node value = scalar(key);
  if (!value.IsDefined()) return fallback;
  const auto duration = parseDuration(value.Scalar());
  if (!duration || *duration < min || *duration > max)
    reject(key, fmt::format("'{}' is not a duration from {} ms to {} ms, such as 250ms or 1s", value.Scalar(),
                            millisecondsOf(min), millisecondsOf(max)));
  return *duration;
}

double YamlSection::number(const std::string& key, double fallback, double min, double max) {
  const YAML::Node value = scalar(key);
  return value.IsDefined() ? parseNumber(key, value.Scalar(), min, max) : fallback;
}

double YamlSection::parseNumber(const std::string& key, const std::string& text, double min,
                                double max) const {
  double number = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  const bool isInRange = number >= min && number <= max;  // false for NaN
  if (error != std::errc{} || end != last || !isInRange)
    reject(key, fmt::format("'{}' is not a number from {} to {}", text, min, max));
  return number;
}

std::vector<std::string> YamlSection::textList(const std::string& key) {
  if (!has(key)) return {};
  const YAML::Node list = find(key);
  if (!list.IsSequence()) reject(key, "expected a list");
  std::vector<std::string> texts;
  for (const auto& item : list) {
    if (!item.IsScalar() || item.Scalar().empty()) reject(key, "has an item that is empty or not a scalar");
    if (std::find(texts.begin(), texts.end(), item.Scalar()) != texts.end())
      reject(key, fmt::format("lists '{}' twice", item.Scalar()));
    texts.push_back(item.Scalar());
  }
  return texts;
}

std::map<std::string, std::string> YamlSection::textMap(const std::string& key, std::size_t maxEntries) {
  if (!has(key)) return {};
  const YAML::Node map = find(key);
  if (!map.IsMap()) reject(key, "expected a mapping");
  std::map<std::string, std::string> texts;
  for (const auto& entry : map) {
    if (!entry.first.IsScalar() || !entry.second.IsScalar()) reject(key, "has an entry that is not a scalar");
    if (!texts.emplace(entry.first.Scalar(), entry.second.Scalar()).second)
      reject(key, fmt::format("lists '{}' twice", entry.first.Scalar()));
  }
  if (texts.size() > maxEntries)
    reject(key, fmt::format("has {} entries, more than the limit of {}", texts.size(), maxEntries));
  return texts;
}

void YamlSection::rejectUnknownKeys() const {
  for (const auto& entry : node_)
    if (!requestedKeys_.contains(entry.first.Scalar())) reject(entry.first.Scalar(), "unknown key");
}

}  // namespace rainhook::options
