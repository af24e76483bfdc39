/// @file
/// Reading of command lines, common to all sub-commands.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

#include "commands/commands.h"

namespace rainhook::commands {

/// Reads arguments by a description of the options, in any order. Arguments that stand alone are, in turn,
/// the values of the options that `positional` names; there may be no more of them.
/// @throws UsageError
[[nodiscard]] boost::program_options::variables_map parseArguments(
    const Arguments& arguments, const boost::program_options::options_description& options,
    const std::vector<const char*>& positional = {});

/// The value of a variable of the environment, empty where it is absent.
[[nodiscard]] std::string environmentVariable(const char* name);

/// The options of the commands that read a server's configuration: `config`, `options` and `help`.
[[nodiscard]] boost::program_options::options_description configurationOptions(const char* title);

/// Prints how a command is used.
void printUsage(const char* command, const boost::program_options::options_description& options);

}  // namespace rainhook::commands
