/**
 * @file place_message.h
 * Datagrams of questions for a place and of their answers.
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

/** Nothing, where a datagram can't be read. */
using placing_message = std::variant<std::monostate, place_request, place_reply>;

/** @return the question or the answer in a datagram. */
placing_message
DecodePlacing(std::string_view aData);

} // namespace dunehook
