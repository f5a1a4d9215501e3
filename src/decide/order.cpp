/**
 * @file order.cpp
 * Text forms of stages, orders and decision records.
 */
#include "decide/order_type.h"

#include "core/text_func.h"

#include <array>

namespace dunehook {

namespace {

struct order_text
{
  std::string operator()(const start_prefill& aOrder) const
  {
    return Join("start_prefill ",
                ToText(aOrder.mAttempt),
                " engine=",
                aOrder.mEngine.mValue,
                " priority=",
                aOrder.mPriority);
  }
  std::string operator()(const start_chunk& aOrder) const
  {
    return Join("start_chunk ",
                ToText(aOrder.mAttempt),
                " engine=",
                aOrder.mEngine.mValue,
                " offset=",
                aOrder.mOffset,
                " bytes=",
                aOrder.mBytes,
                aOrder.mLast ? " last" : "");
  }
  std::string operator()(const refuse_request& aOrder) const
  {
    return Join("refuse ",
                ToText(aOrder.mAttempt),
                " reason=",
                ErrorName(make_error_code(aOrder.mReason)),
                " retry_after_us=",
                aOrder.mRetryAfter.count());
  }
  std::string operator()(const cancel_work& aOrder) const
  {
    return Join("cancel ", ToText(aOrder.mAttempt), " engine=", aOrder.mEngine.mValue);
  }
};

constexpr std::array<std::string_view, 5> kStageNames{
  "waiting", "prefilling", "ready", "transferring", "decoding",
};

} // namespace

std::string_view
StageName(request_stage aStage)
{
  return kStageNames.at(static_cast<std::size_t>(aStage));
}

nlohmann::json
ToJson(const decision_record& aRecord)
{
  return { { "request", ToText(aRecord.mAttempt) }, { "class", aRecord.mClass },
           { "decision", aRecord.mDecision },       { "candidates", aRecord.mCandidates },
           { "chosen", aRecord.mChosen },           { "reason", aRecord.mReason } };
}

std::string
Describe(const decide_order& aOrder)
{
  return std::visit(order_text{}, aOrder);
}

} // namespace dunehook
