/**
 * @file log_type.h
 * Data read from the platform's services: hosts of the host list and batches of log records.
 */
#pragma once

#include "net/net_type.h"
#include "resources/command_type.h"

#include <string>
#include <vector>

namespace dunehook {

/** Pool name under which the host list shows the daemons themselves. */
inline constexpr std::string_view kRouterPool = "dunehook";

/** A host of the host list. */
struct host
{
  std::string mName;     ///< Unique name of the host.
  endpoint mAddress;     ///< Address that its process listens on.
  std::string mPool;     ///< Pool it belongs to, or kRouterPool.
  std::string mHall;     ///< Data hall that the host is in.
  bool mLeaving = false; ///< The host takes no new work and is about to be removed.

  auto operator<=>(const host&) const = default;
};

/** Records read from the log. */
struct log_batch
{
  std::uint64_t mFirst = 1;         ///< Oldest offset still kept.
  std::uint64_t mNext = 1;          ///< Offset that the next appended record gets.
  std::vector<log_record> mRecords; ///< Records from the requested offset on.
};

} // namespace dunehook
