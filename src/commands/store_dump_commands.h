/// @file
/// `rainhook store dump` and `load`: all entries as JSON lines, keys and values in base64.
#pragma once

#include "commands/store_session.h"

namespace rainhook::commands {

/// Writes the entries to standard output, the oldest first; the status exitDamaged where one can't be read.
int dumpStore(StoreSession& session);
/// Puts the entries that standard input holds.
int loadStore(StoreSession& session);

}  // namespace rainhook::commands
