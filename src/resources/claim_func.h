/**
 * @file claim_func.h
 * The rule that decides which call may be sent under a claimed idempotency key. The frontend uses
 * it, and the model check tests it exhaustively.
 */
#pragma once

#include "resources/replicated_state_base.h"

namespace dunehook {

/**
 * @return whether @p aAttempt may be sent under @p aKey, which is so if its claim came first in the
 * log. An attempt contains the incarnation of its daemon, so a restarted daemon doesn't mistake the
 * claim of its previous run for its own.
 */
inline bool
HoldsKey(const replicated_state& aState, const std::string& aKey, const attempt_id& aAttempt)
{
  const auto held = aState.ClaimOf(aKey);
  return held && held->mAttempt == aAttempt;
}

} // namespace dunehook
