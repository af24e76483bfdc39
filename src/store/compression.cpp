#include "store/compression.h"

#include <zstd.h>

namespace rainhook::store {
namespace {

constexpr int compressionLevel = 1;  // the fastest level, so that the writer thread keeps up

}  // namespace

std::optional<std::string> compress(std::string_view plain) {
  std::string out(ZSTD_compressBound(plain.size()), '\0');
  const std::size_t size =
      ZSTD_compress(out.data(), out.size(), plain.data(), plain.size(), compressionLevel);
  if (ZSTD_isError(size) || size >= plain.size()) return std::nullopt;
  out.resize(size);
  return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes) {
  const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
    return std::nullopt;
  std::string out(static_cast<std::size_t>(size), '\0');
  const std::size_t written = ZSTD_decompress(out.data(), out.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(written) || written != out.size()) return std::nullopt;
  return out;
}

}  // namespace rainhook::store
