/**
 * @file replicated_state_base.h
 * The fold: the state that every daemon computes from the log, record by record. It's the only
 * shared state of the router; equal prefixes of the log give equal states.
 */
#pragma once

#include "resources/command_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dunehook {

/** What became of a write. */
struct write_outcome
{
  std::error_code mError;     ///< Empty if the write was accepted.
  std::uint64_t mVersion = 0; ///< The resource's version after the record.

  bool operator==(const write_outcome&) const = default;
};

/** An idempotency key held by a call. */
struct claim
{
  attempt_id mAttempt;       ///< The first claim in log order.
  std::uint64_t mOffset = 0; ///< Where it stands in the log.
  std::int64_t mTimeMs = 0;  ///< The log's time of that record.

  auto operator<=>(const claim&) const = default;
};

/** Longest time a claim is kept, by the log's own clock. Keys older than this are refused. */
inline constexpr std::int64_t kClaimWindowMs = 600'000;
/** Keys may be this much ahead of the log's clock. */
inline constexpr std::int64_t kClockSkewMs = 30'000;
/** Write ids remembered; a repeat that comes later is met by the version check. */
inline constexpr std::size_t kMaxWriteOutcomes = 4096;

/** State after a prefix of the log. */
class replicated_state
{
public:
  /**
   * Tests a command against the state without changing it.
   * @return nothing if Apply() would accept it, else why not.
   */
  result<void> Validate(const command& aCommand) const;

  /**
   * Applies the next record: tests its command, then executes it. A record that can't be read or
   * fails its test changes nothing but the offset.
   * @pre aRecord.mOffset == NextOffset().
   */
  void Apply(const log_record& aRecord);

  /** @return the offset of the next record to apply, from 1. */
  std::uint64_t NextOffset() const { return mNextOffset; }
  /** @return the log's time of the last record applied, in milliseconds since 1970. */
  std::int64_t TimeMs() const { return mTimeMs; }

  const std::map<resource_key, resource>& Resources() const { return mResources; }
  /** @return a resource, or null. */
  const resource* Find(const resource_key& aKey) const;
  /** @return the spec of a resource of kind Spec, or null. */
  template<typename Spec>
  const Spec* FindSpec(resource_kind aKind, const std::string& aName) const
  {
    const resource* const found = Find({ aKind, aName });
    return found == nullptr ? nullptr : std::get_if<Spec>(&found->mSpec);
  }
  /** @return what became of a write, if its record was applied lately. */
  std::optional<write_outcome> OutcomeOf(const std::string& aWriteId) const;
  /** @return who holds an idempotency key, if anyone does. */
  std::optional<claim> ClaimOf(const std::string& aKey) const;
  std::size_t ClaimCount() const { return mClaims.size(); }
  /** @return offset covered by the newest whole snapshot seen in the log; 0 if none. */
  std::uint64_t LastSnapshot() const { return mLastSnapshot; }
  /** @return a number that is equal for equal states. */
  std::uint64_t Digest() const;

  /** @return the state as entries of a snapshot; equal states give equal entries. */
  std::vector<std::string> SnapshotEntries() const;
  /** @return the state of a snapshot, or eBadRequest. @param aCoveredOffset the offset it covers.
   */
  static result<replicated_state> FromSnapshot(std::uint64_t aCoveredOffset,
                                               const std::vector<std::string>& aEntries);

private:
  result<void> Validate(const put_command& aCommand) const;
  result<void> Validate(const delete_command& aCommand) const;
  result<void> Validate(const claim_command& aCommand) const;
  result<void> Validate(const release_command& aCommand) const;
  result<void> Validate(const snapshot_command& aCommand) const;
  result<void> ValidateVersion(const resource_key& aKey, std::uint64_t aExpectedVersion) const;

  void Execute(const put_command& aCommand, const log_record& aRecord);
  void Execute(const delete_command& aCommand, const log_record& aRecord);
  void Execute(const claim_command& aCommand, const log_record& aRecord);
  void Execute(const release_command& aCommand, const log_record& aRecord);
  void Execute(const snapshot_command& aCommand, const log_record& aRecord);
  void RecordOutcome(const std::string& aWriteId, const write_outcome& aOutcome);
  void ExpireClaims();
  result<void> LoadEntry(const nlohmann::json& aEntry);

  std::uint64_t mNextOffset = 1;               ///< Offset of the next record; never goes down.
  std::int64_t mTimeMs = 0;                    ///< Log's time of the last record; never goes down.
  std::map<resource_key, resource> mResources; ///< Resources in force.
  std::map<std::string, claim> mClaims;        ///< Keys claimed within the window.
  std::deque<std::string> mClaimOrder;         ///< Keys of mClaims in log order.
  std::unordered_map<std::string, write_outcome> mWriteOutcomes; ///< By write id.
  std::deque<std::string> mOutcomeOrder;   ///< Keys of mWriteOutcomes, oldest first.
  std::uint64_t mLastSnapshot = 0;         ///< Offset covered by the newest whole snapshot seen.
  std::uint64_t mPartialSnapshot = 0;      ///< Snapshot whose parts are being counted.
  std::uint32_t mPartialSnapshotParts = 0; ///< Parts of it seen in order.
};

/**
 * Splits a snapshot into commands small enough for the log.
 * @param aMaxBytes largest sum of entries in one command.
 */
std::vector<command>
SplitSnapshot(std::uint64_t aCoveredOffset,
              std::vector<std::string> aEntries,
              std::size_t aMaxBytes);

/** Gathers the parts of snapshots from records until one is whole. */
class snapshot_reader
{
public:
  /** @return the state of a snapshot that @p aRecord made whole. */
  std::optional<replicated_state> AddRecord(const log_record& aRecord);

private:
  std::map<std::uint64_t, std::map<std::uint32_t, std::vector<std::string>>> mParts; ///< By offset.
};

} // namespace dunehook
