/**
 * @file hash_func.h
 * Hashes that every daemon computes alike (xxHash, seeded by constants): rendezvous ranks,
 * prefix blocks and state digests.
 */
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace dunehook {

/** @return the 64-bit xxHash of @p aBytes under @p aSeed. */
inline std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

/** @return the rank of a member for a key; the highest rank owns the key. */
inline std::uint64_t
RendezvousRank(std::string_view aKey, std::uint64_t aMember)
{
  return HashBytes(aKey, aMember);
}

} // namespace dunehook
