/**
 * @file wire.cpp
 * Sockets and HTTP heads.
 */
#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stage {

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kBacklog = 512;

const instant kStart = steady::now();

int
LeftMs(instant aUntil)
{
  const auto left = std::chrono::duration_cast<ms>(aUntil - steady::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 3600000));
}

bool
SameName(std::string_view aOne, std::string_view aTwo)
{
  return aOne.size() == aTwo.size() && ::strncasecmp(aOne.data(), aTwo.data(), aOne.size()) == 0;
}

sockaddr_in
AddressOf(const std::string& aAddress, int aPort)
{
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aAddress.c_str(), &at.sin_addr);
  return at;
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<ms>(steady::now() - kStart).count();
}

std::string
message::Field(std::string_view aName) const
{
  for (const auto& [name, value] : mFields) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
message::Has(std::string_view aName) const
{
  return std::any_of(mFields.begin(), mFields.end(), [&](const auto& aField) {
    return SameName(aField.first, aName);
  });
}

std::string
message::Word(std::size_t aIndex) const
{
  std::size_t from = 0;
  for (std::size_t i = 0; i < aIndex; ++i) {
    from = mFirst.find(' ', from);
    if (from == std::string::npos) {
      return {};
    }
    ++from;
  }
  return mFirst.substr(from, mFirst.find(' ', from) - from);
}

int
message::Status() const
{
  return std::atoi(Word(1).c_str());
}

std::string
message::Path() const
{
  const std::string target = Word(1);
  return target.substr(0, target.find('?'));
}

std::string
message::Query(std::string_view aName) const
{
  const std::string target = Word(1);
  const std::size_t mark = target.find('?');
  std::string rest = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
  const std::string wanted = "&" + std::string(aName) + "=";
  const std::size_t at = rest.find(wanted);
  if (at == std::string::npos) {
    return {};
  }
  rest.erase(0, at + wanted.size());
  return rest.substr(0, rest.find('&'));
}

bool
connection::Connect(const std::string& aTo, ms aLimit)
{
  Close();
  mBuffer.clear();
  const std::size_t colon = aTo.rfind(':');
  const sockaddr_in at = AddressOf(aTo.substr(0, colon), std::stoi(aTo.substr(colon + 1)));
  mHandle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (mHandle < 0) {
    return false;
  }
  const int on = 1;
  ::setsockopt(mHandle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(mHandle, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    pollfd ready{ mHandle, POLLOUT, 0 };
    int error = errno;
    socklen_t size = sizeof error;
    if (error != EINPROGRESS || ::poll(&ready, 1, static_cast<int>(aLimit.count())) != 1 ||
        ::getsockopt(mHandle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      Close();
      return false;
    }
  }
  return true;
}

void
connection::Close()
{
  if (mHandle >= 0) {
    ::close(mHandle);
    mHandle = -1;
  }
}

void
connection::Reset()
{
  if (mHandle >= 0) {
    const linger now{ 1, 0 };
    ::setsockopt(mHandle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  Close();
}

bool
connection::Write(std::string_view aBytes, instant aUntil)
{
  while (!aBytes.empty()) {
    if (mHandle < 0) {
      return false;
    }
    const ssize_t sent = ::send(mHandle, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    pollfd ready{ mHandle, POLLOUT, 0 };
    if (::poll(&ready, 1, LeftMs(aUntil)) != 1 || (ready.revents & (POLLERR | POLLHUP)) != 0) {
      return false;
    }
  }
  return true;
}

bool
connection::Fill(instant aUntil)
{
  mTimedOut = false;
  if (mHandle < 0) {
    return false;
  }
  pollfd ready{ mHandle, POLLIN, 0 };
  int found = ::poll(&ready, 1, LeftMs(aUntil));
  while (found < 0 && errno == EINTR) {
    found = ::poll(&ready, 1, LeftMs(aUntil));
  }
  if (found != 1) {
    mTimedOut = true;
    return false;
  }
  const std::size_t before = mBuffer.size();
  mBuffer.resize(before + kReadBytes);
  const ssize_t got = ::recv(mHandle, mBuffer.data() + before, kReadBytes, MSG_DONTWAIT);
  mBuffer.resize(before + static_cast<std::size_t>(std::max<ssize_t>(0, got)));
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

bool
connection::ReadHead(message& aOut, instant aUntil)
{
  aOut = {};
  mBegun = !mBuffer.empty();
  std::size_t end = mBuffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return false;
    }
    mBegun = mBegun || !mBuffer.empty();
    end = mBuffer.find("\r\n\r\n");
  }
  std::string head = mBuffer.substr(0, end + 2);
  mBuffer.erase(0, end + 4);
  std::size_t from = head.find("\r\n");
  aOut.mFirst = head.substr(0, from);
  for (from += 2; from < head.size();) {
    const std::size_t stop = head.find("\r\n", from);
    const std::string line = head.substr(from, stop - from);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aOut.mFields.emplace_back(line.substr(0, colon),
                                value == std::string::npos ? "" : line.substr(value));
    }
    from = stop + 2;
  }
  return true;
}

bool
connection::ReadBody(message& aOut, instant aUntil, bool aIsAnswer)
{
  if (SameName(aOut.Field("Transfer-Encoding"), "chunked")) {
    for (;;) {
      std::size_t end = mBuffer.find("\r\n");
      while (end == std::string::npos) {
        if (!Fill(aUntil)) {
          return false;
        }
        end = mBuffer.find("\r\n");
      }
      const std::size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
      while (mBuffer.size() < end + 4 + size) {
        if (!Fill(aUntil)) {
          aOut.mBody += mBuffer.substr(end + 2);
          return false;
        }
      }
      aOut.mBody += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 4 + size);
      if (size == 0) {
        return true;
      }
    }
  }
  if (aOut.Has("Content-Length")) {
    const std::size_t size = std::strtoul(aOut.Field("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < size) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    aOut.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return true;
  }
  if (!aIsAnswer) {
    return true;
  }
  while (Fill(aUntil)) {
  }
  aOut.mBody = std::move(mBuffer);
  mBuffer.clear();
  return !mTimedOut;
}

bool
connection::ClosedWithin(ms aWait)
{
  const instant until = steady::now() + aWait;
  for (;;) {
    pollfd ready{ mHandle, POLLIN | POLLRDHUP, 0 };
    if (mHandle < 0) {
      return true;
    }
    const int found = ::poll(&ready, 1, LeftMs(until));
    if (found == 0) {
      return false;
    }
    if (found == 1 && (ready.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
      return true;
    }
    if (found == 1) { // A request that is sent ahead; the caller waits for its turn.
      ::poll(nullptr, 0, LeftMs(until));
      return false;
    }
  }
}

int
Listen(const std::string& aAddress, int aPort)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = AddressOf(aAddress, aPort);
  if (::bind(handle, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(handle, kBacklog) != 0) {
    ::close(handle);
    return -1;
  }
  return handle;
}

int
PortOf(int aHandle)
{
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(aHandle, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

std::string
Whole(const std::string& aFirst, const std::string& aFields, const std::string& aBody)
{
  return aFirst + "\r\n" + aFields + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace stage
