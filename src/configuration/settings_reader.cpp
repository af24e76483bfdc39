#include "configuration/settings_reader.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace rainhook {

SettingsMap parseSettingsText(std::string_view text) {
  SettingsMap pairs;
  for (std::size_t line = 1; !text.empty(); ++line) {
    const auto end = text.find('\n');
    const auto pair = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (pair.empty()) continue;
    const auto sign = pair.find('=');
    if (sign == std::string_view::npos)
      throw ConfigurationError("settings: line " + std::to_string(line) + " has no '='");
    pairs.insert_or_assign(std::string(pair.substr(0, sign)), std::string(pair.substr(sign + 1)));
  }
  return pairs;
}

SettingsMap flattenSettingsJson(const nlohmann::json& nested) {
  SettingsMap pairs;
  const auto plain = [](const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
  };
  const auto walk = [&](const auto& self, const std::string& path, const nlohmann::json& value) -> void {
    const std::string within = path.empty() ? path : path + '.';
    if (value.is_object()) {
      for (const auto& [name, inner] : value.items()) self(self, within + name, inner);
    } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
      pairs[within + "count"] = std::to_string(value.size());
      for (std::size_t i = 0; i < value.size(); ++i) self(self, within + std::to_string(i), value[i]);
    } else if (value.is_array()) {
      std::string joined;
      for (const auto& item : value) joined.append(joined.empty() ? "" : ",").append(plain(item));
      pairs[path] = joined;
    } else {
      pairs[path] = plain(value);
    }
  };
  walk(walk, "", nested);
  return pairs;
}

void SettingsReader::reject(const std::string& path, std::string_view value, const char* wanted) const {
  throw ConfigurationError(source_ + ": " + path + " is '" + std::string(value) + "', not " + wanted);
}

template <typename T>
T SettingsReader::parsed(const std::string& path, std::string_view value) const {
  T result{};
  // JSON has one kind of number: 6.0 and 6e0 are the whole number 6.
  if constexpr (std::is_integral_v<T>)
    if (value.find_first_of(".eE") != std::string_view::npos) {
      const auto real = parsed<double>(path, value);
      constexpr double most = 9e18;
      if (real != std::floor(real) || std::abs(real) > most ||
          std::abs(real) > static_cast<double>(std::numeric_limits<T>::max()))
        reject(path, value, "a whole number");
      return static_cast<T>(real);
    }
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
  if (error != std::errc{} || end != value.data() + value.size()) reject(path, value, "a number");
  if constexpr (std::is_same_v<T, double>)
    if (!std::isfinite(result)) reject(path, value, "a number");
  return result;
}

bool SettingsReader::parseBoolean(const std::string& path, std::string_view value) const {
  if (value.empty() || value == "false" || value == "0") return false;
  if (value == "true" || value == "1") return true;
  reject(path, value, "true or false");
}

std::string_view SettingsReader::text(const std::string& path) const {
  const auto it = values_.find(path);
  return it == values_.end() ? std::string_view{} : it->second;
}

std::string_view SettingsReader::requiredText(const std::string& path) const {
  if (const auto value = text(path); !value.empty()) return value;
  throw ConfigurationError(source_ + ": " + path + " is missing");
}

double SettingsReader::number(const std::string& path, double absent) const {
  const auto value = text(path);
  if (value.empty()) return absent;
  const auto out = parsed<double>(path, value);
  if (out < 0) reject(path, value, "a number of 0 or more");
  return out;
}

bool SettingsReader::boolean(const std::string& path) const { return parseBoolean(path, text(path)); }

Duration SettingsReader::duration(const std::string& path, Duration absent) const {
  const auto value = text(path);
  if (value.empty()) return absent;
  const auto whole = parsed<std::int64_t>(path, value);
  if (whole < 0) reject(path, value, "a span");
  return Duration(whole);
}

int SettingsReader::count(const std::string& path, int absent, int most) const {
  const auto value = text(path);
  if (value.empty()) return absent;
  const int whole = parsed<int>(path, value);
  if (whole < 0 || whole > most) reject(path, value, "a count");
  return whole;
}

std::vector<std::string_view> SettingsReader::list(const std::string& path) const {
  std::vector<std::string_view> items;
  for (auto rest = text(path); !rest.empty();) {
    const auto comma = rest.find(',');
    items.push_back(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
  }
  return items;
}

double SettingsReader::numberInList(const std::string& path, std::size_t at) const {
  const auto items = list(path);
  return at < items.size() ? parsed<double>(path, items[at]) : 0;
}

bool SettingsReader::booleanInList(const std::string& path, std::size_t at) const {
  const auto items = list(path);
  return at < items.size() && parseBoolean(path, items[at]);
}

std::size_t SettingsReader::choice(const std::string& path,
                                   std::initializer_list<std::string_view> words) const {
  const auto value = text(path);
  if (value.empty()) return 0;
  std::size_t at = 0;
  for (const auto word : words) {
    if (word == value) return at;
    ++at;
  }
  reject(path, value, "a known word");
}

}  // namespace rainhook
