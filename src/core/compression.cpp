/**
 * @file compression.cpp
 * Compresses and restores texts.
 */
#include "core/compression_func.h"

#include <zstd.h>

namespace dunehook {

namespace {

/** Fast: hosts have a tenth of a core. */
constexpr int kLevel = 1;

} // namespace

std::string
Compress(std::string_view aText)
{
  std::string out(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size =
    ZSTD_compress(out.data(), out.size(), aText.data(), aText.size(), kLevel);
  out.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return out;
}

result<std::string>
Decompress(std::string_view aCompressed, std::size_t aMaxBytes)
{
  const unsigned long long size = ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  const bool isKnown = size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!isKnown || size > aMaxBytes) {
    return make_error_code(errc::eBadRequest);
  }
  std::string out(size, '\0');
  const std::size_t restored =
    ZSTD_decompress(out.data(), out.size(), aCompressed.data(), aCompressed.size());
  if (ZSTD_isError(restored) != 0 || restored != size) {
    return make_error_code(errc::eBadRequest);
  }
  return out;
}

} // namespace dunehook
