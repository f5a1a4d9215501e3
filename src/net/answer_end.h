/**
 * @file answer_end.h
 * Whether an answer that was read to its end is whole. The end of a connection proves little by
 * itself: the kernel tells an error of a connection to one operation only, so that a read sees an
 * orderly end after the write of the request has got the error.
 */
#pragma once

#include "net/body_framing.h"

namespace dunehook {

/** How far the write of a request is. */
enum class request_write
{
  ePending, ///< The kernel hasn't taken all bytes yet.
  eSent,    ///< The kernel has taken all bytes.
  eFailed,  ///< The connection failed before that.
};

/**
 * @param aSocket the connection of the answer.
 * @param aAnswer has read the answer to its end.
 * @param aWrite the write of the request that is answered.
 * @return whether the answer is whole. A length and chunks prove it. An answer that ends with its
 * connection is whole if nothing failed on the connection and the other side had received the whole
 * request by then: a connection that ends earlier has been broken off.
 */
bool
IsWholeAnswer(tcp::socket& aSocket, const body_parser& aAnswer, request_write aWrite);

} // namespace dunehook
