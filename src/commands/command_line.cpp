#include "commands/command_line.h"

#include <cstdlib>
#include <iostream>

namespace rainhook::commands {

namespace po = boost::program_options;

po::variables_map parseArguments(const Arguments& arguments, const po::options_description& options,
                                 const std::vector<const char*>& positional) {
  po::positional_options_description positions;
  for (const char* name : positional) positions.add(name, 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(options).positional(positions).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    throw UsageError(error.what());
  }
  return values;
}

std::string environmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

po::options_description configurationOptions(const char* title) {
  po::options_description options(title);
  auto add = options.add_options();
  add("config", po::value<std::string>()->default_value(environmentVariable("GW_CONFIG")),
      "the server's configuration, a JSON file; default: the file that GW_CONFIG names");
  add("options", po::value<std::string>()->default_value(environmentVariable("RAINHOOK_OPTIONS")),
      "rainhook's options, a YAML file; default: the file that RAINHOOK_OPTIONS names, or none");
  add("help", "print this help");
  return options;
}

void printUsage(const char* command, const po::options_description& options) {
  std::cout << "usage: rainhook " << command << " [options]\n\n" << options;
}

}  // namespace rainhook::commands
