#include "store/disk.h"

namespace rainhook::store {

DiskError writeAll(File& file, std::uint64_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    const IoResult written = file.write(offset, bytes);
    if (written.error) return written.error;
    if (written.bytes == 0) return make_error_code(std::errc::io_error);
    offset += written.bytes;
    bytes.remove_prefix(written.bytes);
  }
  return {};
}

IoResult readAll(File& file, std::uint64_t offset, std::span<char> into) {
  IoResult out;
  while (out.bytes < into.size()) {
    const IoResult read = file.read(offset + out.bytes, into.subspan(out.bytes));
    out.error = read.error;
    if (read.error || read.bytes == 0) break;
    out.bytes += read.bytes;
  }
  return out;
}

}  // namespace rainhook::store
