/// @file
/// The sub-commands of `rainhook`, a file for each group, and what they end with.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace rainhook::commands {

/// What the program ends with; documented for users, so that the numbers stay. Not scoped, since a command
/// returns it as the plain number.
enum ExitStatus : int {
  exitSuccess = 0,
  exitFailure = 1,     ///< it cannot do its work, as where an address is taken
  exitNotFound = 1,    ///< what was asked for is not there
  exitUsageError = 2,  ///< the command line, the configuration or the options cannot be used
  exitDamaged = 3,     ///< a store holds damaged data
  exitStoreError = 4,  ///< a store cannot be opened, read or written
};

/// The words of a command line that follow the name of the program or the command.
using Arguments = std::vector<std::string>;

/// The command line cannot be used; main prints it and ends with exitUsageError.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Runs a server until SIGTERM or SIGINT.
/// @throws ConfigurationError, options::OptionsError, as check() does, and UsageError, as all commands do.
int serve(const Arguments& arguments);
/// Says what a configuration and the options hold.
int check(const Arguments& arguments);
/// Looks into a store, checks it or changes it.
int store(const Arguments& arguments);
/// Runs a member that does not serve.
int witness(const Arguments& arguments);
/// Says who is a member, as a running instance sees it.
int members(const Arguments& arguments);
/// Computes the plan by which zones take over from each other.
int failover(const Arguments& arguments);

}  // namespace rainhook::commands
