/// @file
/// `rainhook store dump` and `load`: write and read all entries as JSON lines, with keys and values in
/// base64.
#pragma once

#include "commands/store_session.h"

namespace rainhook::commands {

/// Writes the entries to standard output, the oldest first; returns exitDamaged if an entry can't be read.
int dumpStore(StoreSession& session);
/// Stores the entries from standard input; returns once all of them are durable.
int loadStore(StoreSession& session);

}  // namespace rainhook::commands
