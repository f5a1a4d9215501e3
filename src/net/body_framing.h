/**
 * @file body_framing.h
 * How the end of an answer's body is marked (RFC 9112, section 6.3). An answer that ends with its
 * connection can't be told from one that was cut off.
 */
#pragma once

#include "net/net_type.h"

#include <string_view>

namespace dunehook {

/** Parses an answer whose body is read in parts. */
using body_parser = http::response_parser<http::buffer_body>;

/** What marks the end of a body. */
enum class body_framing
{
  eLength,     ///< A length stated in advance; also an answer that can't have a body.
  eChunks,     ///< The last chunk.
  eConnection, ///< The end of the connection.
};

/** @return how the current answer's body is framed. @pre the parser has read the headers. */
inline body_framing
FramingOf(const body_parser& aParser)
{
  if (aParser.chunked()) {
    return body_framing::eChunks;
  }
  return aParser.need_eof() ? body_framing::eConnection : body_framing::eLength;
}

/** @return whether a body that was cut off can be told from a complete one. */
constexpr bool
ProvesEnd(body_framing aFraming)
{
  return aFraming != body_framing::eConnection;
}

/** @return the name used in logs and metrics. */
constexpr std::string_view
FramingName(body_framing aFraming)
{
  switch (aFraming) {
    case body_framing::eLength:
      return "length";
    case body_framing::eChunks:
      return "chunks";
    case body_framing::eConnection:
      return "connection";
  }
  return "unknown";
}

} // namespace dunehook
