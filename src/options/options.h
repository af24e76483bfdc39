// Our own settings: deploy/rainhook.yaml, named by --options or RAINHOOK_OPTIONS. What is absent is off. The
// file is checked as a whole before anything of it is used.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "membership/place.h"
#include "options/yaml_section.h"
#include "store/store_settings.h"

namespace rainhook::options {

struct StorePlace {
  std::string folder;
  store::StoreSettings bounds;

  bool operator==(const StorePlace&) const = default;
};

struct LogPlace {
  bool json = false;  // lines of JSON instead of text

  bool operator==(const LogPlace&) const = default;
};

struct Options {
  std::optional<StorePlace> store;
  std::optional<LogPlace> log;
  std::optional<membership::MembersPlace> membership;

  bool operator==(const Options&) const = default;
};

// Both throw OptionsError. `file` is how messages name the text.
Options readOptions(const std::string& text, const std::string& file);
// An empty name means that there is none: everything is off.
Options readOptionsFile(const std::string& file);

// What is switched on, a line each; empty where nothing is.
std::vector<std::string> switchedOn(const Options& options);

}  // namespace rainhook::options
