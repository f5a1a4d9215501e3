/**
 * @file port_claim.cpp
 * Claims ports by a bound socket.
 */
#include "tests/support/port_claim.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dunehook::test {

port_claim::port_claim(int aFirst, int aCount, int aPorts)
{
  const int slots = aCount / aPorts;
  for (int tried = 0; tried < slots; ++tried) {
    mPort = aFirst + (::getpid() + tried) % slots * aPorts;
    mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in claimed{};
    claimed.sin_family = AF_INET;
    claimed.sin_port = htons(static_cast<std::uint16_t>(mPort + aPorts - 1));
    claimed.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(mSocket, reinterpret_cast<const sockaddr*>(&claimed), sizeof claimed) == 0) {
      return;
    }
    ::close(mSocket);
  }
  throw std::runtime_error("no free ports for a test");
}

port_claim::~port_claim()
{
  ::close(mSocket);
}

} // namespace dunehook::test
