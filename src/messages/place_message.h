/**
 * @file place_message.h
 * Encodes and decodes datagrams that request a placement and that answer such a request.
 */
#pragma once

#include "placement/place_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace dunehook {

/** @return a question as CBOR. */
std::string
Encode(const place_request& aQuestion);

/** @return an answer as CBOR. */
std::string
Encode(const place_reply& aReply);

/** A decoded datagram; std::monostate if it's invalid. */
using placing_message = std::variant<std::monostate, place_request, place_reply>;

/** @return the question or the answer in a datagram, or std::monostate. */
placing_message
DecodePlacing(std::string_view aData);

} // namespace dunehook
