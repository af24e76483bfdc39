/// @file
/// Command-line parsing that all sub-commands share.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

#include "commands/commands.h"

namespace rainhook::commands {

/// Parses arguments in any order, according to a description of the options. Arguments without an option name
/// are, in order, the values of the options in `positional`.
/// @throws UsageError if an argument is invalid or there are more positional arguments than names.
[[nodiscard]] boost::program_options::variables_map parseArguments(
    const Arguments& arguments, const boost::program_options::options_description& options,
    const std::vector<const char*>& positional = {});

/// Returns the value of an environment variable; empty if it is not set.
[[nodiscard]] std::string environmentVariable(const char* name);

/// Describes the options of commands that read a server's configuration: `config`, `options` and `help`.
[[nodiscard]] boost::program_options::options_description configurationOptions(const char* title);

/// Prints the usage of a command.
void printUsage(const char* command, const boost::program_options::options_description& options);

}  // namespace rainhook::commands
