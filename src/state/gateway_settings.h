/**
 * @file gateway_settings.h
 * Settings of a daemon that forwards requests as an entry host. A settings source fills them.
 */
#pragma once

#include "core/finding_type.h"
#include "net/net_type.h"
#include "placement/placement_type.h"
#include "placement/retry_budget.h"

namespace dunehook {

/** The settings; every time span and limit is checked to be positive. */
struct gateway_settings
{
  std::string mName;               ///< Name of this host.
  std::string mHall;               ///< Data hall it stands in.
  endpoint mCallers;               ///< Where callers connect.
  endpoint mReadiness;             ///< Where the balancer asks whether to send callers.
  endpoint mMetrics;               ///< Where metrics are served; port 0: nowhere.
  endpoint mPeers;                 ///< Where other daemons send datagrams and ask for state.
  std::vector<std::string> mSeeds; ///< Addresses of some other hosts; may be out of date.
  endpoint mStore;                 ///< The store of configuration, runners and terms.
  retry_limits mRetries;           ///< Repeats of all daemons together.
  bool mFirstStart = false; ///< All daemons start for the first time: nobody was before them.
  duration mLeaseTime = std::chrono::seconds(3); ///< A new term gives no orders before this.
  duration mStopLimit = std::chrono::seconds(8); ///< Longest planned stop.
  std::uint64_t mMemoryBytes = std::uint64_t{ 110 } << 20U; ///< Memory of the process.
  std::uint32_t mMilliCores = 0; ///< Thousandths of a core that the process may use.
  double mLinkMegabits = 100.0;  ///< Rate of the host's link, in Mbit/s.
  placement_tuning mPlacement;   ///< Knobs of placement.
};

/** Settings read, and what is wrong with them. */
struct gateway_settings_report
{
  gateway_settings mSettings; ///< Valid only if there are no findings.
  finding_list mFindings;     ///< All faults, in the order of the keys read.
};

} // namespace dunehook
