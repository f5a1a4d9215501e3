/**
 * @file compression_func.h
 * Compression of texts that daemons send each other, with Zstandard.
 */
#pragma once

#include "core/error_type.h"

#include <string>
#include <string_view>

namespace dunehook {

/** Content coding of compressed texts (RFC 8878). */
inline constexpr std::string_view kCompressedCoding = "zstd";

/** @return the compressed text; empty if that failed. */
std::string
Compress(std::string_view aText);

/** @return the text, or eBadRequest if it's damaged or has more than @p aMaxBytes. */
result<std::string>
Decompress(std::string_view aCompressed, std::size_t aMaxBytes);

} // namespace dunehook
