/// @file
/// Shared code of the sub-commands of `rainhook store`: the store's folder, its settings, error handling.
#pragma once

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <istream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "store/store.h"

namespace rainhook::commands {

/// A failure of the store or invalid input; ends the command with exitStoreError.
struct StoreCommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws StoreCommandError with the status message unless the status is a success.
void requireSuccess(const store::StoreStatus& status);
/// Reads all bytes of a stream.
std::string readAllInput(std::istream& in);

/// The store that one command uses. The store's log lines go to standard error.
class StoreSession {
 public:
  /// Throws UsageError if neither the command line nor the options file specifies a folder.
  explicit StoreSession(const boost::program_options::variables_map& options);

  /// The store's folder.
  const std::string& folder() const { return folder_; }
  /// Opens the store on the first call; throws StoreCommandError on failure.
  store::Store& openStore();

  /// The option `key`; throws UsageError if it is absent.
  std::string key() const;
  /// The expiry that results from the option `for`; throws UsageError if the option is out of range.
  store::UnixTime expiry() const;

  /// Repeats a call while the queue is full; unlike a server, a command may block. Throws StoreCommandError
  /// on other errors.
  void retryWhileQueueIsFull(const std::function<store::StoreStatus()>& call);

 private:
  const boost::program_options::variables_map& options_;
  std::string folder_;
  store::StoreSettings settings_;
  std::unique_ptr<store::Store> store_;
};

}  // namespace rainhook::commands
