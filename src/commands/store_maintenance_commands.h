/// @file
/// The sub-commands of `rainhook store` on the store as a whole. Each returns the status to end with and
/// throws StoreCommandError.
#pragma once

#include <string>

#include "commands/store_session.h"

namespace rainhook::commands {

/// Prints name=value lines. The names are part of the command line.
int printStoreStatistics(StoreSession& session);
/// Reads everything without opening the store; the status exitDamaged where something is.
int verifyStore(const StoreSession& session);
/// Writes every segment anew that holds anything dead, and prints what that gained.
int compactStore(StoreSession& session);
/// Copies the store into an empty folder.
int snapshotStore(StoreSession& session, const std::string& destination);

}  // namespace rainhook::commands
