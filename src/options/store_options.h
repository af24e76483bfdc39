/// @file
/// Reads the section `store` of rainhook's options.
#pragma once

#include <string>

#include "options/yaml_section.h"
#include "store/store_settings.h"

namespace rainhook::options {

/// The folder and the limits of a store.
struct StoreOptions {
  std::string folder;           ///< unchanged from the file; relative to the working directory
  store::StoreSettings bounds;  ///< limits and tuning

  /// Whether all options are equal.
  bool operator==(const StoreOptions&) const = default;
};

/// Reads the section, checks that its values are consistent and rejects unknown keys.
/// @throws OptionsError if a value is invalid.
[[nodiscard]] StoreOptions readStoreOptions(YamlSection section);

}  // namespace rainhook::options
