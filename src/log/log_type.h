/**
 * @file log_type.h
 * What the platform's services say: hosts of the host list and batches of the log.
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
  std::string mName;     ///< Unique name.
  endpoint mAddress;     ///< Where its process listens.
  std::string mPool;     ///< Pool it belongs to, or kRouterPool.
  std::string mHall;     ///< Data hall it stands in.
  bool mLeaving = false; ///< It takes no new work and will go.

  auto operator<=>(const host&) const = default;
};

/** Records read from the log. */
struct log_batch
{
  std::uint64_t mFirst = 1;         ///< Oldest offset still kept.
  std::uint64_t mNext = 1;          ///< Offset that the next append will get.
  std::vector<log_record> mRecords; ///< Records from the wanted offset on.
};

} // namespace dunehook
