#include "options/options.h"

#include <fmt/format.h>

#include <cstdint>

#include "options/membership_options.h"
#include "options/yaml_section.h"

namespace rainhook::options {
namespace {

constexpr std::uint64_t bytesPerKb = 1024;

LogOptions readLogOptions(YamlSection section) {
  const std::string form = section.text("form", "text");
  if (form != "text" && form != "json")
    section.reject("form", fmt::format("'{}' is neither text nor json", form));
  section.rejectUnknownKeys();
  return LogOptions{form == "json" ? LogFormat::json : LogFormat::text};
}

std::string describe(const StoreOptions& store) {
  return fmt::format(
      "store: folder {}, at most {} kB on disk and {} kB of index (the command store opens it, "
      "serve does not)",
      store.folder, store.bounds.maxDiskBytes / bytesPerKb, store.bounds.maxIndexBytes / bytesPerKb);
}

std::string describe(const membership::MembershipSettings& membership) {
  const std::string state =
      membership.stateFolder.empty() ? "no persistent state" : "state in " + membership.stateFolder;
  return fmt::format("membership: name {}, address {}, zone {}, region {}, {} seeds, {}",
                     membership.name.text, membership.listen.text, membership.zone.text,
                     membership.region.text, membership.seeds.size(), state);
}

}  // namespace

Options readOptions(const std::string& text, const std::string& file) {
  YamlSection section(parseYaml(text, file), file, "");
  Options options;
  if (section.has("store")) options.store = readStoreOptions(section.section("store"));
  if (section.has("log")) options.log = readLogOptions(section.section("log"));
  if (section.has("membership"))
    options.membership = readMembershipOptions(section.section("membership"), file);
  section.rejectUnknownKeys();
  return options;
}

Options readOptionsFile(const std::string& file) {
  if (file.empty()) return {};
  return readOptions(readFileText(file), file);
}

std::vector<std::string> describeEnabledFeatures(const Options& options) {
  std::vector<std::string> lines;
  if (options.store) lines.push_back(describe(*options.store));
  if (options.logFormat() == LogFormat::json) lines.emplace_back("log: JSON lines");
  if (options.membership) lines.push_back(describe(*options.membership));
  return lines;
}

}  // namespace rainhook::options
