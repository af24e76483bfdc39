#include "options/options_error.h"

#include <fmt/format.h>

#include <utility>

namespace rainhook::options {

OptionsError::OptionsError(std::string file, int line, std::string key, std::string problem)
    : std::runtime_error(fmt::format("{}:{}: {}: {}", file, line, key.empty() ? "the file" : key, problem)),
      file_(std::move(file)),
      line_(line),
      key_(std::move(key)),
      problem_(std::move(problem)) {}

}  // namespace rainhook::options
