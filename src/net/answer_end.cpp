/**
 * @file answer_end.cpp
 * Looks at a connection that has ended.
 */
#include "net/answer_end.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dunehook {

namespace {

/** @return whether the kernel holds an error of the connection that no operation has got. */
bool
HasError(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof error;
  const int got = ::getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return got != 0 || error != 0;
}

/** @return whether the other side's kernel hasn't acknowledged all bytes that were sent to it;
 * false where this kernel doesn't tell. */
bool
HasUnacknowledgedBytes(tcp::socket& aSocket)
{
  int bytes = 0;
  return ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace

bool
IsWholeAnswer(tcp::socket& aSocket, const body_parser& aAnswer, request_write aWrite)
{
  if (ProvesEnd(FramingOf(aAnswer))) {
    return true;
  }
  return aWrite == request_write::eSent && !HasError(aSocket) && !HasUnacknowledgedBytes(aSocket);
}

} // namespace dunehook
