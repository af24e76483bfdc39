#include "configuration/settings_reader.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <system_error>
#include <type_traits>
#include <utility>

namespace rainhook {
namespace {

constexpr const char* settingsSource = "settings";

// Whole doubles above this magnitude may not fit into 64 bits.
constexpr double maxIntegralDouble = 9e18;

// Removes the text up to and including the first separator from `rest` and returns it without the separator.
std::string_view takeUntil(std::string_view& rest, char separator) {
  const std::size_t end = rest.find(separator);
  const std::string_view taken = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return taken;
}

std::string plainText(const nlohmann::json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.is_null() ? std::string() : value.dump();
}

std::string joinWithCommas(const nlohmann::json& list) {
  std::string joined;
  for (const nlohmann::json& item : list) {
    if (!joined.empty()) joined += ',';
    joined += plainText(item);
  }
  return joined;
}

bool isListOfObjects(const nlohmann::json& value) {
  return value.is_array() && !value.empty() && value.front().is_structured();
}

void flattenInto(SettingsMap& values, const std::string& path, const nlohmann::json& value) {
  const std::string prefix = path.empty() ? path : path + '.';
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flattenInto(values, prefix + name, inner);
  } else if (isListOfObjects(value)) {
    values[prefix + "count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flattenInto(values, prefix + std::to_string(i), value[i]);
  } else {
    values[path] = value.is_array() ? joinWithCommas(value) : plainText(value);
  }
}

}  // namespace

SettingsMap parseSettingsText(std::string_view text) {
  SettingsMap values;
  for (std::size_t lineNumber = 1; !text.empty(); ++lineNumber) {
    const std::string_view line = takeUntil(text, '\n');
    if (line.empty()) continue;
    const std::size_t equalsSign = line.find('=');
    if (equalsSign == std::string_view::npos)
      throw ConfigurationError(settingsSource, "line " + std::to_string(lineNumber), "has no '='");
    values.insert_or_assign(std::string(line.substr(0, equalsSign)),
                            std::string(line.substr(equalsSign + 1)));
  }
  return values;
}

SettingsMap flattenSettingsJson(const nlohmann::json& nested) {
  SettingsMap values;
  flattenInto(values, "", nested);
  return values;
}

SettingsReader::SettingsReader(SettingsMap values, std::string source)
    : values_(std::move(values)), source_(std::move(source)) {}

void SettingsReader::reject(const std::string& path, std::string_view value,
                            const std::string& expected) const {
  throw ConfigurationError(source_, path, "is '" + std::string(value) + "', not " + expected);
}

template <typename Number>
Number SettingsReader::parseNumber(const std::string& path, std::string_view value) const {
  // JSON does not distinguish integers from other numbers: 6.0 and 6e0 are the integer 6.
  if constexpr (std::is_integral_v<Number>) {
    if (value.find_first_of(".eE") != std::string_view::npos) {
      const auto real = parseNumber<double>(path, value);
      if (real != std::floor(real) || std::abs(real) > maxIntegralDouble ||
          std::abs(real) > static_cast<double>(std::numeric_limits<Number>::max()))
        reject(path, value, "an integer");
      return static_cast<Number>(real);
    }
  }
  Number result{};
  const char* const last = value.data() + value.size();
  const auto [end, error] = std::from_chars(value.data(), last, result);
  if (error != std::errc{} || end != last) reject(path, value, "a number");
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(result)) reject(path, value, "a number");
  }
  return result;
}

bool SettingsReader::parseBoolean(const std::string& path, std::string_view value) const {
  if (value.empty() || value == "false" || value == "0") return false;
  if (value == "true" || value == "1") return true;
  reject(path, value, "true or false");
}

std::string_view SettingsReader::text(const std::string& path) const {
  const auto found = values_.find(path);
  return found == values_.end() ? std::string_view{} : found->second;
}

std::string_view SettingsReader::requiredText(const std::string& path) const {
  const std::string_view value = text(path);
  if (value.empty()) throw ConfigurationError(source_, path, "is missing");
  return value;
}

double SettingsReader::number(const std::string& path, double fallback) const {
  const std::string_view value = text(path);
  if (value.empty()) return fallback;
  const auto result = parseNumber<double>(path, value);
  if (result < 0) reject(path, value, "a number of at least 0");
  return result;
}

bool SettingsReader::boolean(const std::string& path) const { return parseBoolean(path, text(path)); }

Duration SettingsReader::duration(const std::string& path, Duration fallback) const {
  const std::string_view value = text(path);
  if (value.empty()) return fallback;
  const auto nanoseconds = parseNumber<std::int64_t>(path, value);
  if (nanoseconds < 0) reject(path, value, "a duration of at least 0 ns");
  return Duration(nanoseconds);
}

int SettingsReader::count(const std::string& path, int fallback, int max) const {
  const std::string_view value = text(path);
  if (value.empty()) return fallback;
  const int result = parseNumber<int>(path, value);
  if (result < 0 || result > max) reject(path, value, "an integer from 0 to " + std::to_string(max));
  return result;
}

std::vector<std::string_view> SettingsReader::list(const std::string& path) const {
  std::vector<std::string_view> items;
  std::string_view rest = text(path);
  while (!rest.empty()) items.push_back(takeUntil(rest, ','));
  return items;
}

double SettingsReader::numberAt(const std::string& path, std::size_t index) const {
  const std::vector<std::string_view> items = list(path);
  return index < items.size() ? parseNumber<double>(path, items[index]) : 0;
}

bool SettingsReader::booleanAt(const std::string& path, std::size_t index) const {
  const std::vector<std::string_view> items = list(path);
  return index < items.size() && parseBoolean(path, items[index]);
}

}  // namespace rainhook
