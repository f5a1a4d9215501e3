/**
 * @file wire.h
 * HTTP/1.1 over blocking sockets with time limits, as far as the stand-ins of a case need it.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stage {

using steady = std::chrono::steady_clock;
using instant = steady::time_point;
using ms = std::chrono::milliseconds;

/** @return milliseconds since the program started. */
std::int64_t
NowMs();

/** A head, and a body where it was read. */
struct message
{
  std::string mFirst;                                       ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> mFields; ///< In order.
  std::string mBody;                                        ///< Decoded.

  /** @return a field's value; empty if there is none. */
  std::string Field(std::string_view aName) const;
  /** @return whether there is such a field. */
  bool Has(std::string_view aName) const;
  /** @return word @p aIndex of the first line. */
  std::string Word(std::size_t aIndex) const;
  /** @return the status of an answer. */
  int Status() const;
  /** @return a parameter of a request's query; empty if there is none. */
  std::string Query(std::string_view aName) const;
  /** @return a request's target without the query. */
  std::string Path() const;
};

/** One TCP connection. It closes itself. */
class connection
{
public:
  explicit connection(int aHandle = -1)
    : mHandle(aHandle)
  {
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /** Connects to "address:port". */
  bool Connect(const std::string& aTo, ms aLimit);
  bool Open() const { return mHandle >= 0; }
  int Handle() const { return mHandle; }
  void Close();
  /** Closes with a reset. */
  void Reset();
  /** @return false once the other side is gone or the time is over. */
  bool Write(std::string_view aBytes, instant aUntil);
  /** Reads a head. @return false if the connection ended or the time is over. */
  bool ReadHead(message& aOut, instant aUntil);
  /** Reads the body that a head announces. @return false if it ended early. */
  bool ReadBody(message& aOut, instant aUntil, bool aIsAnswer);
  /** @return whether the other side has closed; waits for that so long at most. Only for a side
   * that sends nothing further now. */
  bool ClosedWithin(ms aWait);
  /** @return whether a byte of the current head has arrived. */
  bool Begun() const { return mBegun; }
  /** @return whether the last failed read ran out of time, rather than out of connection. */
  bool TimedOut() const { return mTimedOut; }

private:
  bool Fill(instant aUntil);

  int mHandle;            ///< The socket; -1 if closed.
  std::string mBuffer;    ///< Bytes read and not used.
  bool mBegun = false;    ///< See Begun().
  bool mTimedOut = false; ///< See TimedOut().
};

/** @return a listening socket at "address:port", port 0 for any; -1 if it can't be had. */
int
Listen(const std::string& aAddress, int aPort);

/** @return the port of a listening socket. */
int
PortOf(int aHandle);

/** @return a whole message with a length. */
std::string
Whole(const std::string& aFirst, const std::string& aFields, const std::string& aBody);

} // namespace stage
