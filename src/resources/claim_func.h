/**
 * @file claim_func.h
 * Who may send a call whose idempotency key was claimed. One rule, used by the frontend and checked
 * exhaustively by the model check.
 */
#pragma once

#include "resources/replicated_state_base.h"

namespace dunehook {

/**
 * @return whether @p aAttempt may be sent under @p aKey: the first claim in log order is this very
 * attempt. An attempt names its daemon's run, so a daemon that was replaced doesn't take the claim
 * of its earlier run for its own.
 */
inline bool
HoldsKey(const replicated_state& aState, const std::string& aKey, const attempt_id& aAttempt)
{
  const auto held = aState.ClaimOf(aKey);
  return held && held->mAttempt == aAttempt;
}

} // namespace dunehook
