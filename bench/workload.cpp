/**
 * @file workload.cpp
 * Reading of workloads, and the bound of what the engines can do.
 */
#include "bench/workload.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace dunehook::bench {

namespace {

template<typename T>
T
Need(const toml::table& aTable, std::string_view aKey)
{
  const auto value = aTable[aKey].value<T>();
  if (!value) {
    std::cerr << "the workload lacks " << aKey << " at line " << aTable.source().begin.line << "\n";
    std::exit(2);
  }
  return *value;
}

std::uint32_t
NeedAt(const toml::table& aTable, std::string_view aKey, std::size_t aIndex)
{
  const auto value = aTable[aKey][aIndex].value<std::uint32_t>();
  if (!value) {
    std::cerr << "the workload lacks the pair " << aKey << "\n";
    std::exit(2);
  }
  return *value;
}

class_load
ReadClass(const toml::table& aTable)
{
  class_load one;
  one.mName = Need<std::string>(aTable, "name");
  one.mShare = Need<double>(aTable, "share");
  one.mTargets.mRank = Need<std::uint32_t>(aTable, "rank");
  one.mTargets.mFirstTokenMs = Need<std::uint32_t>(aTable, "first_token_ms");
  one.mTargets.mBetweenTokensMs = Need<std::uint32_t>(aTable, "between_tokens_ms");
  one.mTargets.mMaxWaitMs = Need<std::uint32_t>(aTable, "max_wait_ms");
  one.mTargets.mAgingMs = Need<std::uint32_t>(aTable, "aging_ms");
  one.mPromptLeast = NeedAt(aTable, "prompt_tokens", 0);
  one.mPromptMost = NeedAt(aTable, "prompt_tokens", 1);
  one.mAnswerLeast = NeedAt(aTable, "answer_tokens", 0);
  one.mAnswerMost = NeedAt(aTable, "answer_tokens", 1);
  one.mSharedPrefixes = Need<std::uint32_t>(aTable, "shared_prefixes");
  one.mSharedTokens = Need<std::uint32_t>(aTable, "shared_tokens");
  one.mTargets.mMeanTokens = static_cast<std::uint32_t>(one.MeanAnswer());
  return one;
}

} // namespace

double
workload::Capacity() const
{
  const double step = StepSeconds(mSlots);
  double slotSeconds = 0;
  double prefillTokens = 0;
  double linkBytes = 0;
  for (const class_load& one : mClasses) {
    slotSeconds += one.mShare * one.MeanAnswer() * step;
    prefillTokens += one.mShare * (one.MeanPrompt() - one.mSharedTokens);
    linkBytes += one.mShare * one.MeanPrompt() * static_cast<double>(mKvBytesPerToken);
  }
  const double byDecode = mDecodeEngines * mSlots / slotSeconds;
  const double byPrefill = mPrefillEngines * mTokensPerSecond / prefillTokens;
  const double byLink = mLinkBytesPerSecond / linkBytes;
  return std::min({ byDecode, byPrefill, byLink });
}

workload
LoadWorkload(const std::string& aPath)
{
  const toml::parse_result parsed = toml::parse_file(aPath);
  if (!parsed) {
    std::cerr << aPath << ": " << parsed.error().description() << "\n";
    std::exit(2);
  }
  const toml::table& root = parsed.table();
  const toml::table& deployment = *root["deployment"].as_table();
  workload load;
  load.mName = Need<std::string>(deployment, "name");
  load.mPrefillEngines = Need<std::uint32_t>(deployment, "prefill_engines");
  load.mDecodeEngines = Need<std::uint32_t>(deployment, "decode_engines");
  load.mSlots = Need<std::uint32_t>(deployment, "slots");
  load.mTokensPerSecond = Need<double>(deployment, "tokens_per_second");
  load.mHop = FromSeconds(Need<double>(deployment, "hop_ms") / 1000.0);
  load.mLinkBytesPerSecond = Need<double>(deployment, "link_bytes_per_second");
  load.mKvBytesPerToken = Need<std::uint64_t>(deployment, "kv_bytes_per_token");
  load.mKvLifetime = FromSeconds(Need<double>(deployment, "kv_lifetime_ms") / 1000.0);
  load.mStepMs = Need<double>(deployment, "step_ms");
  load.mStepSlopeMs = Need<double>(deployment, "step_slope_ms");
  load.mCacheBlocks = Need<std::uint32_t>(deployment, "cache_blocks");
  load.mLoadLag = FromSeconds(Need<double>(deployment, "load_lag_ms") / 1000.0);
  for (const toml::node& one : *root["class"].as_array()) {
    load.mClasses.push_back(ReadClass(*one.as_table()));
  }
  return load;
}

} // namespace dunehook::bench
