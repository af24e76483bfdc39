/// @file
/// Reads a file of records from front to back, a window at a time, and finds the next intact record behind a
/// corrupt stretch.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "store/disk.h"
#include "store/record_format.h"

namespace rainhook::store {

/// Owns the file that it reads.
class RecordScanner {
 public:
  /// What was found next.
  struct Step {
    /// Which of the following is valid.
    enum class Kind { record, corruption, end };

    Kind kind = Kind::end;     ///< `record` is valid with `record` alone.
    Record record;             ///< Its views are valid until the next call.
    std::uint64_t offset = 0;  ///< Of the record or the corrupt stretch.
    std::uint64_t bytes = 0;   ///< Of the record or the corrupt stretch.
  };

  /// The header is part of each record's checksum.
  RecordScanner(std::shared_ptr<File> file, FileHeader header);

  /// What the disk can't read counts as corrupt.
  Step next();
  /// The offset that the next call reads from.
  std::uint64_t position() const { return position_; }

 private:
  /// At least `minBytes` from the offset on, or all up to the end of the file.
  std::string_view window(std::uint64_t offset, std::size_t minBytes);
  RecordReadResult readAt(std::uint64_t offset);
  std::uint64_t findIntactRecord(std::uint64_t from);

  std::shared_ptr<File> file_;
  FileHeader header_;
  std::uint64_t fileBytes_;
  std::uint64_t position_ = fileHeaderBytes;
  std::uint64_t windowOffset_ = 0;
  std::string window_;  // grows to the longest record of the file at most
};

}  // namespace rainhook::store
