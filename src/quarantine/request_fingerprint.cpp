/**
 * @file request_fingerprint.cpp
 * Hashing of a request's identity.
 */
#include "quarantine/request_fingerprint.h"

#include "core/hash_func.h"

namespace dunehook {

request_fingerprint
FingerprintOf(const request_identity& aIdentity)
{
  std::uint64_t hash = aIdentity.mPromptKey;
  for (const std::string_view part :
       { aIdentity.mMethod, aIdentity.mHost, aIdentity.mTarget, aIdentity.mBody }) {
    hash = HashBytes(part, hash + part.size());
  }
  return { hash | 1U };
}

} // namespace dunehook
