/// @file
/// The section `store` of rainhook's own settings.
#pragma once

#include <string>

#include "options/yaml_section.h"
#include "store/store_settings.h"

namespace rainhook::options {

/// Where a store is and how much it may use.
struct StoreOptions {
  std::string folder;           ///< as written; relative to the working directory
  store::StoreSettings bounds;  ///< limits and tuning

  /// Whether all options are equal.
  bool operator==(const StoreOptions&) const = default;
};

/// Reads the section, checks its values against each other and refuses unknown keys.
/// @throws OptionsError
[[nodiscard]] StoreOptions readStoreOptions(YamlSection section);

}  // namespace rainhook::options
