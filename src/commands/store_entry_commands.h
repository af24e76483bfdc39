/// @file
/// The sub-commands of `rainhook store` on single entries and lists of them. Each returns the status to end
/// with and throws StoreCommandError or UsageError.
#pragma once

#include <functional>

#include "commands/store_session.h"

namespace rainhook::commands {

/// Whether `put` takes one value or lines of KEY<TAB>VALUE from standard input.
enum class PutInput { singleValue, lines };
/// The order of `list`.
enum class ListOrder { byKey, byAge };
/// What `list` prints of each entry.
enum class ListFormat { keysOnly, withExpiryAndSize };

/// Calls `visit` with all live entries, which are read a page at a time.
void forEachEntry(const store::Store& store, ListOrder order,
                  const std::function<void(const store::ScanPage::Row&)>& visit);

/// `put`: writes one value or many lines; returns once they are durable.
int putEntries(StoreSession& session, PutInput input);
/// `get`: prints the value; the status exitNotFound where there is none.
int getEntry(StoreSession& session);
/// `erase`: returns once the erasure is durable.
int eraseEntry(StoreSession& session);
/// `list`: prints the live keys, a line each.
int listEntries(StoreSession& session, ListOrder order, ListFormat format);

}  // namespace rainhook::commands
