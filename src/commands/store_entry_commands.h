/// @file
/// The sub-commands of `rainhook store` for single entries and lists of entries. Each returns the exit status
/// and may throw StoreCommandError or UsageError.
#pragma once

#include <functional>

#include "commands/store_session.h"

namespace rainhook::commands {

/// Whether `put` reads one value or lines of KEY<TAB>VALUE from standard input.
enum class PutInput { singleValue, lines };
/// The order of `list`.
enum class ListOrder { byKey, byAge };
/// What `list` prints for each entry.
enum class ListFormat { keysOnly, withExpiryAndSize };

/// Calls `visit` for all live entries, which are read one page at a time.
void forEachEntry(const store::Store& store, ListOrder order,
                  const std::function<void(const store::ScanPage::Row&)>& visit);

/// `put`: stores one value or many lines; returns once they are durable.
int putEntries(StoreSession& session, PutInput input);
/// `get`: prints the value; returns exitNotFound if the key has no value.
int getEntry(StoreSession& session);
/// `erase`: returns once the erasure is durable.
int eraseEntry(StoreSession& session);
/// `list`: prints the live keys, one per line.
int listEntries(StoreSession& session, ListOrder order, ListFormat format);

}  // namespace rainhook::commands
