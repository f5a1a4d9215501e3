/**
 * @file prompt_part.h
 * Parts that prompts share, as crashes of runners are related to them.
 */
#pragma once

#include "quarantine/request_fingerprint.h"

#include <string>
#include <vector>

namespace dunehook {

struct prompt_part_tag;
/** A part of prompts, for one model of one service. */
using prompt_part = strong_id<prompt_part_tag>;
/** Several parts, ordered, each once. */
using part_set = std::vector<prompt_part>;

/** @return the parts with these ids in prompts for a model of a service. */
part_set
PartsOf(std::string_view aService,
        std::string_view aModel,
        const std::vector<std::string>& aPartIds);

/** @return whether @p aParts contains all of @p aSome. */
bool
HoldsAll(const part_set& aParts, const part_set& aSome);

/** @return the parts in both sets. */
part_set
PartsInBoth(const part_set& aOne, const part_set& aTwo);

/** @return the key of the requests whose prompts hold all of these parts; never 0. */
request_fingerprint
FingerprintOf(const part_set& aParts);

} // namespace dunehook
