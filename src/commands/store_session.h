/// @file
/// What the sub-commands of `rainhook store` share: the store's folder, its settings, the way that errors
/// end.
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

/// A failure of the store, or input that it can't take; ends the command with exitStoreError.
struct StoreCommandError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws StoreCommandError with the status' message unless it is a success.
void requireSuccess(const store::StoreStatus& status);
/// All of a stream's bytes.
std::string readAllInput(std::istream& in);

/// A store that is open for the time of one command. Its log lines go to standard error.
class StoreSession {
 public:
  /// Throws UsageError where no folder is given, neither as an option nor in our own settings.
  explicit StoreSession(const boost::program_options::variables_map& options);

  /// The store's folder.
  const std::string& folder() const { return folder_; }
  /// Opens the store at the first call; throws StoreCommandError where that fails.
  store::Store& openStore();

  /// The option `key`; throws UsageError where it is absent.
  std::string key() const;
  /// The time that the option `for` asks for; throws UsageError where it is out of range.
  store::UnixTime expiry() const;

  /// Repeats a call while the queue is full, as a command may wait; throws StoreCommandError for other
  /// errors.
  void acceptWhenQueueHasRoom(const std::function<store::StoreStatus()>& call);

 private:
  const boost::program_options::variables_map& options_;
  std::string folder_;
  store::StoreSettings settings_;
  std::unique_ptr<store::Store> store_;
};

}  // namespace rainhook::commands
