/// @file
/// Reads a file of records sequentially, one window at a time, and finds the next intact record after a
/// corrupt range.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "store/disk.h"
#include "store/record_format.h"

namespace rainhook::store {

/// Shares ownership of the file that it reads.
class RecordScanner {
 public:
  /// The result of `next`.
  struct Step {
    /// The kind of the result.
    enum class Kind { record, corruption, end };

    Kind kind = Kind::end;     ///< The member `record` is valid only if this is `Kind::record`.
    Record record;             ///< Its views are valid until the next call.
    std::uint64_t offset = 0;  ///< Offset of the record or the corrupt range.
    std::uint64_t bytes = 0;   ///< Size of the record or the corrupt range.
  };

  /// `header` must be the file's header, because the checksum of each record covers it.
  RecordScanner(std::shared_ptr<File> file, FileHeader header);

  /// Returns the next record or corrupt range. Bytes that the disk can't read count as corrupt.
  Step next();
  /// The offset that the next call of `next` reads from.
  std::uint64_t position() const { return position_; }

 private:
  /// Returns at least `minBytes` starting at the offset, or all bytes up to the end of the file.
  std::string_view window(std::uint64_t offset, std::size_t minBytes);
  RecordReadResult readAt(std::uint64_t offset);
  std::uint64_t findIntactRecord(std::uint64_t from);

  std::shared_ptr<File> file_;
  FileHeader header_;
  std::uint64_t fileBytes_;
  std::uint64_t position_ = fileHeaderBytes;
  std::uint64_t windowOffset_ = 0;
  std::string window_;  // has a fixed maximum size, except that it grows for a longer record
};

}  // namespace rainhook::store
