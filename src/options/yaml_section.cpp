#include "options/yaml_section.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace rainhook::options {
namespace {

std::optional<std::uint64_t> digits(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string sized(std::uint64_t bytes) {
  constexpr std::pair<const char*, int> units[] = {{"GB", 30}, {"MB", 20}, {"kB", 10}};
  for (const auto& [name, shift] : units)
    if (bytes >> shift != 0 && (bytes >> shift) << shift == bytes)
      return fmt::format("{} {}", bytes >> shift, name);
  return fmt::format("{} bytes", bytes);
}

}  // namespace

Section::Section(const YAML::Node& node, std::string file, std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {
  if (node_.IsNull()) node_ = YAML::Node(YAML::NodeType::Map);
  if (!node_.IsMap())
    throw OptionsError(fmt::format("{}:{}: {}: holds no keys", file_, node_.Mark().line + 1,
                                   path_.empty() ? "the file" : path_));
  std::set<std::string> seen;
  for (const auto& pair : node_) {
    if (!pair.first.IsScalar())
      throw OptionsError(fmt::format("{}:{}: {}: a key is no plain word", file_, pair.first.Mark().line + 1,
                                     path_.empty() ? "the file" : path_));
    if (!seen.insert(pair.first.Scalar()).second) fault(pair.first.Scalar(), "is given twice");
  }
}

std::string Section::at(const std::string& key) const {
  int line = node_.Mark().line;
  for (const auto& pair : node_)
    if (pair.first.IsScalar() && pair.first.Scalar() == key) line = pair.first.Mark().line;
  return fmt::format("{}:{}: {}", file_, line + 1, path(key));
}

void Section::fault(const std::string& key, const std::string& what) const {
  throw OptionsError(fmt::format("{}: {}", at(key), what));
}

bool Section::has(const std::string& key) {
  asked_.insert(key);
  return std::as_const(node_)[key].IsDefined();
}

Section Section::section(const std::string& key) {
  if (!has(key)) fault(key, "is missing");
  return {std::as_const(node_)[key], file_, path(key)};
}

YAML::Node Section::plain(const std::string& key) {
  if (!has(key)) return YAML::Node(YAML::NodeType::Undefined);
  YAML::Node value = std::as_const(node_)[key];
  if (!value.IsScalar()) fault(key, "is no plain value");
  return value;
}

std::string Section::text(const std::string& key) {
  auto value = text(key, "");
  if (value.empty()) fault(key, "is missing");
  return value;
}

std::string Section::text(const std::string& key, const std::string& absent) {
  const auto value = plain(key);
  return value.IsDefined() ? value.Scalar() : absent;
}

bool Section::yes(const std::string& key, bool absent) {
  const auto value = plain(key);
  if (!value.IsDefined()) return absent;
  bool out = false;
  if (!YAML::convert<bool>::decode(value, out))
    fault(key, fmt::format("'{}' is neither true nor false", value.Scalar()));
  return out;
}

std::uint64_t Section::count(const std::string& key, std::uint64_t absent, std::uint64_t least,
                             std::uint64_t most) {
  const auto value = plain(key);
  if (!value.IsDefined()) return absent;
  const auto number = digits(value.Scalar());
  if (!number || *number < least || *number > most)
    fault(key, fmt::format("'{}' is no whole number from {} to {}", value.Scalar(), least, most));
  return *number;
}

std::uint64_t Section::bytes(const std::string& key, std::uint64_t absent, std::uint64_t least,
                             std::uint64_t most) {
  const auto value = plain(key);
  if (!value.IsDefined()) return absent;
  std::string_view text = value.Scalar();
  int shift = 0;
  constexpr std::pair<std::string_view, int> units[] = {{"kB", 10}, {"MB", 20}, {"GB", 30}};
  for (const auto& [name, by] : units)
    if (text.ends_with(name)) shift = by, text.remove_suffix(name.size());
  while (shift > 0 && text.ends_with(' ')) text.remove_suffix(1);
  const auto number = digits(text);
  if (!number || *number > (most >> shift) || (*number << shift) < least)
    fault(key, fmt::format("'{}' is no size from {} to {}", value.Scalar(), sized(least), sized(most)));
  return *number << shift;
}

std::chrono::nanoseconds Section::span(const std::string& key, std::chrono::nanoseconds absent,
                                       std::chrono::nanoseconds least, std::chrono::nanoseconds most) {
  using std::chrono::milliseconds;
  const auto value = plain(key);
  if (!value.IsDefined()) return absent;
  std::string_view text = value.Scalar();
  milliseconds unit(0);
  constexpr std::pair<std::string_view, milliseconds> units[] = {
      {"ms", milliseconds(1)}, {"s", milliseconds(1000)}, {"m", milliseconds(60000)}};
  for (const auto& [name, is] : units)
    if (unit.count() == 0 && text.ends_with(name)) unit = is, text.remove_suffix(name.size());
  const auto number = digits(text);
  if (unit.count() == 0 || !number || *number > 1'000'000'000 || unit * *number < least ||
      unit * *number > most)
    fault(key, fmt::format("'{}' is no span from {} ms to {} ms, such as 250ms or 1s", value.Scalar(),
                           std::chrono::duration_cast<milliseconds>(least).count(),
                           std::chrono::duration_cast<milliseconds>(most).count()));
  return unit * *number;
}

double Section::figure(const std::string& key, double absent, double least, double most) {
  const auto value = plain(key);
  return value.IsDefined() ? figureIn(key, value.Scalar(), least, most) : absent;
}

double Section::figureIn(const std::string& key, const std::string& text, double least, double most) const {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size() || !(number >= least && number <= most))
    fault(key, fmt::format("'{}' is no number from {} to {}", text, least, most));
  return number;
}

std::vector<std::string> Section::texts(const std::string& key) {
  if (!has(key)) return {};
  const YAML::Node list = std::as_const(node_)[key];
  if (!list.IsSequence()) fault(key, "is no list");
  std::vector<std::string> out;
  for (const auto& one : list) {
    if (!one.IsScalar() || one.Scalar().empty()) fault(key, "holds what is no plain value");
    for (const auto& before : out)
      if (before == one.Scalar()) fault(key, fmt::format("names '{}' twice", before));
    out.push_back(one.Scalar());
  }
  return out;
}

std::map<std::string, std::string> Section::named(const std::string& key, std::size_t most) {
  if (!has(key)) return {};
  const YAML::Node map = std::as_const(node_)[key];
  if (!map.IsMap()) fault(key, "holds no names");
  std::map<std::string, std::string> out;
  for (const auto& pair : map) {
    if (!pair.first.IsScalar() || !pair.second.IsScalar()) fault(key, "holds what is no plain value");
    if (!out.emplace(pair.first.Scalar(), pair.second.Scalar()).second)
      fault(key, fmt::format("names '{}' twice", pair.first.Scalar()));
  }
  if (out.size() > most) fault(key, fmt::format("names more than {}", most));
  return out;
}

void Section::end() const {
  for (const auto& pair : node_)
    if (!asked_.contains(pair.first.Scalar())) fault(pair.first.Scalar(), "is no known key");
}

}  // namespace rainhook::options
