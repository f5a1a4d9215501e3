/**
 * @file run_message.cpp
 * Run messages as CBOR: [sender, digest, [[run, decode, prefill, prompt, answer, most, made,
 * age]...],
 * [ended...], [ordered...], [refused...], store].
 */
#include "forward/run_message.h"

#include <nlohmann/json.hpp>

namespace dunehook {

namespace {

using nlohmann::json;

/** Most runs taken from one datagram; more than one sender can have in its size. */
constexpr std::size_t kMostRuns = 2000;

run_record
RunOf(const json& aItem, std::uint64_t aDaemon, instant aNow)
{
  run_record run;
  run.mRun = { aItem.at(0).get<std::uint64_t>() };
  run.mDecode = { aItem.at(1).get<std::uint64_t>() };
  run.mPrefill = { aItem.at(2).get<std::uint64_t>() };
  run.mPromptTokens = aItem.at(3).get<std::uint32_t>();
  run.mAnswerTokens = aItem.at(4).get<std::uint32_t>();
  run.mMostTokens = aItem.at(5).get<std::uint32_t>();
  run.mMadeTokens = aItem.at(6).get<std::uint32_t>();
  run.mSeen = aNow - duration(aItem.at(7).get<std::int64_t>());
  run.mDaemon = aDaemon;
  return run;
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
                      run.mMadeTokens,
                      (aNow - run.mSeen).count() });
  }
  json ended = json::array();
  for (const run_id run : aMessage.mEnded) {
    ended.push_back(run.mValue);
  }
  json refused = json::array();
  for (const refused_prompt& prompt : aMessage.mRefused) {
    refused.push_back({ prompt.mKey, prompt.mPromptTokens, prompt.mAnswerTokens });
  }
  json ordered = json::array();
  for (const service_runner_id runner : aMessage.mOrdered) {
    ordered.push_back(runner.mValue);
  }
  json store;
  if (aMessage.mStore) {
    store = { aMessage.mStore->mRunners, aMessage.mStore->mConfig };
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(json::array({ aMessage.mDaemon,
                                                                      aMessage.mDigest,
                                                                      std::move(begun),
                                                                      std::move(ended),
                                                                      std::move(ordered),
                                                                      std::move(refused),
                                                                      std::move(store) }));
  return { bytes.begin(), bytes.end() };
}

std::optional<run_message>
DecodeRunMessage(std::string_view aData, instant aNow)
{
  try {
    const json body = json::from_cbor(aData.begin(), aData.end());
    run_message message;
    message.mDaemon = body.at(0).get<std::uint64_t>();
    message.mDigest = body.at(1).get<bool>();
    for (const json& item : body.at(2)) {
      if (message.mBegun.size() < kMostRuns) {
        message.mBegun.push_back(RunOf(item, message.mDaemon, aNow));
      }
    }
    for (const json& item : body.at(3)) {
      message.mEnded.push_back({ item.get<std::uint64_t>() });
    }
    for (const json& item : body.at(4)) {
      message.mOrdered.push_back({ item.get<std::uint64_t>() });
    }
    for (const json& item : body.at(5)) {
      message.mRefused.push_back({ item.at(0).get<std::uint64_t>(),
                                   item.at(1).get<std::uint32_t>(),
                                   item.at(2).get<std::uint32_t>() });
    }
    const json& store = body.at(6);
    if (!store.is_null()) {
      message.mStore = { store.at(0).get<std::uint64_t>(), store.at(1).get<std::uint64_t>() };
    }
    return message.mDaemon == 0 ? std::nullopt : std::optional<run_message>(message);
  } catch (const json::exception&) {
    return std::nullopt; // The receiver counts it.
  }
}

} // namespace dunehook
