/**
 * @file command_type.h
 * Commands: the records of the log. Each is tested against the state, then executed, with the
 * same result on every daemon.
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
  std::uint64_t mOffset = 0; ///< Place in the log, from 1, without holes.
  std::int64_t mTimeMs = 0;  ///< When the log took it: milliseconds since 1970.
  std::string mData;         ///< The encoded command.

  auto operator<=>(const log_record&) const = default;
};

/** Writes a resource. */
struct put_command
{
  std::string mWriteId;               ///< Chosen by the writer; repeats of it fold once.
  resource_key mKey;                  ///< What is written.
  std::uint64_t mExpectedVersion = 0; ///< The version it replaces; 0 for a new resource.
  resource_spec mSpec;                ///< The new spec.

  auto operator<=>(const put_command&) const = default;
};

/** Deletes a resource. */
struct delete_command
{
  std::string mWriteId;               ///< Chosen by the writer; repeats of it fold once.
  resource_key mKey;                  ///< What is deleted.
  std::uint64_t mExpectedVersion = 0; ///< The version it deletes.

  auto operator<=>(const delete_command&) const = default;
};

/** Claims an idempotency key for one call of one daemon run. */
struct claim_command
{
  std::string mKey;    ///< The caller's key, with the team it belongs to.
  attempt_id mAttempt; ///< The call that would run.

  auto operator<=>(const claim_command&) const = default;
};

/** Gives a claimed key back: its call was not sent and never will be. */
struct release_command
{
  std::string mKey;    ///< The key.
  attempt_id mAttempt; ///< The call; only the holder can give the key back.

  auto operator<=>(const release_command&) const = default;
};

/** A part of the state after some record, for daemons that start later. */
struct snapshot_command
{
  std::uint64_t mCoveredOffset = 0;  ///< Offset of the last record the state covers.
  std::uint32_t mIndex = 0;          ///< Which part, from 0.
  std::uint32_t mCount = 1;          ///< How many parts.
  std::vector<std::string> mEntries; ///< Encoded entries of the state.

  auto operator<=>(const snapshot_command&) const = default;
};

using command =
  std::variant<put_command, delete_command, claim_command, release_command, snapshot_command>;

/** @return the command as a log record's data. */
std::string
EncodeCommand(const command& aCommand);

/** @return the command of a log record's data, or eBadRequest. */
result<command>
DecodeCommand(std::string_view aData);

} // namespace dunehook
