/**
 * @file seen_answer.cpp
 * Reads an answer as its caller sees it.
 */
#include "tests/platform/seen_answer.h"

#include "net/net_type.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace dunehook::test {

namespace {

/** Takes the chunks of a body apart. @return whether the last chunk came. */
bool
DecodeChunks(std::string_view aBytes, std::string& aBody)
{
  for (;;) {
    const std::size_t line = aBytes.find("\r\n");
    if (line == std::string_view::npos) {
      return false;
    }
    const std::size_t size = std::stoul(std::string(aBytes.substr(0, line)), nullptr, 16);
    aBytes.remove_prefix(line + 2);
    if (size == 0) {
      return aBytes == "\r\n";
    }
    aBody += aBytes.substr(0, size);
    if (aBytes.size() < size + 2) {
      return false;
    }
    aBytes.remove_prefix(size + 2);
  }
}

seen_answer
ParseAnswer(const std::string& aBytes, bool aReset)
{
  seen_answer seen;
  seen.mReset = aReset;
  const std::size_t end = aBytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return seen;
  }
  seen.mHead = aBytes.substr(0, end + 2);
  seen.mStatus = static_cast<unsigned>(std::stoul(seen.mHead.substr(9, 3)));
  const std::string rest = aBytes.substr(end + 4);
  static const std::string kLength = "Content-Length: ";
  const std::size_t length = seen.mHead.find(kLength);
  if (seen.mHead.find("Transfer-Encoding: chunked") != std::string::npos) {
    seen.mProved = DecodeChunks(rest, seen.mBody);
  } else if (length != std::string::npos) {
    seen.mBody = rest;
    seen.mProved = rest.size() == std::stoul(seen.mHead.substr(length + kLength.size()));
  } else {
    seen.mBody = rest;
    seen.mUnframed = true;
  }
  return seen;
}

} // namespace

seen_answer
AskOnce(const std::string& aAddress, const seen_call& aCall)
{
  const endpoint to = ParseEndpoint(aAddress).value();
  asio::io_context io(1);
  tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(to.mAddress), to.mPort });
  std::string request = aCall.mMethod + " " + aCall.mTarget +
                        " HTTP/1.1\r\nContent-Length: " + std::to_string(aCall.mBody.size()) +
                        "\r\n";
  request += aCall.mKeepAlive ? "" : "Connection: close\r\n";
  for (const auto& [name, value] : aCall.mHeaders) {
    request.append(name).append(": ").append(value).append("\r\n");
  }
  request += "\r\n";
  boost::system::error_code error; // A caller that is refused early may fail to send the rest.
  asio::write(socket, asio::buffer(request + aCall.mBody), error);
  std::string got;
  asio::read(socket, asio::dynamic_buffer(got), error);
  return ParseAnswer(got, error != asio::error::eof);
}

} // namespace dunehook::test
