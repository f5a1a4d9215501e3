/**
 * @file replicated_state.cpp
 * Validation and execution of commands, and snapshots of the replicated state.
 */
#include "resources/replicated_state_base.h"

#include "core/hash_func.h"
#include "core/text_func.h"

#include <algorithm>
#include <cassert>

namespace dunehook {

namespace {

using json = nlohmann::json;

template<typename Command>
const std::string*
WriteIdOf(const Command& aCommand)
{
  if constexpr (requires { aCommand.mWriteId; }) {
    return &aCommand.mWriteId;
  } else {
    return nullptr;
  }
}

} // namespace

result<void>
replicated_state::Validate(const command& aCommand) const
{
  return std::visit([this](const auto& aTyped) { return Validate(aTyped); }, aCommand);
}

result<void>
replicated_state::ValidateVersion(const resource_key& aKey, std::uint64_t aExpectedVersion) const
{
  const resource* const current = Find(aKey);
  const std::uint64_t version = current == nullptr ? 0 : current->mVersion;
  if (version != aExpectedVersion) {
    return make_error_code(errc::eVersionConflict);
  }
  return boost::outcome_v2::success();
}

result<void>
replicated_state::Validate(const put_command& aCommand) const
{
  if (!IsValidName(aCommand.mKey.mName)) {
    return make_error_code(errc::eInvalidResource);
  }
  return ValidateVersion(aCommand.mKey, aCommand.mExpectedVersion);
}

result<void>
replicated_state::Validate(const delete_command& aCommand) const
{
  if (Find(aCommand.mKey) == nullptr) {
    return make_error_code(errc::eNotFound);
  }
  return ValidateVersion(aCommand.mKey, aCommand.mExpectedVersion);
}

result<void>
replicated_state::Validate(const claim_command& aCommand) const
{
  if (mClaims.contains(aCommand.mKey)) {
    return make_error_code(errc::eKeyClaimed);
  }
  return boost::outcome_v2::success();
}

result<void>
replicated_state::Validate(const release_command& aCommand) const
{
  const auto held = mClaims.find(aCommand.mKey);
  if (held == mClaims.end() || held->second.mAttempt != aCommand.mAttempt) {
    return make_error_code(errc::eNotFound);
  }
  return boost::outcome_v2::success();
}

result<void>
replicated_state::Validate(const snapshot_command& aCommand) const
{
  if (aCommand.mCoveredOffset >= mNextOffset || aCommand.mIndex >= aCommand.mCount) {
    return make_error_code(errc::eBadRequest);
  }
  return boost::outcome_v2::success();
}

void
replicated_state::Apply(const log_record& aRecord)
{
  assert(aRecord.mOffset == mNextOffset);
  mNextOffset = aRecord.mOffset + 1;
  mTimeMs = std::max(mTimeMs, aRecord.mTimeMs);
  ExpireClaims();
  const result<command> decoded = DecodeCommand(aRecord.mData);
  if (!decoded) {
    return;
  }
  std::visit(
    [this, &aRecord](const auto& aTyped) {
      const std::string* const writeId = WriteIdOf(aTyped);
      if (writeId != nullptr && mWriteOutcomes.contains(*writeId)) {
        return; // The writer repeated an append whose answer was lost.
      }
      const result<void> valid = Validate(aTyped);
      if (valid) {
        Execute(aTyped, aRecord);
      } else if (writeId != nullptr) {
        RecordOutcome(*writeId, { valid.error(), 0 });
      }
    },
    decoded.value());
}

void
replicated_state::Execute(const put_command& aCommand, const log_record& aRecord)
{
  mResources[aCommand.mKey] = { aCommand.mKey, aRecord.mOffset, aCommand.mSpec };
  RecordOutcome(aCommand.mWriteId, { {}, aRecord.mOffset });
}

void
replicated_state::Execute(const delete_command& aCommand, const log_record& aRecord)
{
  mResources.erase(aCommand.mKey);
  RecordOutcome(aCommand.mWriteId, { {}, aRecord.mOffset });
}

void
replicated_state::Execute(const claim_command& aCommand, const log_record& aRecord)
{
  mClaims[aCommand.mKey] = { aCommand.mAttempt, aRecord.mOffset, aRecord.mTimeMs };
  mClaimOrder.push_back(aCommand.mKey);
}

void
replicated_state::Execute(const release_command& aCommand, const log_record& /*aRecord*/)
{
  mClaims.erase(aCommand.mKey);
  std::erase(mClaimOrder, aCommand.mKey);
}

void
replicated_state::Execute(const snapshot_command& aCommand, const log_record& /*aRecord*/)
{
  if (aCommand.mIndex == 0) {
    mPartialSnapshot = aCommand.mCoveredOffset;
    mPartialSnapshotParts = 0;
  }
  if (aCommand.mCoveredOffset == mPartialSnapshot && aCommand.mIndex == mPartialSnapshotParts) {
    ++mPartialSnapshotParts;
  }
  if (aCommand.mCoveredOffset == mPartialSnapshot && mPartialSnapshotParts == aCommand.mCount) {
    mLastSnapshot = std::max(mLastSnapshot, aCommand.mCoveredOffset);
  }
}

void
replicated_state::RecordOutcome(const std::string& aWriteId, const write_outcome& aOutcome)
{
  mWriteOutcomes[aWriteId] = aOutcome;
  mOutcomeOrder.push_back(aWriteId);
  if (mOutcomeOrder.size() > kMaxWriteOutcomes) {
    mWriteOutcomes.erase(mOutcomeOrder.front());
    mOutcomeOrder.pop_front();
  }
}

void
replicated_state::ExpireClaims()
{
  while (!mClaimOrder.empty()) {
    const auto oldest = mClaims.find(mClaimOrder.front());
    // Claims are kept for the window plus twice the allowed clock skew, so that a key which a
    // daemon accepts while it lags behind the log is still found here.
    if (oldest->second.mTimeMs + kClaimWindowMs + 2 * kClockSkewMs > mTimeMs) {
      return;
    }
    mClaims.erase(oldest);
    mClaimOrder.pop_front();
  }
}

const resource*
replicated_state::Find(const resource_key& aKey) const
{
  const auto found = mResources.find(aKey);
  return found == mResources.end() ? nullptr : &found->second;
}

std::optional<write_outcome>
replicated_state::OutcomeOf(const std::string& aWriteId) const
{
  const auto found = mWriteOutcomes.find(aWriteId);
  return found == mWriteOutcomes.end() ? std::nullopt : std::optional(found->second);
}

std::optional<claim>
replicated_state::ClaimOf(const std::string& aKey) const
{
  const auto found = mClaims.find(aKey);
  return found == mClaims.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t
replicated_state::Digest() const
{
  std::uint64_t digest = mNextOffset;
  for (const std::string& entry : SnapshotEntries()) {
    digest = HashBytes(entry, digest);
  }
  return digest;
}

std::vector<std::string>
replicated_state::SnapshotEntries() const
{
  std::vector<std::string> entries;
  entries.push_back(json{ { "t", "head" },
                          { "time", mTimeMs },
                          { "last", mLastSnapshot },
                          { "parts_at", mPartialSnapshot },
                          { "parts_seen", mPartialSnapshotParts } }
                      .dump());
  for (const auto& [key, one] : mResources) {
    entries.push_back(json{ { "t", "resource" },
                            { "kind", KindName(key.mKind) },
                            { "name", key.mName },
                            { "version", one.mVersion },
                            { "spec", SpecToJson(one.mSpec) } }
                        .dump());
  }
  for (const std::string& key : mClaimOrder) {
    const claim& held = mClaims.at(key);
    entries.push_back(json{
      { "t", "claim" },
      { "key", key },
      { "attempt", ToText(held.mAttempt) },
      { "offset", held.mOffset },
      { "time",
        held.mTimeMs } }.dump());
  }
  for (const std::string& writeId : mOutcomeOrder) {
    const write_outcome& outcome = mWriteOutcomes.at(writeId);
    entries.push_back(json{ { "t", "outcome" },
                            { "id", writeId },
                            { "error", outcome.mError.value() },
                            { "version", outcome.mVersion } }
                        .dump());
  }
  return entries;
}

result<void>
replicated_state::LoadEntry(const json& aEntry)
{
  const auto type = aEntry.at("t").get<std::string>();
  if (type == "head") {
    mTimeMs = aEntry.at("time").get<std::int64_t>();
    mLastSnapshot = aEntry.at("last").get<std::uint64_t>();
    mPartialSnapshot = aEntry.at("parts_at").get<std::uint64_t>();
    mPartialSnapshotParts = aEntry.at("parts_seen").get<std::uint32_t>();
  } else if (type == "resource") {
    BOOST_OUTCOME_TRY(const resource_kind kind, ParseKind(aEntry.at("kind").get<std::string>()));
    finding_list findings;
    BOOST_OUTCOME_TRY(const resource_spec spec, ParseSpec(kind, aEntry.at("spec"), findings));
    const resource_key key{ kind, aEntry.at("name").get<std::string>() };
    mResources[key] = { key, aEntry.at("version").get<std::uint64_t>(), spec };
  } else if (type == "claim") {
    BOOST_OUTCOME_TRY(const attempt_id attempt,
                      ParseAttempt(aEntry.at("attempt").get<std::string>()));
    const auto key = aEntry.at("key").get<std::string>();
    mClaims[key] = { attempt,
                     aEntry.at("offset").get<std::uint64_t>(),
                     aEntry.at("time").get<std::int64_t>() };
    mClaimOrder.push_back(key);
  } else if (type == "outcome") {
    const int error = aEntry.at("error").get<int>();
    RecordOutcome(aEntry.at("id").get<std::string>(),
                  { error == 0 ? std::error_code() : make_error_code(static_cast<errc>(error)),
                    aEntry.at("version").get<std::uint64_t>() });
  } else {
    return make_error_code(errc::eBadRequest);
  }
  return boost::outcome_v2::success();
}

result<replicated_state>
replicated_state::FromSnapshot(std::uint64_t aCoveredOffset,
                               const std::vector<std::string>& aEntries)
{
  replicated_state loaded;
  loaded.mNextOffset = aCoveredOffset + 1;
  try {
    for (const std::string& entry : aEntries) {
      BOOST_OUTCOME_TRY(loaded.LoadEntry(json::parse(entry)));
    }
  } catch (const json::exception&) {
    return make_error_code(errc::eBadRequest);
  }
  return loaded;
}

std::vector<command>
SplitSnapshot(std::uint64_t aCoveredOffset,
              std::vector<std::string> aEntries,
              std::size_t aMaxBytes)
{
  std::vector<snapshot_command> parts(1);
  std::size_t bytes = 0;
  for (std::string& entry : aEntries) {
    if (bytes + entry.size() > aMaxBytes && !parts.back().mEntries.empty()) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += entry.size();
    parts.back().mEntries.push_back(std::move(entry));
  }
  std::vector<command> commands;
  for (std::uint32_t index = 0; index < parts.size(); ++index) {
    parts[index].mCoveredOffset = aCoveredOffset;
    parts[index].mIndex = index;
    parts[index].mCount = static_cast<std::uint32_t>(parts.size());
    commands.emplace_back(std::move(parts[index]));
  }
  return commands;
}

std::optional<replicated_state>
snapshot_reader::AddRecord(const log_record& aRecord)
{
  const result<command> decoded = DecodeCommand(aRecord.mData);
  if (!decoded) {
    return std::nullopt;
  }
  const auto* const part = std::get_if<snapshot_command>(&decoded.value());
  if (part == nullptr) {
    return std::nullopt;
  }
  auto& parts = mParts[part->mCoveredOffset];
  parts[part->mIndex] = part->mEntries;
  if (parts.size() != part->mCount) {
    return std::nullopt;
  }
  std::vector<std::string> entries;
  for (auto& [index, partEntries] : parts) {
    std::move(partEntries.begin(), partEntries.end(), std::back_inserter(entries));
  }
  const std::uint64_t at = part->mCoveredOffset;
  mParts.erase(mParts.begin(), mParts.upper_bound(at));
  result<replicated_state> loaded = replicated_state::FromSnapshot(at, entries);
  return loaded ? std::optional(std::move(loaded.value())) : std::nullopt;
}

} // namespace dunehook
