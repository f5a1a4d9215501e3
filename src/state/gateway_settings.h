/**
 * @file gateway_settings.h
 * Settings of a forwarding daemon. A settings source fills them in.
 */
#pragma once

#include "core/finding_type.h"
#include "limits/retry_budget.h"
#include "net/net_type.h"
#include "placement/placement_type.h"

namespace dunehook {

/** The settings; every time span and limit is checked to be positive. */
struct gateway_settings
{
  std::string mName;   ///< Name of this host.
  std::string mHall;   ///< Data hall of this host.
  endpoint mCallers;   ///< Listening address for callers.
  endpoint mReadiness; ///< Listening address for the balancer's readiness checks.
  endpoint mMetrics;   ///< Listening address for metrics; port 0: none.
  endpoint mPeers;     ///< Address at which other daemons send datagrams and request state.
  std::vector<std::string> mSeeds; ///< Addresses of some other hosts; may be outdated.
  endpoint mStore;                 ///< The store of configuration, runners and terms.
  retry_limits mRetries;           ///< Retry limits of all daemons together.
  bool mFirstStart = false;        ///< First start of all daemons: nobody held a term before.
  duration mLeaseTime = std::chrono::seconds(3); ///< A new term issues no orders before this.
  duration mStopLimit = std::chrono::seconds(8); ///< Time limit of a graceful stop.
  /** How long a runner takes requests after the store has its leave. */
  duration mLeaveTime = std::chrono::seconds(2);
  std::uint64_t mMemoryBytes = std::uint64_t{ 110 } << 20U; ///< Memory limit in bytes.
  std::uint32_t mMilliCores = 0; ///< CPU share of the process, in thousandths of a core.
  double mLinkMegabits = 100.0;  ///< Rate of the host's link, in Mbit/s.
  placement_tuning mPlacement;   ///< Tuning parameters of placement.
};

/** Settings as read, and the faults found in them. */
struct gateway_settings_report
{
  gateway_settings mSettings; ///< Valid only if there are no findings.
  finding_list mFindings;     ///< All faults, in the order of the keys read.
};

} // namespace dunehook
