/// @file
/// The sub-commands of `rainhook store` for the store as a whole. Each returns the exit status and may throw
/// StoreCommandError.
#pragma once

#include <string>

#include "commands/store_session.h"

namespace rainhook::commands {

/// Prints the statistics as NAME=VALUE lines. Scripts depend on the names.
int printStoreStatistics(StoreSession& session);
/// Reads all files without opening the store and prints the damage; returns exitDamaged if there is any.
int verifyStore(const StoreSession& session);
/// Rewrites every segment with dead bytes and prints the folder's size before and after.
int compactStore(StoreSession& session);
/// Copies the store to an empty folder.
int snapshotStore(StoreSession& session, const std::string& destination);

}  // namespace rainhook::commands
