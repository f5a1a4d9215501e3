/**
 * @file command_type.h
 * Commands, which are the contents of log records. Every daemon validates each command against the
 * replicated state and executes it, with the same result.
 */
#pragma once

#include "core/attempt_type.h"
#include "resources/resource_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dunehook {

/** A record of the platform's log. */
struct log_record
{
  std::uint64_t mOffset = 0; ///< Position in the log, from 1, without gaps.
  std::int64_t mTimeMs = 0;  ///< When the log accepted it, in milliseconds since 1970.
  std::string mData;         ///< The encoded command.

  auto operator<=>(const log_record&) const = default;
};

/** Creates or replaces a resource. */
struct put_command
{
  std::string mWriteId;               ///< Chosen by the writer; repeats of it are applied once.
  resource_key mKey;                  ///< The resource to write.
  std::uint64_t mExpectedVersion = 0; ///< Version that it replaces; 0 for a new resource.
  resource_spec mSpec;                ///< The new spec.

  auto operator<=>(const put_command&) const = default;
};

/** Deletes a resource. */
struct delete_command
{
  std::string mWriteId;               ///< Chosen by the writer; repeats of it are applied once.
  resource_key mKey;                  ///< The resource to delete.
  std::uint64_t mExpectedVersion = 0; ///< Version that it deletes.

  auto operator<=>(const delete_command&) const = default;
};

/** Claims an idempotency key for one call of one daemon incarnation. */
struct claim_command
{
  std::string mKey;    ///< The caller's key, qualified by its team.
  attempt_id mAttempt; ///< The call that is to be sent under the key.

  auto operator<=>(const claim_command&) const = default;
};

/** Releases a claimed key, since its call was not sent and never will be. */
struct release_command
{
  std::string mKey;    ///< The key.
  attempt_id mAttempt; ///< The call; only the holder of the claim can release it.

  auto operator<=>(const release_command&) const = default;
};

/** One part of a snapshot of the replicated state, from which daemons start. */
struct snapshot_command
{
  std::uint64_t mCoveredOffset = 0;  ///< Offset of the last record that the snapshot covers.
  std::uint32_t mIndex = 0;          ///< Index of the part, from 0.
  std::uint32_t mCount = 1;          ///< Number of parts.
  std::vector<std::string> mEntries; ///< Encoded entries of the part.

  auto operator<=>(const snapshot_command&) const = default;
};

using command =
  std::variant<put_command, delete_command, claim_command, release_command, snapshot_command>;

/** @return the command encoded as the data of a log record. */
std::string
EncodeCommand(const command& aCommand);

/** @return the command in the data of a log record, or eBadRequest if it can't be decoded. */
result<command>
DecodeCommand(std::string_view aData);

} // namespace dunehook
