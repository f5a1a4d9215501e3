/**
 * @file request_fingerprint.h
 * Recognizes repeated attempts of one request, whichever daemon receives them.
 */
#pragma once

#include "core/strong_id.h"

#include <string_view>

namespace dunehook {

struct request_fingerprint_tag;
/** Hash of a request's content. Its attempts differ in their ids, but share the fingerprint. */
using request_fingerprint = strong_id<request_fingerprint_tag>;

/** The parts that all attempts of one request have in common. */
struct request_identity
{
  std::string_view mMethod;     ///< HTTP method.
  std::string_view mHost;       ///< Host header.
  std::string_view mTarget;     ///< Path and query.
  std::uint64_t mPromptKey = 0; ///< Hash of the prompt's own part; 0 if there's none.
  std::string_view mBody;       ///< Whole body.
};

/** @return the fingerprint; never 0. Each part is hashed with its length, so that moving bytes from
 * one part to the next changes the fingerprint. */
request_fingerprint
FingerprintOf(const request_identity& aIdentity);

} // namespace dunehook
