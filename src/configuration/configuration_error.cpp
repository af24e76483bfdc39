#include "configuration/configuration_error.h"

#include <utility>

namespace rainhook {
namespace {

std::string messageOf(const std::string& source, const std::string& path, const std::string& problem) {
  return path.empty() ? source + ": " + problem : source + ": " + path + " " + problem;
}

}  // namespace

ConfigurationError::ConfigurationError(std::string source, std::string path, std::string problem)
    : std::runtime_error(messageOf(source, path, problem)),
      source_(std::move(source)),
      path_(std::move(path)),
      problem_(std::move(problem)) {}

}  // namespace rainhook
