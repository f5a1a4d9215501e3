/**
 * @file seen_answer.h
 * An answer as its caller sees it, byte by byte, with how its connection ended.
 */
#pragma once

#include "tests/support/testbed.h"

#include <string_view>

namespace dunehook::test {

/** An answer as its caller sees it, whose connection closes after it. */
struct seen_answer
{
  unsigned mStatus = 0;   ///< 0 if there's no whole head.
  std::string mHead;      ///< Status line and headers.
  std::string mBody;      ///< Without its framing.
  bool mProved = false;   ///< Its framing says that it's complete.
  bool mUnframed = false; ///< It has neither a length nor chunks.
  bool mReset = false;    ///< Its connection was reset.

  /** @return whether a caller takes it for complete. */
  bool LooksComplete() const { return mStatus != 0 && (mProved || (mUnframed && !mReset)); }
};

/** A call that is sent on a fresh connection. */
struct seen_call
{
  std::string mMethod;     ///< Method.
  std::string mTarget;     ///< Path and query.
  headers mHeaders;        ///< Headers beside those that frame the body.
  std::string mBody;       ///< Body.
  bool mKeepAlive = false; ///< The connection isn't asked to close after the answer.
};

/** Sends a call, and reads until the connection ends. */
seen_answer
AskOnce(const std::string& aAddress, const seen_call& aCall);

} // namespace dunehook::test
