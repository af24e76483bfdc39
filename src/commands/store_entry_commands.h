/// @file
/// The sub-commands of `rainhook store` on single entries and lists of them. Each returns the status to end
/// with and throws StoreCommandError or Misuse.
#pragma once

#include <functional>

#include "commands/store_session.h"

namespace rainhook::commands {

/// Whether `put` takes one value or lines of KEY<TAB>VALUE from standard input.
enum class PutInput { singleValue, lines };
enum class ListOrder { byKey, byAge };
enum class ListFormat { keysOnly, withExpiryAndSize };

/// Calls `visit` with all live entries, which are read a page at a time.
void forEachEntry(const store::Store& store, ListOrder order,
                  const std::function<void(const store::ScanPage::Row&)>& visit);

int putEntries(StoreSession& session, PutInput input);
int getEntry(StoreSession& session);
int eraseEntry(StoreSession& session);
int listEntries(StoreSession& session, ListOrder order, ListFormat format);

}  // namespace rainhook::commands
