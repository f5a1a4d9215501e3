/**
 * @file bed_config.h
 * Changes of a deployment's configuration beyond what fleet_bed::PutConfig() writes.
 */
#pragma once

#include "tests/platform/fleet_bed.h"

#include <absl/strings/escaping.h>

namespace dunehook::test {

/** Writes the newest configuration once more, as its next version. @param aEdit changes it. */
template<typename Edit>
void
EditConfig(const fleet_bed& aBed, Edit aEdit)
{
  const answer read = Call(aBed.StoreAddress(), "GET", "/log-newest?topic=keyed.op&part=0");
  std::string text;
  absl::Base64Unescape(read.Json()["items"][0]["value"].get<std::string>(), &text);
  json config = json::parse(text);
  config["version"] = config["version"].get<int>() + 1;
  aEdit(config);
  Call(aBed.StoreAddress(), "POST", "/control/config", config.dump());
}

} // namespace dunehook::test
