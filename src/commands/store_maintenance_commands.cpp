#include "commands/store_maintenance_commands.h"

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <memory>
#include <utility>

#include "commands/commands.h"
#include "store/file_names.h"
#include "store/posix_disk.h"
#include "store/verifier.h"

namespace rainhook::commands {

using store::StoreStatus;

int printStoreStatistics(StoreSession& session) {
  const store::StoreStatistics statistics = session.openStore().statistics().log;
  const std::initializer_list<std::pair<const char*, std::uint64_t>> rows = {
      {"entries", statistics.entries},
      {"gone_remembered", statistics.tombstones},
      {"index_bytes", statistics.indexBytes},
      {"folder_bytes", statistics.folderBytes},
      {"folder_most", statistics.peakFolderBytes},
      {"living_bytes", statistics.liveBytes},
      {"aside_files", statistics.quarantinedFiles},
      {"expired", statistics.expiredEntries},
      {"aged_out", statistics.agedOutEntries},
      {"lost_files", statistics.lostFiles},
      {"lost_records", statistics.lostRecords},
      {"lost_bytes", statistics.lostBytes},
      {"torn_bytes", statistics.tornBytes},
      {"doubted", statistics.discardedEntries},
      {"hints_rebuilt", statistics.hintsRebuilt},
      {"failed_syncs", statistics.failedSyncs},
  };
  for (const auto& [name, value] : rows) fmt::print("{}={}\n", name, value);
  return exitSuccess;
}

int verifyStore(const StoreSession& session) {
  store::PosixDisk disk(session.folder());
  if (const auto locked = disk.lock(store::lockFileName); locked.error)
    throw StoreCommandError(fmt::format("the store is open in process {}", locked.holder));
  store::VerificationReport report;
  if (const auto error = store::verify(disk, report))
    throw StoreCommandError("folder " + session.folder() + " can't be listed: " + error.message());
  const auto print = [](const char* kind, const store::VerificationReport::Finding& finding) {
    fmt::print("{}: {} at {}, {} bytes: {}\n", kind, finding.file, finding.offset, finding.bytes,
               finding.description);
  };
  for (const auto& finding : report.notes) print("note", finding);
  for (const auto& finding : report.damage) print("damage", finding);
  fmt::print("{} segments, {} records, {} bytes, {} damaged ranges\n", report.segments, report.records,
             report.bytes, report.damage.size());
  return report.damage.empty() ? exitSuccess : exitDamaged;
}

int compactStore(StoreSession& session) {
  store::Store& store = session.openStore();
  const std::uint64_t bytesBefore = store.statistics().log.folderBytes;
  StoreStatus outcome;
  requireSuccess(store.compact([&](const StoreStatus& status) { outcome = status; }));
  store.waitUntilIdle();
  requireSuccess(outcome);
  fmt::print("folder size: {} bytes before compaction, {} bytes after\n", bytesBefore,
             store.statistics().log.folderBytes);
  return exitSuccess;
}

int snapshotStore(StoreSession& session, const std::string& destination) {
  store::Store& store = session.openStore();
  StoreStatus outcome;
  requireSuccess(store.snapshot(std::make_unique<store::PosixDisk>(destination),
                                [&](const StoreStatus& status) { outcome = status; }));
  store.waitUntilIdle();
  requireSuccess(outcome);
  return exitSuccess;
}

}  // namespace rainhook::commands
