/**
 * @file port_claim.h
 * Ports that no other test uses at the same time, whichever process it belongs to.
 */
#pragma once

namespace dunehook::test {

/** Some ports in a row, claimed until this object ends. The last one isn't to be used. */
class port_claim
{
public:
  /** @param aFirst first port of the range to claim from. @param aCount size of the range.
   * @param aPorts ports to claim. */
  port_claim(int aFirst, int aCount, int aPorts);
  ~port_claim();
  port_claim(const port_claim&) = delete;
  port_claim& operator=(const port_claim&) = delete;

  /** @return the first of the ports. */
  int Port() const { return mPort; }

private:
  int mPort = 0;    ///< First of the ports.
  int mSocket = -1; ///< Bound to the last one.
};

} // namespace dunehook::test
