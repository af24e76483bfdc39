#include "commands/store_entry_commands.h"

#include <cstdint>
#include <iostream>
#include <string>

#include "commands/commands.h"

namespace rainhook::commands {
namespace {

using store::ScanPage;
using store::StoreStatus;

constexpr std::size_t rowsPerPage = 1000;

/// Stores lines from standard input until one fails; prints each key once its value is durable.
void putLines(StoreSession& session, store::Store& store, store::UnixTime expiry, StoreStatus& lastFailure) {
  std::string line;
  std::uint64_t lineNumber = 0;
  while (lastFailure.isOk() && std::getline(std::cin, line)) {
    ++lineNumber;
    const auto tab = line.find('\t');
    if (tab == std::string::npos || tab == 0)
      throw StoreCommandError("line " + std::to_string(lineNumber) +
                              ": expected KEY<TAB>VALUE with a non-empty key");
    const std::string key = line.substr(0, tab);
    const std::string value = line.substr(tab + 1);
    session.retryWhileQueueIsFull([&] {
      return store.put(key, value, expiry, [&lastFailure, key](const StoreStatus& status) {
        if (status.isOk())
          std::cout << key << '\n' << std::flush;
        else
          lastFailure = status;
      });
    });
    store.dispatchCompletions();
  }
}

}  // namespace

void forEachEntry(const store::Store& store, ListOrder order,
                  const std::function<void(const ScanPage::Row&)>& visit) {
  std::optional<store::KeyIndex::AgeCursor> cursor;
  std::string lastKey;
  auto start = store::ScanStart::atKey;
  for (;;) {
    const ScanPage page = order == ListOrder::byAge ? store.scanByAge(cursor, rowsPerPage)
                                                    : store.scanByKey(lastKey, start, rowsPerPage);
    for (const auto& row : page.rows) visit(row);
    if (!page.hasMore) return;
    lastKey = page.rows.back().key;
    cursor = {lastKey, page.rows.back().sequence};
    start = store::ScanStart::afterKey;
  }
}

int putEntries(StoreSession& session, PutInput input) {
  const store::UnixTime expiry = session.expiry();
  const std::string key = input == PutInput::lines ? std::string() : session.key();
  store::Store& store = session.openStore();
  StoreStatus lastFailure;
  if (input == PutInput::lines) {
    putLines(session, store, expiry, lastFailure);
  } else {
    const std::string value = readAllInput(std::cin);
    session.retryWhileQueueIsFull([&] {
      return store.put(key, value, expiry, [&lastFailure](const StoreStatus& status) {
        if (!status.isOk()) lastFailure = status;
      });
    });
  }
  store.waitUntilIdle();
  requireSuccess(lastFailure);
  return exitSuccess;
}

int getEntry(StoreSession& session) {
  const std::string key = session.key();
  const auto read = session.openStore().get(key);
  requireSuccess(read.status);
  if (!read.value) return exitNotFound;
  std::cout << *read.value << std::flush;
  return exitSuccess;
}

int eraseEntry(StoreSession& session) {
  const std::string key = session.key();
  store::Store& store = session.openStore();
  StoreStatus outcome;
  session.retryWhileQueueIsFull(
      [&] { return store.erase(key, [&](const StoreStatus& status) { outcome = status; }); });
  store.waitUntilIdle();
  requireSuccess(outcome);
  return exitSuccess;
}

int listEntries(StoreSession& session, ListOrder order, ListFormat format) {
  forEachEntry(session.openStore(), order, [format](const ScanPage::Row& row) {
    std::cout << row.key;
    if (format == ListFormat::withExpiryAndSize) {
      const bool hasExpiry = row.expiry != store::neverExpires;
      const std::string expiry = hasExpiry ? std::to_string(row.expiry.time_since_epoch().count()) : "-";
      std::cout << '\t' << expiry << '\t' << row.bytes;
    }
    std::cout << '\n';
  });
  std::cout << std::flush;
  return exitSuccess;
}

}  // namespace rainhook::commands
