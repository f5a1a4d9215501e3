/**
 * @file avoided_base.h
 * A short back-off for service runners that refused a call or could not be reached. It bridges the
 * time until the host list shows their new state.
 */
#pragma once

#include "core/clock_type.h"

#include <string>
#include <unordered_map>

namespace dunehook {

/** Runners that get no calls until their back-off ends. */
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
  static constexpr duration kAvoidTime =
    std::chrono::seconds(5);                       ///< Longer than the delay of the host list.
  std::unordered_map<std::string, instant> mUntil; ///< End of the back-off by runner name.
};

} // namespace dunehook
