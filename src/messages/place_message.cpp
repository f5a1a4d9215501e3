/**
 * @file place_message.cpp
 * Encodes placement questions and answers as CBOR arrays. The first item is the kind; durations are
 * in microseconds.
 */
#include "messages/place_message.h"

#include "core/json_func.h"
#include "runners/id_list_func.h"

namespace dunehook {

namespace {

using nlohmann::json;

constexpr int kQuestionKind = 1;
constexpr int kReplyKind = 2;
/** Index of the software's version, in a question. */
constexpr std::size_t kSoftwareIndex = 19;

std::string
ToCbor(const json& aBody)
{
  const std::vector<std::uint8_t> bytes = json::to_cbor(aBody);
  return { bytes.begin(), bytes.end() };
}

place_request
DecodeQuestion(const json& aBody)
{
  place_request question;
  generation_demand& demand = question.mDemand;
  question.mDaemon = aBody.at(1).get<std::uint64_t>();
  question.mRound = aBody.at(2).get<std::uint32_t>();
  demand.mRun = { aBody.at(3).get<std::uint64_t>() };
  demand.mService = aBody.at(4).get<std::string>();
  demand.mModel = aBody.at(5).get<std::string>();
  demand.mHall = aBody.at(6).get<std::string>();
  demand.mPromptTokens = aBody.at(7).get<std::uint32_t>();
  demand.mAnswerTokens = aBody.at(8).get<std::uint32_t>();
  demand.mMostTokens = aBody.at(9).get<std::uint32_t>();
  demand.mFailed = IdsFrom<service_runner_id>(aBody.at(10));
  demand.mReturned = aBody.at(11).get<bool>();
  demand.mEventGap = duration(aBody.at(12).get<std::int64_t>());
  demand.mFirstEventWithin = duration(aBody.at(13).get<std::int64_t>());
  question.mPromptKey = aBody.at(14).get<std::uint64_t>();
  question.mRank = aBody.at(15).get<std::uint32_t>();
  question.mWait.mNew = duration(aBody.at(16).get<std::int64_t>());
  question.mWait.mReturned = duration(aBody.at(17).get<std::int64_t>());
  demand.mExcluded = IdsFrom<service_runner_id>(aBody.at(18));
  // Earlier versions don't send the item.
  demand.mSoftware = { aBody.size() > kSoftwareIndex ? aBody.at(kSoftwareIndex).get<std::uint64_t>()
                                                     : 0 };
  return question;
}

place_reply
DecodeReply(const json& aBody)
{
  place_reply reply;
  reply.mRun = { aBody.at(1).get<std::uint64_t>() };
  reply.mRound = aBody.at(2).get<std::uint32_t>();
  reply.mState = static_cast<place_state>(aBody.at(3).get<int>());
  reply.mChoice.mDecode = { aBody.at(4).get<std::uint64_t>() };
  const auto prefill = aBody.at(5).get<std::uint64_t>();
  if (prefill != 0) {
    reply.mChoice.mPrefill = service_runner_id{ prefill };
  }
  reply.mChoice.mUntilRead = duration(aBody.at(6).get<std::int64_t>());
  reply.mChoice.mUntilEvent = duration(aBody.at(7).get<std::int64_t>());
  reply.mChoice.mPeakShare = aBody.at(8).get<double>();
  reply.mReason = static_cast<no_place>(aBody.at(9).get<int>());
  reply.mFreeIn = duration(aBody.at(10).get<std::int64_t>());
  reply.mReturned = aBody.at(11).get<bool>();
  reply.mWaitsFor = duration(aBody.at(12).get<std::int64_t>());
  return reply;
}

} // namespace

std::string
Encode(const place_request& aQuestion)
{
  const generation_demand& demand = aQuestion.mDemand;
  return ToCbor(json::array({ kQuestionKind,
                              aQuestion.mDaemon,
                              aQuestion.mRound,
                              demand.mRun.mValue,
                              demand.mService,
                              demand.mModel,
                              demand.mHall,
                              demand.mPromptTokens,
                              demand.mAnswerTokens,
                              demand.mMostTokens,
                              IdsOf(demand.mFailed),
                              demand.mReturned,
                              demand.mEventGap.count(),
                              demand.mFirstEventWithin.count(),
                              aQuestion.mPromptKey,
                              aQuestion.mRank,
                              aQuestion.mWait.mNew.count(),
                              aQuestion.mWait.mReturned.count(),
                              IdsOf(demand.mExcluded),
                              demand.mSoftware.mValue }));
}

std::string
Encode(const place_reply& aReply)
{
  const placement_choice& choice = aReply.mChoice;
  return ToCbor(json::array({ kReplyKind,
                              aReply.mRun.mValue,
                              aReply.mRound,
                              static_cast<int>(aReply.mState),
                              choice.mDecode.mValue,
                              choice.mPrefill ? choice.mPrefill->mValue : 0,
                              choice.mUntilRead.count(),
                              choice.mUntilEvent.count(),
                              choice.mPeakShare,
                              static_cast<int>(aReply.mReason),
                              aReply.mFreeIn.count(),
                              aReply.mReturned,
                              aReply.mWaitsFor.count() }));
}

placing_message
DecodePlacing(std::string_view aData)
{
  try {
    const json body = ParseCbor(aData);
    const int kind = body.at(0).get<int>();
    if (kind == kQuestionKind) {
      return DecodeQuestion(body);
    }
    if (kind == kReplyKind) {
      return DecodeReply(body);
    }
  } catch (const json::exception&) {
    return {}; // Invalid datagram: the sender asks another daemon, or decides itself.
  }
  return {};
}

} // namespace dunehook
