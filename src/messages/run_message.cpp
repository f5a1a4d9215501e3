/**
 * @file run_message.cpp
 * Encodes run messages as CBOR: [sender, digest, [[run, decode, prefill, prompt, answer, most,
 * made, age]...], [ended...], [ordered...], [refused...], store, runner changes, whether the store
 * is silent, [finished...], [reads...], [outcomes...], [full...], [leaving...], quarantine,
 * permits, streams].
 */
#include "messages/run_message.h"

#include "core/json_func.h"
#include "runners/id_list_func.h"

#include <algorithm>
#include <cmath>

namespace dunehook {

namespace {

using nlohmann::json;

/** Indexes of the quarantine and of the permits, in a message. */
constexpr std::size_t kQuarantineIndex = 14;
constexpr std::size_t kPermitsIndex = 15;
/** Index of what is told of streams, in a message. */
constexpr std::size_t kOriginsIndex = 16;
/** Places in what a message says of the store. */
constexpr std::size_t kListReadAtIndex = 2;
constexpr std::size_t kSentAtIndex = 3;
/** Index of the software's version, in a runner's entry. */
constexpr std::size_t kSoftwareIndex = 10;
/** Crashes are reported for a shorter time than this. */
constexpr duration kMaxReportAge = std::chrono::minutes(1);
/** Index of a trial request, followed by the reply to one, in a quarantine. */
constexpr std::size_t kTrialIndex = 6;
/** Index of the age, in a crash report. */
constexpr std::size_t kReportAgeIndex = 3;
/** Index of how long before a crash its run was sent, followed by the run's parts. */
constexpr std::size_t kJustBeganIndex = 4;
/** Index of the runners that crashed, in a quarantine. */
constexpr std::size_t kRunnersCrashedIndex = 8;
/** Index of the parts that are asked for, followed by those that are proven, in a quarantine. */
constexpr std::size_t kPartsAskedIndex = 9;
/** Index of the parts that are meant, followed by whether they are confirmed, in a notice. */
constexpr std::size_t kNoticePartsIndex = 3;

/** Limit on runs decoded from one datagram; a valid datagram can't hold as many. */
constexpr std::size_t kMaxRuns = 2000;

run_record
DecodeRun(const json& aItem, std::uint64_t aDaemon, instant aNow)
{
  run_record run;
  run.mRun = { aItem.at(0).get<std::uint64_t>() };
  run.mDecode = { aItem.at(1).get<std::uint64_t>() };
  run.mPrefill = { aItem.at(2).get<std::uint64_t>() };
  run.mPromptTokens = aItem.at(3).get<std::uint32_t>();
  run.mAnswerTokens = aItem.at(4).get<std::uint32_t>();
  run.mMostTokens = aItem.at(5).get<std::uint32_t>();
  run.mGeneratedTokens = aItem.at(6).get<std::uint32_t>();
  run.mSeen = aNow - duration(aItem.at(7).get<std::int64_t>());
  run.mDaemon = aDaemon;
  return run;
}

json
EncodeEntry(const runner_entry& aEntry)
{
  return json::array({ aEntry.mName,
                       aEntry.mService,
                       aEntry.mAddress.mAddress,
                       aEntry.mAddress.mPort,
                       aEntry.mHall,
                       aEntry.mSlots,
                       aEntry.mLeaving,
                       static_cast<int>(aEntry.mRole),
                       aEntry.mModels,
                       aEntry.mBorn,
                       aEntry.mSoftware });
}

runner_entry
DecodeEntry(const json& aItem)
{
  runner_entry entry;
  entry.mName = aItem.at(0).get<std::string>();
  entry.mService = aItem.at(1).get<std::string>();
  entry.mAddress.mAddress = aItem.at(2).get<std::string>();
  entry.mAddress.mPort = aItem.at(3).get<std::uint16_t>();
  entry.mHall = aItem.at(4).get<std::string>();
  entry.mSlots = aItem.at(5).get<std::uint32_t>();
  entry.mLeaving = aItem.at(6).get<bool>();
  entry.mRole = static_cast<engine_role>(aItem.at(7).get<int>());
  entry.mModels = aItem.at(8).get<std::map<std::string, std::uint64_t>>();
  entry.mBorn = aItem.at(9).get<std::uint64_t>();
  // Earlier versions don't send the item.
  entry.mSoftware =
    aItem.size() > kSoftwareIndex ? aItem.at(kSoftwareIndex).get<std::string>() : "";
  return entry;
}

json
EncodePosition(const store_mark& aMark)
{
  return json::array({ aMark.mEra, aMark.mOffset });
}

store_mark
DecodePosition(const json& aItem)
{
  return { aItem.at(0).get<std::uint64_t>(), aItem.at(1).get<std::uint64_t>() };
}

json
EncodeChanges(const runner_changes& aChanges)
{
  json listed = json::array();
  for (const runner_entry& entry : aChanges.mListed) {
    listed.push_back(EncodeEntry(entry));
  }
  return json::array({ EncodePosition(aChanges.mFrom),
                       EncodePosition(aChanges.mTo),
                       std::move(listed),
                       aChanges.mDropped,
                       aChanges.mAway });
}

runner_changes
DecodeChanges(const json& aItem)
{
  runner_changes changes;
  changes.mFrom = DecodePosition(aItem.at(0));
  changes.mTo = DecodePosition(aItem.at(1));
  for (const json& entry : aItem.at(2)) {
    changes.mListed.push_back(DecodeEntry(entry));
  }
  changes.mDropped = aItem.at(3).get<std::vector<std::string>>();
  changes.mAway = aItem.at(4).get<bool>();
  return changes;
}

json
EncodeFinished(const run_message& aMessage)
{
  json items = json::array();
  for (const finished_run& run : aMessage.mFinished) {
    items.push_back({ run.mRun.mValue,
                      run.mTokens,
                      run.mPacedTokens,
                      run.mTook.count(),
                      run.mLongestGap.count() });
  }
  return items;
}

json
EncodeReads(const run_message& aMessage)
{
  json items = json::array();
  for (const finished_read& read : aMessage.mReads) {
    items.push_back({ read.mRun.mValue, read.mEngine.mValue, read.mTook.count() });
  }
  return items;
}

json
EncodeOutcomes(const run_message& aMessage)
{
  json items = json::array();
  for (const engine_report& report : aMessage.mOutcomes) {
    items.push_back({ report.mEngine.mValue, static_cast<int>(report.mOutcome) });
  }
  return items;
}

void
DecodeReports(const json& aBody, run_message& aMessage)
{
  for (const json& item : aBody.at(9)) {
    aMessage.mFinished.push_back({ { item.at(0).get<std::uint64_t>() },
                                   item.at(1).get<std::uint32_t>(),
                                   item.at(2).get<std::uint32_t>(),
                                   duration(item.at(3).get<std::int64_t>()),
                                   duration(item.at(4).get<std::int64_t>()) });
  }
  for (const json& item : aBody.at(10)) {
    aMessage.mReads.push_back({ { item.at(0).get<std::uint64_t>() },
                                { item.at(1).get<std::uint64_t>() },
                                duration(item.at(2).get<std::int64_t>()) });
  }
  for (const json& item : aBody.at(11)) {
    aMessage.mOutcomes.push_back(
      { { item.at(0).get<std::uint64_t>() }, static_cast<send_outcome>(item.at(1).get<int>()) });
  }
}

json
EncodeTrial(const trial_request& aRequest)
{
  return json::array({ aRequest.mTrial.mValue,
                       aRequest.mRequest.mValue,
                       IdsOf(aRequest.mRunners),
                       aRequest.mRound });
}

trial_request
DecodeTrial(const json& aItem)
{
  trial_request request;
  request.mTrial = { aItem.at(0).get<std::uint64_t>() };
  request.mRequest = { aItem.at(1).get<std::uint64_t>() };
  request.mRunners = IdsFrom<runner_site>(aItem.at(2));
  request.mRunners.resize(std::min(request.mRunners.size(), kMaxTrialRunners));
  request.mRound = aItem.at(3).get<std::uint32_t>();
  return request;
}

json
EncodeTrialReply(const trial_reply& aReply)
{
  return json::array({ aReply.mRequest.mValue,
                       aReply.mRound,
                       static_cast<int>(aReply.mState),
                       aReply.mWait.count(),
                       IdsOf(aReply.mBusy) });
}

trial_reply
DecodeTrialReply(const json& aItem)
{
  trial_reply reply;
  reply.mRequest = { aItem.at(0).get<std::uint64_t>() };
  reply.mRound = aItem.at(1).get<std::uint32_t>();
  const int state = aItem.at(2).get<int>();
  const bool known = state >= 0 && state <= static_cast<int>(trial_state::eNotGranting);
  reply.mState = known ? static_cast<trial_state>(state) : trial_state::eNotGranting;
  reply.mWait = duration(std::max<std::int64_t>(0, aItem.at(3).get<std::int64_t>()));
  reply.mBusy = IdsFrom<runner_site>(aItem.at(4));
  return reply;
}

json
EncodeQuarantine(const quarantine_message& aMessage)
{
  json crashes = json::array();
  for (const crash_report& report : aMessage.mCrashes) {
    crashes.push_back({ report.mRequest.mValue,
                        report.mSite.mValue,
                        report.mProgressed,
                        report.mAge.count(),
                        report.mJustBegan ? json(report.mJustBegan->count()) : json(),
                        IdsOf(report.mParts) });
  }
  json notices = json::array();
  for (const quarantine_notice& notice : aMessage.mNotices) {
    notices.push_back({ notice.mRequest.mValue,
                        static_cast<int>(notice.mStatus),
                        notice.mAge.count(),
                        IdsOf(notice.mParts),
                        notice.mConfirmed });
  }
  json proven = json::array();
  for (const part_proof& proof : aMessage.mProven) {
    proven.push_back({ proof.mPart.mValue, proof.mAge.count() });
  }
  json runnersCrashed = json::array();
  for (const crash_notice& crash : aMessage.mRunnersCrashed) {
    runnersCrashed.push_back({ crash.mSite.mValue, crash.mAge.count() });
  }
  const json senderDigest = aMessage.mSenderDigest ? json(*aMessage.mSenderDigest) : json();
  return json::array({ std::move(crashes),
                       IdsOf(aMessage.mServed),
                       std::move(notices),
                       senderDigest,
                       aMessage.mAlwaysAnswer,
                       aMessage.mSenderStateReceived,
                       aMessage.mTrial ? EncodeTrial(*aMessage.mTrial) : json(),
                       aMessage.mTrialReply ? EncodeTrialReply(*aMessage.mTrialReply) : json(),
                       std::move(runnersCrashed),
                       IdsOf(aMessage.mAsked),
                       std::move(proven) });
}

/** @return the parts of an array of numbers, ordered, each once. */
part_set
PartsFrom(const json& aItems)
{
  part_set parts = IdsFrom<prompt_part>(aItems);
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

quarantine_notice
DecodeNotice(const json& aItem)
{
  const bool quarantined =
    aItem.at(1).get<int>() == static_cast<int>(quarantine_status::eQuarantined);
  quarantine_notice notice;
  notice.mRequest = { aItem.at(0).get<std::uint64_t>() };
  notice.mStatus = quarantined ? quarantine_status::eQuarantined : quarantine_status::eSuspected;
  notice.mAge = duration(std::max<std::int64_t>(0, aItem.at(2).get<std::int64_t>()));
  if (aItem.size() > kNoticePartsIndex + 1) { // Earlier versions don't send them.
    notice.mParts = PartsFrom(aItem.at(kNoticePartsIndex));
    notice.mConfirmed = aItem.at(kNoticePartsIndex + 1).get<bool>();
  }
  return notice;
}

/** @return the age of a crash; zero if its daemon is of a version that doesn't send it. */
duration
AgeFrom(const json& aCrash, std::size_t aIndex)
{
  const std::int64_t age = aCrash.size() > aIndex ? aCrash.at(aIndex).get<std::int64_t>() : 0;
  return std::min<duration>(duration(std::max<std::int64_t>(0, age)), kMaxReportAge);
}

crash_report
DecodeCrash(const json& aItem)
{
  crash_report report;
  report.mRequest = { aItem.at(0).get<std::uint64_t>() };
  report.mSite = { aItem.at(1).get<std::uint64_t>() };
  report.mProgressed = aItem.at(2).get<bool>();
  report.mAge = AgeFrom(aItem, kReportAgeIndex);
  // Earlier versions don't send the items from here on.
  if (aItem.size() > kJustBeganIndex + 1 && !aItem.at(kJustBeganIndex).is_null()) {
    report.mJustBegan = AgeFrom(aItem, kJustBeganIndex);
    report.mParts = PartsFrom(aItem.at(kJustBeganIndex + 1));
  }
  return report;
}

quarantine_message
DecodeQuarantine(const json& aItem)
{
  quarantine_message message;
  for (const json& crash : aItem.at(0)) {
    message.mCrashes.push_back(DecodeCrash(crash));
  }
  message.mServed = IdsFrom<request_fingerprint>(aItem.at(1));
  for (const json& notice : aItem.at(2)) {
    message.mNotices.push_back(DecodeNotice(notice));
  }
  if (!aItem.at(3).is_null()) {
    message.mSenderDigest = aItem.at(3).get<std::uint64_t>();
  }
  message.mAlwaysAnswer = aItem.at(4).get<bool>();
  message.mSenderStateReceived = aItem.at(5).get<bool>();
  // Earlier versions don't send the items from here on.
  if (aItem.size() > kTrialIndex) {
    const json& trial = aItem.at(kTrialIndex);
    const json& reply = aItem.at(kTrialIndex + 1);
    message.mTrial = trial.is_null() ? std::nullopt : std::optional(DecodeTrial(trial));
    message.mTrialReply = reply.is_null() ? std::nullopt : std::optional(DecodeTrialReply(reply));
  }
  if (aItem.size() > kRunnersCrashedIndex) {
    for (const json& crash : aItem.at(kRunnersCrashedIndex)) {
      message.mRunnersCrashed.push_back(
        { { crash.at(0).get<std::uint64_t>() }, AgeFrom(crash, 1) });
    }
  }
  if (aItem.size() > kPartsAskedIndex + 1) {
    message.mAsked = IdsFrom<prompt_part>(aItem.at(kPartsAskedIndex));
    for (const json& proof : aItem.at(kPartsAskedIndex + 1)) {
      const duration age(std::max<std::int64_t>(0, proof.at(1).get<std::int64_t>()));
      message.mProven.push_back({ { proof.at(0).get<std::uint64_t>() }, age });
    }
  }
  return message;
}

json
EncodeLimit(const limit_notice& aNotice)
{
  const json limit = aNotice.mPerSecond ? json(*aNotice.mPerSecond) : json();
  return json::array({ aNotice.mRunner.mValue, limit, aNotice.mAge.count() });
}

json
EncodeHeard(const heard_daemons& aHeard)
{
  return json::array({ aHeard.mCount, aHeard.mAge.count() });
}

json
EncodePermits(const permit_message& aMessage)
{
  json notices = json::array();
  for (const limit_notice& notice : aMessage.mNotices) {
    notices.push_back(EncodeLimit(notice));
  }
  json request;
  if (aMessage.mRequest) {
    const permit_request& asked = *aMessage.mRequest;
    request = json::array({ asked.mRunner.mValue,
                            asked.mRound,
                            asked.mSends,
                            asked.mRank,
                            asked.mCharge,
                            asked.mKnown ? EncodeLimit(*asked.mKnown) : json(),
                            asked.mRetries,
                            EncodeHeard(asked.mHeard) });
  }
  json reply;
  if (aMessage.mReply) {
    const permit_reply& answer = *aMessage.mReply;
    reply = json::array({ answer.mRunner.mValue,
                          answer.mRound,
                          static_cast<int>(answer.mState),
                          answer.mWait.count(),
                          EncodeHeard(answer.mHeard) });
  }
  return json::array({ std::move(notices), std::move(request), std::move(reply) });
}

/** @return the notice; nothing if its limit isn't a rate. */
std::optional<limit_notice>
DecodeLimit(const json& aItem)
{
  limit_notice notice;
  notice.mRunner = { aItem.at(0).get<std::uint64_t>() };
  if (!aItem.at(1).is_null()) {
    notice.mPerSecond = aItem.at(1).get<double>();
  }
  notice.mAge = duration(std::max<std::int64_t>(0, aItem.at(2).get<std::int64_t>()));
  const bool isRate =
    !notice.mPerSecond || (std::isfinite(*notice.mPerSecond) && *notice.mPerSecond >= 0.0);
  return isRate ? std::optional<limit_notice>(notice) : std::nullopt;
}

/** @return what stands at an index; nothing if an earlier version sent it. */
heard_daemons
DecodeHeard(const json& aItem, std::size_t aIndex)
{
  if (aItem.size() <= aIndex) {
    return {};
  }
  const json& heard = aItem.at(aIndex);
  return { heard.at(0).get<std::uint32_t>(), duration(heard.at(1).get<std::int64_t>()) };
}

permit_message
DecodePermits(const json& aItem)
{
  permit_message message;
  for (const json& item : aItem.at(0)) {
    if (const std::optional<limit_notice> notice = DecodeLimit(item)) {
      message.mNotices.push_back(*notice);
    }
  }
  const json& request = aItem.at(1);
  if (!request.is_null()) {
    permit_request& asked = message.mRequest.emplace();
    asked.mRunner = { request.at(0).get<std::uint64_t>() };
    asked.mRound = request.at(1).get<std::uint32_t>();
    asked.mSends = std::min(kMaxSendsPerRequest, request.at(2).get<std::uint32_t>());
    asked.mRank = request.at(3).get<std::uint32_t>();
    asked.mCharge = request.at(4).get<bool>();
    if (!request.at(5).is_null()) {
      asked.mKnown = DecodeLimit(request.at(5));
    }
    asked.mRetries = request.size() > 6 && request.at(6).get<bool>(); // Earlier versions lack it.
    asked.mHeard = DecodeHeard(request, 7);
  }
  const json& reply = aItem.at(2);
  if (!reply.is_null()) {
    permit_reply& answer = message.mReply.emplace();
    answer.mRunner = { reply.at(0).get<std::uint64_t>() };
    answer.mRound = reply.at(1).get<std::uint32_t>();
    answer.mState = static_cast<permit_state>(reply.at(2).get<int>());
    answer.mWait = duration(reply.at(3).get<std::int64_t>());
    answer.mHeard = DecodeHeard(reply, 4);
  }
  return message;
}

/** Place of the streams to be stored among what is told of streams. */
constexpr std::size_t kToStoreIndex = 3;

json
EncodeStreams(const std::vector<stream_origin>& aStreams)
{
  json streams = json::array();
  for (const stream_origin& origin : aStreams) {
    streams.push_back({ origin.mStream.mValue, origin.mSoftware.mValue });
  }
  return streams;
}

json
EncodeOrigins(const origin_message& aMessage)
{
  json request;
  if (aMessage.mRequest) {
    request = json::array({ aMessage.mRequest->mStream.mValue,
                            aMessage.mRequest->mService,
                            aMessage.mRequest->mRound });
  }
  json reply;
  if (aMessage.mReply) {
    reply = json::array({ aMessage.mReply->mRound,
                          static_cast<int>(aMessage.mReply->mEvidence.mEvidence),
                          aMessage.mReply->mEvidence.mSoftware.mValue });
  }
  json toStore = EncodeStreams(aMessage.mToStore);
  return json::array(
    { EncodeStreams(aMessage.mBegun), std::move(request), std::move(reply), std::move(toStore) });
}

std::vector<stream_origin>
DecodeStreams(const json& aItem)
{
  std::vector<stream_origin> streams;
  for (const json& origin : aItem) {
    if (streams.size() < kMaxOriginsPerDatagram) {
      streams.push_back(
        { { origin.at(0).get<std::uint64_t>() }, { origin.at(1).get<std::uint64_t>() } });
    }
  }
  return streams;
}

origin_message
DecodeOrigins(const json& aItem)
{
  origin_message message;
  message.mBegun = DecodeStreams(aItem.at(0));
  if (aItem.size() > kToStoreIndex) { // Earlier versions don't send the item.
    message.mToStore = DecodeStreams(aItem.at(kToStoreIndex));
  }
  const json& request = aItem.at(1);
  if (!request.is_null()) {
    message.mRequest = { { request.at(0).get<std::uint64_t>() },
                         request.at(1).get<std::string>(),
                         request.at(2).get<std::uint32_t>() };
  }
  const json& reply = aItem.at(2);
  if (!reply.is_null()) {
    origin_reply& answer = message.mReply.emplace();
    answer.mRound = reply.at(0).get<std::uint32_t>();
    const int evidence = reply.at(1).get<int>();
    if (evidence >= 0 && evidence <= static_cast<int>(origin_evidence::eRecord)) {
      answer.mEvidence = { static_cast<origin_evidence>(evidence),
                           { reply.at(2).get<std::uint64_t>() } };
    }
  }
  return message;
}

} // namespace

std::string
Encode(const run_message& aMessage, instant aNow)
{
  json begun = json::array();
  for (const run_record& run : aMessage.mBegun) {
    begun.push_back({ run.mRun.mValue,
                      run.mDecode.mValue,
                      run.mPrefill.mValue,
                      run.mPromptTokens,
                      run.mAnswerTokens,
                      run.mMostTokens,
                      run.mGeneratedTokens,
                      (aNow - run.mSeen).count() });
  }
  json ended = IdsOf(aMessage.mEnded);
  json refused = json::array();
  for (const refused_prompt& prompt : aMessage.mRefused) {
    refused.push_back({ prompt.mKey, prompt.mPromptTokens, prompt.mAnswerTokens });
  }
  json ordered = IdsOf(aMessage.mOrdered);
  json store;
  if (aMessage.mStore) {
    store = json::array({ EncodePosition(aMessage.mStore->mRunners),
                          aMessage.mStore->mConfig,
                          aMessage.mListReadAt.count(),
                          aMessage.mSentAt.count() });
  }
  json changes;
  if (aMessage.mRunners) {
    changes = EncodeChanges(*aMessage.mRunners);
  }
  json quarantine;
  if (aMessage.mQuarantine) {
    quarantine = EncodeQuarantine(*aMessage.mQuarantine);
  }
  json permits;
  if (aMessage.mPermits) {
    permits = EncodePermits(*aMessage.mPermits);
  }
  json origins;
  if (aMessage.mOrigins) {
    origins = EncodeOrigins(*aMessage.mOrigins);
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(json::array({ aMessage.mDaemon,
                                                                      aMessage.mDigest,
                                                                      std::move(begun),
                                                                      std::move(ended),
                                                                      std::move(ordered),
                                                                      std::move(refused),
                                                                      std::move(store),
                                                                      std::move(changes),
                                                                      aMessage.mStoreSilent,
                                                                      EncodeFinished(aMessage),
                                                                      EncodeReads(aMessage),
                                                                      EncodeOutcomes(aMessage),
                                                                      IdsOf(aMessage.mFull),
                                                                      IdsOf(aMessage.mLeaving),
                                                                      std::move(quarantine),
                                                                      std::move(permits),
                                                                      std::move(origins) }));
  return { bytes.begin(), bytes.end() };
}

std::optional<run_message>
DecodeRunMessage(std::string_view aData, instant aNow)
{
  try {
    const json body = ParseCbor(aData);
    run_message message;
    message.mDaemon = body.at(0).get<std::uint64_t>();
    message.mDigest = body.at(1).get<bool>();
    for (const json& item : body.at(2)) {
      if (message.mBegun.size() < kMaxRuns) {
        message.mBegun.push_back(DecodeRun(item, message.mDaemon, aNow));
      }
    }
    message.mEnded = IdsFrom<run_id>(body.at(3));
    message.mOrdered = IdsFrom<service_runner_id>(body.at(4));
    for (const json& item : body.at(5)) {
      message.mRefused.push_back({ item.at(0).get<std::uint64_t>(),
                                   item.at(1).get<std::uint32_t>(),
                                   item.at(2).get<std::uint32_t>() });
    }
    const json& store = body.at(6);
    if (!store.is_null()) {
      message.mStore = { DecodePosition(store.at(0)), store.at(1).get<std::uint64_t>() };
      if (store.size() > kSentAtIndex) { // Earlier versions don't send these items.
        message.mListReadAt = instant{ store.at(kListReadAtIndex).get<std::int64_t>() };
        message.mSentAt = instant{ store.at(kSentAtIndex).get<std::int64_t>() };
      }
    }
    const json& changes = body.at(7);
    if (!changes.is_null()) {
      message.mRunners = DecodeChanges(changes);
    }
    message.mStoreSilent = body.at(8).get<bool>();
    DecodeReports(body, message);
    message.mFull = IdsFrom<service_runner_id>(body.at(12));
    message.mLeaving = IdsFrom<service_runner_id>(body.at(13));
    const bool hasQuarantine =
      body.size() > kQuarantineIndex && !body.at(kQuarantineIndex).is_null();
    if (hasQuarantine) { // Earlier versions don't send the item.
      message.mQuarantine = DecodeQuarantine(body.at(kQuarantineIndex));
    }
    // Earlier versions don't send the item.
    if (body.size() > kPermitsIndex && !body.at(kPermitsIndex).is_null()) {
      message.mPermits = DecodePermits(body.at(kPermitsIndex));
    }
    if (body.size() > kOriginsIndex && !body.at(kOriginsIndex).is_null()) {
      message.mOrigins = DecodeOrigins(body.at(kOriginsIndex));
    }
    return message.mDaemon == 0 ? std::nullopt : std::optional<run_message>(message);
  } catch (const json::exception&) {
    return std::nullopt; // The receiver counts invalid datagrams.
  }
}

} // namespace dunehook
