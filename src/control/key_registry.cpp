/**
 * @file key_registry.cpp
 * JSON encoding and decoding of claimed calls.
 */
#include "control/key_registry.h"

namespace dunehook {

nlohmann::json
ToJson(const keyed_call& aCall)
{
  return { { "state", static_cast<int>(aCall.mState) },
           { "status", aCall.mStatus },
           { "body", aCall.mBody } };
}

keyed_call
KeyedCallFromJson(const nlohmann::json& aJson)
{
  keyed_call call;
  call.mState =
    static_cast<keyed_state>(aJson.value("state", static_cast<int>(keyed_state::eUnknown)));
  call.mStatus = aJson.value("status", 0U);
  call.mBody = aJson.value("body", std::string());
  return call;
}

} // namespace dunehook
