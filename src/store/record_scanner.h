// Reads a file of records from front to back, a window at a time, and finds the next whole record behind a
// damaged stretch.
#pragma once

#include <memory>
#include <string>

#include "store/disk.h"
#include "store/format.h"

namespace rainhook::store {

class RecordScanner {
 public:
  struct Step {
    enum class What { record, damage, end } what = What::end;
    Record record;             // its views last until the next call
    std::uint64_t offset = 0;  // of the record or the damaged stretch
    std::uint64_t bytes = 0;
  };

  RecordScanner(std::shared_ptr<File> file, FileHeader head);
  // Also where the disk gives an error: what can't be read is damage.
  Step next();
  std::uint64_t position() const { return at_; }

 private:
  static constexpr std::size_t windowBytes = 256 << 10;

  // At least this many bytes from `at` on, or all up to the end of the file.
  std::string_view window(std::uint64_t at, std::size_t least);
  RecordReadResult readAt(std::uint64_t at);
  std::uint64_t nextWhole(std::uint64_t from);

  std::shared_ptr<File> file_;
  FileHeader head_;
  std::uint64_t size_, at_ = fileHeaderBytes;
  std::uint64_t windowAt_ = 0;
  std::string window_;  // grows to the longest record of the file at most
};

}  // namespace rainhook::store
