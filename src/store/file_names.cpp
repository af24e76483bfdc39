#include "store/file_names.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace rainhook::store {
namespace {

constexpr std::ptrdiff_t minNumberDigits = 10;

}  // namespace

std::string segmentFileName(SegmentNumber number) { return fmt::format("{:010}.seg", rawValue(number)); }
std::string hintFileName(SegmentNumber number) { return fmt::format("{:010}.hint", rawValue(number)); }
std::string hintTemporaryFileName(SegmentNumber number) { return hintFileName(number) + ".tmp"; }

std::optional<ParsedFileName> parseFileName(std::string_view name) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc{} || end - name.data() < minNumberDigits) return std::nullopt;
  const std::string_view suffix = name.substr(static_cast<std::size_t>(end - name.data()));
  if (suffix == ".seg") return ParsedFileName{FileKind::segment, SegmentNumber{number}, false};
  if (suffix == ".hint") return ParsedFileName{FileKind::hint, SegmentNumber{number}, false};
  if (suffix == ".hint.tmp") return ParsedFileName{FileKind::hint, SegmentNumber{number}, true};
  return std::nullopt;
}

}  // namespace rainhook::store
