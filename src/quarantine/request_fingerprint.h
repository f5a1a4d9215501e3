/**
 * @file request_fingerprint.h
 * By what the tries of one request are known to be alike, whichever daemon they come to. Pure.
 */
#pragma once

#include "core/strong_id.h"

#include <string_view>

namespace dunehook {

struct request_fingerprint_tag;
/** Hash of what a request asks for. Its tries have ids of their own and the same fingerprint. */
using request_fingerprint = strong_id<request_fingerprint_tag>;

/** What the tries of one request have in common. */
struct request_identity
{
  std::string_view mMethod;     ///< HTTP method.
  std::string_view mHost;       ///< Host that the caller names.
  std::string_view mTarget;     ///< Path and query.
  std::string_view mCaller;     ///< Address of the caller's host; empty if it doesn't matter.
  std::uint64_t mPromptKey = 0; ///< Hash of the prompt's own part; 0 if there's none.
  std::string_view mBody;       ///< Whole body.
};

/** @return the fingerprint; never 0. Each part is hashed with its length, so that bytes can't move
 * from one to another unseen. */
request_fingerprint
FingerprintOf(const request_identity& aIdentity);

} // namespace dunehook
