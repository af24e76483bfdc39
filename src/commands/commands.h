/// @file
/// The sub-commands of `rainhook`, implemented in one file per group, and the exit statuses. Every command
/// throws UsageError if the command line is invalid, and options::OptionsError if a YAML file that it reads
/// is invalid. serve() and check() also throw ConfigurationError.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace rainhook::commands {

/// The exit statuses of the program. They are documented for users and must not change. The enumeration is
/// unscoped, since commands return the values as int.
enum ExitStatus : int {
  exitSuccess = 0,
  exitFailure = 1,     ///< the command failed, for example because an address is already in use
  exitNotFound = 1,    ///< the requested object does not exist
  exitUsageError = 2,  ///< the command line, the configuration or the options are invalid
  exitDamaged = 3,     ///< a store contains damaged data
  exitStoreError = 4,  ///< a store cannot be opened, read or written
};

/// The command-line arguments after the name of the program or the command.
using Arguments = std::vector<std::string>;

/// The command line is invalid. main() prints the error and exits with exitUsageError.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Runs a server until SIGTERM or SIGINT.
int serve(const Arguments& arguments);
/// Validates a configuration and the options and prints a summary of them.
int check(const Arguments& arguments);
/// Reads, verifies or changes a store.
int store(const Arguments& arguments);
/// Runs a member that does not serve requests.
int witness(const Arguments& arguments);
/// Prints the members as a running instance sees them.
int members(const Arguments& arguments);
/// Computes the plan by which zones take over traffic from each other.
int failover(const Arguments& arguments);

}  // namespace rainhook::commands
