/**
 * @file replicated_state_base.h
 * The replicated state that every daemon computes from the platform's log, record by record. It's
 * the only shared state of the router; equal prefixes of the log give equal states.
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

/** Result of a write. */
struct write_outcome
{
  std::error_code mError;     ///< Empty if the write was accepted.
  std::uint64_t mVersion = 0; ///< Version of the resource after the write; 0 if it was rejected.

  bool operator==(const write_outcome&) const = default;
};

/** Claim of a call on an idempotency key. */
struct claim
{
  attempt_id mAttempt;       ///< The call whose claim came first in the log.
  std::uint64_t mOffset = 0; ///< Offset of the claim's record.
  std::int64_t mTimeMs = 0;  ///< Time the log gave to that record, in milliseconds since 1970.

  auto operator<=>(const claim&) const = default;
};

/** Age in milliseconds, by the log's clock, beyond which an idempotency key is refused. */
inline constexpr std::int64_t kClaimWindowMs = 600'000;
/** Milliseconds that an idempotency key may be ahead of the log's clock. */
inline constexpr std::int64_t kClockSkewMs = 30'000;
/** Most write ids remembered; the version check rejects a repeat that comes later. */
inline constexpr std::size_t kMaxWriteOutcomes = 4096;

/** State after all records of the log up to some offset were applied. */
class replicated_state
{
public:
  /**
   * Checks whether a command is valid in this state.
   * @return success if Apply() would execute it, else the reason why not.
   */
  result<void> Validate(const command& aCommand) const;

  /**
   * Applies the next record: validates its command, then executes it. A record that can't be
   * decoded changes only the offset, the time and the claims that expire by it; the result of an
   * invalid write is recorded as well.
   * @pre aRecord.mOffset == NextOffset().
   */
  void Apply(const log_record& aRecord);

  /** @return the offset of the next record to apply, from 1. */
  std::uint64_t NextOffset() const { return mNextOffset; }
  /** @return the latest time of a record applied, in milliseconds since 1970 by the log's clock. */
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
  /** @return the result of a write, if it's among the last kMaxWriteOutcomes. */
  std::optional<write_outcome> OutcomeOf(const std::string& aWriteId) const;
  /** @return the claim on an idempotency key, if there is one. */
  std::optional<claim> ClaimOf(const std::string& aKey) const;
  std::size_t ClaimCount() const { return mClaims.size(); }
  /** @return the offset covered by the newest complete snapshot in the log; 0 if none. */
  std::uint64_t LastSnapshot() const { return mLastSnapshot; }
  /** @return a hash of the state; equal states have equal hashes. */
  std::uint64_t Digest() const;

  /** @return the state as entries of a snapshot; equal states give equal entries. */
  std::vector<std::string> SnapshotEntries() const;
  /**
   * @param aCoveredOffset offset of the last record that the snapshot covers.
   * @return the state of the snapshot, or eBadRequest if an entry can't be read.
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

  std::uint64_t mNextOffset = 1; ///< Offset of the next record; never decreases.
  std::int64_t mTimeMs = 0;      ///< Latest time of the records applied; never decreases.
  std::map<resource_key, resource> mResources;                   ///< Current resources.
  std::map<std::string, claim> mClaims;                          ///< Unexpired claims, by key.
  std::deque<std::string> mClaimOrder;                           ///< Keys of mClaims in log order.
  std::unordered_map<std::string, write_outcome> mWriteOutcomes; ///< By write id.
  std::deque<std::string> mOutcomeOrder;   ///< Keys of mWriteOutcomes, oldest first.
  std::uint64_t mLastSnapshot = 0;         ///< Offset covered by the newest complete snapshot.
  std::uint64_t mPartialSnapshot = 0;      ///< Offset of the snapshot being received.
  std::uint32_t mPartialSnapshotParts = 0; ///< Parts of it that have arrived in sequence.
};

/**
 * Splits a snapshot into commands small enough for the log.
 * @param aCoveredOffset offset of the last record that the snapshot covers.
 * @param aMaxBytes largest total size of the entries in one command; a larger entry gets its own.
 */
std::vector<command>
SplitSnapshot(std::uint64_t aCoveredOffset,
              std::vector<std::string> aEntries,
              std::size_t aMaxBytes);

/** Collects the parts of snapshots from log records until one is complete. */
class snapshot_reader
{
public:
  /** Adds the record's part, if it has one. @return the state of the snapshot that it completes. */
  std::optional<replicated_state> AddRecord(const log_record& aRecord);

private:
  std::map<std::uint64_t, std::map<std::uint32_t, std::vector<std::string>>>
    mParts; ///< By offset and index.
};

} // namespace dunehook
