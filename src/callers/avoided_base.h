/**
 * @file avoided_base.h
 * Services that refused or could not be reached get no calls for a while, until the host list
 * says what is the matter.
 */
#pragma once

#include "core/clock_type.h"

#include <string>
#include <unordered_map>

namespace dunehook {

/** Runners to pass over, by name. */
class avoided_runners
{
public:
  void Avoid(const std::string& aName, instant aNow) { mUntil[aName] = aNow + kAvoidTime; }
  bool Avoids(const std::string& aName, instant aNow) const
  {
    const auto found = mUntil.find(aName);
    return found != mUntil.end() && aNow < found->second;
  }

private:
  static constexpr duration kAvoidTime = std::chrono::seconds(5); ///< Longer than the list lags.
  std::unordered_map<std::string, instant> mUntil;                ///< By name.
};

} // namespace dunehook
